#include "core/admission_displacement.h"

#include <cstddef>
#include <tuple>

namespace comfrey {
namespace {

// Returns the least urgent rank from which an item may be displaced by an item
// of the given rank, or null. It must use more than its reserved places, and
// either be less urgent than the given rank, or the given rank must use fewer
// than its reserved places. The decision is based on queue places and not on
// recent slot time, so that a flood of requests does not lock out an urgent
// rank that has used up its share of slots.
const RankState* ChooseDisplacedRank(const AdmissionQueue& queue,
                                     const RankState& rank) {
  for (auto index = queue.by_urgency.rbegin(); index != queue.by_urgency.rend();
       ++index) {
    const RankState& other = queue.ranks[*index];
    const bool may_take = rank.queued < rank.reserved_places ||
                          other.policy.urgency > rank.policy.urgency;
    if (&other != &rank && other.queued > other.reserved_places && may_take) {
      return &other;
    }
  }
  return nullptr;
}

// Chooses the item of an organisation to displace: the oldest late item, which
// is expected to miss its target anyway, or else the newest item, which has
// waited for the shortest time.
QueuedItem* ChooseDisplacedItem(const OrganisationQueue& organisation) {
  return organisation.late.empty() ? organisation.on_time.back()
                                   : organisation.late.front();
}

}  // namespace

QueuedItem* FindDisplacedItem(const AdmissionQueue& queue,
                              const RankState& rank,
                              const std::string& name,
                              bool late) {
  const RankState* const other = ChooseDisplacedRank(queue, rank);
  if (other != nullptr) {
    return ChooseDisplacedItem(*std::get<2>(*other->by_length.rbegin()));
  }
  if (rank.by_length.empty()) {
    return nullptr;
  }
  const std::size_t own_length = OrganisationQueueLength(rank, name);
  const auto& [length, serial, longest] = *rank.by_length.rbegin();
  if (length > own_length + 1) {
    return ChooseDisplacedItem(*longest);
  }
  if (late || rank.late_order.empty()) {
    return nullptr;
  }
  const OrganisationQueue* const own = FindOrganisation(rank, name);
  if (own != nullptr && !own->late.empty()) {
    return own->late.front();
  }
  const OrganisationQueue& last = *std::get<2>(*rank.late_order.rbegin());
  return QueueLength(last) > own_length ? last.late.front() : nullptr;
}

}  // namespace comfrey
