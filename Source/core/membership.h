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

/// \brief Time after which a suspect that has not refuted the suspicion is
/// declared dead.
constexpr std::chrono::seconds kSuspicionTimeout{6};

/// \brief Time for which the record of a dead member is kept, so that the
/// member can be pinged again.
constexpr std::chrono::hours kDeadRetention{6};

struct MemberEntry {
  MemberRecord record;
  /// Time of the last change of `record`, by the local clock.
  std::chrono::steady_clock::time_point changed_at;
  /// Number of times that `TakeSuspectsToPing` has returned the member since
  /// the last change of `record`.
  unsigned suspicion_pings = 0;
};

/// \brief View that one member has of the fleet, including itself.
struct Membership {
  std::string self;
  std::map<std::string, MemberEntry> members;
  /// XOR of the version hashes of all members that are not dead.
  std::uint64_t digest = 0;
  /// Incremented when a member becomes live or dead, starts to leave, or
  /// changes its address, region or failure domain.
  std::uint64_t live_revision = 0;
  /// Number of members that are alive, suspect or leaving, including this one.
  std::size_t live_count = 0;
  /// Set if a record with this member's name and a greater incarnation was
  /// received.
  bool replaced = false;
};

/// \brief Result of merging a record, in ascending order of urgency.
enum class MergeResult {
  /// The record is older than the held one or must not be taken.
  kIgnored,
  /// The held record has the same version.
  kDuplicate,
  /// A change that may spread slowly, such as a new latency summary.
  kBackground,
  /// A new or dead member. Probes and anti-entropy exchanges also find these.
  kNormal,
  /// A refutation of a suspicion or death. It is urgent unless many rumors are
  /// pending.
  kRefuted,
  /// A change that must spread immediately: a verdict, draining, leaving, a
  /// suspicion, or a new incarnation of a known member.
  kUrgent,
};

/// \brief Creates a view that contains only the member itself.
Membership MakeMembership(MemberRecord self,
                          std::chrono::steady_clock::time_point now);

/// \brief Returns an incarnation number: the start time in milliseconds,
/// followed by 20 random bits.
std::uint64_t MakeIncarnation(std::chrono::system_clock::time_point started,
                              std::uint64_t random);

/// \brief Merges a record received from another member.
///
/// A claim that this member is suspect or dead is refuted by publishing its own
/// record with a greater sequence number.
MergeResult MergeRecord(Membership& membership,
                        MemberRecord record,
                        std::chrono::steady_clock::time_point now);

/// \brief Updates this member's own record. Once the member is leaving, it
/// stays leaving whatever `state` is.
void UpdateSelf(Membership& membership,
                MemberState state,
                std::vector<EndpointStatus> endpoints,
                std::chrono::steady_clock::time_point now);

/// \brief Marks another live member as suspect; returns false if it is unknown,
/// dead or already suspected.
bool SuspectMember(Membership& membership,
                   const std::string& name,
                   std::chrono::steady_clock::time_point now);

/// \brief Returns the suspects to ping now. Each of them is returned twice
/// before its suspicion times out.
std::vector<std::string> TakeSuspectsToPing(
    Membership& membership,
    std::chrono::steady_clock::time_point now);

/// \brief Declares members dead whose suspicion has lasted for
/// `kSuspicionTimeout`, and returns their names. Also removes the records of
/// members that have been dead for longer than `kDeadRetention`.
std::vector<std::string> ExpireMembers(
    Membership& membership,
    std::chrono::steady_clock::time_point now);

/// \brief Moves the `changed_at` of all members forward after a pause of this
/// process, so that the pause does not count towards any timeout.
void ShiftChangeTimes(Membership& membership,
                      std::chrono::steady_clock::duration pause);

const MemberRecord* FindMember(const Membership& membership,
                               const std::string& name);
const MemberRecord& Self(const Membership& membership);

/// \brief Returns whether the record is a suspicion that its member has not
/// refuted.
bool IsSuspected(const MemberRecord& record);
bool IsDead(const MemberRecord& record);
bool IsLive(const MemberRecord& record);

/// \brief Returns whether the record is a suspicion or the death of its member.
bool HasClaim(const MemberRecord& record);

/// \brief Returns the records that satisfy `matches`, except this daemon's.
template <typename Predicate>
std::vector<const MemberRecord*> OtherMembers(const Membership& membership,
                                              Predicate matches) {
  std::vector<const MemberRecord*> found;
  for (const auto& [name, entry] : membership.members) {
    if (name != membership.self && matches(entry.record)) {
      found.push_back(&entry.record);
    }
  }
  return found;
}

/// \brief Returns a copy of the record without statuses and with sequence 0.
///
/// It gives the receiver the address of the member, and is older than each
/// record that the member publishes in the same incarnation.
MemberRecord MakePartialRecord(const MemberRecord& record);
bool IsPartialRecord(const MemberRecord& record);

/// \brief Returns the status of an endpoint, or null if none is published.
const EndpointStatus* FindStatus(const MemberRecord& record,
                                 std::string_view endpoint);

/// \brief Returns the status in the form in which a member with the given
/// address publishes it.
EndpointStatus MakePublishedStatus(EndpointStatus status,
                                   std::string_view address);

/// \brief Returns whether two lists differ in an endpoint, a verdict or
/// draining.
bool DifferInUrgentFields(const std::vector<EndpointStatus>& a,
                          const std::vector<EndpointStatus>& b);

}  // namespace comfrey

#endif  // CORE_MEMBERSHIP_H_
