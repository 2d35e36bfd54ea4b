#include "core/admission_rank.h"

#include <algorithm>
#include <cmath>

namespace comfrey {
namespace {

using std::chrono::microseconds;
using Seconds = std::chrono::duration<double>;

// Weight of a new service time in the running mean and deviation.
constexpr double kSampleWeight = 0.1;

// A service time is recorded as at most this multiple of the mean. Otherwise,
// after a pause of this process, the running items would appear to have taken
// as long as the pause, and no deadline would seem possible to meet.
constexpr double kMaxSampleRatio = 4.0;

// An item is late when the time left to its target is less than the mean
// service time plus this number of mean deviations (about the 97th percentile
// of a lognormal distribution). With a smaller margin, an overloaded rank
// serves items that just miss their target.
constexpr double kLateDeviations = 2.0;

// While no service times are recorded, the estimated service time halves in
// kEstimateHalfLife, or in kHalfLifeItems mean service times if that is longer.
// Without the decay, one slow period could make every deadline seem impossible
// to meet forever, since no item would be started that could correct the
// estimate. The longer half-life keeps the estimate of a rank with long service
// times between its few requests.
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
  // The mean is first lowered towards the decayed estimate, as far as the
  // sample confirms it. Otherwise it would return to the old mean after each
  // sample, and items would be refused again until it has decayed.
  rank.mean_service_time = std::clamp(sample, EstimateServiceTime(rank, now),
                                      rank.mean_service_time);
  rank.mean_service_time += kSampleWeight * (sample - rank.mean_service_time);
  rank.last_sample_time = now;
}

std::size_t QueueLength(const OrganisationQueue& organisation) {
  return organisation.on_time.size() + organisation.late.size();
}

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

// An idle organisation whose start tag is not after the virtual time would be
// treated like a new one, so its state can be removed. The number of other idle
// organisations is limited, so that many organisations with few requests each
// use bounded memory.
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

// Late items are served after those that can still meet their target. In an
// overload, every item would otherwise wait until just after its target, and
// none would meet it.
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

// Late items are served after items that can still meet their target, but
// before those of an organisation that was already served in this round.
// Otherwise the new items of an organisation that floods the rank would block
// the late items of other organisations.
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
