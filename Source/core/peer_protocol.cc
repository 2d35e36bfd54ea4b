#include "core/peer_protocol.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

#include "core/neighbour_selection.h"

namespace comfrey {
namespace {

using Time = PeerProtocol::Time;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Number of members that are asked to ping a member that did not answer.
constexpr std::size_t kIndirectPingMembers = 3;

// Capacity of the send token bucket. It lets a joining daemon send and answer a
// few full messages at once. Averaged over a minute, it adds 200 B/s.
constexpr double kSendBurstBytes = 12'000;
// With fewer send tokens than this, only urgent rumors are attached to pings.
// An exchange transfers each record once, while a rumor is transferred several
// times. When a whole fleet starts, rumors would otherwise leave no budget for
// exchanges.
constexpr double kExchangeReserveBytes = 6000;
// Replies to pings are sent regardless of the budget, so that the number of
// send tokens can become negative, down to this limit. A seed that has replied
// to a whole fleet sends less until the deficit is refilled.
constexpr double kMaxSendDeficitBytes = 50'000;
constexpr std::size_t kMaxPingRumorBytes = 1000;
constexpr std::size_t kMaxPushRumorBytes = 2000;
constexpr std::size_t kMaxExchangeBytes = 6000;

// Number of members that one exchange compares. Their versions take about
// 2.6 KB, so that one request does not use up the send budget.
constexpr std::size_t kSliceMembers = 100;
constexpr std::size_t kMaxWantedMembers = 64;
// An exchange that transfers at least this many records is followed by another
// one after at most `kExchangeRetry`.
constexpr std::size_t kFollowUpRecords = 8;
constexpr milliseconds kExchangeRetry{2000};
// For this time after its start, a daemon exchanges records more often: its
// view is incomplete, and its partners may not have the budget to send all
// records in one exchange.
constexpr milliseconds kJoiningTime{60'000};
constexpr milliseconds kJoiningExchangePeriod{2000};
// A new daemon pings the seeds until it knows this many other members.
constexpr std::size_t kMinKnownMembers = 3;
// A new daemon probes no member before `kFirstProbeDelay`, unless it knows more
// members than this and so spreads the load. When a whole fleet started, probes
// by daemons that knew only the seeds used up the seeds' send budget for over a
// minute.
constexpr std::size_t kMinMembersForEarlyProbes = 30;
constexpr milliseconds kFirstProbeDelay{3000};
// Number of partial records, of about 65 bytes each, in the reply to a member
// that knows only the seeds. They are sent regardless of the budget.
constexpr std::size_t kDiscoveryRecords = 4;
constexpr milliseconds kExpiryPeriod{1000};

// Number of neighbours to which a changed record is pushed. With three random
// neighbours per member, pushes reach about 95% of the fleet, and rumors on
// pings reach the rest. Pushes to all 8 neighbours would take almost three
// times the bytes.
constexpr std::size_t kPushFanOut = 3;

// Period of the pings to a random dead member. At this rate, 220 members on one
// side of a partition have pinged each of the 220 members on the other side
// about 30 s after its end. The pings take about 40 B/s per member.
constexpr milliseconds kDeadRetryPeriod{5000};
constexpr milliseconds kSeedPeriod{30'000};
constexpr milliseconds kFirstSeedDelay{1000};
constexpr milliseconds kMaxSeedBackoff{8000};

// A longer time between two ticks is treated as a pause of this process.
constexpr milliseconds kPauseLimit{2000};

constexpr milliseconds kPublicationPeriod{2000};
// Maximum rate at which all members of the fleet together publish records with
// no urgent change, such as a new latency summary. A record of 14 endpoints has
// about 280 bytes, and each member sends it about three times.
constexpr double kFleetPublicationsPerSecond = 1.0;
constexpr double kPublicationBurst = 3.0;
// A latency is published again if it has changed by more than this fraction.
constexpr double kMinLatencyChange = 0.25;

// Delay of a pull after another member reported a different configuration
// digest. A push normally delivers the change within this time.
constexpr milliseconds kConfigPullDelay{500};
constexpr milliseconds kConfigPullBackoff{1000};
constexpr milliseconds kMaxConfigPullBackoff{30'000};
constexpr milliseconds kRequestedValueTimeout{1000};
// The exchanges of a new daemon request configuration until this many members
// have reported the same configuration digest as its own.
constexpr std::size_t kConfirmingPeers = 4;
// A message takes another configuration value until the values exceed this
// limit, so that at least one value is sent regardless of its size.
constexpr std::size_t kMaxSubtreeBytes = 65'536;

// With more pending rumors than this, a refutation is not urgent. When all
// refutations were urgent, those of 100 members after a partition used up the
// send budget, and the views took 77 s to converge.
constexpr std::size_t kRumorBacklogLimit = 20;

// Added to an age in a received message, which does not include the transit
// time of the message.
constexpr microseconds kTransitAllowance{50'000};

void RefillSendTokens(PeerProtocol& protocol, Time now) {
  const std::chrono::duration<double> elapsed =
      now - protocol.send_tokens_refilled_at;
  protocol.send_tokens_refilled_at = now;
  protocol.send_tokens =
      std::min(kSendBurstBytes,
               protocol.send_tokens + elapsed.count() * kSendBytesPerSecond);
}

std::size_t AvailableSendBytes(const PeerProtocol& protocol,
                               std::size_t limit) {
  if (protocol.send_tokens <= 0) {
    return 0;
  }
  return std::min(limit, static_cast<std::size_t>(protocol.send_tokens));
}

// Call this before configuration is added to the message. Configuration does
// not count towards the budget, because its volume depends on the changes by
// operators and not on the protocol.
template <typename Message>
void ConsumeSendTokens(PeerProtocol& protocol, const Message& message) {
  protocol.send_tokens =
      std::max(-kMaxSendDeficitBytes,
               protocol.send_tokens -
                   static_cast<double>(EncodedSize(message) + kFramingBytes));
}

milliseconds Jitter(milliseconds period, std::mt19937_64& rng) {
  std::uniform_int_distribution<std::int64_t> spread(period.count() * 3 / 4,
                                                     period.count() * 5 / 4);
  return milliseconds(spread(rng));
}

template <typename T>
const T& PickRandom(const std::vector<T>& values, std::mt19937_64& rng) {
  std::uniform_int_distribution<std::size_t> index(0, values.size() - 1);
  return values[index(rng)];
}

template <typename Predicate>
std::vector<const MemberRecord*> OtherMembers(const PeerProtocol& protocol,
                                              Predicate matches) {
  std::vector<const MemberRecord*> found;
  for (const auto& [name, entry] : protocol.membership.members) {
    if (name != protocol.membership.self && matches(entry.record)) {
      found.push_back(&entry.record);
    }
  }
  return found;
}

bool IsLive(const MemberRecord& record) {
  return !IsDead(record);
}

bool HasClaim(const MemberRecord& record) {
  return IsSuspected(record) || IsDead(record);
}

// Schedules an exchange with a member no later than at the given time.
void ScheduleExchange(PeerProtocol& protocol,
                      const std::string& address,
                      Time at) {
  protocol.next_exchange = std::min(protocol.next_exchange, at);
  protocol.exchange_address = address;
  protocol.slices_left = std::max<std::size_t>(protocol.slices_left, 1);
}

enum class RecordSource { kRumor, kExchange };

// Merges a received record and queues it for the other members. Returns whether
// it changed the view.
bool Merge(PeerProtocol& protocol,
           const MemberRecord& record,
           RecordSource source,
           Time now) {
  const MemberRecord* held = FindMember(protocol.membership, record.name);
  const bool was_dead = held != nullptr && IsDead(*held);
  // `MergeRecord` treats the death of a member without a claim as a suspicion.
  // Such a death is not passed on: each receiver would ping the member itself,
  // and after a partition there are many such deaths.
  const bool unconfirmed =
      held != nullptr && IsDead(record) && !HasClaim(*held);
  MergeResult result = MergeRecord(protocol.membership, record, now);
  if (result == MergeResult::kRefuted) {
    result = protocol.rumors.rumors.size() > kRumorBacklogLimit
                 ? MergeResult::kNormal
                 : MergeResult::kUrgent;
  }
  if (result == MergeResult::kIgnored) {
    return false;
  }
  if (result == MergeResult::kDuplicate) {
    CountDuplicate(protocol.rumors, record.name);
    return false;
  }
  if (record.name == protocol.membership.self) {
    ++protocol.statistics.refutations;
  }
  // A record that was received in an exchange is not sent as a rumor unless it
  // is urgent, since the other members also receive it in exchanges. A partial
  // record is of use only to its receiver.
  if ((source == RecordSource::kRumor || result == MergeResult::kUrgent) &&
      !IsPartialRecord(record) && !unconfirmed) {
    AddRumor(protocol.rumors, record.name, result);
  }
  if (result == MergeResult::kUrgent) {
    protocol.records_to_push.insert(record.name);
  }
  if (was_dead && IsLive(record)) {
    ScheduleExchange(protocol, record.address, now + kExchangeRetry);
  }
  return true;
}

void UpdateConfigContact(PeerProtocol& protocol, microseconds age, Time now) {
  if (age < microseconds(0)) {
    return;
  }
  protocol.newest_config_contact =
      std::max(protocol.newest_config_contact, now - age - kTransitAllowance);
}

microseconds ConfigAge(const PeerProtocol& protocol, Time now) {
  if (protocol.newest_config_contact == Time()) {
    return microseconds(-1);
  }
  return std::chrono::duration_cast<microseconds>(
      now - protocol.newest_config_contact);
}

// Schedules a pull from a member that reported a different configuration
// digest.
void ScheduleConfigPull(PeerProtocol& protocol,
                        const std::string& peer,
                        std::uint64_t digest,
                        Time now) {
  const std::uint64_t own = protocol.config.digest();
  if (digest == own) {
    return;
  }
  const MemberRecord* member = FindMember(protocol.membership, peer);
  const bool pull_scheduled = !protocol.config_pull_address.empty() &&
                              protocol.config_pull_digest == own;
  if (member == nullptr || pull_scheduled ||
      now < protocol.config_pull_not_before) {
    return;
  }
  protocol.config_pull_address = member->address;
  protocol.config_pull_digest = own;
  protocol.config_pull_at = now + kConfigPullDelay;
}

PingRequest MakePingRequest(const PeerProtocol& protocol, Time now) {
  PingRequest request;
  request.sender = protocol.membership.self;
  request.incarnation = Self(protocol.membership).incarnation;
  request.config_digest = protocol.config.digest();
  request.config_age = ConfigAge(protocol, now);
  return request;
}

void AttachRumors(PeerProtocol& protocol, std::vector<MemberRecord>& rumors) {
  // If many urgent rumors are pending and few send tokens are left, leave the
  // records to exchanges, which transfer each record only once.
  const auto urgent = std::count_if(
      protocol.rumors.rumors.begin(), protocol.rumors.rumors.end(),
      [](const auto& r) { return r.second.urgency == MergeResult::kUrgent; });
  if (protocol.send_tokens<kExchangeReserveBytes&& static_cast<std::size_t>(
          urgent)> kRumorBacklogLimit) {
    return;
  }
  std::vector<MemberRecord> taken = TakeRumors(
      protocol.rumors, protocol.membership,
      protocol.send_tokens < kExchangeReserveBytes ? MergeResult::kUrgent
                                                   : MergeResult::kBackground,
      AvailableSendBytes(protocol, kMaxPingRumorBytes));
  for (MemberRecord& record : taken) {
    const bool present = std::any_of(
        rumors.begin(), rumors.end(),
        [&](const MemberRecord& r) { return r.name == record.name; });
    if (!present) {
      rumors.push_back(std::move(record));
    }
  }
}

// A ping carries a claim about its target regardless of the budget, so that the
// target can refute the claim.
SendPing MakePing(PeerProtocol& protocol,
                  const MemberRecord& target,
                  bool suspect_on_failure,
                  Time now) {
  SendPing ping;
  ping.probe = protocol.next_probe_id++;
  ping.address = target.address;
  ping.request = MakePingRequest(protocol, now);
  if (HasClaim(target)) {
    ping.request.rumors.push_back(target);
    ping.request.rumors.back().endpoints.clear();
  }
  if (suspect_on_failure) {
    AttachRumors(protocol, ping.request.rumors);
  }
  protocol.probes[ping.probe] = Probe{target.name, 0, suspect_on_failure};
  ConsumeSendTokens(protocol, ping.request);
  return ping;
}

void StartSuspicion(PeerProtocol& protocol, const std::string& name, Time now) {
  if (!SuspectMember(protocol.membership, name, now)) {
    return;
  }
  ++protocol.statistics.suspicions;
  AddRumor(protocol.rumors, name, MergeResult::kUrgent);
  protocol.records_to_push.insert(name);
  protocol.suspects_to_ping.push_back(name);
}

void ResumeAfterPause(PeerProtocol& protocol, Time now) {
  // Replies that arrived during the pause look like timeouts, and a suspicion
  // could not be refuted during the pause. Discard the open probes, and extend
  // the suspicions by the length of the pause.
  ++protocol.statistics.pauses;
  ShiftChangeTimes(protocol.membership, now - protocol.last_tick);
  protocol.probes.clear();
  protocol.next_exchange = std::min(protocol.next_exchange, now);
}

void ProbeNext(PeerProtocol& protocol,
               Time now,
               std::mt19937_64& rng,
               std::vector<PeerAction>& actions) {
  // Each round probes every member once, in random order. This bounds the time
  // between two probes of the same member by this daemon.
  while (true) {
    if (protocol.probe_order.empty()) {
      for (const MemberRecord* member : OtherMembers(protocol, IsLive)) {
        protocol.probe_order.push_back(member->name);
      }
      if (protocol.probe_order.empty()) {
        return;
      }
      std::shuffle(protocol.probe_order.begin(), protocol.probe_order.end(),
                   rng);
    }
    const std::string name = protocol.probe_order.back();
    protocol.probe_order.pop_back();
    const MemberRecord* member = FindMember(protocol.membership, name);
    if (member != nullptr && IsLive(*member)) {
      actions.emplace_back(MakePing(protocol, *member, true, now));
      return;
    }
    if (protocol.probe_order.empty()) {
      return;
    }
  }
}

void RetryDead(PeerProtocol& protocol,
               Time now,
               std::mt19937_64& rng,
               std::vector<PeerAction>& actions) {
  const auto dead = OtherMembers(protocol, IsDead);
  if (!dead.empty()) {
    actions.emplace_back(
        MakePing(protocol, *PickRandom(dead, rng), false, now));
  }
}

// Pings a random seed until `kMinKnownMembers` other members are known.
// Afterwards pings only seeds that are not known as live members, less often,
// so that two groups of members that started separately find each other.
void PingSeed(PeerProtocol& protocol,
              Time now,
              std::mt19937_64& rng,
              std::vector<PeerAction>& actions) {
  const auto live = OtherMembers(protocol, IsLive);
  const bool knows_enough_members = live.size() >= kMinKnownMembers;
  std::vector<std::string> seeds_to_ping;
  for (const std::string& seed : protocol.settings.seeds) {
    const bool known = std::any_of(
        live.begin(), live.end(),
        [&](const MemberRecord* member) { return member->address == seed; });
    if (!known || !knows_enough_members) {
      seeds_to_ping.push_back(seed);
    }
  }
  if (!knows_enough_members) {
    protocol.seed_backoff = std::min(
        kMaxSeedBackoff, std::max(kFirstSeedDelay, protocol.seed_backoff * 2));
    protocol.next_seed_ping = now + Jitter(protocol.seed_backoff, rng);
  } else {
    protocol.next_seed_ping = now + Jitter(kSeedPeriod, rng);
  }
  if (seeds_to_ping.empty()) {
    return;
  }
  SendPing ping;
  ping.probe = protocol.next_probe_id++;
  ping.address = PickRandom(seeds_to_ping, rng);
  ping.request = MakePingRequest(protocol, now);
  ping.request.rumors.push_back(MakePartialRecord(Self(protocol.membership)));
  protocol.probes[ping.probe] = Probe{"", 0, false};
  ConsumeSendTokens(protocol, ping.request);
  actions.emplace_back(std::move(ping));
}

// Returns the versions of the next range of members in the circular order of
// names.
std::vector<MemberVersion> TakeSlice(PeerProtocol& protocol) {
  const auto& members = protocol.membership.members;
  auto it = members.lower_bound(protocol.slice_start);
  std::vector<MemberVersion> slice;
  const auto add = [&] {
    if (it == members.end()) {
      it = members.begin();
    }
    const MemberRecord& record = it->second.record;
    slice.push_back({record.name, record.incarnation, record.sequence});
    ++it;
  };
  // If all members fit, the first one is listed again at the end, which marks a
  // list that covers all names.
  const std::size_t count = std::min(kSliceMembers, members.size() + 1);
  while (slice.size() < count) {
    add();
  }
  protocol.slice_start = slice.back().name;
  return slice;
}

void StartExchange(PeerProtocol& protocol,
                   Time now,
                   std::mt19937_64& rng,
                   std::vector<PeerAction>& actions) {
  const bool joining = now - protocol.started < kJoiningTime;
  protocol.next_exchange =
      now + Jitter(joining ? kJoiningExchangePeriod : kExchangePeriod, rng);
  std::string address;
  address.swap(protocol.exchange_address);
  if (address.empty()) {
    const auto& seeds = protocol.settings.seeds;
    auto partners = OtherMembers(protocol, [&](const MemberRecord& record) {
      return !IsDead(record) &&
             !(joining &&
               std::count(seeds.begin(), seeds.end(), record.address) > 0);
    });
    if (partners.empty()) {
      partners = OtherMembers(protocol, IsLive);
    }
    if (partners.empty()) {
      return;
    }
    address = PickRandom(partners, rng)->address;
  }
  SendExchange exchange;
  exchange.address = std::move(address);
  exchange.request.sender = protocol.membership.self;
  exchange.request.member_digest = protocol.membership.digest;
  protocol.last_exchange_digest_only = protocol.slices_left == 0;
  if (protocol.slices_left > 0) {
    if (AvailableSendBytes(protocol, kMaxExchangeBytes) <
        kMaxExchangeBytes / 2) {
      protocol.next_exchange = now + Jitter(kExchangeRetry, rng);
      return;
    }
    exchange.request.wants_members = true;
    exchange.request.members = TakeSlice(protocol);
    --protocol.slices_left;
    if (protocol.slices_left > 0) {
      protocol.next_exchange = now + Jitter(kExchangeRetry, rng);
    }
  }
  ConsumeSendTokens(protocol, exchange.request);
  if (joining && protocol.config_confirmed_by.size() < kConfirmingPeers) {
    exchange.request.wants_subtrees = true;
    exchange.request.subtrees = protocol.config.versions();
  }
  actions.emplace_back(std::move(exchange));
}

void PullConfig(PeerProtocol& protocol,
                Time now,
                std::vector<PeerAction>& actions) {
  std::string address;
  address.swap(protocol.config_pull_address);
  if (protocol.config.digest() != protocol.config_pull_digest) {
    return;
  }
  protocol.config_pull_backoff =
      std::clamp(protocol.config_pull_backoff * 2, kConfigPullBackoff,
                 kMaxConfigPullBackoff);
  protocol.config_pull_not_before = now + protocol.config_pull_backoff;
  SendExchange exchange;
  exchange.address = std::move(address);
  exchange.request.sender = protocol.membership.self;
  exchange.request.member_digest = protocol.membership.digest;
  exchange.request.subtrees = protocol.config.versions();
  exchange.request.wants_subtrees = true;
  actions.emplace_back(std::move(exchange));
}

void PushChanges(PeerProtocol& protocol,
                 std::mt19937_64& rng,
                 std::vector<PeerAction>& actions) {
  if (protocol.records_to_push.empty() && protocol.teams_to_announce.empty()) {
    return;
  }
  if (protocol.neighbours_revision != protocol.membership.live_revision) {
    protocol.neighbours = SelectNeighbours(protocol.membership);
    protocol.neighbours_revision = protocol.membership.live_revision;
  }
  PushRequest request;
  request.sender = protocol.membership.self;
  const std::size_t limit =
      AvailableSendBytes(protocol, kMaxPushRumorBytes * kPushFanOut) /
      kPushFanOut;
  std::size_t bytes = 0;
  for (const std::string& name : protocol.records_to_push) {
    const MemberRecord* record = FindMember(protocol.membership, name);
    if (record != nullptr && bytes + EncodedSize(*record) <= limit) {
      bytes += EncodedSize(*record);
      request.rumors.push_back(*record);
    }
  }
  for (const std::string& team : protocol.teams_to_announce) {
    if (auto subtree = protocol.config.look_up(team)) {
      subtree->value.clear();
      request.subtrees.push_back(std::move(*subtree));
    }
  }
  // Records that do not fit are sent only as rumors.
  protocol.records_to_push.clear();
  protocol.teams_to_announce.clear();
  if (request.rumors.empty() && request.subtrees.empty()) {
    return;
  }
  std::vector<std::string> targets = protocol.neighbours;
  std::shuffle(targets.begin(), targets.end(), rng);
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const MemberRecord* target = FindMember(protocol.membership, targets[i]);
    if (i == kPushFanOut) {
      request.rumors.clear();
    }
    if (target == nullptr ||
        (request.rumors.empty() && request.subtrees.empty())) {
      continue;
    }
    ConsumeSendTokens(protocol, request);
    actions.emplace_back(SendPush{target->address, request});
  }
}

bool ChangedSignificantly(microseconds a, microseconds b) {
  const auto low = static_cast<double>(std::min(a, b).count());
  const auto high = static_cast<double>(std::max(a, b).count());
  return high > low * (1 + kMinLatencyChange);
}

bool HasSignificantChange(const std::vector<EndpointStatus>& published,
                          const std::vector<EndpointStatus>& current) {
  for (std::size_t i = 0; i < published.size(); ++i) {
    const EndpointStatus& a = published[i];
    const EndpointStatus& b = current[i];
    if (std::tie(a.reason, a.severity) != std::tie(b.reason, b.severity) ||
        (a.full_for.count() > 0) != (b.full_for.count() > 0) ||
        ChangedSignificantly(a.latency, b.latency)) {
      return true;
    }
  }
  return false;
}

void PublishPending(PeerProtocol& protocol, Time now) {
  // The limit for the whole fleet makes the traffic independent of the number
  // of members. The burst lets all owners of a service publish immediately when
  // all its endpoints change.
  const double rate =
      std::min(1000.0 / static_cast<double>(kPublicationPeriod.count()),
               kFleetPublicationsPerSecond /
                   static_cast<double>(protocol.membership.live_count));
  const std::chrono::duration<double> elapsed =
      now - protocol.publication_tokens_refilled_at;
  protocol.publication_tokens_refilled_at = now;
  protocol.publication_tokens = std::min(
      kPublicationBurst, protocol.publication_tokens + elapsed.count() * rate);
  if (!protocol.pending_statuses || protocol.publication_tokens < 1 ||
      now - protocol.last_publication < kPublicationPeriod) {
    return;
  }
  protocol.publication_tokens -= 1;
  protocol.last_publication = now;
  UpdateSelf(protocol.membership, MemberState::kAlive,
             std::move(*protocol.pending_statuses), now);
  protocol.pending_statuses.reset();
  AddRumor(protocol.rumors, protocol.membership.self, MergeResult::kBackground);
}

void PublishAtOnce(PeerProtocol& protocol) {
  AddRumor(protocol.rumors, protocol.membership.self, MergeResult::kUrgent);
  protocol.records_to_push.insert(protocol.membership.self);
}

void NormalizeStatuses(std::vector<EndpointStatus>& statuses,
                       const std::string& address) {
  for (EndpointStatus& status : statuses) {
    status = MakePublishedStatus(std::move(status), address);
  }
  std::sort(statuses.begin(), statuses.end(),
            [](const EndpointStatus& a, const EndpointStatus& b) {
              return a.endpoint < b.endpoint;
            });
}

bool InCircularRange(const std::string& name,
                     const std::string& first,
                     const std::string& last) {
  if (first == last) {
    return true;
  }
  if (first < last) {
    return first <= name && name <= last;
  }
  return first <= name || name <= last;
}

bool IsOlder(const AnnouncedVersion& a, const AnnouncedVersion& b) {
  return std::tie(a.generation, a.revision, a.digest) <
         std::tie(b.generation, b.revision, b.digest);
}

std::map<std::string, AnnouncedVersion> VersionsByTeam(
    std::vector<AnnouncedVersion> versions) {
  std::map<std::string, AnnouncedVersion> by_team;
  for (AnnouncedVersion& version : versions) {
    by_team[version.team] = std::move(version);
  }
  return by_team;
}

void OfferToStore(PeerProtocol& protocol, const SubtreeValue& subtree) {
  protocol.requested_teams.erase(subtree.team);
  // A value that the store rejects as invalid or old is not announced.
  if (protocol.config.offer(subtree)) {
    protocol.teams_to_announce.insert(subtree.team);
    protocol.config_pull_backoff = milliseconds(0);
  }
}

void CompareMembers(PeerProtocol& protocol,
                    const ExchangeRequest& request,
                    std::mt19937_64& rng,
                    ExchangeReply& reply) {
  std::map<std::string, const MemberVersion*> listed;
  for (const MemberVersion& version : request.members) {
    listed[version.name] = &version;
  }
  const std::string first =
      request.members.empty() ? "" : request.members.front().name;
  const std::string last =
      request.members.empty() ? "" : request.members.back().name;
  std::vector<const MemberRecord*> newer;
  for (const auto& [name, entry] : protocol.membership.members) {
    const MemberRecord& record = entry.record;
    const auto found = listed.find(name);
    if (found == listed.end()) {
      if (!IsDead(record) && InCircularRange(name, first, last)) {
        newer.push_back(&record);
      }
    } else if (std::tie(found->second->incarnation, found->second->sequence) <
               std::tie(record.incarnation, record.sequence)) {
      newer.push_back(&record);
    }
  }
  // If not all records fit, a joining member must receive different records
  // from different partners, so the order is random.
  std::shuffle(newer.begin(), newer.end(), rng);
  // If not all records fit, partial records of the members that the requester
  // does not know are sent first. Four of them take the space of one record
  // with statuses.
  const std::size_t limit = AvailableSendBytes(protocol, kMaxExchangeBytes);
  std::size_t total = 0;
  for (const MemberRecord* record : newer) {
    total += EncodedSize(*record);
  }
  std::size_t bytes = 0;
  const auto add = [&](const MemberRecord& record) {
    bytes += EncodedSize(record);
    if (bytes <= limit) {
      reply.members.push_back(record);
    }
  };
  const auto is_unknown = [&](const MemberRecord* record) {
    return record->state == MemberState::kAlive &&
           listed.count(record->name) == 0;
  };
  if (total <= limit) {
    for (const MemberRecord* record : newer) {
      add(*record);
    }
  } else {
    const auto known = std::partition(newer.begin(), newer.end(), is_unknown);
    for (auto it = newer.begin(); it != known; ++it) {
      add(MakePartialRecord(**it));
    }
    for (auto it = known; it != newer.end(); ++it) {
      add(**it);
    }
  }
  for (const auto& [name, version] : listed) {
    const MemberRecord* held = FindMember(protocol.membership, name);
    MemberRecord claimed;
    claimed.sequence = version->sequence;
    const bool needs_record =
        held == nullptr ? !IsDead(claimed)
                        : std::tie(held->incarnation, held->sequence) <
                              std::tie(version->incarnation, version->sequence);
    if (needs_record && reply.wanted_members.size() < kMaxWantedMembers) {
      reply.wanted_members.push_back(*version);
    }
  }
}

void CompareSubtrees(const PeerProtocol& protocol,
                     const ExchangeRequest& request,
                     ExchangeReply& reply) {
  const auto theirs = VersionsByTeam(request.subtrees);
  const auto ours = VersionsByTeam(protocol.config.versions());
  std::size_t bytes = 0;
  for (const auto& [team, version] : ours) {
    const auto found = theirs.find(team);
    if ((found != theirs.end() && !IsOlder(found->second, version)) ||
        bytes > kMaxSubtreeBytes) {
      continue;
    }
    if (auto subtree = protocol.config.look_up(team)) {
      bytes += subtree->value.size();
      reply.subtrees.push_back(std::move(*subtree));
    }
  }
  for (const auto& [team, version] : theirs) {
    const auto found = ours.find(team);
    if (found == ours.end() || IsOlder(found->second, version)) {
      reply.wanted_subtrees.push_back(version);
    }
  }
}

std::vector<SubtreeValue> LookUpSubtrees(
    const PeerProtocol& protocol,
    const std::vector<AnnouncedVersion>& wanted) {
  std::vector<SubtreeValue> subtrees;
  std::size_t bytes = 0;
  for (const AnnouncedVersion& version : wanted) {
    auto subtree = protocol.config.look_up(version.team);
    if (subtree && bytes <= kMaxSubtreeBytes) {
      bytes += subtree->value.size();
      subtrees.push_back(std::move(*subtree));
    }
  }
  return subtrees;
}

}  // namespace

PeerProtocol MakePeerProtocol(MemberRecord self,
                              PeerSettings settings,
                              ConfigAccess config,
                              Time now,
                              std::mt19937_64& rng) {
  PeerProtocol protocol;
  NormalizeStatuses(self.endpoints, self.address);
  protocol.settings = std::move(settings);
  protocol.config = std::move(config);
  protocol.membership = MakeMembership(std::move(self), now);
  protocol.started = now;
  protocol.last_tick = now;
  protocol.send_tokens_refilled_at = now;
  protocol.send_tokens = kSendBurstBytes / 2;
  protocol.next_probe = now + Jitter(kProbePeriod, rng);
  protocol.next_dead_retry = now + Jitter(kDeadRetryPeriod, rng);
  std::uniform_int_distribution<std::int64_t> delay(0, kFirstSeedDelay.count());
  protocol.next_seed_ping = now + milliseconds(delay(rng));
  protocol.next_exchange = now + Jitter(kJoiningExchangePeriod, rng);
  protocol.publication_tokens = kPublicationBurst;
  protocol.publication_tokens_refilled_at = now;
  AddRumor(protocol.rumors, protocol.membership.self, MergeResult::kNormal);
  return protocol;
}

std::vector<PeerAction> Tick(PeerProtocol& protocol,
                             Time now,
                             std::mt19937_64& rng) {
  if (now - protocol.last_tick > kPauseLimit) {
    ResumeAfterPause(protocol, now);
  }
  protocol.last_tick = now;
  if (protocol.membership.replaced) {
    // Another process with a newer incarnation has replaced this daemon.
    return {};
  }
  RefillSendTokens(protocol, now);
  if (now >= protocol.next_expiry) {
    protocol.next_expiry = now + kExpiryPeriod;
    for (const std::string& name : ExpireMembers(protocol.membership, now)) {
      ++protocol.statistics.deaths;
      AddRumor(protocol.rumors, name, MergeResult::kNormal);
    }
    for (std::string& name : TakeSuspectsToPing(protocol.membership, now)) {
      protocol.suspects_to_ping.push_back(std::move(name));
    }
  }
  PublishPending(protocol, now);

  std::vector<PeerAction> actions;
  PushChanges(protocol, rng, actions);
  for (const std::string& name : protocol.suspects_to_ping) {
    const MemberRecord* member = FindMember(protocol.membership, name);
    if (member != nullptr && IsSuspected(*member)) {
      actions.emplace_back(MakePing(protocol, *member, false, now));
    }
  }
  protocol.suspects_to_ping.clear();
  const bool may_probe =
      protocol.membership.live_count > kMinMembersForEarlyProbes ||
      now - protocol.started >= kFirstProbeDelay;
  if (may_probe && now >= protocol.next_probe) {
    protocol.next_probe = now + Jitter(kProbePeriod, rng);
    ProbeNext(protocol, now, rng, actions);
  }
  if (now >= protocol.next_dead_retry) {
    protocol.next_dead_retry = now + Jitter(kDeadRetryPeriod, rng);
    RetryDead(protocol, now, rng, actions);
  }
  if (now >= protocol.next_seed_ping) {
    PingSeed(protocol, now, rng, actions);
  }
  if (now >= protocol.next_exchange) {
    StartExchange(protocol, now, rng, actions);
  }
  if (!protocol.config_pull_address.empty() && now >= protocol.config_pull_at) {
    PullConfig(protocol, now, actions);
  }
  return actions;
}

PingReply OnPing(PeerProtocol& protocol,
                 const PingRequest& request,
                 Time now,
                 std::mt19937_64& rng) {
  RefillSendTokens(protocol, now);
  const bool sender_is_new = std::any_of(
      request.rumors.begin(), request.rumors.end(), [&](const MemberRecord& r) {
        return r.name == request.sender && IsPartialRecord(r);
      });
  // The sender may still hold a claim that this member refuted earlier. In that
  // case, the reply contains the refutation again.
  const bool claimed_faulty = std::any_of(
      request.rumors.begin(), request.rumors.end(), [&](const MemberRecord& r) {
        return r.name == protocol.membership.self && HasClaim(r);
      });
  for (const MemberRecord& record : request.rumors) {
    Merge(protocol, record, RecordSource::kRumor, now);
  }
  UpdateConfigContact(protocol, request.config_age, now);
  ScheduleConfigPull(protocol, request.sender, request.config_digest, now);

  PingReply reply;
  reply.responder = protocol.membership.self;
  reply.incarnation = Self(protocol.membership).incarnation;
  reply.config_digest = protocol.config.digest();
  reply.config_age = ConfigAge(protocol, now);
  const MemberRecord* sender = FindMember(protocol.membership, request.sender);
  if (sender != nullptr && HasClaim(*sender) &&
      sender->incarnation == request.incarnation) {
    reply.rumors.push_back(*sender);
    reply.rumors.back().endpoints.clear();
  }
  if (claimed_faulty) {
    reply.rumors.push_back(Self(protocol.membership));
  }
  if (sender != nullptr && sender->incarnation < request.incarnation) {
    ScheduleExchange(protocol, sender->address, now);
  }
  if (sender_is_new) {
    // The sender may know only the seeds. Give it addresses of other members,
    // so that it does not send all its requests to the seeds.
    auto live = OtherMembers(protocol, [&](const MemberRecord& record) {
      return record.state == MemberState::kAlive &&
             record.name != request.sender;
    });
    std::shuffle(live.begin(), live.end(), rng);
    live.resize(std::min(live.size(), kDiscoveryRecords));
    for (const MemberRecord* record : live) {
      reply.rumors.push_back(MakePartialRecord(*record));
    }
    reply.rumors.push_back(MakePartialRecord(Self(protocol.membership)));
  }
  AttachRumors(protocol, reply.rumors);
  ConsumeSendTokens(protocol, reply);
  return reply;
}

void OnPingReply(PeerProtocol& protocol,
                 std::uint64_t probe,
                 const PingReply& reply,
                 Time now) {
  for (const MemberRecord& record : reply.rumors) {
    Merge(protocol, record, RecordSource::kRumor, now);
  }
  UpdateConfigContact(protocol, reply.config_age, now);
  ScheduleConfigPull(protocol, reply.responder, reply.config_digest, now);
  const auto found = protocol.probes.find(probe);
  if (found == protocol.probes.end()) {
    return;
  }
  const Probe answered = found->second;
  protocol.probes.erase(found);
  if (reply.config_digest == protocol.config.digest()) {
    protocol.config_confirmed_by.insert(reply.responder);
  }
  const MemberRecord* responder =
      FindMember(protocol.membership, reply.responder);
  if (responder != nullptr && responder->incarnation < reply.incarnation) {
    ScheduleExchange(protocol, responder->address, now);
  }
  // Another member answered, so that the address is not the probed member's.
  if (answered.suspect_on_failure && answered.name != reply.responder) {
    StartSuspicion(protocol, answered.name, now);
  }
}

std::vector<PeerAction> OnPingTimeout(PeerProtocol& protocol,
                                      std::uint64_t probe,
                                      Time now,
                                      std::mt19937_64& rng) {
  std::vector<PeerAction> actions;
  const auto found = protocol.probes.find(probe);
  if (found == protocol.probes.end()) {
    return actions;
  }
  const MemberRecord* target =
      FindMember(protocol.membership, found->second.name);
  if (!found->second.suspect_on_failure || target == nullptr ||
      HasClaim(*target)) {
    protocol.probes.erase(found);
    return actions;
  }
  auto intermediaries = OtherMembers(protocol, [&](const MemberRecord& record) {
    return !HasClaim(record) && record.name != target->name;
  });
  if (intermediaries.empty()) {
    const std::string name = target->name;
    protocol.probes.erase(found);
    StartSuspicion(protocol, name, now);
    return actions;
  }
  std::shuffle(intermediaries.begin(), intermediaries.end(), rng);
  intermediaries.resize(std::min(intermediaries.size(), kIndirectPingMembers));
  found->second.pending_indirect_pings = intermediaries.size();
  for (const MemberRecord* intermediary : intermediaries) {
    SendPingThrough through;
    through.probe = probe;
    through.address = intermediary->address;
    through.request = {protocol.membership.self, target->address};
    ConsumeSendTokens(protocol, through.request);
    actions.emplace_back(std::move(through));
  }
  return actions;
}

SendPing OnPingThrough(PeerProtocol& protocol,
                       const PingThroughRequest& request,
                       Time now) {
  SendPing ping;
  ping.probe = protocol.next_probe_id++;
  ping.address = request.target_address;
  ping.request = MakePingRequest(protocol, now);
  ConsumeSendTokens(protocol, ping.request);
  return ping;
}

void OnPingThroughReply(PeerProtocol& protocol,
                        std::uint64_t probe,
                        const PingThroughReply& reply,
                        Time now) {
  if (!reply.reached) {
    OnPingThroughTimeout(protocol, probe, now);
    return;
  }
  OnPingReply(protocol, probe, reply.reply, now);
}

void OnPingThroughTimeout(PeerProtocol& protocol,
                          std::uint64_t probe,
                          Time now) {
  const auto found = protocol.probes.find(probe);
  if (found == protocol.probes.end() ||
      --found->second.pending_indirect_pings > 0) {
    return;
  }
  const std::string name = found->second.name;
  protocol.probes.erase(found);
  StartSuspicion(protocol, name, now);
}

ExchangeReply OnExchange(PeerProtocol& protocol,
                         const ExchangeRequest& request,
                         Time now,
                         std::mt19937_64& rng) {
  RefillSendTokens(protocol, now);
  ExchangeReply reply;
  reply.member_digest = protocol.membership.digest;
  if (request.wants_members) {
    CompareMembers(protocol, request, rng, reply);
  }
  ConsumeSendTokens(protocol, reply);
  if (request.wants_subtrees) {
    CompareSubtrees(protocol, request, reply);
  }
  return reply;
}

std::vector<PeerAction> OnExchangeReply(PeerProtocol& protocol,
                                        const std::string& address,
                                        const ExchangeReply& reply,
                                        Time now) {
  RefillSendTokens(protocol, now);
  std::size_t transferred = reply.wanted_members.size();
  for (const MemberRecord& record : reply.members) {
    transferred +=
        Merge(protocol, record, RecordSource::kExchange, now) ? 1 : 0;
  }
  for (const SubtreeValue& subtree : reply.subtrees) {
    OfferToStore(protocol, subtree);
  }
  const std::size_t all_slices =
      protocol.membership.members.size() / (kSliceMembers - 1) + 1;
  if (transferred >= kFollowUpRecords) {
    protocol.slices_left = all_slices;
    protocol.next_exchange =
        std::min(protocol.next_exchange, now + kExchangeRetry);
  } else if (protocol.last_exchange_digest_only &&
             reply.member_digest != protocol.membership.digest) {
    protocol.slices_left = all_slices;
    ScheduleExchange(protocol, address, now);
  }
  protocol.last_exchange_digest_only = false;
  std::vector<PeerAction> actions;
  SendPush push;
  push.address = address;
  push.request.sender = protocol.membership.self;
  const std::size_t limit = AvailableSendBytes(protocol, kMaxExchangeBytes);
  std::size_t bytes = 0;
  for (const MemberVersion& wanted : reply.wanted_members) {
    const MemberRecord* record = FindMember(protocol.membership, wanted.name);
    if (record != nullptr && bytes + EncodedSize(*record) <= limit) {
      bytes += EncodedSize(*record);
      push.request.rumors.push_back(*record);
    }
  }
  if (!push.request.rumors.empty()) {
    ConsumeSendTokens(protocol, push.request);
  }
  push.request.subtrees = LookUpSubtrees(protocol, reply.wanted_subtrees);
  if (!push.request.rumors.empty() || !push.request.subtrees.empty()) {
    actions.emplace_back(std::move(push));
  }
  return actions;
}

PushReply OnPush(PeerProtocol& protocol, const PushRequest& request, Time now) {
  for (const MemberRecord& record : request.rumors) {
    Merge(protocol, record, RecordSource::kRumor, now);
  }
  PushReply reply;
  if (request.subtrees.empty()) {
    return reply;
  }
  const auto ours = VersionsByTeam(protocol.config.versions());
  for (const SubtreeValue& subtree : request.subtrees) {
    if (!subtree.value.empty()) {
      OfferToStore(protocol, subtree);
      continue;
    }
    AnnouncedVersion held;
    held.team = subtree.team;
    const auto found = ours.find(subtree.team);
    if (found != ours.end()) {
      held = found->second;
    }
    // Several neighbours announce the same change. Request the value from only
    // one of them at a time.
    Time& requested_until = protocol.requested_teams[subtree.team];
    if (std::tie(held.generation, held.revision) <
            std::tie(subtree.generation, subtree.revision) &&
        now >= requested_until) {
      requested_until = now + kRequestedValueTimeout;
      reply.subtrees.push_back(std::move(held));
    }
  }
  return reply;
}

std::vector<PeerAction> OnPushReply(PeerProtocol& protocol,
                                    const std::string& address,
                                    const PushReply& reply) {
  std::vector<PeerAction> actions;
  SendPush push;
  push.address = address;
  push.request.sender = protocol.membership.self;
  push.request.subtrees = LookUpSubtrees(protocol, reply.subtrees);
  if (!push.request.subtrees.empty()) {
    actions.emplace_back(std::move(push));
  }
  return actions;
}

void OnLocalStatusChange(PeerProtocol& protocol,
                         std::vector<EndpointStatus> statuses,
                         Time now) {
  const MemberRecord& self = Self(protocol.membership);
  NormalizeStatuses(statuses, self.address);
  if (DifferInUrgentFields(self.endpoints, statuses)) {
    protocol.pending_statuses.reset();
    UpdateSelf(protocol.membership, MemberState::kAlive, std::move(statuses),
               now);
    PublishAtOnce(protocol);
    return;
  }
  if (!HasSignificantChange(self.endpoints, statuses)) {
    protocol.pending_statuses.reset();
    return;
  }
  protocol.pending_statuses = std::move(statuses);
  PublishPending(protocol, now);
}

void OnLocalConfigChange(PeerProtocol& protocol, const std::string& team) {
  protocol.teams_to_announce.insert(team);
}

void OnConfigContact(PeerProtocol& protocol, Time now) {
  protocol.newest_config_contact =
      std::max(protocol.newest_config_contact, now);
}

void BeginLeaving(PeerProtocol& protocol, Time now) {
  UpdateSelf(protocol.membership, MemberState::kLeaving,
             Self(protocol.membership).endpoints, now);
  PublishAtOnce(protocol);
}

}  // namespace comfrey
