#ifndef CORE_OUTLIER_VERDICT_H_
#define CORE_OUTLIER_VERDICT_H_

#include <chrono>
#include <cstdint>

#include "core/endpoint_health.h"
#include "core/outlier_evidence.h"  // IWYU pragma: export

namespace comfrey {

/// \brief Value of the service key `detection`.
enum class Detection : std::uint8_t { kCareful, kBalanced, kFast };

/// \brief Parameters of the outlier detection; see `MakeDetectionPolicy`.
struct DetectionPolicy {
  /// An endpoint is slow if its median latency exceeds that of its siblings by
  /// this factor.
  double slow_ratio = 0;
  /// An endpoint is failing if more than this share of its requests fail, 0 to
  /// 1.
  double failed_share = 0;
  /// Minimum log-likelihood ratio for an ejection, in nats.
  double min_evidence = 0;
  /// The same for an endpoint in probation, which was ejected before.
  double min_probation_evidence = 0;
  /// Minimum time that the evidence must span.
  std::chrono::milliseconds min_evidence_time{0};
  /// Number of consecutive failures that eject an endpoint at once if siblings
  /// succeed during the same time.
  unsigned consecutive_failures = 0;
  /// Duration of the first ejection.
  std::chrono::seconds ejection_time{0};
  std::chrono::seconds max_ejection_time{0};
  /// The ejection time doubles if the endpoint is ejected again within this
  /// time after its return.
  std::chrono::seconds flapping_window{0};
  /// Minimum number of requests in each stage of the probation.
  unsigned probation_samples = 0;
  /// Duration of the ramp after a start (service key `warmup`).
  std::chrono::milliseconds warmup{0};
};

/// \brief Published result of the outlier detection for an endpoint.
struct Verdict {
  EndpointState state = EndpointState::kWarming;
  VerdictReason reason = VerdictReason::kStarted;
  /// Priority of the ejection if the floor does not permit all ejections; a
  /// higher value is worse.
  std::uint16_t severity = 0;
  /// Share of its slots that the endpoint may use, in percent.
  std::uint8_t slot_share = 100;
};

/// \brief Parameters for a value of `detection`.
DetectionPolicy MakeDetectionPolicy(Detection detection,
                                    std::chrono::milliseconds warmup);

/// \brief Evaluates an endpoint and advances its state.
///
/// Call it more often than every `kPauseThreshold`, with or without traffic: a
/// longer interval between two calls is treated as a pause of the process.
Verdict EvaluateEndpoint(EndpointHealth& health,
                         const SiblingBaseline& baseline,
                         const DetectionPolicy& policy,
                         std::chrono::steady_clock::time_point now);

/// \brief Starts the warm-up ramp, e.g. when the backend server was restarted.
void StartWarmup(EndpointHealth& health,
                 std::chrono::steady_clock::time_point now);

}  // namespace comfrey

#endif  // CORE_OUTLIER_VERDICT_H_
