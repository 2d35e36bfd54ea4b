#include "core/failure_suspicion.h"

#include <algorithm>
#include <cmath>

namespace comfrey {
namespace {

using TimePoint = std::chrono::steady_clock::time_point;

// Bounds of the estimate. Without them, the estimate would hardly change after
// a long series of equal outcomes.
constexpr double kLowestProbability = 0.001;
constexpr double kHighestProbability = 0.9;

// Returns the estimate at `now`, decayed since the last request. Old outcomes
// lose their weight because failures begin and end independently of requests.
double ProbabilityAt(const FailureSuspicion& suspicion,
                     const SuspicionPolicy& policy,
                     TimePoint now) {
  if (suspicion.updated == TimePoint{}) {
    return policy.failing_time_share;
  }
  using Seconds = std::chrono::duration<double>;
  const double elapsed = Seconds(now - suspicion.updated).count();
  const double decay = std::exp(-elapsed / Seconds(policy.decay_time).count());
  return policy.failing_time_share +
         (suspicion.probability - policy.failing_time_share) * decay;
}

}  // namespace

void RecordRequest(FailureSuspicion& suspicion,
                   const SuspicionPolicy& policy,
                   bool failed,
                   TimePoint now) {
  const double prior = ProbabilityAt(suspicion, policy, now);
  const double if_failing =
      failed ? policy.failing_failure_share : 1 - policy.failing_failure_share;
  const double if_healthy =
      failed ? policy.healthy_failure_share : 1 - policy.healthy_failure_share;
  const double failing = prior * if_failing;
  const double healthy = (1 - prior) * if_healthy;
  suspicion.probability = std::clamp(failing / (failing + healthy),
                                     kLowestProbability, kHighestProbability);
  suspicion.updated = now;
  suspicion.no_trial_until = failed ? now + policy.trial_interval : now;
}

bool IsSuspect(const FailureSuspicion& suspicion,
               const SuspicionPolicy& policy,
               TimePoint now) {
  return ProbabilityAt(suspicion, policy, now) > policy.suspect_above;
}

bool TryBeginSuspicionTrial(FailureSuspicion& suspicion,
                            const SuspicionPolicy& policy,
                            TimePoint now) {
  if (now < suspicion.no_trial_until) {
    return false;
  }
  // No other trial begins until the outcome of this one has been recorded or
  // `trial_interval` has passed.
  suspicion.no_trial_until = now + policy.trial_interval;
  return true;
}

}  // namespace comfrey
