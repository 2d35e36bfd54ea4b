#include "core/peer_probing.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>

#include "core/membership.h"
#include "core/peer_config.h"
#include "core/peer_exchange.h"
#include "core/peer_random.h"
#include "core/peer_rumors.h"
#include "core/peer_send_budget.h"
#include "core/rumor_buffer.h"

namespace comfrey {
namespace {

using Time = PeerProtocol::Time;
using std::chrono::milliseconds;

// Number of members through which a member that did not reply is pinged.
constexpr std::size_t kIndirectPingMembers = 3;
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

// Period of the pings to a random dead member. At this rate, 220 members on one
// side of a partition have pinged each of the 220 members on the other side
// about 30 s after its end. The pings take about 40 B/s per member.
constexpr milliseconds kDeadRetryPeriod{5000};
constexpr milliseconds kSeedPeriod{30'000};
constexpr milliseconds kFirstSeedDelay{1000};
constexpr milliseconds kMaxSeedBackoff{8000};

PingRequest MakePingRequest(const PeerProtocol& protocol, Time now) {
  PingRequest request;
  request.sender = protocol.membership.self;
  request.incarnation = Self(protocol.membership).incarnation;
  request.config_digest = protocol.config.digest();
  request.config_age = ConfigAge(protocol, now);
  return request;
}

PingReply MakePingReply(const PeerProtocol& protocol, Time now) {
  PingReply reply;
  reply.responder = protocol.membership.self;
  reply.incarnation = Self(protocol.membership).incarnation;
  reply.config_digest = protocol.config.digest();
  reply.config_age = ConfigAge(protocol, now);
  return reply;
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
  SpreadUrgently(protocol, name);
  protocol.suspects_to_ping.push_back(name);
}

void PingSuspects(PeerProtocol& protocol,
                  Time now,
                  std::vector<PeerAction>& actions) {
  for (const std::string& name : protocol.suspects_to_ping) {
    const MemberRecord* member = FindMember(protocol.membership, name);
    if (member != nullptr && IsSuspected(*member)) {
      actions.emplace_back(MakePing(protocol, *member, false, now));
    }
  }
  protocol.suspects_to_ping.clear();
}

void ProbeNext(PeerProtocol& protocol,
               Time now,
               std::mt19937_64& rng,
               std::vector<PeerAction>& actions) {
  // Each round probes every member once, in random order. This bounds the time
  // between two probes of the same member by this daemon.
  while (true) {
    if (protocol.probe_order.empty()) {
      for (const MemberRecord* member :
           OtherMembers(protocol.membership, IsLive)) {
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
  const auto dead = OtherMembers(protocol.membership, IsDead);
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
  const auto live = OtherMembers(protocol.membership, IsLive);
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

// Adds partial records to the reply to a member that may know only the seeds.
// They give it addresses of other members, so that it does not send all its
// requests to the seeds.
void AddDiscoveryRecords(const PeerProtocol& protocol,
                         const std::string& receiver,
                         std::mt19937_64& rng,
                         std::vector<MemberRecord>& records) {
  auto live =
      OtherMembers(protocol.membership, [&](const MemberRecord& record) {
        return record.state == MemberState::kAlive && record.name != receiver;
      });
  std::shuffle(live.begin(), live.end(), rng);
  live.resize(std::min(live.size(), kDiscoveryRecords));
  for (const MemberRecord* record : live) {
    records.push_back(MakePartialRecord(*record));
  }
  records.push_back(MakePartialRecord(Self(protocol.membership)));
}

}  // namespace

void StartProbing(PeerProtocol& protocol, Time now, std::mt19937_64& rng) {
  protocol.next_probe = now + Jitter(kProbePeriod, rng);
  protocol.next_dead_retry = now + Jitter(kDeadRetryPeriod, rng);
  std::uniform_int_distribution<std::int64_t> delay(0, kFirstSeedDelay.count());
  protocol.next_seed_ping = now + milliseconds(delay(rng));
}

void CheckSuspicions(PeerProtocol& protocol, Time now) {
  if (now < protocol.next_expiry) {
    return;
  }
  protocol.next_expiry = now + kExpiryPeriod;
  for (const std::string& name : ExpireMembers(protocol.membership, now)) {
    ++protocol.statistics.deaths;
    AddRumor(protocol.rumors, name, MergeResult::kNormal);
  }
  for (std::string& name : TakeSuspectsToPing(protocol.membership, now)) {
    protocol.suspects_to_ping.push_back(std::move(name));
  }
}

void SendDuePings(PeerProtocol& protocol,
                  Time now,
                  std::mt19937_64& rng,
                  std::vector<PeerAction>& actions) {
  PingSuspects(protocol, now, actions);
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

  PingReply reply = MakePingReply(protocol, now);
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
    AddDiscoveryRecords(protocol, request.sender, rng, reply.rumors);
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
  ConfirmConfig(protocol, reply.responder, reply.config_digest);
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
  auto intermediaries =
      OtherMembers(protocol.membership, [&](const MemberRecord& record) {
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

}  // namespace comfrey
