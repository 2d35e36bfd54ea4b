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

// One endpoint, its siblings and a clock. The midpoint of the siblings'
// summaries is always `sibling_age` ago.
struct EndpointFixture {
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

  void Evaluate() {
    EndpointSummary summary;
    summary.median_latency = this->sibling_latency;
    summary.failed_permille = this->sibling_failed_permille;
    summary.midpoint = this->now - this->sibling_age;
    summary.last_ok_sent = this->now - this->sibling_ok_age;
    this->baseline.siblings.assign(this->siblings, summary);
    this->verdict =
        EvaluateEndpoint(this->health, this->baseline, this->policy, this->now);
  }

  // Records requests for `time`, at 20 requests/s divided by `every`. Of ten
  // requests, `failed_in_ten` end with `failure`, evenly distributed. Stops
  // when the state of the endpoint changes.
  void Run(seconds time,
           milliseconds latency,
           int failed_in_ten = 0,
           Outcome failure = Outcome::kFailed,
           int every = 1) {
    this->Evaluate();
    const EndpointState before = this->verdict.state;
    const TimePoint end = this->now + time;
    for (int i = 0; this->now < end && this->verdict.state == before; ++i) {
      this->now += kTick;
      if (i % every == 0) {
        const bool fails = i / every * failed_in_ten % 10 < failed_in_ten;
        RecordOutcome(this->health, fails ? failure : Outcome::kOk, latency,
                      this->now);
      }
      this->Evaluate();
    }
  }
};

// Guards against false ejections and against faults that are not detected. The
// name of each case describes the fault.
TEST_CASE("an endpoint is evaluated against its siblings") {
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
    EndpointFixture fixture;
    fixture.siblings = c.siblings;
    fixture.sibling_latency = c.sibling_latency;
    fixture.sibling_failed_permille =
        static_cast<std::uint16_t>(c.sibling_failed_permille);
    fixture.sibling_age = c.sibling_age;
    fixture.sibling_ok_age = c.sibling_age;
    fixture.Run(seconds(15), c.latency, c.failed_in_ten, c.failure, c.every);
    CHECK(fixture.verdict.state == c.state);
    CHECK(fixture.verdict.reason == c.reason);
  }
}

// Guards against an ejection that is based on too few requests although all
// other conditions are met.
TEST_CASE("two failures are not enough evidence") {
  EndpointFixture fixture;
  fixture.sibling_age = milliseconds(100);
  fixture.Evaluate();
  for (int i = 0; i < 2; ++i) {
    fixture.now += milliseconds(600);
    RecordOutcome(fixture.health, Outcome::kFailed, milliseconds(2),
                  fixture.now);
    fixture.Evaluate();
  }
  for (int i = 0; i < 20; ++i) {
    fixture.now += kTick;
    fixture.Evaluate();
  }
  CHECK(fixture.verdict.state == EndpointState::kHealthy);
}

// Guards against a false ejection at the start of a slowdown of the whole
// service. Some slow responses occurred by chance before it. They must not be
// added to the slow responses of the slowdown, which the summaries of the
// siblings do not show yet.
TEST_CASE("evidence counts only up to the time that siblings describe") {
  EndpointFixture fixture;
  fixture.sibling_age = milliseconds(1000);
  fixture.Evaluate();
  const auto record = [&fixture](milliseconds latency) {
    RecordOutcome(fixture.health, Outcome::kOk, latency, fixture.now += kTick);
    fixture.Evaluate();
  };
  for (int i = 0; i < 60; ++i) {
    record(milliseconds(i * 69 % 100 < 69 ? 200 : 40));
  }
  for (int i = 0; i < 22; ++i) {
    record(milliseconds(200));
  }
  CHECK(fixture.verdict.state == EndpointState::kHealthy);
  fixture.sibling_latency = milliseconds(200);
  fixture.Run(seconds(10), milliseconds(200));
  CHECK(fixture.verdict.state == EndpointState::kHealthy);
}

// Guards against a false ejection after an outage of the whole service that the
// summaries of the siblings no longer show.
TEST_CASE("a shared outage that has ended ejects nobody") {
  EndpointFixture fixture;
  fixture.Run(seconds(3), milliseconds(40));
  fixture.sibling_failed_permille = 600;
  fixture.sibling_ok_age = seconds(5);
  for (int i = 0; i < 14; ++i) {
    RecordOutcome(fixture.health, Outcome::kFailed, milliseconds(2),
                  fixture.now += kTick);
    fixture.Evaluate();
  }
  fixture.Run(seconds(1), milliseconds(40));
  fixture.sibling_failed_permille = 0;
  fixture.sibling_ok_age = milliseconds(50);
  fixture.Run(seconds(10), milliseconds(40));
  CHECK(fixture.verdict.state == EndpointState::kHealthy);
}

// Guards against late detection of a server that fails every request, and
// against a false ejection if the siblings fail as well.
TEST_CASE("consecutive failures eject if siblings succeed meanwhile") {
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
    EndpointFixture fixture;
    fixture.Run(seconds(2), milliseconds(40));
    fixture.sibling_ok_age = c.sibling_ok_age;
    for (int i = 0; i < 6; ++i) {
      RecordOutcome(fixture.health, Outcome::kFailed, milliseconds(2),
                    fixture.now += kTick);
      fixture.Evaluate();
    }
    CHECK(fixture.verdict.state == c.state);
  }
}

// Guards against late ejection of a server that refuses connections, against an
// ejection because of a single refused connection, and against a restarted
// server that receives its full share without a warm-up.
TEST_CASE("refused connections eject, and a passed probe returns") {
  EndpointFixture fixture;
  fixture.siblings = 0;
  fixture.policy.warmup = seconds(10);
  fixture.Run(seconds(11), milliseconds(40));
  for (const EndpointState expected :
       {EndpointState::kHealthy, EndpointState::kHealthy,
        EndpointState::kEjected}) {
    RecordOutcome(fixture.health, Outcome::kUnreachable, milliseconds(0),
                  fixture.now += kTick);
    fixture.Evaluate();
    CHECK(fixture.verdict.state == expected);
  }
  CHECK(fixture.verdict.reason == VerdictReason::kUnreachable);
  // This probe was sent before the server crashed, so it must not end the
  // ejection.
  RecordProbe(fixture.health, ProbeResult::kPassed, fixture.now);
  fixture.Run(seconds(2), milliseconds(40), 0, Outcome::kOk, 100);
  CHECK(fixture.verdict.state == EndpointState::kEjected);
  RecordProbe(fixture.health, ProbeResult::kPassed, fixture.now);
  fixture.Evaluate();
  CHECK(fixture.verdict.state == EndpointState::kWarming);
}

// Guards against the ejection of a working server whose health endpoint reports
// a fault.
TEST_CASE("failed probes alone do not eject") {
  EndpointFixture fixture;
  fixture.Evaluate();
  for (int i = 0; i < 20; ++i) {
    RecordProbe(fixture.health, ProbeResult::kFailed, fixture.now);
    fixture.Run(seconds(1), milliseconds(40));
  }
  CHECK(fixture.verdict.state == EndpointState::kHealthy);
}

// Guards against the ejection of a just started server because it is slow, and
// against a full share for it at once.
TEST_CASE("the share rises from 10 to 100 percent during the warm-up") {
  EndpointFixture fixture;
  fixture.policy.warmup = seconds(10);
  fixture.Evaluate();
  CHECK(fixture.verdict.slot_share == 10);
  fixture.Run(seconds(5), milliseconds(400));
  CHECK(fixture.verdict.state == EndpointState::kWarming);
  CHECK(fixture.verdict.slot_share == 55);
  fixture.Run(seconds(6), milliseconds(40));
  CHECK(fixture.verdict.state == EndpointState::kHealthy);
  CHECK(fixture.verdict.slot_share == 100);

  EndpointFixture failing;
  failing.policy.warmup = seconds(10);
  failing.Run(seconds(5), milliseconds(40), 5);
  CHECK(failing.verdict.state == EndpointState::kEjected);
}

// Guards against an ejected endpoint that returns with its full share, and
// against counting requests in the probation that were sent before it.
TEST_CASE("probation raises the share in stages") {
  EndpointFixture fixture;
  fixture.Run(seconds(10), milliseconds(200));
  REQUIRE(fixture.verdict.state == EndpointState::kEjected);
  const TimePoint ejected = fixture.now;
  fixture.Run(seconds(60), milliseconds(40), 0, Outcome::kOk, 100);
  REQUIRE(fixture.verdict.state == EndpointState::kProbation);
  CHECK(fixture.now - ejected >= fixture.policy.ejection_time);
  for (int i = 0; i < 20; ++i) {
    RecordOutcome(fixture.health, Outcome::kTimedOut, seconds(1), fixture.now);
  }
  std::vector<int> shares;
  for (int i = 0; i < 200 && fixture.verdict.state == EndpointState::kProbation;
       ++i) {
    if (shares.empty() || shares.back() != fixture.verdict.slot_share) {
      shares.push_back(fixture.verdict.slot_share);
    }
    RecordOutcome(fixture.health, Outcome::kOk, milliseconds(40),
                  fixture.now += kTick);
    fixture.Evaluate();
  }
  CHECK(fixture.verdict.state == EndpointState::kHealthy);
  CHECK(shares == std::vector<int>{12, 25, 50});
}

// Guards against short ejections of a server that fails repeatedly, and against
// long ejections because of failures long ago.
TEST_CASE("each ejection within the flapping window doubles the time") {
  EndpointFixture fixture;
  for (const int expected : {10, 20, 40, 80, 160, 300, 300}) {
    INFO(expected);
    while (fixture.verdict.state != EndpointState::kEjected) {
      fixture.Run(seconds(10), milliseconds(40), 5);
    }
    const TimePoint ejected = fixture.now;
    fixture.Run(seconds(1000), milliseconds(40), 0, Outcome::kOk, 100);
    REQUIRE(fixture.verdict.state == EndpointState::kProbation);
    CHECK(fixture.now - ejected >= seconds(expected));
    CHECK(fixture.now - ejected <= seconds(expected) + 2 * kTick);
  }
  while (fixture.verdict.state != EndpointState::kHealthy) {
    fixture.Run(seconds(10), milliseconds(40));
  }
  fixture.Run(seconds(700), milliseconds(40));
  fixture.Run(seconds(10), milliseconds(40), 5);
  REQUIRE(fixture.verdict.state == EndpointState::kEjected);
  CHECK(fixture.health.ejected_until - fixture.now ==
        fixture.policy.ejection_time);
}

// Guards against false ejections after a pause of the process, because the
// latencies of requests in flight include the pause.
TEST_CASE("a pause of the process ejects nobody") {
  EndpointFixture fixture;
  fixture.Run(seconds(5), milliseconds(40));
  fixture.now += seconds(6);
  for (int i = 0; i < 40; ++i) {
    fixture.now += milliseconds(10);
    RecordOutcome(fixture.health, Outcome::kTimedOut, seconds(6), fixture.now);
  }
  fixture.Run(seconds(3), milliseconds(40));
  CHECK(fixture.verdict.state == EndpointState::kHealthy);
}

// Guards against ejecting slow endpoints while endpoints with wrong responses
// stay in use, if the floor does not permit both ejections.
TEST_CASE("severity orders faults") {
  const auto severity_of = [](milliseconds latency, int failed_in_ten) {
    EndpointFixture fixture;
    fixture.Run(seconds(10), latency, failed_in_ten);
    REQUIRE(fixture.verdict.state == EndpointState::kEjected);
    return fixture.verdict.severity;
  };
  EndpointFixture dead;
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
