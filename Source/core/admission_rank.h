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

/// \brief Settings of one rank, from a `[rank]` section of the team.
struct RankPolicy {
  std::string name;
  int urgency = 1;     ///< 1 is the most urgent.
  double share = 0.0;  ///< Guaranteed share of slots, 0 to 1.
  /// Target of the time from arrival to response; 0 for none.
  std::chrono::microseconds target{0};
  /// Service time to assume until one has been measured; 0 for
  /// AdmissionPolicy::expected_service_time.
  std::chrono::microseconds expected_service_time{0};
};

/// \brief One request; `id` is unique among the queued and running items.
struct WorkItem {
  std::uint64_t id = 0;
  std::size_t rank = 0;  ///< Index into AdmissionPolicy::ranks.
  std::string organisation;
  TimePoint arrival;
  TimePoint deadline;
};

struct OrganisationQueue;

/// \brief An item in an AdmissionQueue.
struct QueuedItem {
  WorkItem item;
  std::uint64_t sequence = 0;
  OrganisationQueue* organisation = nullptr;
  bool late = false;  ///< Expected to miss the target of its rank.
  std::list<QueuedItem*>::iterator position;  ///< In the organisation's list.
};

/// \brief The queued items of one organisation in one rank, in FIFO order.
struct OrganisationQueue {
  std::string name;
  std::uint64_t serial = 0;
  /// Virtual time at which its next item is due to start, as in start-time fair
  /// queuing.
  double start_tag = 0.0;
  std::list<QueuedItem*> on_time;
  std::list<QueuedItem*> late;
};

/// Organisations by start tag or by queue length, then by age. The second
/// element is unique, so that the order never depends on addresses and runs
/// with the same seed have equal results.
using OrganisationsByStartTag =
    std::set<std::tuple<double, std::uint64_t, OrganisationQueue*>>;
using OrganisationsByLength =
    std::set<std::tuple<std::size_t, std::uint64_t, OrganisationQueue*>>;
using ItemsByTime = std::set<std::tuple<TimePoint, std::uint64_t, QueuedItem*>>;

/// \brief The state of one rank of an AdmissionQueue.
struct RankState {
  RankPolicy policy;
  double share = 0.0;  ///< Guaranteed share, with the minimum applied.
  /// Queue places whose items other ranks cannot displace.
  std::size_t reserved_places = 0;

  double credit = 0.0;  ///< Unused guaranteed slot time in seconds.
  std::size_t running = 0;
  /// Sum of the start times of the running items, in seconds since the epoch of
  /// the queue.
  double start_time_sum = 0.0;
  std::uint64_t last_start_sequence = 0;  ///< Higher for a later start.

  double mean_service_time = 0.0;       ///< In seconds.
  double service_time_deviation = 0.0;  ///< Mean absolute deviation in seconds.
  TimePoint last_sample_time;

  TimePoint last_arrival;  ///< Of any offered item, including refused ones.
  std::size_t queued = 0;
  std::size_t queued_late = 0;
  double virtual_time = 0.0;
  std::unordered_map<std::string, OrganisationQueue> organisations;
  OrganisationsByStartTag on_time_order;
  OrganisationsByStartTag late_order;
  OrganisationsByStartTag idle;  ///< Recently served, without queued items.
  OrganisationsByLength by_length;
  ItemsByTime by_target;    ///< Items that are not late.
  ItemsByTime by_deadline;  ///< All items.
};

/// \brief Conversions between durations and seconds.
double ToSeconds(std::chrono::steady_clock::duration time);
std::chrono::microseconds ToMicroseconds(double seconds);
std::chrono::steady_clock::duration ToClockDuration(double seconds);

/// \brief Expected service time in seconds. The estimate decays while no
/// service times are recorded.
double EstimateServiceTime(const RankState& rank, TimePoint now);

/// \brief Updates the mean and deviation with a measured service time.
void RecordServiceTime(RankState& rank, double seconds, TimePoint now);

/// \brief Longest wait with which an item is still expected to meet the target
/// of the rank; may be negative.
std::chrono::steady_clock::duration TargetSlack(const RankState& rank);

/// \brief Whether an item is expected to miss its target even if it starts now.
bool IsLate(const RankState& rank, const WorkItem& item, TimePoint now);

/// \brief Moves the items that are expected to miss their target to the late
/// items of their organisation.
void MarkLateItems(RankState& rank, TimePoint now);

/// \brief Whether the next item to start is a late one.
bool IsLateWorkNext(const RankState& rank);

/// \brief Number of queued items of an organisation.
std::size_t QueueLength(const OrganisationQueue& organisation);
std::size_t OrganisationQueueLength(const RankState& rank,
                                    const std::string& name);

/// \brief The queue of an organisation, or null if the rank holds none.
const OrganisationQueue* FindOrganisation(const RankState& rank,
                                          const std::string& name);

/// \brief Removes an organisation from all sorted sets of its rank, before a
/// change of its start tag or items, and adds it again after the change.
void RemoveFromIndexes(RankState& rank, OrganisationQueue& organisation);
void AddToIndexes(RankState& rank, OrganisationQueue& organisation);

/// \brief Removes idle organisations whose start tag has passed, and further
/// ones until at most `max_idle` remain.
void RemoveIdleOrganisations(RankState& rank, std::size_t max_idle);

}  // namespace comfrey

#endif  // CORE_ADMISSION_RANK_H_
