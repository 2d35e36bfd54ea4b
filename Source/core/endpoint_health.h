#ifndef CORE_ENDPOINT_HEALTH_H_
#define CORE_ENDPOINT_HEALTH_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace comfrey {

/// \brief Outcome of a request to a backend server, as seen by the owner of the
/// endpoint.
enum class Outcome : std::uint8_t {
  kOk,
  kFailed,       ///< 5xx, or a response that ended early
  kWrong,        ///< a complete response that failed validation
  kShed,         ///< 429, or 503 with `Retry-After`; not a failure
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

/// \brief Reason for the state of an endpoint.
enum class VerdictReason : std::uint8_t {
  kNone,
  kStarted,      ///< warming: the backend server or its owner started
  kSlow,         ///< slower than its siblings
  kFailing,      ///< fails more often than its siblings
  kUnreachable,  ///< refuses connections
  kReturning,    ///< probation after an ejection
  kNoSiblings,   ///< evidence of a fault, but no siblings to compare with
  kUnconfirmed,  ///< evidence of a fault, but no recent sibling summaries
};

/// \brief Returns the text of a state or a reason for the log, for example
/// "ejected".
const char* EndpointStateName(EndpointState state);
const char* VerdictReasonName(VerdictReason reason);

/// Number of latency buckets; four for each factor of two, from 250 us to 16 s.
inline constexpr std::size_t kLatencyBuckets = 64;
/// Maximum number of intervals in the window of an endpoint.
inline constexpr std::size_t kHealthIntervals = 40;

/// \brief Outcomes of the requests that completed during one interval of the
/// sliding window.
struct HealthInterval {
  std::chrono::steady_clock::time_point start;
  std::uint8_t ok = 0;
  std::uint8_t failed = 0;  ///< failed, wrong, timed out or unreachable
  std::uint8_t shed = 0;
  /// Histogram of the latencies of requests that were answered correctly or
  /// timed out.
  std::array<std::uint8_t, kLatencyBuckets> latencies{};
};

/// \brief Health of one endpoint, as recorded by its owner.
///
/// The sliding window covers at most `kHealthWindow`. Its intervals are stored
/// in a ring buffer.
struct EndpointHealth {
  std::array<HealthInterval, kHealthIntervals> intervals{};
  std::uint8_t newest = 0;  ///< index of the newest interval
  std::uint8_t used = 0;    ///< number of intervals in the window

  std::uint8_t failed_probes = 0;        ///< consecutive
  std::uint8_t refused_connections = 0;  ///< consecutive
  /// Failed requests since the last success. A timeout neither counts as a
  /// failure here nor resets the number, since it may be caused by load.
  std::uint8_t consecutive_failures = 0;
  std::uint8_t ejections = 0;  ///< number within the flapping window
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
      failing_since;  ///< time of the second consecutive failure
  std::chrono::steady_clock::time_point last_failure;
  std::chrono::steady_clock::time_point last_ok_sent;
  /// Requests that were sent before this time are ignored.
  std::chrono::steady_clock::time_point valid_from;
};

static_assert(sizeof(EndpointHealth) <= 4096,
              "an owner keeps an EndpointHealth for each of its endpoints");

/// \brief Published statistics of the recent requests to an endpoint.
struct EndpointSummary {
  std::chrono::microseconds median_latency{0};
  std::uint16_t failed_permille = 0;
  /// At least half of the summarized requests completed at or after this time.
  /// Sent to other processes as an age.
  std::chrono::steady_clock::time_point midpoint;
  /// Time at which the latest of the correctly answered requests was sent. Sent
  /// to other processes as an age.
  std::chrono::steady_clock::time_point last_ok_sent;
};

/// Older samples are not used.
inline constexpr std::chrono::seconds kHealthWindow{30};
/// A longer time between two evaluations means that the process was paused.
inline constexpr std::chrono::seconds kPauseThreshold{1};

/// \brief Returns the health of an endpoint whose backend server starts at
/// `now`.
EndpointHealth MakeEndpointHealth(std::chrono::steady_clock::time_point now);

/// \brief Records the outcome of a request.
///
/// `latency` is the time from sending the request to the backend server until
/// the complete response or the timeout, without the time in the owner's queue.
/// Requests that were sent before a pause of the process are ignored.
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

/// \brief Discards all samples. Requests in flight are counted when they end.
void ClearWindow(EndpointHealth& health);

/// \brief Returns the interval with the given rank by age; 0 is the newest.
const HealthInterval& IntervalAt(const EndpointHealth& health,
                                 std::size_t rank);

/// \brief Returns the number of intervals that started within `kHealthWindow`
/// before `now`.
std::size_t FreshIntervals(const EndpointHealth& health,
                           std::chrono::steady_clock::time_point now);

/// \brief Returns the number of latency samples above `threshold`, interpolated
/// within a bucket.
double SamplesAbove(const HealthInterval& interval,
                    std::chrono::microseconds threshold);

/// \brief Returns the number of latency samples of an interval.
unsigned LatencySamples(const HealthInterval& interval);

/// \brief Summarizes the newest requests: at least 1 s and 8 requests, or the
/// whole window.
///
/// Returns nothing if the window holds fewer than 4 requests or no latency.
std::optional<EndpointSummary> SummarizeEndpoint(
    const EndpointHealth& health,
    std::chrono::steady_clock::time_point now);

}  // namespace comfrey

#endif  // CORE_ENDPOINT_HEALTH_H_
