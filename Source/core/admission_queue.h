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
#include "core/admission_forecast.h"  // IWYU pragma: export
#include "core/admission_rank.h"

namespace comfrey {

/// \brief Value of a limit that is not set.
inline constexpr std::size_t kUnlimited =
    std::numeric_limits<std::size_t>::max();

/// \brief Admission settings of one endpoint, from the `[service]` section.
struct AdmissionPolicy {
  std::vector<RankPolicy> ranks;
  std::size_t slots = 1;
  std::size_t queue_limit = 64;
  /// Service time to assume until one has been measured (`expected_latency`).
  std::chrono::microseconds expected_service_time =
      std::chrono::milliseconds(40);
  /// Bounds the credit of a rank: at most the slot time that the rank is
  /// guaranteed in this period can be saved up or overdrawn.
  std::chrono::microseconds share_window = std::chrono::seconds(1);
  /// Whether the number of slots is configured exactly. If so, requests that
  /// the backend server sheds do not lower the concurrency limit.
  bool fixed_slots = false;
  /// Maximum number of late items of a rank, i.e. queued items that are
  /// expected to miss its target. Items beyond it are dropped in the order of
  /// their deadlines, so that the ingress can retry them at other endpoints.
  std::size_t late_limit = kUnlimited;
  /// Number of queued late items of a rank from which on an arriving item that
  /// is expected to miss its target is refused at once. It is not refused while
  /// less urgent work is queued or running. Once the queue has not been empty
  /// for longer than the target of the rank, the limit is 0.
  std::size_t early_refusal_limit = kUnlimited;
  /// Number of slots that are kept free for more urgent ranks while the queued
  /// work can still wait. At least one slot is always usable by every rank.
  std::size_t urgent_slots = 0;
};

/// \brief Index of the rank with this name in AdmissionPolicy::ranks, or their
/// number if there is none.
std::size_t FindRank(const AdmissionPolicy& policy, const std::string& name);

/// \brief Service time that the policy assumes for the items of a rank,
/// whatever was measured; 0 if the rank is not known.
std::chrono::microseconds AssumedServiceTime(const AdmissionPolicy& policy,
                                             std::size_t rank);

enum class AdmissionVerdict { kRun, kQueued, kRefused };

enum class RefusalReason {
  kNone,
  kQueueFull,
  kDeadline,  ///< The deadline cannot be met.
  kDraining,
  kUnknownRank,
  kDuplicateId,
};

/// \brief Result of Offer.
///
/// `displaced` and `expired` hold items that were queued before the call, have
/// not run and have been removed by it.
struct AdmissionDecision {
  AdmissionVerdict verdict = AdmissionVerdict::kRefused;
  RefusalReason reason = RefusalReason::kNone;
  std::vector<WorkItem> displaced;
  std::vector<WorkItem> expired;
};

/// \brief Result of Dispatch.
///
/// `started` holds the items to run now. `expired` holds items that have not
/// run and were dropped, because they can no longer meet their deadline or
/// exceed AdmissionPolicy::late_limit.
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

struct RunningItem {
  std::size_t rank = 0;
  TimePoint start;
};

/// \brief Slots and queue of one endpoint, held by its owner.
///
/// Not thread-safe; the caller serializes all calls. The times passed in should
/// not decrease; an earlier time is replaced by the latest one passed before.
/// Each item is reported exactly once: as run, refused, displaced, expired or
/// cancelled. Only an item that was reported as run or started may be sent to
/// the backend server, and Finish is called only for such an item.
struct AdmissionQueue {
  AdmissionQueue(AdmissionPolicy policy, TimePoint now);
  AdmissionQueue(const AdmissionQueue&) = delete;
  AdmissionQueue& operator=(const AdmissionQueue&) = delete;

  AdmissionPolicy policy;
  std::vector<RankState> ranks;
  std::vector<std::size_t> by_urgency;  ///< Rank indices, most urgent first.
  absl::flat_hash_map<std::uint64_t, std::unique_ptr<QueuedItem>> queued;
  absl::flat_hash_map<std::uint64_t, RunningItem> running;
  /// Concurrency limit that adapts to shed requests; at most the slots.
  double adaptive_limit = 1.0;
  std::optional<std::size_t> external_limit;  ///< See SetConcurrencyLimit.
  TimePoint last_decrease;
  bool draining = false;
  TimePoint last_empty_time;  ///< Last time at which the queue was empty.
  TimePoint epoch;
  TimePoint last_update;
  std::uint64_t next_sequence = 1;
};

/// \brief Decides whether an arriving item runs, is queued or is refused.
///
/// The item can run at once only if the queue is empty. If it was queued, call
/// Dispatch.
AdmissionDecision Offer(AdmissionQueue& queue,
                        const WorkItem& item,
                        TimePoint now);

/// \brief Drops items that can no longer meet their deadline, starts items in
/// the free slots, and drops late items beyond the limit of their rank.
///
/// Call it after Offer, Finish, Cancel and changes of limits, and at the time
/// that NextExpiry returns.
DispatchResult Dispatch(AdmissionQueue& queue, TimePoint now);

/// \brief Frees the slot of a running item. Returns false if the item is not
/// running.
bool Finish(AdmissionQueue& queue,
            std::uint64_t id,
            FinishOutcome outcome,
            TimePoint now);

/// \brief Removes a queued item.
///
/// A running item keeps its slot, since the backend server may still be
/// processing it: abort the backend call, then call Finish with kCancelled.
CancelResult Cancel(AdmissionQueue& queue, std::uint64_t id);

/// \brief Limits the number of running items to fewer than the slots, for
/// warm-up and probation. With 0 no item is started; without a value the limit
/// is removed.
void SetConcurrencyLimit(AdmissionQueue& queue,
                         std::optional<std::size_t> limit,
                         TimePoint now);

/// \brief Applies a new policy and returns the items displaced by a lower
/// queue limit.
///
/// Ranks are matched by name. Items of a rank that no longer exists are moved
/// to the least urgent rank.
std::vector<WorkItem> Reconfigure(AdmissionQueue& queue,
                                  AdmissionPolicy policy,
                                  TimePoint now);

/// \brief If `draining` is set, new items are refused; queued and running items
/// are still served.
void SetDraining(AdmissionQueue& queue, bool draining);

/// \brief The number of items that may currently run at once.
std::size_t ConcurrencyLimit(const AdmissionQueue& queue);

/// \brief The time at which the next queued item expires unless it is started
/// before, or nothing if the queue is empty.
std::optional<TimePoint> NextExpiry(const AdmissionQueue& queue);

/// \brief Returns the text of a reason, for example "queue full".
const char* RefusalReasonName(RefusalReason reason);

}  // namespace comfrey

#endif  // CORE_ADMISSION_QUEUE_H_
