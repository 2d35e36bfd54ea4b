#ifndef CORE_ENDPOINT_HEALTH_H_
#define CORE_ENDPOINT_HEALTH_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace comfrey {

/// \brief How a request to a backend server ended, as seen by its owner.
enum class Outcome : std::uint8_t {
  kOk,
  kFailed,       ///< 5xx, or a response that ended early
  kWrong,        ///< a complete response that failed validation
  kShed,         ///< 429, or 503 with `Retry-After`: load, not failure
  kTimedOut,     ///< no complete response in time
  kUnreachable,  ///< connection refused; the request was not sent
};

/// \brief Result of a health probe.
enum class ProbeResult : std::uint8_t { kPassed, kFailed };

/// \brief State of an endpoint, as published by its owner.
enum class EndpointState : std::uint8_t {
  kWarming,
  kHealthy,
  kEjected,
  kProbation,
};

/// \brief Why an endpoint is in its state.
enum class VerdictReason : std::uint8_t {
  kNone,
  kStarted,      ///< warming: the backend server or its owner started
  kSlow,         ///< slower than its siblings
  kFailing,      ///< fails more often than its siblings
  kUnreachable,  ///< refuses connections
  kReturning,    ///< probation after an ejection
  kNoSiblings,   ///< evidence, but no siblings to compare with
  kUnconfirmed,  ///< evidence, but no recent summaries of siblings
};

/// Number of latency buckets; four per octave from 250 us to 16 s.
inline constexpr std::size_t kLatencyBuckets = 64;
inline constexpr std::size_t kHealthIntervals = 40;

/// \brief Outcomes of consecutive requests; part of a sliding window.
struct HealthInterval {
  std::chrono::steady_clock::time_point start;
  std::uint8_t ok = 0;
  std::uint8_t failed = 0;  ///< failed, wrong or timed out
  std::uint8_t shed = 0;
  /// Latencies of the requests that were answered correctly or timed out.
  std::array<std::uint8_t, kLatencyBuckets> latencies{};
};

/// \brief Health of one endpoint at its owner.
///
/// The window covers at most `kHealthWindow`; the slots are a ring.
struct EndpointHealth {
  std::array<HealthInterval, kHealthIntervals> intervals{};
  std::uint8_t newest = 0;
  std::uint8_t used = 0;

  std::uint8_t failed_probes = 0;        ///< consecutive
  std::uint8_t refused_connections = 0;  ///< consecutive
  /// Failed or wrong responses without an ok one between them. A timeout
  /// neither counts nor ends the row, since load causes timeouts as well.
  std::uint8_t consecutive_failures = 0;
  std::uint8_t ejections = 0;  ///< within the flapping window
  std::uint8_t probation_stage = 0;
  EndpointState state = EndpointState::kWarming;
  VerdictReason reason = VerdictReason::kStarted;
  std::uint16_t severity = 0;
  bool evaluated = false;
  std::chrono::steady_clock::time_point last_evaluated;
  std::chrono::steady_clock::time_point state_since;
  std::chrono::steady_clock::time_point ejected_until;
  std::chrono::steady_clock::time_point last_ejection_end;
  std::chrono::steady_clock::time_point probe_passed_at;
  std::chrono::steady_clock::time_point
      failing_since;  ///< second failure of the row
  std::chrono::steady_clock::time_point last_failure;
  std::chrono::steady_clock::time_point last_ok_sent;
  /// Requests that were sent before this time are not counted.
  std::chrono::steady_clock::time_point valid_from;
};

static_assert(sizeof(EndpointHealth) <= 4096,
              "an owner holds one for each of its endpoints");

/// \brief What an endpoint publishes about its recent requests.
struct EndpointSummary {
  std::chrono::microseconds median_latency{0};
  std::uint16_t failed_permille = 0;
  /// Half of the requests behind the summary completed at or after this time.
  /// Carried as an age between processes.
  std::chrono::steady_clock::time_point midpoint;
  /// When the correctly answered request that was sent last was sent. Carried
  /// as an age as well.
  std::chrono::steady_clock::time_point last_ok_sent;
};

/// Samples older than this are never used.
inline constexpr std::chrono::seconds kHealthWindow{30};
/// A longer time between two judgements means that the process was paused.
inline constexpr std::chrono::seconds kPauseThreshold{1};

/// \brief Health of an endpoint whose backend server started at `now`.
EndpointHealth MakeEndpointHealth(std::chrono::steady_clock::time_point now);

/// \brief Records the end of a request.
///
/// `latency` runs from sending the request to the backend server to its
/// complete response or timeout, without the time in the owner's queue.
/// Requests that were sent before a pause of the process are not counted.
void RecordOutcome(EndpointHealth& health,
                   Outcome outcome,
                   std::chrono::microseconds latency,
                   std::chrono::steady_clock::time_point now);

/// \brief Records a probe result. Probes alone never eject an endpoint.
void RecordProbe(EndpointHealth& health,
                 ProbeResult result,
                 std::chrono::steady_clock::time_point now);

/// \brief Clears the window if the process was paused before `now`.
void ClearWindowAfterPause(EndpointHealth& health,
                           std::chrono::steady_clock::time_point now);

/// \brief Forgets all samples; requests in flight are still counted.
void ClearWindow(EndpointHealth& health);

/// \brief Slot with the given age rank; 0 is the newest.
const HealthInterval& IntervalAt(const EndpointHealth& health,
                                 std::size_t rank);

/// \brief Number of slots whose samples are within the window at `now`.
std::size_t FreshIntervals(const EndpointHealth& health,
                           std::chrono::steady_clock::time_point now);

/// \brief Samples of a slot above `threshold`, interpolated within a bucket.
double SamplesAbove(const HealthInterval& interval,
                    std::chrono::microseconds threshold);

/// \brief Number of latency samples of a slot.
unsigned LatencySamples(const HealthInterval& interval);

/// \brief Summary of the newest requests: at least 1 s and 8 requests.
///
/// Empty if the window holds fewer than 4 requests, or no latency.
std::optional<EndpointSummary> SummarizeEndpoint(
    const EndpointHealth& health,
    std::chrono::steady_clock::time_point now);

}  // namespace comfrey

#endif  // CORE_ENDPOINT_HEALTH_H_
