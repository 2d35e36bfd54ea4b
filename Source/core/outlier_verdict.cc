#include "core/outlier_verdict.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <functional>

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
// Consecutive failures eject an endpoint if this many siblings, or all of them
// if there are fewer, succeeded during the same time. Fewer siblings than
// `kConfirmingSiblings` are enough, because a success shows directly that the
// service works.
constexpr std::size_t kSucceedingSiblings = 2;
// Uncertainty of the estimated start of a change: the estimate is accurate to
// about one interval of the health window, and the first slow responses
// complete some time after the slowdown began.
constexpr milliseconds kConfirmationMargin{400};
// Approximate time that a summary covers before and after its midpoint.
constexpr milliseconds kSummaryHalfTime{500};
// Minimum evidence, in nats, from the samples of the time that the summaries of
// the siblings describe.
constexpr double kRecentEvidence = 2;
// Consecutive failures within a shorter time count as one event, for example a
// burst of connection resets.
constexpr milliseconds kMinConsecutiveFailuresTime{100};
// A smaller difference of the median latencies never causes an ejection,
// whatever their ratio is.
constexpr std::chrono::milliseconds kMinSlowdown{5};
// Half of the samples are above the median, whatever the distribution of the
// latencies is. If more than half of them exceed the limit, the median exceeds
// it too.
constexpr double kShareAboveMedian = 0.5;
// The odds of a failure may exceed those of the siblings by this factor. While
// the whole service is overloaded, small differences in speed cause large
// differences in the number of timeouts.
constexpr double kSiblingOddsFactor = 4;
constexpr double kMaxExpectedFailedShare = 0.95;
// The failure share of an endpoint is compared with the upper quartile of the
// siblings, because summaries of few requests vary. Up to a quarter of the
// siblings may be faulty without an effect on the comparison.
constexpr std::size_t kQuartiles = 4;
// Latencies are not compared if the share of failures at the siblings is at
// least this high, because timeouts truncate the latencies and the medians of
// the remaining samples vary.
constexpr double kMaxSiblingFailedShare = 0.1;
// Number of consecutive refused connections that eject an endpoint. A single
// one can also be caused by an overflow of the server's listen queue.
constexpr unsigned kRefusedConnections = 3;
// Each consecutive failed probe lowers the required evidence by one fifth, and
// all of them by two fifths at most, because a health endpoint may report a
// fault that the server does not have.
constexpr double kProbeWeight = 0.2;
constexpr unsigned kMaxCountedProbes = 2;
// An unreachable server is taken back into use as soon as a probe passes, but
// not before this time: a probe that was sent before the crash must not end the
// ejection.
constexpr std::chrono::seconds kMinUnreachableTime{1};
// Shares of the slots that an endpoint may use, in percent.
constexpr std::array<std::uint8_t, 3> kProbationShares = {12, 25, 50};
constexpr double kFirstWarmupShare = 10;

// Severities. Failures have a higher severity than slowness, and refused
// connections the highest.
constexpr std::uint16_t kProbationSeverity = 1;
constexpr double kMaxSlowSeverity = 499;
constexpr double kSlowSeverityPerDoubling = 60;
constexpr double kFailingSeverity = 500;
constexpr double kFailingSeverityRange = 400;
constexpr std::uint16_t kConsecutiveFailuresSeverity = 900;
constexpr std::uint16_t kUnreachableSeverity = 1000;

struct Evidence {
  double nats = 0;
  double share = 0;
  TimePoint start;
};

enum class Criteria : std::uint8_t { kFailuresOnly, kFailuresAndLatency };

struct Finding {
  VerdictReason reason = VerdictReason::kNone;
  std::uint16_t severity = 0;
};

// Returns the log-likelihood ratio, in nats, between the observed and the
// expected share of hits, or 0 if the observed share is not above the expected
// one.
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

struct Counts {
  double hits;
  double samples;
};

struct SlowCounter {
  microseconds limit;
  Counts operator()(const HealthInterval& interval) const {
    return {SamplesAbove(interval, this->limit),
            static_cast<double>(LatencySamples(interval))};
  }
};

struct FailureCounter {
  Counts operator()(const HealthInterval& interval) const {
    return {static_cast<double>(interval.failed),
            static_cast<double>(interval.ok) + interval.failed};
  }
};

// Scans all windows that end at `until` and returns the strongest evidence. The
// start of its window is an estimate of the time of the change. Since the
// length of the window is not fixed, a large change is found sooner than a
// small one.
template <typename Counter>
Evidence StrongestEvidence(const EndpointHealth& health,
                           double expected,
                           const Counter& count,
                           TimePoint until,
                           TimePoint now) {
  Evidence strongest;
  Counts total{0, 0};
  const std::size_t fresh = FreshIntervals(health, now);
  for (std::size_t i = 0; i < fresh; ++i) {
    const HealthInterval& interval = IntervalAt(health, i);
    if (interval.start > until) {
      continue;
    }
    const Counts counts = count(interval);
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
template <typename Counter>
double EvidenceSince(const EndpointHealth& health,
                     double expected,
                     const Counter& count,
                     TimePoint since,
                     TimePoint now) {
  Counts total{0, 0};
  const std::size_t fresh = FreshIntervals(health, now);
  for (std::size_t i = 0; i < fresh && IntervalAt(health, i).start >= since;
       ++i) {
    const Counts counts = count(IntervalAt(health, i));
    total.hits += counts.hits;
    total.samples += counts.samples;
  }
  return LogLikelihoodRatio(total.hits, total.samples, expected);
}

// Statistics of the siblings' summaries.
struct SiblingStatistics {
  std::size_t count = 0;
  microseconds latency{0};  // median
  double failed_share = 0;  // upper quartile
};

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

microseconds SlowLimit(microseconds sibling_latency,
                       const DetectionPolicy& policy) {
  const microseconds scaled(std::llround(
      policy.slow_ratio * static_cast<double>(sibling_latency.count())));
  return std::max(scaled, sibling_latency + microseconds(kMinSlowdown));
}

double ExpectedFailedShare(double sibling_share,
                           const DetectionPolicy& policy) {
  const double odds =
      kSiblingOddsFactor * sibling_share / std::max(1 - sibling_share, 0.001);
  return std::min(std::max(policy.failed_share, odds / (1 + odds)),
                  kMaxExpectedFailedShare);
}

std::uint16_t SlowSeverity(const EndpointHealth& health,
                           microseconds sibling_latency,
                           TimePoint now) {
  const auto summary = SummarizeEndpoint(health, now);
  if (!summary || sibling_latency.count() <= 0) {
    return 1 + kProbationSeverity;
  }
  const double ratio = static_cast<double>(summary->median_latency.count()) /
                       static_cast<double>(sibling_latency.count());
  return static_cast<std::uint16_t>(
      std::clamp(kSlowSeverityPerDoubling * std::log2(std::max(ratio, 1.0)),
                 1.0 + kProbationSeverity, kMaxSlowSeverity));
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

struct EvidenceThreshold {
  double nats;
  milliseconds time;
};

enum class Confirmation : std::uint8_t { kNoEvidence, kMissing, kConfirmed };

// Decides whether there is evidence that the endpoint is worse than its
// siblings, based on summaries of the siblings about the same time. `expected`
// and `make_counter` return the expected share of hits and the counter for the
// statistics of the siblings.
template <typename Expected, typename MakeCounter>
Confirmation ConfirmEvidence(const EndpointHealth& health,
                             const SiblingBaseline& baseline,
                             const EvidenceThreshold& needed,
                             Expected expected,
                             MakeCounter make_counter,
                             Evidence* evidence,
                             TimePoint now) {
  const auto is_strong = [&](const Evidence& found) {
    return found.nats >= needed.nats && now - found.start >= needed.time;
  };
  SiblingStatistics statistics =
      AggregateSiblings(baseline, now - kSummaryLifetime);
  *evidence = StrongestEvidence(health, expected(statistics),
                                make_counter(statistics), now, now);
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
  *evidence =
      StrongestEvidence(health, expected(statistics), make_counter(statistics),
                        confirmed + kSummaryHalfTime, now);
  // A fault of the whole service that has just ended is no longer visible in
  // the summaries of the siblings, but still in the window of this endpoint.
  // Therefore the samples of the time that the summaries describe must show
  // the fault too.
  const double recent_nats =
      EvidenceSince(health, expected(statistics), make_counter(statistics),
                    confirmed - kSummaryHalfTime, now);
  return is_strong(*evidence) && recent_nats >= kRecentEvidence
             ? Confirmation::kConfirmed
             : Confirmation::kNoEvidence;
}

// Whether the endpoint had only failures while siblings correctly answered
// requests that were sent during the same time. This check does not wait for
// summaries about the time after the change, nor for a long window. A success
// of a sibling after the last failure of this endpoint does not count, because
// the whole service may have recovered in between.
bool FailsWhileSiblingsSucceed(const EndpointHealth& health,
                               const SiblingBaseline& baseline,
                               const DetectionPolicy& policy,
                               TimePoint now) {
  if (health.consecutive_failures < policy.consecutive_failures ||
      health.last_failure - health.failing_since <
          kMinConsecutiveFailuresTime) {
    return false;
  }
  const SiblingStatistics known =
      AggregateSiblings(baseline, now - kSummaryLifetime);
  const double nats = LogLikelihoodRatio(
      health.consecutive_failures, health.consecutive_failures,
      ExpectedFailedShare(known.failed_share, policy));
  if (nats < policy.min_evidence) {
    return false;
  }
  std::size_t succeeding = 0;
  for (const EndpointSummary& sibling : baseline.siblings) {
    succeeding += sibling.last_ok_sent >= health.failing_since &&
                          sibling.last_ok_sent <= health.last_failure
                      ? 1
                      : 0;
  }
  return succeeding > 0 &&
         succeeding >= std::min(kSucceedingSiblings, known.count);
}

// Checks whether the endpoint is worse than its siblings by the given criteria.
Finding FindOutlier(const EndpointHealth& health,
                    const SiblingBaseline& baseline,
                    const DetectionPolicy& policy,
                    Criteria criteria,
                    EvidenceThreshold needed,
                    TimePoint now) {
  if (health.refused_connections >= kRefusedConnections) {
    return {VerdictReason::kUnreachable, kUnreachableSeverity};
  }
  if (FailsWhileSiblingsSucceed(health, baseline, policy, now)) {
    return {VerdictReason::kFailing, kConsecutiveFailuresSeverity};
  }
  needed.nats *= 1 - kProbeWeight * std::min<unsigned>(health.failed_probes,
                                                       kMaxCountedProbes);
  const SiblingStatistics siblings =
      AggregateSiblings(baseline, now - kSummaryLifetime);
  const bool has_siblings = siblings.count > 0;

  Evidence evidence;
  const Confirmation failing = ConfirmEvidence(
      health, baseline, needed,
      [&](const SiblingStatistics& statistics) {
        return ExpectedFailedShare(statistics.failed_share, policy);
      },
      [](const SiblingStatistics&) { return FailureCounter{}; }, &evidence,
      now);
  if (failing == Confirmation::kConfirmed) {
    return {VerdictReason::kFailing,
            static_cast<std::uint16_t>(kFailingSeverity +
                                       kFailingSeverityRange * evidence.share)};
  }
  // Latencies are compared with those of the siblings, so this check requires
  // at least one sibling.
  Confirmation slow = Confirmation::kNoEvidence;
  microseconds sibling_latency{0};
  if (criteria == Criteria::kFailuresAndLatency && has_siblings &&
      siblings.failed_share < kMaxSiblingFailedShare) {
    slow = ConfirmEvidence(
        health, baseline, needed,
        [](const SiblingStatistics&) { return kShareAboveMedian; },
        [&](const SiblingStatistics& statistics) {
          sibling_latency = statistics.latency;
          return SlowCounter{SlowLimit(statistics.latency, policy)};
        },
        &evidence, now);
  }
  if (slow == Confirmation::kConfirmed) {
    return {VerdictReason::kSlow, SlowSeverity(health, sibling_latency, now)};
  }
  if (failing == Confirmation::kMissing || slow == Confirmation::kMissing) {
    return {
        has_siblings ? VerdictReason::kUnconfirmed : VerdictReason::kNoSiblings,
        0};
  }
  return {};
}

bool IsOutlier(const Finding& finding) {
  return finding.severity > 0;
}

void EnterState(EndpointHealth& health,
                EndpointState state,
                VerdictReason reason,
                TimePoint now) {
  health.state = state;
  health.reason = reason;
  health.severity = 0;
  health.state_since = now;
  ClearWindow(health);
}

void Eject(EndpointHealth& health,
           const Finding& finding,
           const DetectionPolicy& policy,
           TimePoint now) {
  if (now - health.last_ejection_end > policy.flapping_window) {
    health.ejections = 0;
  }
  auto duration = policy.ejection_time;
  for (unsigned i = 0; i < health.ejections; ++i) {
    duration = std::min(2 * duration, policy.max_ejection_time);
  }
  // After 16 ejections the ejection time is at its limit for every policy.
  health.ejections =
      static_cast<std::uint8_t>(std::min<unsigned>(health.ejections + 1U, 16));
  EnterState(health, EndpointState::kEjected, finding.reason, now);
  health.severity = finding.severity;
  health.ejected_until = now + duration;
  health.last_ejection_end = health.ejected_until;
}

void EnterProbation(EndpointHealth& health, unsigned stage, TimePoint now) {
  EnterState(health, EndpointState::kProbation, VerdictReason::kReturning, now);
  health.probation_stage = static_cast<std::uint8_t>(stage);
  health.severity = kProbationSeverity;
  health.refused_connections = 0;
}

// Excludes requests that were sent before the probation, since their outcome
// says nothing about the endpoint in probation.
void DiscardRequestsInFlight(EndpointHealth& health, TimePoint now) {
  health.valid_from = now;
}

bool PassesProbationStage(const EndpointHealth& health,
                          const SiblingBaseline& baseline,
                          const DetectionPolicy& policy,
                          TimePoint now) {
  const SiblingStatistics known =
      AggregateSiblings(baseline, now - kSummaryLifetime);
  double failed = 0;
  double requests = 0;
  double slow = 0;
  double latencies = 0;
  const std::size_t fresh = FreshIntervals(health, now);
  for (std::size_t i = 0; i < fresh; ++i) {
    const HealthInterval& interval = IntervalAt(health, i);
    failed += interval.failed;
    requests += static_cast<double>(interval.ok) + interval.failed;
    if (known.count > 0) {
      slow += SamplesAbove(interval, SlowLimit(known.latency, policy));
      latencies += LatencySamples(interval);
    }
  }
  return requests >= policy.probation_samples &&
         failed <= requests * ExpectedFailedShare(known.failed_share, policy) &&
         slow <= latencies * kShareAboveMedian;
}

bool EjectionEnds(const EndpointHealth& health,
                  const DetectionPolicy& policy,
                  TimePoint now) {
  if (now < health.ejected_until) {
    return false;
  }
  // Failed probes prolong an ejection by one ejection time at most. Otherwise a
  // health endpoint that fails although the server works would keep the
  // endpoint ejected forever.
  return health.failed_probes < kMaxCountedProbes ||
         now >= health.ejected_until + policy.ejection_time;
}

Verdict MakeVerdict(const EndpointHealth& health,
                    const DetectionPolicy& policy,
                    TimePoint now) {
  Verdict verdict;
  verdict.state = health.state;
  verdict.reason = health.reason;
  verdict.severity = health.severity;
  switch (health.state) {
    case EndpointState::kHealthy:
      verdict.slot_share = 100;
      break;
    case EndpointState::kEjected:
      verdict.slot_share = 0;
      break;
    case EndpointState::kProbation:
      verdict.slot_share = kProbationShares[health.probation_stage];
      break;
    case EndpointState::kWarming: {
      const double done =
          std::chrono::duration<double>(now - health.state_since) /
          std::chrono::duration<double>(policy.warmup);
      verdict.slot_share = static_cast<std::uint8_t>(
          kFirstWarmupShare +
          (100 - kFirstWarmupShare) * std::clamp(done, 0.0, 1.0));
      break;
    }
  }
  return verdict;
}

void EvaluateInUse(EndpointHealth& health,
                   const SiblingBaseline& baseline,
                   const DetectionPolicy& policy,
                   TimePoint now) {
  if (health.state == EndpointState::kWarming &&
      now - health.state_since >= policy.warmup) {
    EnterState(health, EndpointState::kHealthy, VerdictReason::kNone, now);
  }
  const bool warming = health.state == EndpointState::kWarming;
  // A server that has just started is expected to be slow, but not to fail.
  const Finding finding = FindOutlier(
      health, baseline, policy,
      warming ? Criteria::kFailuresOnly : Criteria::kFailuresAndLatency,
      {policy.min_evidence, policy.min_evidence_time}, now);
  if (IsOutlier(finding)) {
    Eject(health, finding, policy, now);
  } else if (!warming) {
    health.reason = finding.reason;
  }
}

void EvaluateEjected(EndpointHealth& health,
                     const DetectionPolicy& policy,
                     TimePoint now) {
  // An unreachable endpoint was ejected only because it refused connections. A
  // passed probe shows that it accepts them again. It gets a warm-up, since the
  // server was probably restarted. If no probe passes, the ejection still ends
  // by time, since the health endpoint itself may be faulty.
  if (health.reason == VerdictReason::kUnreachable &&
      health.probe_passed_at >= health.state_since + kMinUnreachableTime) {
    StartWarmup(health, now);
    return;
  }
  if (EjectionEnds(health, policy, now)) {
    DiscardRequestsInFlight(health, now);
    EnterProbation(health, 0, now);
  }
}

void EvaluateProbation(EndpointHealth& health,
                       const SiblingBaseline& baseline,
                       const DetectionPolicy& policy,
                       TimePoint now) {
  const Finding finding =
      FindOutlier(health, baseline, policy, Criteria::kFailuresAndLatency,
                  {policy.min_probation_evidence, milliseconds(0)}, now);
  if (IsOutlier(finding)) {
    Eject(health, finding, policy, now);
    return;
  }
  if (!PassesProbationStage(health, baseline, policy, now)) {
    return;
  }
  const unsigned next = health.probation_stage + 1U;
  if (next < kProbationShares.size()) {
    EnterProbation(health, next, now);
    return;
  }
  EnterState(health, EndpointState::kHealthy, VerdictReason::kNone, now);
  health.last_ejection_end = now;
}

}  // namespace

DetectionPolicy MakeDetectionPolicy(Detection detection, milliseconds warmup) {
  DetectionPolicy policy;
  policy.ejection_time = std::chrono::seconds(10);
  policy.max_ejection_time = std::chrono::minutes(5);
  policy.flapping_window = std::chrono::minutes(10);
  policy.probation_samples = 8;
  policy.warmup = warmup;
  switch (detection) {
    case Detection::kCareful:
      policy.slow_ratio = 2.0;
      policy.failed_share = 0.10;
      policy.min_evidence = 8;
      policy.min_probation_evidence = 5;
      policy.consecutive_failures = 6;
      policy.min_evidence_time = milliseconds(1000);
      break;
    case Detection::kBalanced:
      policy.slow_ratio = 1.6;
      policy.failed_share = 0.05;
      policy.min_evidence = 9;
      policy.min_probation_evidence = 4;
      policy.consecutive_failures = 4;
      policy.min_evidence_time = milliseconds(500);
      break;
    case Detection::kFast:
      policy.slow_ratio = 1.5;
      policy.failed_share = 0.04;
      policy.min_evidence = 8;
      policy.min_probation_evidence = 3;
      policy.consecutive_failures = 4;
      policy.min_evidence_time = milliseconds(250);
      break;
  }
  return policy;
}

Verdict EvaluateEndpoint(EndpointHealth& health,
                         const SiblingBaseline& baseline,
                         const DetectionPolicy& policy,
                         TimePoint now) {
  ClearWindowAfterPause(health, now);
  health.evaluated = true;
  health.last_evaluated = now;
  switch (health.state) {
    case EndpointState::kWarming:
    case EndpointState::kHealthy:
      EvaluateInUse(health, baseline, policy, now);
      break;
    case EndpointState::kEjected:
      EvaluateEjected(health, policy, now);
      break;
    case EndpointState::kProbation:
      EvaluateProbation(health, baseline, policy, now);
      break;
  }
  return MakeVerdict(health, policy, now);
}

void StartWarmup(EndpointHealth& health, TimePoint now) {
  EnterState(health, EndpointState::kWarming, VerdictReason::kStarted, now);
  health.refused_connections = 0;
  health.valid_from = now;
}

}  // namespace comfrey
