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
  /// Times that the record was sent, or received again from another member.
  unsigned spread_count = 0;
  std::uint64_t order = 0;
};

/// \brief Names of the members whose records are piggybacked on pings.
struct RumorBuffer {
  std::map<std::string, Rumor> rumors;
  std::uint64_t next_order = 0;
};

/// \brief Uses after which a rumor is dropped, by urgency and fleet size.
unsigned RumorSpreadLimit(MergeResult urgency, std::size_t members);

/// \brief Adds the current record of a member; a newer change starts over.
void AddRumor(RumorBuffer& buffer,
              const std::string& name,
              MergeResult urgency);

/// \brief Counts that another member already has the record.
void CountDuplicate(RumorBuffer& buffer, const std::string& name);

/// \brief Takes the most urgent and least used records of at most `max_bytes`
/// in total, and of at least the given urgency.
std::vector<MemberRecord> TakeRumors(RumorBuffer& buffer,
                                     const Membership& membership,
                                     MergeResult min_urgency,
                                     std::size_t max_bytes);

}  // namespace comfrey

#endif  // CORE_RUMOR_BUFFER_H_
