#include "core/admission_rank.h"

#include <algorithm>
#include <cmath>

namespace comfrey {
namespace {

using std::chrono::microseconds;
using Seconds = std::chrono::duration<double>;

// Weight of a new service time in the running mean and deviation.
constexpr double kSampleWeight = 0.1;

// A service time counts as at most this multiple of the mean. Otherwise a pause
// of this process, which makes a few running items appear to take as long as
// the pause, would put every deadline out of reach.
constexpr double kMaxSampleRatio = 4.0;

// An item counts as late when its target is nearer than the mean service time
// plus this number of mean deviations (about the 97th percentile of a lognormal
// distribution). With a smaller margin, an overloaded rank serves items that
// miss their target by a little.
constexpr double kLateDeviations = 2.0;

// Without new service times the estimate halves in this time, or in a multiple
// of the estimate itself. Otherwise one slow period could make every deadline
// appear out of reach for good, as no item would be started to prove otherwise.
// A rank with long service times and few requests must not lose its estimate
// between two of them.
constexpr Seconds kEstimateHalfLife{1.0};
constexpr double kHalfLifeItems = 5.0;

}  // namespace

double ToSeconds(std::chrono::steady_clock::duration time) {
  return Seconds(time).count();
}

microseconds ToMicroseconds(double seconds) {
  return std::chrono::duration_cast<microseconds>(Seconds(seconds));
}

std::chrono::steady_clock::duration ToClockDuration(double seconds) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      Seconds(seconds));
}

double EstimateServiceTime(const RankState& rank, TimePoint now) {
  const double idle = ToSeconds(now - rank.last_sample_time);
  const double half_life = std::max(kEstimateHalfLife.count(),
                                    kHalfLifeItems * rank.mean_service_time);
  return rank.mean_service_time * std::exp2(-std::max(0.0, idle) / half_life);
}

void RecordServiceTime(RankState& rank, double seconds, TimePoint now) {
  const double sample =
      std::min(seconds, kMaxSampleRatio * rank.mean_service_time);
  rank.service_time_deviation +=
      kSampleWeight *
      (std::abs(sample - rank.mean_service_time) - rank.service_time_deviation);
  // What the estimate lost while nothing was served is kept if the sample
  // confirms it. Otherwise each sample after a slow period would be followed by
  // another time of refusals.
  rank.mean_service_time = std::clamp(sample, EstimateServiceTime(rank, now),
                                      rank.mean_service_time);
  rank.mean_service_time += kSampleWeight * (sample - rank.mean_service_time);
  rank.last_sample_time = now;
}

std::size_t QueueLength(const OrganisationQueue& organisation) {
  return organisation.on_time.size() + organisation.late.size();
}

// Removes the organisation from all orders of its rank before its tag or its
// lists change; AddToIndexes adds it again.
void RemoveFromIndexes(RankState& rank, OrganisationQueue& organisation) {
  const auto key = std::make_tuple(organisation.start_tag, organisation.serial,
                                   &organisation);
  rank.on_time_order.erase(key);
  rank.late_order.erase(key);
  rank.idle.erase(key);
  rank.by_length.erase(std::make_tuple(QueueLength(organisation),
                                       organisation.serial, &organisation));
}

void AddToIndexes(RankState& rank, OrganisationQueue& organisation) {
  const auto key = std::make_tuple(organisation.start_tag, organisation.serial,
                                   &organisation);
  if (QueueLength(organisation) == 0) {
    rank.idle.insert(key);
    return;
  }
  if (!organisation.on_time.empty()) {
    rank.on_time_order.insert(key);
  }
  if (!organisation.late.empty()) {
    rank.late_order.insert(key);
  }
  rank.by_length.insert(std::make_tuple(QueueLength(organisation),
                                        organisation.serial, &organisation));
}

// Forgets idle organisations that would not be treated differently from new
// ones. Their number is limited in any case, so that many organisations with
// little work each take bounded memory.
void RemoveIdleOrganisations(RankState& rank, std::size_t max_idle) {
  while (!rank.idle.empty()) {
    const auto first = rank.idle.begin();
    if (std::get<0>(*first) > rank.virtual_time &&
        rank.idle.size() <= max_idle) {
      return;
    }
    const std::string name = std::get<2>(*first)->name;
    rank.idle.erase(first);
    rank.organisations.erase(name);
  }
}

std::chrono::steady_clock::duration TargetSlack(const RankState& rank) {
  const double margin =
      rank.mean_service_time + kLateDeviations * rank.service_time_deviation;
  return rank.policy.target - ToClockDuration(margin);
}

bool IsLate(const RankState& rank, const WorkItem& item, TimePoint now) {
  return rank.policy.target > microseconds(0) &&
         now > item.arrival + TargetSlack(rank);
}

// Moves items that are expected to miss their target behind those that can
// still meet it. In an overload every item would otherwise wait until just
// after its target, and none would meet it.
void MarkLateItems(RankState& rank, TimePoint now) {
  while (!rank.by_target.empty()) {
    QueuedItem& entry = *std::get<2>(*rank.by_target.begin());
    if (!IsLate(rank, entry.item, now)) {
      return;
    }
    OrganisationQueue& organisation = *entry.organisation;
    RemoveFromIndexes(rank, organisation);
    rank.by_target.erase(rank.by_target.begin());
    organisation.late.splice(organisation.late.end(), organisation.on_time,
                             entry.position);
    entry.late = true;
    rank.queued_late++;
    AddToIndexes(rank, organisation);
  }
}

// Late work waits for work that can still meet its target, but not for an
// organisation that was already served in this round: the new items of a
// flooding organisation would otherwise hold back the late ones of others.
bool IsLateWorkNext(const RankState& rank) {
  if (rank.on_time_order.empty() || rank.late_order.empty()) {
    return rank.on_time_order.empty();
  }
  const double on_time_tag = std::get<0>(*rank.on_time_order.begin());
  return on_time_tag > rank.virtual_time &&
         std::get<0>(*rank.late_order.begin()) < on_time_tag;
}

const OrganisationQueue* FindOrganisation(const RankState& rank,
                                          const std::string& name) {
  const auto found = rank.organisations.find(name);
  return found == rank.organisations.end() ? nullptr : &found->second;
}

std::size_t OrganisationQueueLength(const RankState& rank,
                                    const std::string& name) {
  const OrganisationQueue* const found = FindOrganisation(rank, name);
  return found == nullptr ? 0 : QueueLength(*found);
}

}  // namespace comfrey
