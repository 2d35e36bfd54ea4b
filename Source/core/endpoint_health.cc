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
constexpr double kBucketsPerOctave = 4;

// A slot holds at least 250 ms, and at least 2 requests or 1 s, so that the 40
// slots cover 10 s at 20 requests/s and 30 s at 2 requests/s.
constexpr milliseconds kSlotTime{250};
constexpr std::chrono::seconds kLongestSlotTime{1};
constexpr unsigned kSlotSamples = 2;
// The counters of a slot are bytes.
constexpr unsigned kMaxSlotSamples = std::numeric_limits<std::uint8_t>::max();

// A summary reaches back over the fewest requests that give a usable median,
// because a service that slows down together must show it quickly.
constexpr std::chrono::seconds kSummaryTime{1};
constexpr unsigned kSummarySamples = 8;
constexpr unsigned kMinSummarySamples = 4;

// Position of a latency on the logarithmic bucket scale.
double BucketPosition(microseconds latency) {
  const double us = std::max<double>(static_cast<double>(latency.count()), 1);
  const double position = kBucketsPerOctave * std::log2(us / kFirstBucketUs);
  return std::clamp(position, 0.0, static_cast<double>(kLatencyBuckets) - 0.5);
}

unsigned Requests(const HealthSlot& slot) {
  return static_cast<unsigned>(slot.ok) + slot.failed;
}

bool IsComplete(const HealthSlot& slot, TimePoint now) {
  const unsigned samples = Requests(slot) + slot.shed;
  if (samples >= kMaxSlotSamples) {
    return true;
  }
  const auto age = now - slot.start;
  return age >= kLongestSlotTime ||
         (age >= kSlotTime && samples >= kSlotSamples);
}

HealthSlot& OpenSlot(EndpointHealth& health, TimePoint now) {
  if (health.used > 0 && !IsComplete(health.slots[health.newest], now)) {
    return health.slots[health.newest];
  }
  health.newest = static_cast<std::uint8_t>((health.newest + 1) % kHealthSlots);
  health.used = static_cast<std::uint8_t>(
      std::min<std::size_t>(health.used + 1U, kHealthSlots));
  HealthSlot& slot = health.slots[health.newest];
  slot = HealthSlot{};
  slot.start = now;
  return slot;
}

void ExtendRow(EndpointHealth& health, TimePoint now) {
  // The first failure may be an unrelated one that happened before the fault,
  // at a time when siblings still succeeded.
  if (health.failures_in_row <= 1) {
    health.failing_since = now;
  }
  health.last_failure = now;
  health.failures_in_row = static_cast<std::uint8_t>(
      std::min<unsigned>(health.failures_in_row + 1U, kMaxSlotSamples));
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
  NotePause(health, now);
  if (now - latency < health.valid_from) {
    return;
  }
  if (outcome == Outcome::kUnreachable) {
    health.refused_connections = static_cast<std::uint8_t>(
        std::min<unsigned>(health.refused_connections + 1U, kMaxSlotSamples));
  } else {
    health.refused_connections = 0;
  }
  HealthSlot& slot = OpenSlot(health, now);
  switch (outcome) {
    case Outcome::kShed:
      ++slot.shed;
      return;
    case Outcome::kOk:
      ++slot.ok;
      health.failures_in_row = 0;
      health.last_ok_sent = std::max(health.last_ok_sent, now - latency);
      break;
    case Outcome::kTimedOut:
      ++slot.failed;
      break;
    case Outcome::kFailed:
    case Outcome::kWrong:
    case Outcome::kUnreachable:
      // A failure may be faster than any correct response, so its latency
      // would hide a slow endpoint.
      ++slot.failed;
      ExtendRow(health, now);
      return;
  }
  ++slot.latencies[static_cast<std::size_t>(BucketPosition(latency))];
}

void RecordProbe(EndpointHealth& health, ProbeResult result, TimePoint now) {
  if (result == ProbeResult::kPassed) {
    health.failed_probes = 0;
    health.probe_passed_at = now;
    return;
  }
  health.failed_probes = static_cast<std::uint8_t>(
      std::min<unsigned>(health.failed_probes + 1U, kMaxSlotSamples));
}

void NotePause(EndpointHealth& health, TimePoint now) {
  if (!health.judged || now - health.last_judged <= kPauseGap) {
    return;
  }
  // Latencies of requests in flight include the pause, and the outcomes before
  // it are old although few calls have been made since.
  ClearWindow(health);
  health.refused_connections = 0;
  health.valid_from = now;
  health.last_judged = now;
}

void ClearWindow(EndpointHealth& health) {
  health.used = 0;
  health.failures_in_row = 0;
}

const HealthSlot& SlotAt(const EndpointHealth& health, std::size_t rank) {
  return health.slots[(health.newest + kHealthSlots - rank % kHealthSlots) %
                      kHealthSlots];
}

std::size_t FreshSlots(const EndpointHealth& health, TimePoint now) {
  std::size_t fresh = 0;
  while (fresh < health.used &&
         now - SlotAt(health, fresh).start <= kHealthWindow) {
    ++fresh;
  }
  return fresh;
}

double SamplesAbove(const HealthSlot& slot, microseconds threshold) {
  const double position = BucketPosition(threshold);
  const auto bucket = static_cast<std::size_t>(position);
  const double within = position - static_cast<double>(bucket);
  unsigned above = 0;
  for (std::size_t i = bucket + 1; i < kLatencyBuckets; ++i) {
    above += slot.latencies[i];
  }
  return above + slot.latencies[bucket] * (1 - within);
}

unsigned LatencySamples(const HealthSlot& slot) {
  unsigned samples = 0;
  for (const std::uint8_t count : slot.latencies) {
    samples += count;
  }
  return samples;
}

std::optional<EndpointSummary> SummarizeEndpoint(const EndpointHealth& health,
                                                 TimePoint now) {
  const std::size_t fresh = FreshSlots(health, now);
  unsigned requests = 0;
  unsigned failed = 0;
  unsigned latency_samples = 0;
  std::array<unsigned, kLatencyBuckets> latencies{};
  std::size_t slots = 0;
  while (slots < fresh) {
    const HealthSlot& slot = SlotAt(health, slots);
    requests += Requests(slot);
    failed += slot.failed;
    for (std::size_t i = 0; i < kLatencyBuckets; ++i) {
      latencies[i] += slot.latencies[i];
      latency_samples += slot.latencies[i];
    }
    ++slots;
    if (now - slot.start >= kSummaryTime && requests >= kSummarySamples) {
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
  for (std::size_t i = 0; i < slots && 2 * newer < requests; ++i) {
    newer += Requests(SlotAt(health, i));
    summary.midpoint = SlotAt(health, i).start;
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
      std::llround(kFirstBucketUs * std::exp2(position / kBucketsPerOctave)));
  return summary;
}

}  // namespace comfrey
