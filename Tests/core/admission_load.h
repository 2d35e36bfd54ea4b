#ifndef TESTS_CORE_ADMISSION_LOAD_H_
#define TESTS_CORE_ADMISSION_LOAD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/admission_queue.h"

namespace comfrey {

/// \brief Time at which the queues of the tests start.
inline const TimePoint kStart = TimePoint() + std::chrono::hours(1);

using IdList = std::vector<std::uint64_t>;

/// \brief A policy with three ranks, from the most urgent one.
AdmissionPolicy MakePolicy(std::size_t slots, std::size_t queue_limit);

WorkItem MakeItem(
    std::uint64_t id,
    std::size_t rank,
    const std::string& organisation = "org",
    TimePoint arrival = kStart,
    std::chrono::milliseconds deadline = std::chrono::seconds(10));

IdList Ids(const std::vector<WorkItem>& items);

/// \brief Fills the slots with items of the given rank; their ids start at
/// 1001.
void FillSlots(AdmissionQueue& queue, std::size_t rank);

/// \brief Finishes the running items one by one and calls Dispatch after each.
/// Returns the ids in the order in which the items were started.
IdList StartOrder(AdmissionQueue& queue, TimePoint now);

/// \brief A stream of requests in the simulated load of one endpoint.
struct Stream {
  std::size_t rank;
  double load;  ///< Offered load as a fraction of the capacity.
  std::uint64_t organisations;
};

struct StreamResult {
  int offered = 0;
  int started = 0;
  int met = 0;
  double slots = 0.0;  ///< Share of slot time.
  /// Total wait of displaced and expired items.
  std::chrono::microseconds wait_of_dropped{0};
};

/// \brief Simulates Poisson arrivals and lognormal service times with a mean of
/// 40 ms. One minute is measured, after a warm-up of 5 s.
std::vector<StreamResult> Simulate(const AdmissionPolicy& policy,
                                   const std::vector<Stream>& streams);

}  // namespace comfrey

#endif  // TESTS_CORE_ADMISSION_LOAD_H_
