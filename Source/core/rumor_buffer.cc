#include "core/rumor_buffer.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace comfrey {
namespace {

constexpr std::size_t kMinRecordBytes = 30;
// The search for records that fit ends after this many that do not fit. With a
// full buffer, computing the sizes of all records took most of the CPU time.
constexpr std::size_t kMaxSkippedRecords = 8;

}  // namespace

// Both sent and received copies count, so that a rumor that most members
// already have is dropped early; about half of the copies are then sent ones.
// The limit for rumors that are not urgent is lower. They can miss some
// members, which receive the record in an anti-entropy exchange.
unsigned RumorSpreadLimit(MergeResult urgency, std::size_t members) {
  unsigned log2 = 1;
  while ((std::size_t{1} << log2) < members + 1) {
    ++log2;
  }
  return urgency == MergeResult::kUrgent ? 2 * log2 : (log2 + 1) / 2;
}

void AddRumor(RumorBuffer& buffer,
              const std::string& name,
              MergeResult urgency) {
  Rumor& rumor = buffer.rumors[name];
  // A later, less urgent change of a record must not delay an urgent one that
  // is still spreading.
  rumor.urgency = std::max(rumor.urgency, urgency);
  rumor.spread_count = 0;
  rumor.order = buffer.next_order++;
}

void CountDuplicate(RumorBuffer& buffer, const std::string& name) {
  const auto found = buffer.rumors.find(name);
  if (found != buffer.rumors.end()) {
    ++found->second.spread_count;
  }
}

std::vector<MemberRecord> TakeRumors(RumorBuffer& buffer,
                                     const Membership& membership,
                                     MergeResult min_urgency,
                                     std::size_t max_bytes) {
  if (max_bytes < kMinRecordBytes) {
    return {};
  }
  using Entry = std::map<std::string, Rumor>::iterator;
  std::vector<Entry> entries;
  entries.reserve(buffer.rumors.size());
  for (auto it = buffer.rumors.begin(); it != buffer.rumors.end();) {
    if (FindMember(membership, it->first) == nullptr ||
        it->second.spread_count >=
            RumorSpreadLimit(it->second.urgency, membership.live_count)) {
      it = buffer.rumors.erase(it);
      continue;
    }
    if (it->second.urgency >= min_urgency) {
      entries.push_back(it);
    }
    ++it;
  }
  std::sort(entries.begin(), entries.end(), [](Entry a, Entry b) {
    return std::make_tuple(-static_cast<int>(a->second.urgency),
                           a->second.spread_count, ~a->second.order) <
           std::make_tuple(-static_cast<int>(b->second.urgency),
                           b->second.spread_count, ~b->second.order);
  });
  std::vector<MemberRecord> records;
  std::size_t bytes = 0;
  std::size_t skipped = 0;
  for (const Entry& entry : entries) {
    const MemberRecord& record = *FindMember(membership, entry->first);
    const std::size_t size = EncodedSize(record);
    if (bytes + size > max_bytes) {
      // A later record may be shorter, such as that of a dead member.
      if (++skipped == kMaxSkippedRecords) {
        break;
      }
      continue;
    }
    bytes += size;
    ++entry->second.spread_count;
    records.push_back(record);
  }
  return records;
}

}  // namespace comfrey
