#include "core/outlier_verdict.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace comfrey {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

// Consecutive failures eject an endpoint if this many siblings, or all of them
// if there are fewer, succeeded during the same time. Fewer siblings than
// `ConfirmEvidence` needs are enough, because a success shows directly that the
// service works.
constexpr std::size_t kSucceedingSiblings = 2;
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

enum class Criteria : std::uint8_t { kFailuresOnly, kFailuresAndLatency };

struct OutlierTestResult {
  VerdictReason reason = VerdictReason::kNone;
  std::uint16_t severity = 0;
};

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
  const SiblingStatistics known = CurrentSiblings(baseline, now);
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
OutlierTestResult TestForOutlier(const EndpointHealth& health,
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
  const SiblingStatistics siblings = CurrentSiblings(baseline, now);
  const bool has_siblings = siblings.count > 0;

  Evidence evidence;
  const EvidenceCriterion failure_criterion{
      [&](const SiblingStatistics& statistics) {
        return ExpectedFailedShare(statistics.failed_share, policy);
      },
      [](const SiblingStatistics&) { return CountFailures; }};
  const Confirmation failing = ConfirmEvidence(
      health, baseline, needed, failure_criterion, &evidence, now);
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
    const EvidenceCriterion slowness_criterion{
        [](const SiblingStatistics&) { return kShareAboveMedian; },
        [&](const SiblingStatistics& statistics) {
          sibling_latency = statistics.latency;
          return CountSlow(SlowLimit(statistics.latency, policy));
        }};
    slow = ConfirmEvidence(health, baseline, needed, slowness_criterion,
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

bool IsOutlier(const OutlierTestResult& test_result) {
  return test_result.severity > 0;
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
           const OutlierTestResult& test_result,
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
  EnterState(health, EndpointState::kEjected, test_result.reason, now);
  health.severity = test_result.severity;
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
  const SiblingStatistics known = CurrentSiblings(baseline, now);
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
  const OutlierTestResult test_result = TestForOutlier(
      health, baseline, policy,
      warming ? Criteria::kFailuresOnly : Criteria::kFailuresAndLatency,
      {policy.min_evidence, policy.min_evidence_time}, now);
  if (IsOutlier(test_result)) {
    Eject(health, test_result, policy, now);
  } else if (!warming) {
    health.reason = test_result.reason;
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
  const OutlierTestResult test_result =
      TestForOutlier(health, baseline, policy, Criteria::kFailuresAndLatency,
                     {policy.min_probation_evidence, milliseconds(0)}, now);
  if (IsOutlier(test_result)) {
    Eject(health, test_result, policy, now);
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
