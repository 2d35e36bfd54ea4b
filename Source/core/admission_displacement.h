#ifndef CORE_ADMISSION_DISPLACEMENT_H_
#define CORE_ADMISSION_DISPLACEMENT_H_

#include <string>

#include "core/admission_queue.h"
#include "core/admission_rank.h"

namespace comfrey {

/// \brief Finds the queued item that an arriving item displaces, or returns
/// null if the arriving item must be refused.
///
/// Within a rank, an item can be displaced by an item of an organisation with a
/// shorter queue. A late item can also be displaced by an item of the same
/// organisation that is not late. Therefore an organisation that floods the
/// rank displaces only its own items.
QueuedItem* FindDisplacedItem(const AdmissionQueue& queue,
                              const RankState& rank,
                              const std::string& name,
                              bool late);

}  // namespace comfrey

#endif  // CORE_ADMISSION_DISPLACEMENT_H_
