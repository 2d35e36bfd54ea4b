#ifndef CORE_ADMISSION_FORECAST_H_
#define CORE_ADMISSION_FORECAST_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "core/admission_rank.h"

namespace comfrey {

struct AdmissionQueue;

/// \brief Forecast for further items of one rank.
struct RefusalForecast {
  std::size_t rank = 0;
  /// Estimated time during which items of an organisation that has no queued
  /// items are refused because the queue is full. 0 if they are accepted,
  /// `max()` if the queue refuses all items because it is draining.
  std::chrono::microseconds refused_for{0};
  /// Estimated wait of an accepted item. The ingress can refuse requests whose
  /// deadline is earlier.
  std::chrono::microseconds expected_wait{0};
};

/// \brief Forecasts for each rank whether further items will be refused and how
/// long they will wait, so that the ingress can refuse requests early.
std::vector<RefusalForecast> ForecastRefusals(const AdmissionQueue& queue,
                                              TimePoint now);

/// \brief Estimated time that the endpoint needs for the queued items that are
/// ahead of a further item of the rank and organisation.
///
/// Late items are included although new items are served before them: while
/// late items are queued, the endpoint has no capacity for more work.
std::chrono::microseconds ExpectedWait(const AdmissionQueue& queue,
                                       std::size_t rank,
                                       const std::string& organisation,
                                       TimePoint now);

/// \brief Estimated service time of the items of a rank; 0 if the rank is not
/// known.
std::chrono::microseconds ExpectedServiceTime(const AdmissionQueue& queue,
                                              std::size_t rank,
                                              TimePoint now);

/// \brief Estimates the wait of an arriving item, in seconds, from the items
/// that are queued ahead of it; `own_length` of them are of its organisation.
///
/// More urgent items that arrive later are not included, so that the estimate
/// tends to be low and few items are refused that could have run in time.
double EstimateWait(const AdmissionQueue& queue,
                    const RankState& rank,
                    std::size_t own_length,
                    bool late,
                    TimePoint now);

}  // namespace comfrey

#endif  // CORE_ADMISSION_FORECAST_H_
