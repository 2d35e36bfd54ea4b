#include "core/endpoint_health.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace comfrey {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

constexpr double kFirstBucketUs = 250;
constexpr double kBucketsPerDoubling = 4;

// An interval ends after 250 ms if it holds at least 2 requests, and after 1 s
// in any case. The 40 intervals therefore cover 10 s at 20 requests/s and 30 s
// at 2 requests/s.
constexpr milliseconds kMinIntervalTime{250};
constexpr std::chrono::seconds kMaxIntervalTime{1};
constexpr unsigned kMinIntervalSamples = 2;
// All counters are single bytes.
constexpr unsigned kMaxCount = std::numeric_limits<std::uint8_t>::max();

// A summary covers only as many requests as a usable median needs, so that the
// summaries show a slowdown of the whole service quickly.
constexpr std::chrono::seconds kSummaryTime{1};
constexpr unsigned kSummarySamples = 8;
constexpr unsigned kMinSummarySamples = 4;

// Returns the position of a latency on the logarithmic scale of the buckets.
double BucketPosition(microseconds latency) {
  const double us = std::max<double>(static_cast<double>(latency.count()), 1);
  const double position = kBucketsPerDoubling * std::log2(us / kFirstBucketUs);
  return std::clamp(position, 0.0, static_cast<double>(kLatencyBuckets) - 0.5);
}

unsigned RequestCount(const HealthInterval& interval) {
  return static_cast<unsigned>(interval.ok) + interval.failed;
}

bool IsComplete(const HealthInterval& interval, TimePoint now) {
  const unsigned samples = RequestCount(interval) + interval.shed;
  if (samples >= kMaxCount) {
    return true;
  }
  const auto age = now - interval.start;
  return age >= kMaxIntervalTime ||
         (age >= kMinIntervalTime && samples >= kMinIntervalSamples);
}

HealthInterval& CurrentInterval(EndpointHealth& health, TimePoint now) {
  if (health.used > 0 && !IsComplete(health.intervals[health.newest], now)) {
    return health.intervals[health.newest];
  }
  health.newest =
      static_cast<std::uint8_t>((health.newest + 1) % kHealthIntervals);
  health.used = static_cast<std::uint8_t>(
      std::min<std::size_t>(health.used + 1U, kHealthIntervals));
  HealthInterval& interval = health.intervals[health.newest];
  interval = HealthInterval{};
  interval.start = now;
  return interval;
}

void CountConsecutiveFailure(EndpointHealth& health, TimePoint now) {
  // The time starts at the second failure. The first one may be unrelated to
  // the fault and may have happened earlier, while siblings still succeeded.
  if (health.consecutive_failures <= 1) {
    health.failing_since = now;
  }
  health.last_failure = now;
  health.consecutive_failures = static_cast<std::uint8_t>(
      std::min<unsigned>(health.consecutive_failures + 1U, kMaxCount));
}

}  // namespace

EndpointHealth MakeEndpointHealth(TimePoint now) {
  EndpointHealth health;
  health.state_since = now;
  health.valid_from = now;
  return health;
}

void RecordOutcome(EndpointHealth& health,
                   Outcome outcome,
                   microseconds latency,
                   TimePoint now) {
  ClearWindowAfterPause(health, now);
  if (now - latency < health.valid_from) {
    return;
  }
  if (outcome == Outcome::kUnreachable) {
    health.refused_connections = static_cast<std::uint8_t>(
        std::min<unsigned>(health.refused_connections + 1U, kMaxCount));
  } else {
    health.refused_connections = 0;
  }
  HealthInterval& interval = CurrentInterval(health, now);
  switch (outcome) {
    case Outcome::kShed:
      ++interval.shed;
      return;
    case Outcome::kOk:
      ++interval.ok;
      health.consecutive_failures = 0;
      health.last_ok_sent = std::max(health.last_ok_sent, now - latency);
      break;
    case Outcome::kTimedOut:
      ++interval.failed;
      break;
    case Outcome::kFailed:
    case Outcome::kWrong:
    case Outcome::kUnreachable:
      // The latency is not recorded: a failure may be faster than any correct
      // response, and such samples would hide that the endpoint is slow.
      ++interval.failed;
      CountConsecutiveFailure(health, now);
      return;
  }
  ++interval.latencies[static_cast<std::size_t>(BucketPosition(latency))];
}

void RecordProbe(EndpointHealth& health, ProbeResult result, TimePoint now) {
  if (result == ProbeResult::kPassed) {
    health.failed_probes = 0;
    health.probe_passed_at = now;
    return;
  }
  health.failed_probes = static_cast<std::uint8_t>(
      std::min<unsigned>(health.failed_probes + 1U, kMaxCount));
}

void ClearWindowAfterPause(EndpointHealth& health, TimePoint now) {
  if (!health.evaluated || now - health.last_evaluated <= kPauseThreshold) {
    return;
  }
  // Latencies of requests that were in flight include the pause, and the
  // outcomes recorded before the pause are out of date.
  ClearWindow(health);
  health.refused_connections = 0;
  health.valid_from = now;
  health.last_evaluated = now;
}

void ClearWindow(EndpointHealth& health) {
  health.used = 0;
  health.consecutive_failures = 0;
}

const HealthInterval& IntervalAt(const EndpointHealth& health,
                                 std::size_t rank) {
  return health
      .intervals[(health.newest + kHealthIntervals - rank % kHealthIntervals) %
                 kHealthIntervals];
}

std::size_t FreshIntervals(const EndpointHealth& health, TimePoint now) {
  std::size_t fresh = 0;
  while (fresh < health.used &&
         now - IntervalAt(health, fresh).start <= kHealthWindow) {
    ++fresh;
  }
  return fresh;
}

double SamplesAbove(const HealthInterval& interval, microseconds threshold) {
  const double position = BucketPosition(threshold);
  const auto bucket = static_cast<std::size_t>(position);
  const double within = position - static_cast<double>(bucket);
  unsigned above = 0;
  for (std::size_t i = bucket + 1; i < kLatencyBuckets; ++i) {
    above += interval.latencies[i];
  }
  return above + interval.latencies[bucket] * (1 - within);
}

unsigned LatencySamples(const HealthInterval& interval) {
  unsigned samples = 0;
  for (const std::uint8_t count : interval.latencies) {
    samples += count;
  }
  return samples;
}

std::optional<EndpointSummary> SummarizeEndpoint(const EndpointHealth& health,
                                                 TimePoint now) {
  const std::size_t fresh = FreshIntervals(health, now);
  unsigned requests = 0;
  unsigned failed = 0;
  unsigned latency_samples = 0;
  std::array<unsigned, kLatencyBuckets> latencies{};
  std::size_t intervals = 0;
  while (intervals < fresh) {
    const HealthInterval& interval = IntervalAt(health, intervals);
    requests += RequestCount(interval);
    failed += interval.failed;
    for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
      latencies[i] += interval.latencies[i];
      latency_samples += interval.latencies[i];
    }
    ++intervals;
    if (now - interval.start >= kSummaryTime && requests >= kSummarySamples) {
      break;
    }
  }
  if (requests < kMinSummarySamples || latency_samples == 0) {
    return std::nullopt;
  }

  EndpointSummary summary;
  summary.last_ok_sent = health.last_ok_sent;
  summary.failed_permille =
      static_cast<std::uint16_t>(1000 * failed / requests);
  unsigned newer = 0;
  for (std::size_t i = 0; i < intervals && 2 * newer < requests; ++i) {
    newer += RequestCount(IntervalAt(health, i));
    summary.midpoint = IntervalAt(health, i).start;
  }
  double rest = latency_samples / 2.0;
  std::size_t bucket = 0;
  while (bucket + 1 < kLatencyBuckets && rest > latencies[bucket]) {
    rest -= latencies[bucket];
    ++bucket;
  }
  const double position =
      static_cast<double>(bucket) + rest / std::max(latencies[bucket], 1U);
  summary.median_latency = microseconds(
      std::llround(kFirstBucketUs * std::exp2(position / kBucketsPerDoubling)));
  return summary;
}

const char* EndpointStateName(EndpointState state) {
  switch (state) {
    case EndpointState::kWarming:
      return "warming";
    case EndpointState::kHealthy:
      return "healthy";
    case EndpointState::kEjected:
      return "ejected";
    case EndpointState::kProbation:
      break;
  }
  return "probation";
}

const char* VerdictReasonName(VerdictReason reason) {
  switch (reason) {
    case VerdictReason::kNone:
      return "none";
    case VerdictReason::kStarted:
      return "started";
    case VerdictReason::kSlow:
      return "slow";
    case VerdictReason::kFailing:
      return "failing";
    case VerdictReason::kUnreachable:
      return "unreachable";
    case VerdictReason::kReturning:
      return "returning";
    case VerdictReason::kNoSiblings:
      return "no siblings";
    case VerdictReason::kUnconfirmed:
      break;
  }
  return "unconfirmed";
}

}  // namespace comfrey
