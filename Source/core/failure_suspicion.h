#ifndef CORE_FAILURE_SUSPICION_H_
#define CORE_FAILURE_SUSPICION_H_

#include <chrono>

namespace comfrey {

/// \brief Parameters of a model of backend servers that fail for a few seconds
/// at a time while their health endpoint reports no fault.
struct SuspicionPolicy {
  /// Share of requests that fail at a healthy endpoint, 0 to 1.
  double healthy_failure_share = 0.015;
  /// Share of requests that fail at a failing endpoint, 0 to 1.
  double failing_failure_share = 0.75;
  /// Share of time during which an endpoint is failing, 0 to 1. Without new
  /// requests, the estimated probability decays towards it.
  double failing_time_share = 0.05;
  /// Time constant of the decay of the estimated probability.
  std::chrono::milliseconds decay_time{6000};
  /// An endpoint is suspect if its failure probability exceeds this value.
  double suspect_above = 0.2;
  /// Minimum time between a failure and the next trial of a suspect endpoint.
  /// After a success, the next trial may follow at once.
  std::chrono::milliseconds trial_interval{700};
};

/// \brief Estimated probability that an endpoint is failing at present, based
/// on the outcomes of its own requests.
///
/// The estimate works at low request rates: with a few requests per second, a
/// single failure must be enough, and a failure ratio over a window would react
/// too late.
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

/// \brief Whether requests should be sent to other endpoints instead.
bool IsSuspect(const FailureSuspicion& suspicion,
               const SuspicionPolicy& policy,
               std::chrono::steady_clock::time_point now);

/// \brief Begins a trial of a suspect endpoint with one idempotent request, if
/// a trial is permitted now.
///
/// Returns whether the request may be sent.
bool TryBeginSuspicionTrial(FailureSuspicion& suspicion,
                            const SuspicionPolicy& policy,
                            std::chrono::steady_clock::time_point now);

}  // namespace comfrey

#endif  // CORE_FAILURE_SUSPICION_H_
