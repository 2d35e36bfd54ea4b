#include "core/outlier_evidence.h"

#include <algorithm>
#include <cmath>

namespace comfrey {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

// Older summaries do not describe the present state of the service.
constexpr std::chrono::seconds kSummaryLifetime{30};
// An ejection requires summaries of the time after the change from this many
// siblings, or from all of them if there are fewer. Without this rule, a
// slowdown of the whole service would eject every endpoint until the siblings
// have published summaries that show it.
constexpr std::size_t kConfirmingSiblings = 3;
// Uncertainty of the estimated start of a change: the estimate is accurate to
// about one interval of the health window, and the first slow responses
// complete some time after the slowdown began.
constexpr milliseconds kConfirmationMargin{400};
// Approximate time that a summary covers before and after its midpoint.
constexpr milliseconds kSummaryHalfTime{500};
// Minimum evidence, in nats, from the samples of the time that the summaries of
// the siblings describe.
constexpr double kRecentEvidence = 2;
// The failure share of an endpoint is compared with the upper quartile of the
// siblings, because summaries of few requests vary. Up to a quarter of the
// siblings may be faulty without an effect on the comparison.
constexpr std::size_t kQuartiles = 4;

// Scans all windows that end at `until` and returns the strongest evidence. The
// start of its window is an estimate of the time of the change. Since the
// length of the window is not fixed, a large change is found sooner than a
// small one.
Evidence StrongestEvidence(const EndpointHealth& health,
                           double expected,
                           const HitCounter& count,
                           TimePoint until,
                           TimePoint now) {
  Evidence strongest;
  HitCounts total{0, 0};
  const std::size_t fresh = FreshIntervals(health, now);
  for (std::size_t i = 0; i < fresh; ++i) {
    const HealthInterval& interval = IntervalAt(health, i);
    if (interval.start > until) {
      continue;
    }
    const HitCounts counts = count(interval);
    total.hits += counts.hits;
    total.samples += counts.samples;
    const double nats = LogLikelihoodRatio(total.hits, total.samples, expected);
    if (nats > strongest.nats) {
      strongest = {nats, total.hits / total.samples, interval.start};
    }
  }
  return strongest;
}

// Returns the evidence, in nats, of the samples since `since`.
double EvidenceSince(const EndpointHealth& health,
                     double expected,
                     const HitCounter& count,
                     TimePoint since,
                     TimePoint now) {
  HitCounts total{0, 0};
  const std::size_t fresh = FreshIntervals(health, now);
  for (std::size_t i = 0; i < fresh && IntervalAt(health, i).start >= since;
       ++i) {
    const HitCounts counts = count(IntervalAt(health, i));
    total.hits += counts.hits;
    total.samples += counts.samples;
  }
  return LogLikelihoodRatio(total.hits, total.samples, expected);
}

// Aggregates the summaries whose midpoint is not before `since`.
SiblingStatistics AggregateSiblings(const SiblingBaseline& baseline,
                                    TimePoint since) {
  std::vector<microseconds> latencies;
  std::vector<std::uint16_t> failed;
  for (const EndpointSummary& sibling : baseline.siblings) {
    if (sibling.midpoint >= since) {
      latencies.push_back(sibling.median_latency);
      failed.push_back(sibling.failed_permille);
    }
  }
  SiblingStatistics statistics;
  statistics.count = latencies.size();
  if (statistics.count == 0) {
    return statistics;
  }
  // For an even number of siblings, the upper median is used because it causes
  // fewer ejections.
  const auto middle = static_cast<std::ptrdiff_t>(statistics.count / 2);
  std::nth_element(latencies.begin(), latencies.begin() + middle,
                   latencies.end());
  const std::size_t quartile = std::min(
      statistics.count - 1, statistics.count * (kQuartiles - 1) / kQuartiles);
  std::nth_element(failed.begin(),
                   failed.begin() + static_cast<std::ptrdiff_t>(quartile),
                   failed.end());
  statistics.latency = latencies[statistics.count / 2];
  statistics.failed_share = failed[quartile] / 1000.0;
  return statistics;
}

// Returns the latest time such that at least `needed` siblings have a summary
// with this midpoint or a later one.
TimePoint ConfirmedUntil(const SiblingBaseline& baseline, std::size_t needed) {
  std::vector<TimePoint> midpoints;
  for (const EndpointSummary& sibling : baseline.siblings) {
    midpoints.push_back(sibling.midpoint);
  }
  const auto rank = static_cast<std::ptrdiff_t>(needed) - 1;
  std::nth_element(midpoints.begin(), midpoints.begin() + rank, midpoints.end(),
                   std::greater<>());
  return midpoints[needed - 1];
}

}  // namespace

HitCounter CountSlow(microseconds limit) {
  return [limit](const HealthInterval& interval) {
    return HitCounts{SamplesAbove(interval, limit),
                     static_cast<double>(LatencySamples(interval))};
  };
}

HitCounts CountFailures(const HealthInterval& interval) {
  return {static_cast<double>(interval.failed),
          static_cast<double>(interval.ok) + interval.failed};
}

double LogLikelihoodRatio(double hits, double samples, double expected) {
  if (samples <= 0 || hits / samples <= expected) {
    return 0;
  }
  const double share = std::min(hits / samples, 1.0);
  double sum = share * std::log(share / expected);
  if (share < 1) {
    sum += (1 - share) * std::log((1 - share) / (1 - expected));
  }
  return samples * sum;
}

SiblingStatistics CurrentSiblings(const SiblingBaseline& baseline,
                                  TimePoint now) {
  return AggregateSiblings(baseline, now - kSummaryLifetime);
}

Confirmation ConfirmEvidence(const EndpointHealth& health,
                             const SiblingBaseline& baseline,
                             const EvidenceThreshold& needed,
                             const EvidenceCriterion& criterion,
                             Evidence* evidence,
                             TimePoint now) {
  const auto is_strong = [&](const Evidence& found) {
    return found.nats >= needed.nats && now - found.start >= needed.time;
  };
  SiblingStatistics statistics = CurrentSiblings(baseline, now);
  *evidence = StrongestEvidence(health, criterion.expected_share(statistics),
                                criterion.counter(statistics), now, now);
  if (!is_strong(*evidence)) {
    return Confirmation::kNoEvidence;
  }
  if (statistics.count == 0) {
    return Confirmation::kMissing;
  }
  const TimePoint confirmed =
      ConfirmedUntil(baseline, std::min(kConfirmingSiblings, statistics.count));
  if (confirmed < evidence->start + kConfirmationMargin) {
    return Confirmation::kMissing;
  }
  const SiblingStatistics recent = AggregateSiblings(baseline, confirmed);
  statistics.latency = std::max(statistics.latency, recent.latency);
  statistics.failed_share =
      std::max(statistics.failed_share, recent.failed_share);
  // Samples from after the time that the summaries describe are left out,
  // because the siblings may have had the same change since then.
  *evidence = StrongestEvidence(health, criterion.expected_share(statistics),
                                criterion.counter(statistics),
                                confirmed + kSummaryHalfTime, now);
  // A fault of the whole service that has just ended is no longer visible in
  // the summaries of the siblings, but still in the window of this endpoint.
  // Therefore the samples of the time that the summaries describe must show
  // the fault too.
  const double recent_nats = EvidenceSince(
      health, criterion.expected_share(statistics),
      criterion.counter(statistics), confirmed - kSummaryHalfTime, now);
  return is_strong(*evidence) && recent_nats >= kRecentEvidence
             ? Confirmation::kConfirmed
             : Confirmation::kNoEvidence;
}

}  // namespace comfrey
