#ifndef CORE_FAILURE_SUSPICION_H_
#define CORE_FAILURE_SUSPICION_H_

#include <chrono>

namespace comfrey {

/// \brief Assumptions about backend servers that fail for a few seconds at a
/// time, while their health endpoint reports no fault.
struct SuspicionPolicy {
  /// Share of requests that fail at a sound endpoint, 0 to 1.
  double healthy_failure_share = 0.015;
  /// Share of requests that fail at a failing endpoint, 0 to 1.
  double failing_failure_share = 0.75;
  /// Share of time that endpoints fail, 0 to 1; the estimate returns to it.
  double failing_time_share = 0.05;
  /// Time constant of that return.
  std::chrono::milliseconds decay_time{6000};
  /// An endpoint is suspect above this probability of being in a failure.
  double suspect_above = 0.2;
  /// Shortest time between a failure and the next request that tests a suspect
  /// endpoint; after a success, the next one may follow at once.
  std::chrono::milliseconds trial_interval{700};
};

/// \brief Probability that an endpoint is in a failure, from its own requests.
///
/// Answers low rates: with a few requests a second, one failure must count,
/// and a ratio over a window would come too late.
struct FailureSuspicion {
  double probability = 0;
  std::chrono::steady_clock::time_point updated;
  std::chrono::steady_clock::time_point no_trial_until;
};

/// \brief Records whether a request failed.
void RecordRequest(FailureSuspicion& suspicion,
                   const SuspicionPolicy& policy,
                   bool failed,
                   std::chrono::steady_clock::time_point now);

/// \brief Whether work should go to other endpoints.
bool IsSuspect(const FailureSuspicion& suspicion,
               const SuspicionPolicy& policy,
               std::chrono::steady_clock::time_point now);

/// \brief Whether one idempotent request may test the suspect endpoint now;
/// counts it if so.
bool TryBeginSuspicionTrial(FailureSuspicion& suspicion,
                            const SuspicionPolicy& policy,
                            std::chrono::steady_clock::time_point now);

}  // namespace comfrey

#endif  // CORE_FAILURE_SUSPICION_H_
