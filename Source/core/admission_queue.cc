#include "core/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/admission_displacement.h"
#include "core/admission_forecast.h"
#include "core/admission_rank.h"
#include "core/admission_slots.h"

namespace comfrey {
namespace {

using std::chrono::microseconds;

// Minimum share of a rank, so that a rank with a smaller or no configured share
// does not starve.
constexpr double kMinimumShare = 0.01;

// The bound of the credit of a rank is at least this number of service times.
// Running items are not preempted, so that shares can only be met on average
// over several items.
constexpr double kMinCreditItems = 2.0;

// The concurrency limit is multiplied by kLimitDecrease when the backend server
// sheds load. While the limit is reached, it grows by 1 / (kRoundsPerIncrease *
// limit) with each served request, i.e. by one in 10 rounds of requests. With
// growth by one in each round, about every 10th request would be shed.
constexpr double kLimitDecrease = 0.7;
constexpr double kRoundsPerIncrease = 10.0;

double CreditBound(const AdmissionQueue& queue, const RankState& rank) {
  const double window = rank.share *
                        static_cast<double>(ConcurrencyLimit(queue)) *
                        ToSeconds(queue.policy.share_window);
  return std::max(window, kMinCreditItems * rank.mean_service_time);
}

// Adds the guaranteed slot time since the last update to the credit of each
// rank and subtracts the slot time that the rank used. The credit is bounded,
// so that use before a short window has no effect. The credit is linear because
// an exponentially decaying average is biased: with shares of 100% in total,
// ranks that exceed their share by a fraction of an item would take that time
// from the last rank.
//
// The window is 1 s. With 250 ms, a rank with a share of 10% and a load of 12%
// received only 9.8% while urgent requests arrived at 10x the capacity, because
// it lost credit whenever its queue was empty. While the least urgent requests
// arrived at 10x the capacity, the p99 wait of urgent requests was 74 ms with
// 250 ms and 47 ms with 1 s.
TimePoint UpdateCredits(AdmissionQueue& queue, TimePoint now) {
  now = std::max(now, queue.last_update);
  const double elapsed = ToSeconds(now - queue.last_update);
  const auto limit = static_cast<double>(ConcurrencyLimit(queue));
  for (RankState& rank : queue.ranks) {
    const double bound = CreditBound(queue, rank);
    const double change =
        (rank.share * limit - static_cast<double>(rank.running)) * elapsed;
    rank.credit = std::clamp(rank.credit + change, -bound, bound);
  }
  queue.last_update = now;
  return now;
}

// Returns whether the rank will still be below its guaranteed share when its
// running items have taken the mean service time.
bool IsBelowShare(const AdmissionQueue& queue, const RankState& rank) {
  const auto running = static_cast<double>(rank.running);
  const double used = running * ToSeconds(queue.last_update - queue.epoch) -
                      rank.start_time_sum;
  const double remaining =
      std::max(0.0, running * rank.mean_service_time - used);
  return rank.credit - remaining > 0.0;
}

void Enqueue(AdmissionQueue& queue, const WorkItem& item, bool late) {
  RankState& rank = queue.ranks[item.rank];
  const auto [found, is_new] =
      rank.organisations.try_emplace(item.organisation);
  OrganisationQueue& organisation = found->second;
  if (is_new) {
    organisation.name = item.organisation;
    organisation.serial = queue.next_sequence++;
  }
  RemoveFromIndexes(rank, organisation);
  if (QueueLength(organisation) == 0) {
    organisation.start_tag =
        std::max(organisation.start_tag, rank.virtual_time);
  }

  auto entry = std::make_unique<QueuedItem>();
  entry->item = item;
  entry->sequence = queue.next_sequence++;
  entry->organisation = &organisation;
  entry->late = late;
  std::list<QueuedItem*>& list =
      entry->late ? organisation.late : organisation.on_time;
  entry->position = list.insert(list.end(), entry.get());
  rank.by_deadline.emplace(item.deadline, entry->sequence, entry.get());
  if (entry->late) {
    rank.queued_late++;
  } else {
    rank.by_target.emplace(item.arrival + rank.policy.target, entry->sequence,
                           entry.get());
  }
  rank.queued++;
  AddToIndexes(rank, organisation);
  queue.queued.emplace(item.id, std::move(entry));
}

// Removes an item from the queue. The caller must have removed its organisation
// from the indexes of the rank.
WorkItem Dequeue(AdmissionQueue& queue, QueuedItem& entry) {
  RankState& rank = queue.ranks[entry.item.rank];
  OrganisationQueue& organisation = *entry.organisation;
  if (entry.late) {
    organisation.late.erase(entry.position);
    rank.queued_late--;
  } else {
    organisation.on_time.erase(entry.position);
    rank.by_target.erase(std::make_tuple(
        entry.item.arrival + rank.policy.target, entry.sequence, &entry));
  }
  rank.by_deadline.erase(
      std::make_tuple(entry.item.deadline, entry.sequence, &entry));
  rank.queued--;
  WorkItem item = std::move(entry.item);
  queue.queued.erase(item.id);
  return item;
}

// Removes an item that will not run.
WorkItem Drop(AdmissionQueue& queue, QueuedItem& entry) {
  RankState& rank = queue.ranks[entry.item.rank];
  OrganisationQueue& organisation = *entry.organisation;
  RemoveFromIndexes(rank, organisation);
  WorkItem item = Dequeue(queue, entry);
  AddToIndexes(rank, organisation);
  RemoveIdleOrganisations(rank, queue.policy.queue_limit);
  return item;
}

void DropExpired(AdmissionQueue& queue,
                 TimePoint now,
                 std::vector<WorkItem>& expired) {
  for (RankState& rank : queue.ranks) {
    const TimePoint earliest =
        now + ToClockDuration(EstimateServiceTime(rank, now));
    while (!rank.by_deadline.empty() &&
           std::get<0>(*rank.by_deadline.begin()) < earliest) {
      expired.push_back(Drop(queue, *std::get<2>(*rank.by_deadline.begin())));
    }
  }
}

// Drops late items beyond the limit. Under a lasting overload they would wait
// behind newer items until their deadline and be dropped only then.
void DropExcessLate(AdmissionQueue& queue,
                    TimePoint now,
                    std::vector<WorkItem>& expired) {
  for (RankState& rank : queue.ranks) {
    MarkLateItems(rank, now);
    auto next = rank.by_deadline.begin();
    while (rank.queued_late > queue.policy.late_limit &&
           next != rank.by_deadline.end()) {
      QueuedItem& entry = *std::get<2>(*next++);
      if (entry.late) {
        expired.push_back(Drop(queue, entry));
      }
    }
  }
}

// Chooses the rank of the next item to start: the most urgent rank below its
// share, or the most urgent rank if none is below its share. Among ranks of
// equal urgency it is the rank whose last start is the longest ago.
//
// No slot is kept permanently free for urgent work. With one of 3 slots kept
// free while the least urgent requests arrived at 10x the capacity, the p99
// wait of urgent requests fell from 67 ms to 32 ms, but slot use fell from 100%
// to 78%, and requests of other ranks were refused under their usual load.
RankState* ChooseRank(AdmissionQueue& queue, TimePoint now) {
  RankState* chosen = nullptr;
  bool chosen_below = false;
  for (const std::size_t index : queue.by_urgency) {
    RankState& rank = queue.ranks[index];
    if (rank.queued == 0 || MustLeaveSlotFree(queue, rank, now)) {
      continue;
    }
    const bool below = IsBelowShare(queue, rank);
    const bool better =
        chosen == nullptr || (below && !chosen_below) ||
        (below == chosen_below &&
         rank.policy.urgency == chosen->policy.urgency &&
         rank.last_start_sequence < chosen->last_start_sequence);
    if (better) {
      chosen = &rank;
      chosen_below = below;
    }
  }
  return chosen;
}

void StartRunning(AdmissionQueue& queue, const WorkItem& item, TimePoint now) {
  RankState& rank = queue.ranks[item.rank];
  rank.running++;
  rank.start_time_sum += ToSeconds(now - queue.epoch);
  rank.last_start_sequence = queue.next_sequence++;
  queue.running[item.id] = {item.rank, now};
}

WorkItem StartNext(AdmissionQueue& queue, RankState& rank, TimePoint now) {
  MarkLateItems(rank, now);
  const bool late = IsLateWorkNext(rank);
  OrganisationQueue& organisation =
      *std::get<2>(*(late ? rank.late_order : rank.on_time_order).begin());
  // Each start advances the virtual time by at least 1 / (number of
  // organisations with queued items). If virtual time only followed the start
  // tags, an organisation that has been served once would not be served again
  // as long as items of new organisations keep arriving.
  const auto active = static_cast<double>(rank.by_length.size());
  rank.virtual_time =
      std::max(organisation.start_tag, rank.virtual_time + 1.0 / active);

  RemoveFromIndexes(rank, organisation);
  organisation.start_tag += 1.0;
  WorkItem item = Dequeue(
      queue, *(late ? organisation.late : organisation.on_time).front());
  AddToIndexes(rank, organisation);
  RemoveIdleOrganisations(rank, queue.policy.queue_limit);
  StartRunning(queue, item, now);
  return item;
}

// Raises small shares to the minimum. If the total then exceeds 100%, the
// excess is subtracted from the share of the most urgent rank, because that
// rank is served first among the ranks that exceed their share.
void AssignShares(AdmissionQueue& queue) {
  double total = 0.0;
  for (RankState& rank : queue.ranks) {
    rank.share = std::max(rank.policy.share, kMinimumShare);
    total += rank.share;
  }
  if (total > 1.0) {
    RankState& first = queue.ranks[queue.by_urgency.front()];
    first.share = std::max(first.share - (total - 1.0), kMinimumShare);
  }
  for (RankState& rank : queue.ranks) {
    rank.reserved_places = std::max<std::size_t>(
        1, static_cast<std::size_t>(
               rank.share * static_cast<double>(queue.policy.queue_limit)));
  }
}

void BuildRanks(AdmissionQueue& queue, TimePoint now) {
  queue.ranks.clear();
  queue.by_urgency.clear();
  if (queue.policy.ranks.empty()) {
    queue.policy.ranks.push_back({"default", 1, 1.0, microseconds(0)});
  }
  for (const RankPolicy& policy : queue.policy.ranks) {
    const std::size_t index = queue.ranks.size();
    RankState& rank = queue.ranks.emplace_back();
    rank.policy = policy;
    rank.mean_service_time = ToSeconds(AssumedServiceTime(queue.policy, index));
    rank.service_time_deviation = rank.mean_service_time / 2;
    rank.last_sample_time = now;
    queue.by_urgency.push_back(queue.by_urgency.size());
  }
  std::stable_sort(queue.by_urgency.begin(), queue.by_urgency.end(),
                   [&queue](std::size_t a, std::size_t b) {
                     return queue.ranks[a].policy.urgency <
                            queue.ranks[b].policy.urgency;
                   });
  AssignShares(queue);
}

// Queues an item. If the queue is full, returns the item that is not queued as
// a result: either a displaced item or the given item.
std::optional<WorkItem> EnqueueOrDisplace(AdmissionQueue& queue,
                                          const WorkItem& item,
                                          bool late) {
  if (queue.queued.size() < queue.policy.queue_limit) {
    Enqueue(queue, item, late);
    return std::nullopt;
  }
  const RankState& rank = queue.ranks[item.rank];
  QueuedItem* const displaced =
      FindDisplacedItem(queue, rank, item.organisation, late);
  if (displaced == nullptr) {
    return item;
  }
  // The new item is added before the displaced item is dropped. An organisation
  // that replaces its only item thus never becomes idle, and keeps its start
  // tag.
  Enqueue(queue, item, late);
  return Drop(queue, *displaced);
}

// Returns whether items of less urgent ranks are queued or running.
bool HasLessUrgentWork(const AdmissionQueue& queue, const RankState& rank) {
  return std::any_of(queue.ranks.begin(), queue.ranks.end(),
                     [&](const RankState& other) {
                       return other.policy.urgency > rank.policy.urgency &&
                              other.queued + other.running > 0;
                     });
}

// Returns whether an arriving item that is expected to miss its target must be
// refused. Under a lasting overload, later items that can meet their target
// would be served before it until its deadline passes. After a short overload,
// it is served.
bool MustRefuseLate(const AdmissionQueue& queue,
                    const RankState& rank,
                    TimePoint now) {
  const bool lasting = now - queue.last_empty_time > rank.policy.target;
  const std::size_t limit = lasting ? 0 : queue.policy.early_refusal_limit;
  return rank.queued_late >= limit && !HasLessUrgentWork(queue, rank);
}

AdmissionDecision Refuse(AdmissionDecision decision, RefusalReason reason) {
  decision.verdict = AdmissionVerdict::kRefused;
  decision.reason = reason;
  return decision;
}

}  // namespace

std::size_t FindRank(const AdmissionPolicy& policy, const std::string& name) {
  const auto found =
      std::find_if(policy.ranks.begin(), policy.ranks.end(),
                   [&](const RankPolicy& rank) { return rank.name == name; });
  return static_cast<std::size_t>(found - policy.ranks.begin());
}

microseconds AssumedServiceTime(const AdmissionPolicy& policy,
                                std::size_t rank) {
  if (rank >= policy.ranks.size()) {
    return microseconds(0);
  }
  const microseconds of_rank = policy.ranks[rank].expected_service_time;
  return of_rank > microseconds(0) ? of_rank : policy.expected_service_time;
}

AdmissionQueue::AdmissionQueue(AdmissionPolicy policy, TimePoint now)
    : policy(std::move(policy)),
      adaptive_limit(static_cast<double>(this->policy.slots)),
      last_decrease(TimePoint::min()),
      epoch(now),
      last_update(now) {
  BuildRanks(*this, now);
}

AdmissionDecision Offer(AdmissionQueue& queue,
                        const WorkItem& item,
                        TimePoint now) {
  AdmissionDecision decision;
  now = UpdateCredits(queue, now);
  if (queue.draining) {
    return Refuse(std::move(decision), RefusalReason::kDraining);
  }
  if (item.rank >= queue.ranks.size()) {
    return Refuse(std::move(decision), RefusalReason::kUnknownRank);
  }
  if (queue.queued.contains(item.id) || queue.running.contains(item.id)) {
    return Refuse(std::move(decision), RefusalReason::kDuplicateId);
  }
  // After a pause of the process, the queue may hold expired items. They must
  // not occupy places that items which can still run could use.
  DropExpired(queue, now, decision.expired);

  RankState& rank = queue.ranks[item.rank];
  rank.last_arrival = now;
  const double service = EstimateServiceTime(rank, now);
  if (queue.queued.empty()) {
    queue.last_empty_time = now;
  }
  if (queue.queued.empty() && queue.running.size() < ConcurrencyLimit(queue) &&
      !MustLeaveSlotFree(queue, rank, item, now)) {
    if (now + ToClockDuration(service) > item.deadline) {
      return Refuse(std::move(decision), RefusalReason::kDeadline);
    }
    StartRunning(queue, item, now);
    decision.verdict = AdmissionVerdict::kRun;
    return decision;
  }

  MarkLateItems(rank, now);
  const std::size_t own_length =
      OrganisationQueueLength(rank, item.organisation);
  const bool late = IsLate(rank, item, now);
  const double wait = EstimateWait(queue, rank, own_length, late, now);
  if (now + ToClockDuration(wait + service) > item.deadline) {
    return Refuse(std::move(decision), RefusalReason::kDeadline);
  }
  // Without this check, a rank under a lasting overload serves each item just
  // before or after its target, and drops other items after a long wait.
  const bool refuses_early = queue.policy.early_refusal_limit < kUnlimited;
  const bool expected_late =
      late ||
      (refuses_early && IsLate(rank, item, now + ToClockDuration(wait)));
  if (expected_late && refuses_early && MustRefuseLate(queue, rank, now)) {
    return Refuse(std::move(decision), RefusalReason::kQueueFull);
  }
  std::optional<WorkItem> dropped =
      EnqueueOrDisplace(queue, item, expected_late);
  if (dropped.has_value() && dropped->id == item.id) {
    return Refuse(std::move(decision), RefusalReason::kQueueFull);
  }
  if (dropped.has_value()) {
    decision.displaced.push_back(*std::move(dropped));
  }
  decision.verdict = AdmissionVerdict::kQueued;
  return decision;
}

DispatchResult Dispatch(AdmissionQueue& queue, TimePoint now) {
  DispatchResult dispatched;
  now = UpdateCredits(queue, now);
  DropExpired(queue, now, dispatched.expired);
  while (queue.running.size() < ConcurrencyLimit(queue)) {
    RankState* const rank = ChooseRank(queue, now);
    if (rank == nullptr) {
      break;
    }
    dispatched.started.push_back(StartNext(queue, *rank, now));
  }
  DropExcessLate(queue, now, dispatched.expired);
  if (queue.queued.empty()) {
    queue.last_empty_time = now;
  }
  return dispatched;
}

bool Finish(AdmissionQueue& queue,
            std::uint64_t id,
            FinishOutcome outcome,
            TimePoint now) {
  const auto found = queue.running.find(id);
  if (found == queue.running.end()) {
    return false;
  }
  now = UpdateCredits(queue, now);
  const bool was_full = queue.running.size() >= ConcurrencyLimit(queue);
  const RunningItem item = found->second;
  queue.running.erase(found);

  RankState& rank = queue.ranks[item.rank];
  rank.running--;
  rank.start_time_sum -= ToSeconds(item.start - queue.epoch);
  // The sum over no running items is 0. Setting it removes the accumulated
  // rounding errors.
  if (rank.running == 0) {
    rank.start_time_sum = 0.0;
  }
  const double service = ToSeconds(now - item.start);
  // The time of a failed or cancelled item is only a lower bound of its service
  // time, and is recorded only if it exceeds the mean.
  const bool is_lower_bound =
      outcome == FinishOutcome::kFailed || outcome == FinishOutcome::kCancelled;
  if (outcome == FinishOutcome::kServed ||
      (is_lower_bound && service > rank.mean_service_time)) {
    RecordServiceTime(rank, service, now);
  }

  if (outcome == FinishOutcome::kShed && !queue.policy.fixed_slots &&
      item.start >= queue.last_decrease) {
    // Requests that started before the last decrease are ignored: they were
    // sent under the higher limit.
    queue.adaptive_limit = std::max(1.0, queue.adaptive_limit * kLimitDecrease);
    queue.last_decrease = now;
  } else if (outcome == FinishOutcome::kServed && was_full) {
    queue.adaptive_limit =
        std::min(static_cast<double>(queue.policy.slots),
                 queue.adaptive_limit +
                     1.0 / (kRoundsPerIncrease * queue.adaptive_limit));
  }
  return true;
}

CancelResult Cancel(AdmissionQueue& queue, std::uint64_t id) {
  const auto found = queue.queued.find(id);
  if (found != queue.queued.end()) {
    Drop(queue, *found->second);
    return CancelResult::kCancelled;
  }
  return queue.running.contains(id) ? CancelResult::kRunning
                                    : CancelResult::kUnknown;
}

void SetConcurrencyLimit(AdmissionQueue& queue,
                         std::optional<std::size_t> limit,
                         TimePoint now) {
  UpdateCredits(queue, now);
  queue.external_limit = limit;
}

std::vector<WorkItem> Reconfigure(AdmissionQueue& queue,
                                  AdmissionPolicy policy,
                                  TimePoint now) {
  now = UpdateCredits(queue, now);
  std::vector<std::unique_ptr<QueuedItem>> waiting;
  for (auto& [id, entry] : queue.queued) {
    waiting.push_back(std::move(entry));
  }
  std::sort(waiting.begin(), waiting.end(), [](const auto& a, const auto& b) {
    return a->sequence < b->sequence;
  });
  queue.queued.clear();
  const std::vector<RankState> previous = std::move(queue.ranks);
  const auto slots = static_cast<double>(policy.slots);
  if (queue.adaptive_limit >= static_cast<double>(queue.policy.slots)) {
    queue.adaptive_limit = slots;
  }
  queue.adaptive_limit = std::min(queue.adaptive_limit, slots);
  queue.policy = std::move(policy);
  BuildRanks(queue, now);

  std::vector<std::size_t> new_index;
  for (const RankState& old : previous) {
    const auto found = std::find_if(
        queue.ranks.begin(), queue.ranks.end(), [&old](const RankState& rank) {
          return rank.policy.name == old.policy.name;
        });
    if (found == queue.ranks.end()) {
      new_index.push_back(queue.by_urgency.back());
      continue;
    }
    new_index.push_back(static_cast<std::size_t>(found - queue.ranks.begin()));
    found->credit = old.credit;
    found->last_start_sequence = old.last_start_sequence;
    found->mean_service_time = old.mean_service_time;
    found->service_time_deviation = old.service_time_deviation;
    found->last_sample_time = old.last_sample_time;
    found->last_arrival = old.last_arrival;
  }
  for (auto& [id, item] : queue.running) {
    item.rank = new_index[item.rank];
    queue.ranks[item.rank].running++;
    queue.ranks[item.rank].start_time_sum +=
        ToSeconds(item.start - queue.epoch);
  }
  std::vector<WorkItem> displaced;
  for (const std::unique_ptr<QueuedItem>& entry : waiting) {
    entry->item.rank = new_index[entry->item.rank];
    std::optional<WorkItem> dropped = EnqueueOrDisplace(
        queue, entry->item,
        IsLate(queue.ranks[entry->item.rank], entry->item, now));
    if (dropped.has_value()) {
      displaced.push_back(*std::move(dropped));
    }
  }
  return displaced;
}

void SetDraining(AdmissionQueue& queue, bool draining) {
  queue.draining = draining;
}

std::size_t ConcurrencyLimit(const AdmissionQueue& queue) {
  const auto limit = static_cast<std::size_t>(queue.adaptive_limit);
  return std::min(limit, queue.external_limit.value_or(limit));
}

std::optional<TimePoint> NextExpiry(const AdmissionQueue& queue) {
  std::optional<TimePoint> next;
  for (const RankState& rank : queue.ranks) {
    if (!rank.by_deadline.empty()) {
      // An item that would end exactly at its deadline may still run, so it
      // expires 1 us later.
      const TimePoint expiry =
          std::get<0>(*rank.by_deadline.begin()) -
          ToClockDuration(EstimateServiceTime(rank, queue.last_update)) +
          std::chrono::microseconds(1);
      next = std::min(next.value_or(expiry), expiry);
    }
  }
  return next;
}

const char* RefusalReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kNone:
      return "none";
    case RefusalReason::kQueueFull:
      return "queue full";
    case RefusalReason::kDeadline:
      return "deadline cannot be met";
    case RefusalReason::kDraining:
      return "leaving";
    case RefusalReason::kUnknownRank:
      return "unknown rank";
    case RefusalReason::kDuplicateId:
      return "duplicate id";
  }
  return "unknown";
}

}  // namespace comfrey
