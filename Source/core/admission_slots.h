#ifndef CORE_ADMISSION_SLOTS_H_
#define CORE_ADMISSION_SLOTS_H_

#include <cstddef>

#include "core/admission_queue.h"
#include "core/admission_rank.h"

namespace comfrey {

/// \brief Returns the number of slots that items of the rank may use while they
/// can still wait.
std::size_t UsableSlots(const AdmissionQueue& queue,
                        const RankState& rank,
                        TimePoint now);

/// \brief Returns whether the item must leave the free slots to more urgent
/// work, because it can still wait and meet its target and deadline.
bool MustLeaveSlotFree(const AdmissionQueue& queue,
                       const RankState& rank,
                       const WorkItem& item,
                       TimePoint now);

/// \brief Returns whether the queued items of the rank must leave the free
/// slots to more urgent work.
bool MustLeaveSlotFree(const AdmissionQueue& queue,
                       const RankState& rank,
                       TimePoint now);

}  // namespace comfrey

#endif  // CORE_ADMISSION_SLOTS_H_
