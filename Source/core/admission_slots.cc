#include "core/admission_slots.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace comfrey {
namespace {

// A slot is kept free for more urgent work only if the work that would use the
// slot takes at least this many times as long. With service times as similar as
// 260 and 350 ms, free slots reduced the throughput of an endpoint by a tenth.
constexpr double kMinLongToShortRatio = 3.0;
// Slots are kept free only for ranks with an arrival in this period.
constexpr std::chrono::seconds kUrgentArrivalWindow{2};

// Returns whether items of a more urgent rank with a much shorter service time
// are expected, because some have arrived recently.
bool ExpectsShortUrgentWork(const AdmissionQueue& queue,
                            const RankState& rank,
                            TimePoint now) {
  return std::any_of(queue.ranks.begin(), queue.ranks.end(),
                     [&](const RankState& other) {
                       return other.policy.urgency < rank.policy.urgency &&
                              kMinLongToShortRatio * other.mean_service_time <=
                                  rank.mean_service_time &&
                              other.last_arrival != TimePoint{} &&
                              now - other.last_arrival <= kUrgentArrivalWindow;
                     });
}

}  // namespace

std::size_t UsableSlots(const AdmissionQueue& queue,
                        const RankState& rank,
                        TimePoint now) {
  const std::size_t limit = ConcurrencyLimit(queue);
  if (limit < 2 || queue.policy.urgent_slots == 0 ||
      !ExpectsShortUrgentWork(queue, rank, now)) {
    return limit;
  }
  return limit - std::min(queue.policy.urgent_slots, limit - 1);
}

bool MustLeaveSlotFree(const AdmissionQueue& queue,
                       const RankState& rank,
                       const WorkItem& item,
                       TimePoint now) {
  // Calls that a backend server makes to other services while it processes a
  // request are short and urgent, and the request occupies its slot until they
  // return. On days of peak load it did so for 300 ms instead of 180 ms, since
  // its calls waited behind long items of a less urgent rank, whose target was
  // seconds away.
  const auto slack = std::min<std::chrono::steady_clock::duration>(
      TargetSlack(rank), item.deadline - item.arrival -
                             ToClockDuration(EstimateServiceTime(rank, now)));
  return now < item.arrival + slack &&
         queue.running.size() < ConcurrencyLimit(queue) &&
         queue.running.size() >= UsableSlots(queue, rank, now);
}

bool MustLeaveSlotFree(const AdmissionQueue& queue,
                       const RankState& rank,
                       TimePoint now) {
  return rank.queued_late == 0 && !rank.by_target.empty() &&
         MustLeaveSlotFree(queue, rank,
                           std::get<2>(*rank.by_target.begin())->item, now);
}

}  // namespace comfrey
