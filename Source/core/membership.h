#ifndef CORE_MEMBERSHIP_H_
#define CORE_MEMBERSHIP_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/peer_message.h"

namespace comfrey {

/// \brief Time from the suspicion of a member to its death, unless refuted.
constexpr std::chrono::seconds kSuspicionTimeout{6};

/// \brief Time for which a dead member's address is kept for retries.
constexpr std::chrono::hours kDeadRetention{6};

struct MemberEntry {
  MemberRecord record;
  /// Time of the last change of `record`, by the local clock.
  std::chrono::steady_clock::time_point changed_at;
  /// Number of checks since the last change, by `TakeSuspectsToPing`.
  unsigned suspicion_pings = 0;
};

/// \brief A member's view of the fleet, itself included.
struct Membership {
  std::string self;
  std::map<std::string, MemberEntry> members;
  /// Digest of the versions of all members that are not dead.
  std::uint64_t digest = 0;
  /// Changes whenever the set of live members changes.
  std::uint64_t live_revision = 0;
  /// Members that are alive, suspect or leaving, itself included.
  std::size_t live_count = 0;
  /// Set if a greater incarnation of this member's own name was seen.
  bool replaced = false;
};

/// \brief Result of merging a record.
enum class MergeResult {
  /// The held record is newer or the same.
  kIgnored,
  /// The held record is the same.
  kDuplicate,
  /// A change that may spread slowly, such as of a latency summary.
  kBackground,
  /// A new or dead member; probing and anti-entropy also find these.
  kNormal,
  /// A refuted suspicion or death; urgent unless there are many at once.
  kRefuted,
  /// A change to spread at once: verdict, draining, leaving, suspicion, or a
  /// new incarnation of a known member.
  kUrgent,
};

/// \brief Starts a view that holds the member itself.
Membership MakeMembership(MemberRecord self,
                          std::chrono::steady_clock::time_point now);

/// \brief Returns an incarnation: the start time in ms and 20 random bits.
std::uint64_t MakeIncarnation(std::chrono::system_clock::time_point started,
                              std::uint64_t random);

/// \brief Merges a record received from another member.
///
/// A claim about this member itself is refuted with a greater sequence.
MergeResult MergeRecord(Membership& membership,
                        MemberRecord record,
                        std::chrono::steady_clock::time_point now);

/// \brief Publishes a new state of this member; leaving is never withdrawn.
void UpdateSelf(Membership& membership,
                MemberState state,
                std::vector<EndpointStatus> endpoints,
                std::chrono::steady_clock::time_point now);

/// \brief Claims that a live member is suspect; returns whether this is new.
bool SuspectMember(Membership& membership,
                   const std::string& name,
                   std::chrono::steady_clock::time_point now);

/// \brief Returns the suspects to ping now; each is returned twice before its
/// suspicion times out.
std::vector<std::string> TakeSuspectsToPing(
    Membership& membership,
    std::chrono::steady_clock::time_point now);

/// \brief Declares members dead whose suspicion has lasted for
/// `kSuspicionTimeout`, and returns their names; forgets dead members after
/// `kDeadRetention`.
std::vector<std::string> ExpireMembers(
    Membership& membership,
    std::chrono::steady_clock::time_point now);

/// \brief Moves the time of all changes on, after this process was paused.
void ShiftChangeTimes(Membership& membership,
                      std::chrono::steady_clock::duration pause);

const MemberRecord* FindMember(const Membership& membership,
                               const std::string& name);
const MemberRecord& Self(const Membership& membership);

/// \brief Whether a record is a suspicion that its member has not refuted.
bool IsSuspected(const MemberRecord& record);
bool IsDead(const MemberRecord& record);

/// \brief Returns a record without statuses that is older than any published
/// one of its incarnation; it tells a new member an address.
MemberRecord MakePartialRecord(const MemberRecord& record);
bool IsPartialRecord(const MemberRecord& record);

/// \brief Returns the status of an endpoint, or null if none is published.
const EndpointStatus* FindStatus(const MemberRecord& record,
                                 std::string_view endpoint);

/// \brief Returns a status as published in a record of the given address.
EndpointStatus MakePublishedStatus(EndpointStatus status,
                                   std::string_view address);

/// \brief Whether two lists differ in an endpoint, verdict or draining.
bool DifferInUrgentFields(const std::vector<EndpointStatus>& a,
                          const std::vector<EndpointStatus>& b);

}  // namespace comfrey

#endif  // CORE_MEMBERSHIP_H_
