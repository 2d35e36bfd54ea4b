#include "core/peer_exchange.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <tuple>
#include <utility>

#include "core/membership.h"
#include "core/peer_config.h"
#include "core/peer_push.h"
#include "core/peer_random.h"
#include "core/peer_rumors.h"
#include "core/peer_send_budget.h"

namespace comfrey {
namespace {

using Time = PeerProtocol::Time;
using std::chrono::milliseconds;

constexpr std::size_t kMaxExchangeBytes = 6000;

// Number of members that one exchange compares. Their versions take about
// 2.6 KB, so that one request does not use up the send budget.
constexpr std::size_t kSliceMembers = 100;
constexpr std::size_t kMaxWantedMembers = 64;
// An exchange that transfers at least this many records is followed by another
// one after at most `kExchangeRetry`.
constexpr std::size_t kFollowUpRecords = 8;
// For this time after its start, a daemon exchanges records more often: its
// view is incomplete, and its partners may not have the budget to send all
// records in one exchange.
constexpr milliseconds kJoiningTime{60'000};
constexpr milliseconds kJoiningExchangePeriod{2000};

// Returns the address of a random member, or an empty address if none is live.
// A joining daemon prefers members that are not seeds.
std::string ChooseExchangePartner(const PeerProtocol& protocol,
                                  bool joining,
                                  std::mt19937_64& rng) {
  const auto& seeds = protocol.settings.seeds;
  auto partners =
      OtherMembers(protocol.membership, [&](const MemberRecord& record) {
        return !IsDead(record) &&
               !(joining &&
                 std::count(seeds.begin(), seeds.end(), record.address) > 0);
      });
  if (partners.empty()) {
    partners = OtherMembers(protocol.membership, IsLive);
  }
  if (partners.empty()) {
    return {};
  }
  return PickRandom(partners, rng)->address;
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

// Versions in a request, by the name of the member.
using ListedVersions = std::map<std::string, const MemberVersion*>;

// Returns the held records that are newer than the listed versions, and those
// of the range of names that are not listed.
std::vector<const MemberRecord*> FindNewerRecords(
    const PeerProtocol& protocol,
    const ExchangeRequest& request,
    const ListedVersions& listed) {
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
  return newer;
}

// Adds the records that fit into the send budget.
void AddRecords(const PeerProtocol& protocol,
                const ListedVersions& listed,
                std::vector<const MemberRecord*> newer,
                ExchangeReply& reply) {
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
}

// Requests the records of the members whose listed versions are newer.
void RequestNewerRecords(const PeerProtocol& protocol,
                         const ListedVersions& listed,
                         ExchangeReply& reply) {
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

void CompareMembers(PeerProtocol& protocol,
                    const ExchangeRequest& request,
                    std::mt19937_64& rng,
                    ExchangeReply& reply) {
  ListedVersions listed;
  for (const MemberVersion& version : request.members) {
    listed[version.name] = &version;
  }
  std::vector<const MemberRecord*> newer =
      FindNewerRecords(protocol, request, listed);
  // If not all records fit, a joining member must receive different records
  // from different partners, so the order is random.
  std::shuffle(newer.begin(), newer.end(), rng);
  AddRecords(protocol, listed, std::move(newer), reply);
  RequestNewerRecords(protocol, listed, reply);
}

// Schedules another exchange if many records were transferred, or if the
// digests differ.
void ScheduleFollowUp(PeerProtocol& protocol,
                      const std::string& address,
                      const ExchangeReply& reply,
                      std::size_t transferred,
                      Time now) {
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
}

}  // namespace

void StartExchanges(PeerProtocol& protocol, Time now, std::mt19937_64& rng) {
  protocol.next_exchange = now + Jitter(kJoiningExchangePeriod, rng);
}

void ScheduleExchange(PeerProtocol& protocol,
                      const std::string& address,
                      Time at) {
  protocol.next_exchange = std::min(protocol.next_exchange, at);
  protocol.exchange_address = address;
  protocol.slices_left = std::max<std::size_t>(protocol.slices_left, 1);
}

void SendDueExchange(PeerProtocol& protocol,
                     Time now,
                     std::mt19937_64& rng,
                     std::vector<PeerAction>& actions) {
  if (now < protocol.next_exchange) {
    return;
  }
  const bool joining = now - protocol.started < kJoiningTime;
  protocol.next_exchange =
      now + Jitter(joining ? kJoiningExchangePeriod : kExchangePeriod, rng);
  std::string address;
  address.swap(protocol.exchange_address);
  if (address.empty()) {
    address = ChooseExchangePartner(protocol, joining, rng);
  }
  if (address.empty()) {
    return;
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
  if (joining && NeedsConfigConfirmation(protocol)) {
    exchange.request.wants_subtrees = true;
    exchange.request.subtrees = protocol.config.versions();
  }
  actions.emplace_back(std::move(exchange));
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
    ApplyToStore(protocol, subtree);
  }
  ScheduleFollowUp(protocol, address, reply, transferred, now);
  std::vector<PeerAction> actions;
  SendPush push;
  push.address = address;
  push.request.sender = protocol.membership.self;
  std::vector<std::string> wanted_names;
  for (const MemberVersion& wanted : reply.wanted_members) {
    wanted_names.push_back(wanted.name);
  }
  push.request.rumors =
      RecordsWithin(protocol.membership, wanted_names,
                    AvailableSendBytes(protocol, kMaxExchangeBytes));
  if (!push.request.rumors.empty()) {
    ConsumeSendTokens(protocol, push.request);
  }
  push.request.subtrees = LookUpSubtrees(protocol, reply.wanted_subtrees);
  if (!push.request.rumors.empty() || !push.request.subtrees.empty()) {
    actions.emplace_back(std::move(push));
  }
  return actions;
}

}  // namespace comfrey
