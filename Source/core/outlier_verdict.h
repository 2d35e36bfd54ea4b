#ifndef CORE_OUTLIER_VERDICT_H_
#define CORE_OUTLIER_VERDICT_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "core/endpoint_health.h"

namespace comfrey {

/// \brief Value of the service key `detection`.
enum class Detection : std::uint8_t { kCareful, kBalanced, kFast };

/// \brief Constants of the judgement; see `MakeDetectionPolicy`.
struct DetectionPolicy {
  /// An endpoint is slow if its median exceeds that of its siblings by this
  /// factor.
  double slow_ratio = 0;
  /// An endpoint fails if its share of failures exceeds this one.
  double failed_share = 0;
  /// Log-likelihood ratio (in nats) required for an ejection.
  double min_evidence = 0;
  /// The same in probation, where the endpoint has been ejected before.
  double min_probation_evidence = 0;
  /// Shortest time that the evidence must cover.
  std::chrono::milliseconds min_evidence_time{0};
  /// Failures in a row that eject at once if siblings succeed meanwhile.
  unsigned consecutive_failures = 0;
  std::chrono::seconds ejection_time{0};
  std::chrono::seconds max_ejection_time{0};
  /// Ejections within this time after the return double the ejection time.
  std::chrono::seconds flapping_window{0};
  /// Correct requests that end a stage of the probation.
  unsigned probation_samples = 0;
  /// Ramp after a start (service key `warmup`).
  std::chrono::milliseconds warmup{0};
};

/// \brief Latest known summaries of the service's other endpoints.
struct SiblingBaseline {
  std::vector<EndpointSummary> siblings;
};

/// \brief Published judgement of an endpoint.
struct Verdict {
  EndpointState state = EndpointState::kWarming;
  VerdictReason reason = VerdictReason::kStarted;
  /// Orders ejections when not all can be honoured; greater is worse.
  std::uint16_t severity = 0;
  /// Share of its slots that the endpoint may use, in percent.
  std::uint8_t slot_share = 100;
};

/// \brief Constants for a value of `detection`.
DetectionPolicy MakeDetectionPolicy(Detection detection,
                                    std::chrono::milliseconds warmup);

/// \brief Judges an endpoint and advances its state.
///
/// Must be called more often than `kPauseThreshold`, with or without traffic: a
/// longer gap is taken as a pause of the process.
Verdict EvaluateEndpoint(EndpointHealth& health,
                         const SiblingBaseline& baseline,
                         const DetectionPolicy& policy,
                         std::chrono::steady_clock::time_point now);

/// \brief Starts the warm-up ramp, e.g. when the backend server was restarted.
void StartWarmup(EndpointHealth& health,
                 std::chrono::steady_clock::time_point now);

}  // namespace comfrey

#endif  // CORE_OUTLIER_VERDICT_H_
