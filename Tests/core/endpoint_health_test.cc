#include "core/endpoint_health.h"

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using TimePoint = std::chrono::steady_clock::time_point;

constexpr TimePoint kStart{seconds(1000)};

// Records `count` equal outcomes at intervals of 50 ms after `from`. Returns
// the time of the last one.
TimePoint Record(EndpointHealth& health,
                 int count,
                 Outcome outcome,
                 microseconds latency,
                 TimePoint from) {
  for (int i = 0; i < count; ++i) {
    from += milliseconds(50);
    RecordOutcome(health, outcome, latency, from);
  }
  return from;
}

// Guards against old samples that are treated as recent.
TEST_CASE("samples expire with time") {
  EndpointHealth health = MakeEndpointHealth(kStart);
  const TimePoint end =
      Record(health, 20, Outcome::kOk, milliseconds(10), kStart);
  CHECK(SummarizeEndpoint(health, end).has_value());
  CHECK_FALSE(SummarizeEndpoint(health, end + kHealthWindow + seconds(1)));
}

// Guards against counting shed requests as failures, and against fast failures
// that lower the median latency of a slow endpoint.
TEST_CASE("each outcome is counted in its category") {
  struct Case {
    Outcome outcome;
    int failed_permille;
    bool counts_latency;
  };
  const Case cases[] = {
      {Outcome::kOk, 0, true},         {Outcome::kFailed, 500, false},
      {Outcome::kWrong, 500, false},   {Outcome::kShed, 0, false},
      {Outcome::kTimedOut, 500, true}, {Outcome::kUnreachable, 500, false},
  };
  for (const Case& c : cases) {
    INFO(static_cast<int>(c.outcome));
    EndpointHealth health = MakeEndpointHealth(kStart);
    TimePoint now = kStart;
    for (int i = 0; i < 10; ++i) {
      now = Record(health, 1, Outcome::kOk, milliseconds(40), now);
      now = Record(health, 1, c.outcome, milliseconds(1), now);
    }
    const auto summary = SummarizeEndpoint(health, now);
    REQUIRE(summary);
    CHECK(summary->failed_permille == c.failed_permille);
    CHECK((summary->median_latency < milliseconds(30)) == c.counts_latency);
  }
}

// Guards against a wrong unit or factor in the scale of the latency buckets.
TEST_CASE("the median is precise to a bucket") {
  for (const int ms : {1, 7, 40, 300, 2500, 9000}) {
    INFO(ms);
    EndpointHealth health = MakeEndpointHealth(kStart - seconds(20));
    const TimePoint now =
        Record(health, 20, Outcome::kOk, milliseconds(ms), kStart);
    const auto summary = SummarizeEndpoint(health, now);
    REQUIRE(summary);
    const double ratio =
        static_cast<double>(summary->median_latency.count()) / (1000.0 * ms);
    CHECK(ratio > 0.84);
    CHECK(ratio < 1.19);
  }
}

// Guards against a midpoint that is later than the summarized requests. Old
// data would then confirm ejections.
TEST_CASE("half of the requests are newer than the midpoint") {
  EndpointHealth health = MakeEndpointHealth(kStart);
  const TimePoint end =
      Record(health, 40, Outcome::kOk, milliseconds(10), kStart);
  const auto busy = SummarizeEndpoint(health, end);
  REQUIRE(busy);
  CHECK(busy->midpoint <= end - milliseconds(400));
  CHECK(busy->midpoint >= end - milliseconds(1000));
  const auto idle = SummarizeEndpoint(health, end + seconds(10));
  REQUIRE(idle);
  CHECK(idle->midpoint <= end);
}

// Guards against one-byte counters that wrap around at high request rates.
TEST_CASE("a high rate does not overflow an interval") {
  EndpointHealth health = MakeEndpointHealth(kStart);
  TimePoint now = kStart;
  for (int i = 0; i < 5000; ++i) {
    now += microseconds(20);
    RecordOutcome(health, i % 10 == 0 ? Outcome::kFailed : Outcome::kOk,
                  microseconds(5), now);
  }
  const auto summary = SummarizeEndpoint(health, now);
  REQUIRE(summary);
  CHECK(summary->failed_permille >= 80);
  CHECK(summary->failed_permille <= 120);
}

// Guards against counting latencies that include a pause of the process, and
// outcomes from before the pause.
TEST_CASE("a paused process starts with an empty window") {
  EndpointHealth health = MakeEndpointHealth(kStart);
  const TimePoint before =
      Record(health, 20, Outcome::kFailed, milliseconds(10), kStart);
  health.evaluated = true;
  health.last_evaluated = before;
  const TimePoint woken = before + seconds(8);
  RecordOutcome(health, Outcome::kTimedOut, seconds(8), woken);
  RecordOutcome(health, Outcome::kOk, seconds(8), woken + milliseconds(1));
  CHECK(FreshIntervals(health, woken) == 0);
  const TimePoint now =
      Record(health, 10, Outcome::kOk, milliseconds(10), woken);
  const auto summary = SummarizeEndpoint(health, now);
  REQUIRE(summary);
  CHECK(summary->failed_permille == 0);
  CHECK(summary->median_latency < milliseconds(20));
}

}  // namespace
}  // namespace comfrey
