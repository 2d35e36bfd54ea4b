#include "core/membership.h"

#include <xxhash.h>

#include <tuple>
#include <utility>

namespace comfrey {
namespace {

using Time = std::chrono::steady_clock::time_point;

// A claim of another member is encoded in the sequence number modulo
// `kSequenceStep`. The pair (incarnation, sequence) therefore orders all
// records, and two lists of versions also differ if only the claims differ.
constexpr std::uint64_t kSequenceStep = 4;
constexpr std::uint64_t kSuspectClaim = 1;
constexpr std::uint64_t kDeadClaim = 2;

std::uint64_t ClaimOf(std::uint64_t sequence) {
  return sequence % kSequenceStep;
}

std::uint64_t WithClaim(std::uint64_t sequence, std::uint64_t claim) {
  return sequence - ClaimOf(sequence) + claim;
}

std::uint64_t NextSequence(std::uint64_t sequence) {
  return WithClaim(sequence, 0) + kSequenceStep;
}

// Records of dead members do not contribute to the digest: each member removes
// them at a different time, which must not make the digests differ.
std::uint64_t VersionHash(const MemberRecord& record) {
  if (IsDead(record)) {
    return 0;
  }
  const std::uint64_t parts[] = {
      XXH64(record.name.data(), record.name.size(), 0), record.incarnation,
      record.sequence};
  return XXH64(parts, sizeof(parts), 0);
}

void Store(Membership& membership, MemberRecord record, Time now) {
  MemberEntry& entry = membership.members[record.name];
  const bool known = !entry.record.name.empty();
  const bool was_live = known && IsLive(entry.record);
  if (known) {
    membership.digest ^= VersionHash(entry.record);
  }
  const bool location_changed =
      entry.record.address != record.address ||
      entry.record.failure_domain != record.failure_domain ||
      entry.record.region != record.region;
  const bool started_leaving = entry.record.state != record.state &&
                               record.state == MemberState::kLeaving;
  entry.record = std::move(record);
  entry.changed_at = now;
  entry.suspicion_pings = 0;
  membership.digest ^= VersionHash(entry.record);
  const bool live = IsLive(entry.record);
  if (live != was_live || location_changed || started_leaving) {
    ++membership.live_revision;
  }
  membership.live_count += live ? 1 : 0;
  membership.live_count -= was_live ? 1 : 0;
}

MergeResult MergeSelf(Membership& membership,
                      const MemberRecord& record,
                      Time now) {
  MemberRecord own = Self(membership);
  if (record.incarnation < own.incarnation) {
    return MergeResult::kIgnored;
  }
  if (record.incarnation > own.incarnation) {
    membership.replaced = true;
    return MergeResult::kIgnored;
  }
  if (record.sequence <= own.sequence) {
    return record.sequence == own.sequence ? MergeResult::kDuplicate
                                           : MergeResult::kIgnored;
  }
  own.sequence = NextSequence(record.sequence);
  Store(membership, std::move(own), now);
  return MergeResult::kRefuted;
}

}  // namespace

std::uint64_t MakeIncarnation(std::chrono::system_clock::time_point started,
                              std::uint64_t random) {
  constexpr unsigned kRandomBits = 20;
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      started.time_since_epoch());
  return (static_cast<std::uint64_t>(ms.count()) << kRandomBits) |
         (random & ((std::uint64_t{1} << kRandomBits) - 1));
}

Membership MakeMembership(MemberRecord self, Time now) {
  Membership membership;
  membership.self = self.name;
  self.sequence = kSequenceStep;
  Store(membership, std::move(self), now);
  return membership;
}

bool IsSuspected(const MemberRecord& record) {
  return ClaimOf(record.sequence) == kSuspectClaim;
}

bool IsDead(const MemberRecord& record) {
  return ClaimOf(record.sequence) == kDeadClaim;
}

bool IsLive(const MemberRecord& record) {
  return !IsDead(record);
}

bool HasClaim(const MemberRecord& record) {
  return ClaimOf(record.sequence) != 0;
}

MemberRecord MakePartialRecord(const MemberRecord& record) {
  MemberRecord partial = record;
  partial.sequence = 0;
  partial.endpoints.clear();
  return partial;
}

bool IsPartialRecord(const MemberRecord& record) {
  return record.sequence == 0;
}

const MemberRecord* FindMember(const Membership& membership,
                               const std::string& name) {
  const auto found = membership.members.find(name);
  return found == membership.members.end() ? nullptr : &found->second.record;
}

const MemberRecord& Self(const Membership& membership) {
  return membership.members.at(membership.self).record;
}

MergeResult MergeRecord(Membership& membership, MemberRecord record, Time now) {
  if (record.name == membership.self) {
    return MergeSelf(membership, record, now);
  }
  const MemberRecord* held = FindMember(membership, record.name);
  if (held == nullptr) {
    // A dead member whose record was removed here must not be added again by
    // another member that still holds the record.
    if (record.name.empty() || IsDead(record)) {
      return MergeResult::kIgnored;
    }
    Store(membership, std::move(record), now);
    return MergeResult::kNormal;
  }
  const auto version = std::tie(record.incarnation, record.sequence);
  const auto held_version = std::tie(held->incarnation, held->sequence);
  if (version <= held_version) {
    return version == held_version ? MergeResult::kDuplicate
                                   : MergeResult::kIgnored;
  }
  if (record.incarnation > held->incarnation) {
    Store(membership, std::move(record), now);
    return MergeResult::kUrgent;
  }
  if (IsDead(record)) {
    if (!IsSuspected(*held) && !IsDead(*held)) {
      // After a partition, members of the other side report live members of
      // this side as dead. Treat such a report as a suspicion, so that the
      // reported member has the suspicion timeout to refute it.
      record.sequence = WithClaim(record.sequence, kSuspectClaim);
      record.state = held->state == MemberState::kLeaving
                         ? MemberState::kLeaving
                         : MemberState::kSuspect;
      record.endpoints = held->endpoints;
      if (std::tie(record.incarnation, record.sequence) <= held_version) {
        return MergeResult::kIgnored;
      }
    }
    Store(membership, std::move(record), now);
    return MergeResult::kNormal;
  }
  if (held->state == MemberState::kLeaving) {
    record.state = MemberState::kLeaving;
  }
  if (IsPartialRecord(*held)) {
    Store(membership, std::move(record), now);
    return MergeResult::kNormal;
  }
  const bool refuted = HasClaim(*held) && !HasClaim(record);
  const bool same_statuses =
      IsDead(*held) || !DifferInUrgentFields(record.endpoints, held->endpoints);
  const bool started_leaving = record.state == MemberState::kLeaving &&
                               held->state != MemberState::kLeaving;
  if (refuted && same_statuses && !started_leaving) {
    Store(membership, std::move(record), now);
    return MergeResult::kRefuted;
  }
  const bool urgent = !same_statuses || record.state != held->state ||
                      ClaimOf(record.sequence) != ClaimOf(held->sequence);
  Store(membership, std::move(record), now);
  return urgent ? MergeResult::kUrgent : MergeResult::kBackground;
}

void UpdateSelf(Membership& membership,
                MemberState state,
                std::vector<EndpointStatus> endpoints,
                Time now) {
  MemberRecord own = Self(membership);
  if (own.state != MemberState::kLeaving) {
    own.state = state;
  }
  own.endpoints = std::move(endpoints);
  own.sequence = NextSequence(own.sequence);
  Store(membership, std::move(own), now);
}

bool SuspectMember(Membership& membership, const std::string& name, Time now) {
  const MemberRecord* held = FindMember(membership, name);
  if (held == nullptr || name == membership.self || IsSuspected(*held) ||
      IsDead(*held)) {
    return false;
  }
  MemberRecord claim = *held;
  claim.sequence = WithClaim(claim.sequence, kSuspectClaim);
  if (claim.state == MemberState::kAlive) {
    claim.state = MemberState::kSuspect;
  }
  Store(membership, std::move(claim), now);
  return true;
}

// Every member that holds a suspicion pings the suspect itself and so receives
// a refutation directly. When refutations arrived only as rumors, some members
// did not receive one in time at 10% message loss.
std::vector<std::string> TakeSuspectsToPing(Membership& membership, Time now) {
  constexpr unsigned kSuspicionPings = 2;
  constexpr auto kSuspicionPingPeriod =
      kSuspicionTimeout / (kSuspicionPings + 1);
  std::vector<std::string> suspects;
  for (auto& [name, entry] : membership.members) {
    if (IsSuspected(entry.record) && entry.suspicion_pings < kSuspicionPings &&
        now - entry.changed_at >=
            (entry.suspicion_pings + 1) * kSuspicionPingPeriod) {
      ++entry.suspicion_pings;
      suspects.push_back(name);
    }
  }
  return suspects;
}

std::vector<std::string> ExpireMembers(Membership& membership, Time now) {
  std::vector<std::string> died;
  for (auto it = membership.members.begin(); it != membership.members.end();) {
    const MemberEntry& entry = it->second;
    if (IsDead(entry.record) && now - entry.changed_at > kDeadRetention) {
      it = membership.members.erase(it);
      continue;
    }
    if (IsSuspected(entry.record) &&
        now - entry.changed_at >= kSuspicionTimeout) {
      MemberRecord dead = entry.record;
      dead.sequence = WithClaim(dead.sequence, kDeadClaim);
      dead.state = MemberState::kDead;
      dead.endpoints.clear();
      died.push_back(dead.name);
      Store(membership, std::move(dead), now);
    }
    ++it;
  }
  return died;
}

void ShiftChangeTimes(Membership& membership,
                      std::chrono::steady_clock::duration pause) {
  for (auto& [name, entry] : membership.members) {
    entry.changed_at += pause;
  }
}

const EndpointStatus* FindStatus(const MemberRecord& record,
                                 std::string_view endpoint) {
  for (const EndpointStatus& status : record.endpoints) {
    const std::string_view name = status.endpoint;
    const bool abbreviated = !name.empty() && name[0] == ':';
    if (name == endpoint ||
        (abbreviated &&
         endpoint.size() == record.address.size() + name.size() &&
         endpoint.substr(0, record.address.size()) == record.address &&
         endpoint.substr(record.address.size()) == name)) {
      return &status;
    }
  }
  return nullptr;
}

EndpointStatus MakePublishedStatus(EndpointStatus status,
                                   std::string_view address) {
  status.team.clear();
  status.service.clear();
  status.load = 0;
  status.limit = 0;
  const std::string_view endpoint = status.endpoint;
  if (endpoint.size() > address.size() &&
      endpoint.substr(0, address.size()) == address &&
      endpoint[address.size()] == ':') {
    status.endpoint = std::string(endpoint.substr(address.size()));
  }
  return status;
}

bool DifferInUrgentFields(const std::vector<EndpointStatus>& a,
                          const std::vector<EndpointStatus>& b) {
  if (a.size() != b.size()) {
    return true;
  }
  for (std::size_t i = 0; i < a.size(); ++i) {
    if (std::tie(a[i].endpoint, a[i].verdict, a[i].draining) !=
        std::tie(b[i].endpoint, b[i].verdict, b[i].draining)) {
      return true;
    }
  }
  return false;
}

}  // namespace comfrey
