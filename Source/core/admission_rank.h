#ifndef CORE_ADMISSION_RANK_H_
#define CORE_ADMISSION_RANK_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

namespace comfrey {

using TimePoint = std::chrono::steady_clock::time_point;

/// \brief A rank of work, from a `[rank]` section of the team.
struct RankPolicy {
  std::string name;
  int urgency = 1;                      ///< 1 is the most urgent.
  double share = 0.0;                   ///< Guaranteed share of slots, 0 to 1.
  std::chrono::microseconds target{0};  ///< From arrival to response; 0: none.
  /// Service time assumed until some have been measured; 0 for that of the
  /// endpoint.
  std::chrono::microseconds expected_service_time{0};
};

/// \brief One request; `id` is unique among the items queued or running.
struct WorkItem {
  std::uint64_t id = 0;
  std::size_t rank = 0;  ///< Index into AdmissionPolicy::ranks.
  std::string organisation;
  TimePoint arrival;
  TimePoint deadline;
};

struct OrganisationQueue;

/// \brief An item in the queue; see AdmissionQueue.
struct QueuedItem {
  WorkItem item;
  std::uint64_t sequence = 0;
  OrganisationQueue* organisation = nullptr;
  bool late = false;  ///< It is expected to miss the target of its rank.
  std::list<QueuedItem*>::iterator position;
};

/// \brief The queued items of one organisation within one rank, in FIFO order.
struct OrganisationQueue {
  std::string name;
  std::uint64_t serial = 0;
  double start_tag = 0.0;  ///< Virtual time at which its next item is due.
  std::list<QueuedItem*> on_time;
  std::list<QueuedItem*> late;
};

/// Ordered by tag, then by age; no order depends on addresses, so that runs
/// with the same seed are equal.
using OrganisationsByStartTag =
    std::set<std::tuple<double, std::uint64_t, OrganisationQueue*>>;
using OrganisationsByLength =
    std::set<std::tuple<std::size_t, std::uint64_t, OrganisationQueue*>>;
using ItemsByTime = std::set<std::tuple<TimePoint, std::uint64_t, QueuedItem*>>;

/// \brief The state of one rank; see AdmissionQueue.
struct RankState {
  RankPolicy policy;
  double share = 0.0;  ///< Guaranteed share, with the minimum applied.
  std::size_t reserved_places =
      0;  ///< Places of the queue that it cannot lose.

  double credit = 0.0;  ///< Unused guaranteed slot time in seconds.
  std::size_t running = 0;
  double start_time_sum =
      0.0;  ///< Sum of the start times of the running items.
  std::uint64_t last_start_sequence = 0;

  double mean_service_time = 0.0;       ///< In seconds.
  double service_time_deviation = 0.0;  ///< Mean absolute deviation in seconds.
  TimePoint last_sample_time;

  TimePoint last_arrival;  ///< Of an item that was offered.
  std::size_t queued = 0;
  std::size_t queued_late = 0;
  double virtual_time = 0.0;
  std::unordered_map<std::string, OrganisationQueue> organisations;
  OrganisationsByStartTag on_time_order;
  OrganisationsByStartTag late_order;
  OrganisationsByStartTag idle;  ///< Nothing queued, but recently served.
  OrganisationsByLength by_length;
  ItemsByTime by_target;  ///< Items that are not late.
  ItemsByTime by_deadline;
};

/// \brief Conversions between durations and seconds.
double ToSeconds(std::chrono::steady_clock::duration time);
std::chrono::microseconds ToMicroseconds(double seconds);
std::chrono::steady_clock::duration ToClockDuration(double seconds);

/// \brief Expected service time in seconds; it falls while nothing is served.
double EstimateServiceTime(const RankState& rank, TimePoint now);

/// \brief Adds a service time, in seconds, to the estimate.
void RecordServiceTime(RankState& rank, double seconds, TimePoint now);

/// \brief Time that the target of the rank leaves for a wait; may be negative.
std::chrono::steady_clock::duration TargetSlack(const RankState& rank);

/// \brief Whether an item that starts now is expected to miss its target.
bool IsLate(const RankState& rank, const WorkItem& item, TimePoint now);

/// \brief Moves items that are expected to miss their target behind those that
/// can still meet it.
void MarkLateItems(RankState& rank, TimePoint now);

/// \brief Whether the next item to start is a late one.
bool IsLateWorkNext(const RankState& rank);

/// \brief Items queued of an organisation.
std::size_t QueueLength(const OrganisationQueue& organisation);
std::size_t OrganisationQueueLength(const RankState& rank,
                                    const std::string& name);

/// \brief The queue of an organisation, or null.
const OrganisationQueue* FindOrganisation(const RankState& rank,
                                          const std::string& name);

/// \brief Removes an organisation from the orders of its rank, before a change
/// of its items, and enters it again.
void RemoveFromIndexes(RankState& rank, OrganisationQueue& organisation);
void AddToIndexes(RankState& rank, OrganisationQueue& organisation);

/// \brief Forgets idle organisations, down to `most` of them.
void RemoveIdleOrganisations(RankState& rank, std::size_t max_idle);

}  // namespace comfrey

#endif  // CORE_ADMISSION_RANK_H_
