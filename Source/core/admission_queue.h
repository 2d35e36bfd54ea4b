#ifndef CORE_ADMISSION_QUEUE_H_
#define CORE_ADMISSION_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/admission_rank.h"

namespace comfrey {

/// \brief Value of a limit that does not apply.
inline constexpr std::size_t kUnlimited =
    std::numeric_limits<std::size_t>::max();

/// \brief The policy of one endpoint, from its `[service]` section.
struct AdmissionPolicy {
  std::vector<RankPolicy> ranks;
  std::size_t slots = 1;
  std::size_t queue_limit = 64;
  /// Service time assumed until some have been measured (`expected_latency`).
  std::chrono::microseconds expected_service_time =
      std::chrono::milliseconds(40);
  /// Time over which unused or exceeded shares are remembered.
  std::chrono::microseconds share_window = std::chrono::seconds(1);
  /// Whether the slots are exact: then shed requests are no sign that fewer
  /// may run.
  bool fixed_slots = false;
  /// Queued items of a rank that are expected to miss its target. What exceeds
  /// it is given up, the earliest deadline first, so that it may go elsewhere.
  std::size_t late_limit = kUnlimited;
  /// Queued late items of a rank above which an arriving item that is expected
  /// to miss its target is refused at once, unless less urgent work is here
  /// that it goes ahead of. The limit is 0 where work has been queued without
  /// a break for longer than the target.
  std::size_t early_refusal_limit = kUnlimited;
  /// Slots that work leaves free for more urgent ranks while it can wait; at
  /// least one slot is used in any case.
  std::size_t urgent_slots = 0;
};

enum class AdmissionVerdict { kRun, kQueued, kRefused };

enum class RefusalReason {
  kNone,
  kQueueFull,
  kDeadline,  ///< The deadline cannot be met.
  kLeaving,
  kUnknownRank,
  kDuplicateId,
};

/// \brief The outcome of Offer.
///
/// `displaced` and `expired` are other items, which were queued and have not
/// run.
struct AdmissionDecision {
  AdmissionVerdict verdict = AdmissionVerdict::kRefused;
  RefusalReason reason = RefusalReason::kNone;
  std::vector<WorkItem> displaced;
  std::vector<WorkItem> expired;
};

/// \brief The outcome of Dispatch: items to run now, and items that have not
/// run and no longer can in time.
struct DispatchResult {
  std::vector<WorkItem> started;
  std::vector<WorkItem> expired;
};

/// \brief How a running item ended.
enum class FinishOutcome {
  kServed,
  kFailed,
  kShed,  ///< The backend server refused it because of load.
  kCancelled,
};

enum class CancelResult {
  kCancelled,  ///< It was queued and has not run.
  kRunning,    ///< It holds its slot until Finish.
  kUnknown,
};

/// \brief What the queue expects for further work of one rank.
struct RefusalForecast {
  std::size_t rank = 0;
  /// For how long work of an organisation with nothing queued would be refused
  /// for lack of room; 0 if it is accepted, `max()` when leaving.
  std::chrono::microseconds refused_for{0};
  /// Estimated wait of work that is accepted; refuse earlier deadlines.
  std::chrono::microseconds expected_wait{0};
};

struct RunningItem {
  std::size_t rank = 0;
  TimePoint start;
};

/// \brief Slots and queue of one endpoint, at its owner.
///
/// Not thread-safe; the caller serializes all calls. Times that are passed in
/// must not decrease; an earlier one is taken as the latest one seen. Each
/// item is reported exactly once: as run, refused, displaced, expired or
/// cancelled. Only an item reported as run or started may be sent to the
/// backend server, and only such an item is finished.
struct AdmissionQueue {
  AdmissionQueue(AdmissionPolicy policy, TimePoint now);
  AdmissionQueue(const AdmissionQueue&) = delete;
  AdmissionQueue& operator=(const AdmissionQueue&) = delete;

  AdmissionPolicy policy;
  std::vector<RankState> ranks;
  std::vector<std::size_t> by_urgency;  ///< Indices of ranks, urgent first.
  absl::flat_hash_map<std::uint64_t, std::unique_ptr<QueuedItem>> queued;
  absl::flat_hash_map<std::uint64_t, RunningItem> running;
  double adaptive_limit = 1.0;  ///< At most the slots.
  std::optional<std::size_t> external_limit;
  TimePoint last_decrease;
  bool leaving = false;
  TimePoint last_empty_time;  ///< Last time at which no item was queued.
  TimePoint epoch;
  TimePoint last_update;
  std::uint64_t next_sequence = 1;
};

/// \brief Decides on an arriving item.
///
/// It runs at once only if nothing is queued. After a queued one, call
/// Dispatch.
AdmissionDecision Offer(AdmissionQueue& queue,
                        const WorkItem& item,
                        TimePoint now);

/// \brief Drops items that can no longer meet their deadline, then starts
/// items in free slots.
///
/// Call it after Offer, Finish, Cancel and changes of limits, and at
/// NextExpiry.
DispatchResult Dispatch(AdmissionQueue& queue, TimePoint now);

/// \brief Frees the slot of a running item; false if it is not running.
bool Finish(AdmissionQueue& queue,
            std::uint64_t id,
            FinishOutcome outcome,
            TimePoint now);

/// \brief Removes a queued item. A running one keeps its slot, as the backend
/// server may still work on it: end it, then call Finish with kCancelled.
CancelResult Cancel(AdmissionQueue& queue, std::uint64_t id);

/// \brief Limits concurrency below the slots, for warm-up and probation.
/// 0 starts nothing; no value removes the limit.
void SetConcurrencyLimit(AdmissionQueue& queue,
                         std::optional<std::size_t> limit,
                         TimePoint now);

/// \brief Applies a new policy and returns the items displaced by a lower
/// queue limit.
///
/// Ranks are matched by name. Work of a rank that no longer exists continues in
/// the least urgent one.
std::vector<WorkItem> Reconfigure(AdmissionQueue& queue,
                                  AdmissionPolicy policy,
                                  TimePoint now);

/// \brief Refuses new offers; queued and running items complete.
void SetLeaving(AdmissionQueue& queue, bool leaving);

/// \brief The number of items that may run at once now.
std::size_t ConcurrencyLimit(const AdmissionQueue& queue);

/// \brief When the next queued item expires, if it is not started before.
std::optional<TimePoint> NextExpiry(const AdmissionQueue& queue);

/// \brief What further work of each rank would meet, for early refusal at the
/// ingress.
std::vector<RefusalForecast> ForecastRefusals(const AdmissionQueue& queue,
                                              TimePoint now);

/// \brief Time that the queue needs for the work ahead of a further item of
/// the rank and organisation.
///
/// Work that will miss its target counts, although new work goes before it:
/// where it is not served, the endpoint has no room for more.
std::chrono::microseconds ExpectedWait(const AdmissionQueue& queue,
                                       std::size_t rank,
                                       const std::string& organisation,
                                       TimePoint now);

/// \brief Names a reason, for example "queue full".
const char* RefusalReasonName(RefusalReason reason);

}  // namespace comfrey

#endif  // CORE_ADMISSION_QUEUE_H_
