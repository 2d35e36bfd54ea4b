#include "core/admission_forecast.h"

#include <algorithm>

#include "core/admission_displacement.h"
#include "core/admission_queue.h"
#include "core/admission_slots.h"

namespace comfrey {
namespace {

using std::chrono::microseconds;

// Refusals are forecast until this fraction of the queue has drained. The time
// until a single place becomes free is only a few milliseconds, less than the
// forecast takes to reach the ingress. No capacity is lost meanwhile, since the
// rest of the queue keeps the slots in use.
constexpr double kDrainedFraction = 0.25;

// Estimates the time in seconds until one of the given number of slots becomes
// free; 0 if one is free. Of n running items that started at random times, the
// first one ends after 1 / (n + 1) of the service time on average.
double EstimateSlotWait(const AdmissionQueue& queue,
                        std::size_t slots,
                        TimePoint now) {
  const std::size_t running = queue.running.size();
  if (running < slots || running == 0) {
    return 0.0;
  }
  double service = 0.0;
  for (const RankState& rank : queue.ranks) {
    service +=
        static_cast<double>(rank.running) * EstimateServiceTime(rank, now);
  }
  const auto count = static_cast<double>(running);
  return service / count / (count + 1.0);
}

}  // namespace

std::vector<RefusalForecast> ForecastRefusals(const AdmissionQueue& queue,
                                              TimePoint now) {
  std::vector<RefusalForecast> forecasts;
  now = std::max(now, queue.last_update);
  double backlog = 0.0;
  for (const RankState& rank : queue.ranks) {
    backlog +=
        static_cast<double>(rank.queued) * EstimateServiceTime(rank, now);
  }
  const auto limit =
      static_cast<double>(std::max<std::size_t>(1, ConcurrencyLimit(queue)));
  const bool full = queue.queued.size() >= queue.policy.queue_limit;
  for (std::size_t index = 0; index < queue.ranks.size(); index++) {
    const RankState& rank = queue.ranks[index];
    RefusalForecast forecast;
    forecast.rank = index;
    forecast.expected_wait =
        ToMicroseconds(EstimateWait(queue, rank, 0, false, now));
    if (queue.draining) {
      forecast.refused_for = microseconds::max();
    } else if (full && FindDisplacedItem(queue, rank, "", false) == nullptr) {
      forecast.refused_for = ToMicroseconds(kDrainedFraction * backlog / limit);
    }
    forecasts.push_back(forecast);
  }
  return forecasts;
}

microseconds ExpectedWait(const AdmissionQueue& queue,
                          std::size_t rank,
                          const std::string& organisation,
                          TimePoint now) {
  if (rank >= queue.ranks.size()) {
    return microseconds(0);
  }
  const RankState& state = queue.ranks[rank];
  return ToMicroseconds(
      EstimateWait(queue, state, OrganisationQueueLength(state, organisation),
                   true, std::max(now, queue.last_update)));
}

microseconds ExpectedServiceTime(const AdmissionQueue& queue,
                                 std::size_t rank,
                                 TimePoint now) {
  if (rank >= queue.ranks.size()) {
    return microseconds(0);
  }
  return ToMicroseconds(
      EstimateServiceTime(queue.ranks[rank], std::max(now, queue.last_update)));
}

double EstimateWait(const AdmissionQueue& queue,
                    const RankState& rank,
                    std::size_t own_length,
                    bool late,
                    TimePoint now) {
  const std::size_t slots = UsableSlots(queue, rank, now);
  if (slots == 0) {
    return 0.0;
  }
  const auto limit = static_cast<double>(slots);
  const std::size_t same_rank =
      late ? rank.queued : rank.queued - rank.queued_late;
  // Fair queuing serves each other organisation as often as that of the item.
  const std::size_t ahead =
      std::min(same_rank, (own_length + 1) * rank.by_length.size());
  const double own =
      static_cast<double>(ahead) * EstimateServiceTime(rank, now);
  double urgent = 0.0;
  for (const RankState& other : queue.ranks) {
    if (other.policy.urgency < rank.policy.urgency) {
      urgent +=
          static_cast<double>(other.queued) * EstimateServiceTime(other, now);
    }
  }
  return EstimateSlotWait(queue, slots, now) +
         std::min((urgent + own) / limit, own / (rank.share * limit));
}

}  // namespace comfrey
