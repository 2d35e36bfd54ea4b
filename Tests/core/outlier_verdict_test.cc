#include "core/outlier_verdict.h"

#include <vector>

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using TimePoint = std::chrono::steady_clock::time_point;

constexpr TimePoint kStart{seconds(1000)};
constexpr milliseconds kTick{50};

// One endpoint, its siblings and a clock. Siblings publish `sibling_age` late.
struct Bench {
  EndpointHealth health = MakeEndpointHealth(kStart);
  DetectionPolicy policy =
      MakeDetectionPolicy(Detection::kBalanced, milliseconds(0));
  SiblingBaseline baseline;
  Verdict verdict;
  TimePoint now = kStart;
  std::size_t siblings = 11;
  milliseconds sibling_latency{40};
  std::uint16_t sibling_failed_permille = 0;
  milliseconds sibling_age{500};
  milliseconds sibling_ok_age{50};

  void Judge() {
    EndpointSummary summary;
    summary.median_latency = this->sibling_latency;
    summary.failed_permille = this->sibling_failed_permille;
    summary.midpoint = this->now - this->sibling_age;
    summary.last_ok_sent = this->now - this->sibling_ok_age;
    this->baseline.siblings.assign(this->siblings, summary);
    this->verdict =
        JudgeEndpoint(this->health, this->baseline, this->policy, this->now);
  }

  // Runs for `time`, at 20 requests/s divided by `every`. Of ten
  // requests, `failed_in_ten` end with `failure`, evenly spread. Stops at a
  // change of state.
  void Run(seconds time,
           milliseconds latency,
           int failed_in_ten = 0,
           Outcome failure = Outcome::kFailed,
           int every = 1) {
    this->Judge();
    const EndpointState before = this->verdict.state;
    const TimePoint end = this->now + time;
    for (int i = 0; this->now < end && this->verdict.state == before; ++i) {
      this->now += kTick;
      if (i % every == 0) {
        const bool fails = i / every * failed_in_ten % 10 < failed_in_ten;
        RecordOutcome(this->health, fails ? failure : Outcome::kOk, latency,
                      this->now);
      }
      this->Judge();
    }
  }
};

// Guards against ejections without grounds and against faults that are missed:
// each row names its own failure.
TEST_CASE("an endpoint is judged against its siblings") {
  struct Case {
    const char* name;
    milliseconds latency;
    int failed_in_ten;
    Outcome failure;
    int every;
    std::size_t siblings;
    milliseconds sibling_latency;
    int sibling_failed_permille;
    milliseconds sibling_age;
    EndpointState state;
    VerdictReason reason;
  };
  using S = EndpointState;
  using R = VerdictReason;
  constexpr auto kFail = Outcome::kFailed;
  const milliseconds ms40(40);
  const milliseconds ms200(200);
  const milliseconds now500(500);
  const Case cases[] = {
      {"healthy", ms40, 0, kFail, 1, 11, ms40, 0, now500, S::kHealthy,
       R::kNone},
      {"slow", ms200, 0, kFail, 1, 11, ms40, 0, now500, S::kEjected, R::kSlow},
      {"slow, one sibling", ms200, 0, kFail, 1, 1, ms40, 0, now500, S::kEjected,
       R::kSlow},
      {"slow with all others", ms200, 0, kFail, 1, 11, ms200, 0, now500,
       S::kHealthy, R::kNone},
      {"slow, siblings not heard since", ms200, 0, kFail, 1, 11, ms40, 0,
       seconds(20), S::kHealthy, R::kUnconfirmed},
      {"slow, no siblings", ms200, 0, kFail, 1, 0, ms40, 0, now500, S::kHealthy,
       R::kNone},
      {"slow by 3 ms", milliseconds(4), 0, kFail, 1, 11, milliseconds(1), 0,
       now500, S::kHealthy, R::kNone},
      {"slow while siblings time out", ms200, 0, kFail, 1, 11, ms40, 300,
       now500, S::kHealthy, R::kNone},
      {"half wrong", ms40, 5, Outcome::kWrong, 1, 11, ms40, 0, now500,
       S::kEjected, R::kFailing},
      {"half wrong at 2 requests/s", ms40, 5, Outcome::kWrong, 10, 11, ms40, 0,
       now500, S::kEjected, R::kFailing},
      {"half failing with all others", ms40, 5, kFail, 1, 11, ms40, 500, now500,
       S::kHealthy, R::kNone},
      {"failing, no siblings", ms40, 9, kFail, 1, 0, ms40, 0, now500,
       S::kHealthy, R::kNoSiblings},
      {"failing, siblings not heard since", ms40, 9, kFail, 1, 11, ms40, 0,
       seconds(20), S::kHealthy, R::kUnconfirmed},
      {"some hang", ms40, 3, Outcome::kTimedOut, 1, 11, ms40, 0, now500,
       S::kEjected, R::kFailing},
      {"sheds all load", ms40, 10, Outcome::kShed, 1, 11, ms40, 0, now500,
       S::kHealthy, R::kNone},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    Bench bench;
    bench.siblings = c.siblings;
    bench.sibling_latency = c.sibling_latency;
    bench.sibling_failed_permille =
        static_cast<std::uint16_t>(c.sibling_failed_permille);
    bench.sibling_age = c.sibling_age;
    bench.sibling_ok_age = c.sibling_age;
    bench.Run(seconds(15), c.latency, c.failed_in_ten, c.failure, c.every);
    CHECK(bench.verdict.state == c.state);
    CHECK(bench.verdict.reason == c.reason);
  }
}

// Guards against an ejection on few requests, when all other conditions hold.
TEST_CASE("two failures are not evidence") {
  Bench bench;
  bench.sibling_age = milliseconds(100);
  bench.Judge();
  for (int i = 0; i < 2; ++i) {
    bench.now += milliseconds(600);
    RecordOutcome(bench.health, Outcome::kFailed, milliseconds(2), bench.now);
    bench.Judge();
  }
  for (int i = 0; i < 20; ++i) {
    bench.now += kTick;
    bench.Judge();
  }
  CHECK(bench.verdict.state == EndpointState::kHealthy);
}

// Guards against chance evidence from before a slowdown of the whole service
// that is completed by slow responses which siblings cannot have published yet.
TEST_CASE("evidence counts only up to the time that siblings describe") {
  Bench bench;
  bench.sibling_age = milliseconds(1000);
  bench.Judge();
  const auto record = [&bench](milliseconds latency) {
    RecordOutcome(bench.health, Outcome::kOk, latency, bench.now += kTick);
    bench.Judge();
  };
  for (int i = 0; i < 60; ++i) {
    record(milliseconds(i * 69 % 100 < 69 ? 200 : 40));
  }
  for (int i = 0; i < 22; ++i) {
    record(milliseconds(200));
  }
  CHECK(bench.verdict.state == EndpointState::kHealthy);
  bench.sibling_latency = milliseconds(200);
  bench.Run(seconds(10), milliseconds(200));
  CHECK(bench.verdict.state == EndpointState::kHealthy);
}

// Guards against blame for an outage of the whole service that siblings no
// longer show in their summaries.
TEST_CASE("a shared outage that has ended ejects nobody") {
  Bench bench;
  bench.Run(seconds(3), milliseconds(40));
  bench.sibling_failed_permille = 600;
  bench.sibling_ok_age = seconds(5);
  for (int i = 0; i < 14; ++i) {
    RecordOutcome(bench.health, Outcome::kFailed, milliseconds(2),
                  bench.now += kTick);
    bench.Judge();
  }
  bench.Run(seconds(1), milliseconds(40));
  bench.sibling_failed_permille = 0;
  bench.sibling_ok_age = milliseconds(50);
  bench.Run(seconds(10), milliseconds(40));
  CHECK(bench.verdict.state == EndpointState::kHealthy);
}

// Guards against a server that is dead or wrong throughout and is detected
// only after a full window, and against blame when the others fail as well.
TEST_CASE("failures in a row eject if siblings succeed meanwhile") {
  struct Case {
    const char* name;
    milliseconds sibling_ok_age;  // at the last failure
    EndpointState state;
  };
  const Case cases[] = {
      {"siblings succeed", milliseconds(50), EndpointState::kEjected},
      {"siblings succeeded before", milliseconds(700), EndpointState::kHealthy},
      {"siblings succeed only after", milliseconds(-10),
       EndpointState::kHealthy},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    Bench bench;
    bench.Run(seconds(2), milliseconds(40));
    bench.sibling_ok_age = c.sibling_ok_age;
    for (int i = 0; i < 6; ++i) {
      RecordOutcome(bench.health, Outcome::kFailed, milliseconds(2),
                    bench.now += kTick);
      bench.Judge();
    }
    CHECK(bench.verdict.state == c.state);
  }
}

// Guards against a dead server that waits for statistics, against one refused
// connection that ejects, and against a restarted server that returns cold.
TEST_CASE("refused connections eject, and a passed probe returns") {
  Bench bench;
  bench.siblings = 0;
  bench.policy.warmup = seconds(10);
  bench.Run(seconds(11), milliseconds(40));
  for (const EndpointState expected :
       {EndpointState::kHealthy, EndpointState::kHealthy,
        EndpointState::kEjected}) {
    RecordOutcome(bench.health, Outcome::kUnreachable, milliseconds(0),
                  bench.now += kTick);
    bench.Judge();
    CHECK(bench.verdict.state == expected);
  }
  CHECK(bench.verdict.reason == VerdictReason::kUnreachable);
  // The probe was in flight when the server died.
  RecordProbe(bench.health, ProbeResult::kPassed, bench.now);
  bench.Run(seconds(2), milliseconds(40), 0, Outcome::kOk, 100);
  CHECK(bench.verdict.state == EndpointState::kEjected);
  RecordProbe(bench.health, ProbeResult::kPassed, bench.now);
  bench.Judge();
  CHECK(bench.verdict.state == EndpointState::kWarming);
}

// Guards against a health endpoint that ejects a server that works.
TEST_CASE("failed probes alone do not eject") {
  Bench bench;
  bench.Judge();
  for (int i = 0; i < 20; ++i) {
    RecordProbe(bench.health, ProbeResult::kFailed, bench.now);
    bench.Run(seconds(1), milliseconds(40));
  }
  CHECK(bench.verdict.state == EndpointState::kHealthy);
}

// Guards against a cold server that is ejected as slow, and against one that
// receives its full share at once.
TEST_CASE("a cold start gets a ramp") {
  Bench bench;
  bench.policy.warmup = seconds(10);
  bench.Judge();
  CHECK(bench.verdict.slot_share == 10);
  bench.Run(seconds(5), milliseconds(400));
  CHECK(bench.verdict.state == EndpointState::kWarming);
  CHECK(bench.verdict.slot_share == 55);
  bench.Run(seconds(6), milliseconds(40));
  CHECK(bench.verdict.state == EndpointState::kHealthy);
  CHECK(bench.verdict.slot_share == 100);

  Bench failing;
  failing.policy.warmup = seconds(10);
  failing.Run(seconds(5), milliseconds(40), 5);
  CHECK(failing.verdict.state == EndpointState::kEjected);
}

// Guards against a return at full share, and against requests from before the
// return that decide the probation.
TEST_CASE("probation raises the share in stages") {
  Bench bench;
  bench.Run(seconds(10), milliseconds(200));
  REQUIRE(bench.verdict.state == EndpointState::kEjected);
  const TimePoint ejected = bench.now;
  bench.Run(seconds(60), milliseconds(40), 0, Outcome::kOk, 100);
  REQUIRE(bench.verdict.state == EndpointState::kProbation);
  CHECK(bench.now - ejected >= bench.policy.ejection_time);
  for (int i = 0; i < 20; ++i) {
    RecordOutcome(bench.health, Outcome::kTimedOut, seconds(1), bench.now);
  }
  std::vector<int> shares;
  for (int i = 0; i < 200 && bench.verdict.state == EndpointState::kProbation;
       ++i) {
    if (shares.empty() || shares.back() != bench.verdict.slot_share) {
      shares.push_back(bench.verdict.slot_share);
    }
    RecordOutcome(bench.health, Outcome::kOk, milliseconds(40),
                  bench.now += kTick);
    bench.Judge();
  }
  CHECK(bench.verdict.state == EndpointState::kHealthy);
  CHECK(shares == std::vector<int>{12, 25, 50});
}

// Guards against a flapping server that returns as often as it fails, and
// against a server that pays for ejections of long ago.
TEST_CASE("each ejection within the flapping window doubles the time") {
  Bench bench;
  for (const int expected : {10, 20, 40, 80, 160, 300, 300}) {
    INFO(expected);
    while (bench.verdict.state != EndpointState::kEjected) {
      bench.Run(seconds(10), milliseconds(40), 5);
    }
    const TimePoint ejected = bench.now;
    bench.Run(seconds(1000), milliseconds(40), 0, Outcome::kOk, 100);
    REQUIRE(bench.verdict.state == EndpointState::kProbation);
    CHECK(bench.now - ejected >= seconds(expected));
    CHECK(bench.now - ejected <= seconds(expected) + 2 * kTick);
  }
  while (bench.verdict.state != EndpointState::kHealthy) {
    bench.Run(seconds(10), milliseconds(40));
  }
  bench.Run(seconds(700), milliseconds(40));
  bench.Run(seconds(10), milliseconds(40), 5);
  REQUIRE(bench.verdict.state == EndpointState::kEjected);
  CHECK(bench.health.ejected_until - bench.now == bench.policy.ejection_time);
}

// Guards against a process that wakes from a pause and ejects on the latencies
// that its own pause caused.
TEST_CASE("a pause of the process ejects nobody") {
  Bench bench;
  bench.Run(seconds(5), milliseconds(40));
  bench.now += seconds(6);
  for (int i = 0; i < 40; ++i) {
    bench.now += milliseconds(10);
    RecordOutcome(bench.health, Outcome::kTimedOut, seconds(6), bench.now);
  }
  bench.Run(seconds(3), milliseconds(40));
  CHECK(bench.verdict.state == EndpointState::kHealthy);
}

// Guards against a floor that is spent on slow endpoints while wrong ones
// stay in use.
TEST_CASE("severity orders faults") {
  const auto severity_of = [](milliseconds latency, int failed_in_ten) {
    Bench bench;
    bench.Run(seconds(10), latency, failed_in_ten);
    REQUIRE(bench.verdict.state == EndpointState::kEjected);
    return bench.verdict.severity;
  };
  Bench dead;
  dead.Run(seconds(2), milliseconds(40), 10, Outcome::kUnreachable);
  const int slow5 = severity_of(milliseconds(200), 0);
  const int slow20 = severity_of(milliseconds(800), 0);
  const int half_wrong = severity_of(milliseconds(40), 5);
  CHECK(slow5 < slow20);
  CHECK(slow20 < half_wrong);
  CHECK(half_wrong < dead.verdict.severity);
}

}  // namespace
}  // namespace comfrey
