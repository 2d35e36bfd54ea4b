#ifndef CORE_RUMOR_BUFFER_H_
#define CORE_RUMOR_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/membership.h"

namespace comfrey {

struct Rumor {
  MergeResult urgency = MergeResult::kBackground;
  /// Number of times that the record was sent, or received again from another
  /// member.
  unsigned spread_count = 0;
  /// Number that increases with each `AddRumor`; of equal rumors, the one that
  /// was added last is sent first.
  std::uint64_t order = 0;
};

/// \brief Members whose records are attached to pings, by name.
struct RumorBuffer {
  std::map<std::string, Rumor> rumors;
  std::uint64_t next_order = 0;
};

/// \brief Returns the `spread_count` at which a rumor is dropped, for a fleet
/// of the given number of members.
unsigned RumorSpreadLimit(MergeResult urgency, std::size_t members);

/// \brief Adds a member whose record has changed. If the member is in the
/// buffer already, its `spread_count` is reset.
void AddRumor(RumorBuffer& buffer,
              const std::string& name,
              MergeResult urgency);

/// \brief Counts that the record was received from another member, which
/// therefore has it already.
void CountDuplicate(RumorBuffer& buffer, const std::string& name);

/// \brief Returns records to send, of at most `max_bytes` in total, and counts
/// them as sent.
///
/// Rumors below `min_urgency` are left out. The most urgent ones come first,
/// and of these the ones with the lowest `spread_count`.
std::vector<MemberRecord> TakeRumors(RumorBuffer& buffer,
                                     const Membership& membership,
                                     MergeResult min_urgency,
                                     std::size_t max_bytes);

}  // namespace comfrey

#endif  // CORE_RUMOR_BUFFER_H_
