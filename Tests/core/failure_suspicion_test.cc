#include "core/failure_suspicion.h"

#include <random>

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using TimePoint = std::chrono::steady_clock::time_point;

constexpr TimePoint kNow{seconds(1000)};

// Guards against sending requests that must not be repeated to an endpoint that
// has just begun to fail.
TEST_CASE("one failure makes an endpoint suspect") {
  const SuspicionPolicy policy;
  FailureSuspicion suspicion;
  CHECK_FALSE(IsSuspect(suspicion, policy, kNow));
  for (int i = 0; i < 20; ++i) {
    RecordRequest(suspicion, policy, false, kNow + milliseconds(i));
  }
  CHECK_FALSE(IsSuspect(suspicion, policy, kNow + milliseconds(20)));
  RecordRequest(suspicion, policy, true, kNow + seconds(2));
  CHECK(IsSuspect(suspicion, policy, kNow + seconds(2)));
}

// Guards against an endpoint that stays suspect after its failures ended.
TEST_CASE("successes or time end the suspicion") {
  const SuspicionPolicy policy;
  FailureSuspicion suspicion;
  RecordRequest(suspicion, policy, true, kNow);
  RecordRequest(suspicion, policy, true, kNow);
  int successes = 0;
  FailureSuspicion tested = suspicion;
  while (IsSuspect(tested, policy, kNow)) {
    RecordRequest(tested, policy, false, kNow);
    REQUIRE(++successes < 12);
  }
  CHECK(successes >= 2);
  CHECK(IsSuspect(suspicion, policy, kNow + seconds(5)));
  CHECK_FALSE(IsSuspect(suspicion, policy, kNow + seconds(20)));
}

// Guards against frequent trials, whose failures would use up the budget of
// repeats.
TEST_CASE("a suspect endpoint is tested at most once an interval") {
  const SuspicionPolicy policy;
  FailureSuspicion suspicion;
  RecordRequest(suspicion, policy, true, kNow);
  CHECK_FALSE(TryBeginSuspicionTrial(suspicion, policy, kNow));
  CHECK(
      TryBeginSuspicionTrial(suspicion, policy, kNow + policy.trial_interval));
  RecordRequest(suspicion, policy, true, kNow);
  const TimePoint due = kNow + policy.trial_interval;
  CHECK_FALSE(TryBeginSuspicionTrial(suspicion, policy, due - milliseconds(1)));
  CHECK(TryBeginSuspicionTrial(suspicion, policy, due));
  // After a success, the next trial is permitted at once.
  RecordRequest(suspicion, policy, false, due + milliseconds(1));
  CHECK(TryBeginSuspicionTrial(suspicion, policy, due + milliseconds(1)));
}

// Guards against too many suspicions of healthy endpoints. An endpoint that
// fails 1 in 80 requests must be suspect for less than one tenth of the time.
TEST_CASE("a healthy endpoint is rarely suspect") {
  const SuspicionPolicy policy;
  FailureSuspicion suspicion;
  std::mt19937_64 rng(3);
  int suspect = 0;
  constexpr int kRequests = 20'000;
  for (int i = 0; i < kRequests; ++i) {
    const TimePoint now = kNow + milliseconds(250) * i;
    suspect += IsSuspect(suspicion, policy, now) ? 1 : 0;
    RecordRequest(suspicion, policy, rng() % 80 == 0, now);
  }
  CHECK(suspect * 10 < kRequests);
}

}  // namespace
}  // namespace comfrey
