#include "core/path_health.h"

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using TimePoint = std::chrono::steady_clock::time_point;

constexpr TimePoint kStart{seconds(1000)};

struct PathFixture {
  PathHealth path;
  std::mt19937_64 rng{5};

  void Fail(PathFailure failure, TimePoint sent_at, TimePoint now) {
    RecordPathFailure(this->path, failure, sent_at, now, this->rng);
  }
};

// Guards against a path that stays in use although connections fail or replies
// are missing.
TEST_CASE("a failure of either kind moves traffic away") {
  for (const PathFailure failure :
       {PathFailure::kTransport, PathFailure::kAcceptTimeout}) {
    PathFixture fixture;
    fixture.Fail(failure, kStart, kStart + milliseconds(250));
    CHECK_FALSE(IsPathUsable(fixture.path));
    CHECK_FALSE(IsTrialDue(fixture.path, kStart + milliseconds(251)));
    CHECK(IsTrialDue(fixture.path, kStart + milliseconds(501)));
  }
}

// Guards against trials at a constant rate on a path that is cut for an hour,
// and against a backoff of minutes after the path has recovered.
TEST_CASE("the backoff doubles up to a limit") {
  PathFixture fixture;
  TimePoint now = kStart;
  for (const int expected_ms :
       {250, 500, 1000, 2000, 2000, 2000, 2000, 2000, 2000}) {
    INFO(expected_ms);
    fixture.Fail(PathFailure::kTransport, now, now);
    const auto wait = fixture.path.retry_at - now;
    CHECK(wait <= milliseconds(expected_ms));
    CHECK(wait >= milliseconds(expected_ms) * 3 / 4);
    now = fixture.path.retry_at;
    REQUIRE(IsTrialDue(fixture.path, now));
    BeginTrial(fixture.path, now);
    now += milliseconds(1);
  }
  RecordPathSuccess(fixture.path, now, now + milliseconds(2));
  CHECK(IsPathUsable(fixture.path));
  fixture.Fail(PathFailure::kTransport, now, now + milliseconds(5));
  CHECK(fixture.path.retry_at - now < milliseconds(300));
}

// Guards against a silent path that stays in use because no request waits long
// enough on it, and against taking a path out of use for requests that end by
// themselves.
TEST_CASE("a requested check leaves the path in use until it fails") {
  PathFixture fixture;
  CHECK_FALSE(TakeCheck(fixture.path));
  RequestCheck(fixture.path);
  CHECK(IsPathUsable(fixture.path));
  CHECK(TakeCheck(fixture.path));
  CHECK_FALSE(TakeCheck(fixture.path));
  RequestCheck(fixture.path);
  RecordPathSuccess(fixture.path, kStart, kStart + milliseconds(1));
  CHECK_FALSE(TakeCheck(fixture.path));
  RequestCheck(fixture.path);
  fixture.Fail(PathFailure::kTransport, kStart, kStart + milliseconds(2));
  CHECK_FALSE(TakeCheck(fixture.path));
  CHECK_FALSE(IsPathUsable(fixture.path));
}

// Guards against several increases of the backoff by requests that were in
// flight during the same fault.
TEST_CASE("failures in flight together count once") {
  PathFixture fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.Fail(PathFailure::kAcceptTimeout, kStart + milliseconds(i),
                 kStart + milliseconds(250 + i));
  }
  CHECK(fixture.path.failures == 1);
}

// Guards against a late reply to an attempt that was sent before the failure.
TEST_CASE("only an attempt sent after the failure makes the path usable") {
  PathFixture fixture;
  fixture.Fail(PathFailure::kAcceptTimeout, kStart, kStart + milliseconds(250));
  RecordPathSuccess(fixture.path, kStart + milliseconds(100),
                    kStart + milliseconds(300));
  CHECK_FALSE(IsPathUsable(fixture.path));
  RecordPathSuccess(fixture.path, kStart + milliseconds(600),
                    kStart + milliseconds(610));
  CHECK(IsPathUsable(fixture.path));
}

// Guards against several requests at once on a path that may still be broken,
// and against a trial that never ends and blocks the path forever.
TEST_CASE("one trial runs at a time") {
  PathFixture fixture;
  fixture.Fail(PathFailure::kTransport, kStart, kStart);
  const TimePoint due = kStart + milliseconds(250);
  REQUIRE(IsTrialDue(fixture.path, due));
  BeginTrial(fixture.path, due);
  CHECK_FALSE(IsTrialDue(fixture.path, due + milliseconds(100)));
  CHECK(IsTrialDue(fixture.path, due + seconds(2)));
}

// Guards against a process that treats all paths as failed after it was paused.
TEST_CASE("a timeout that is noticed after a pause is ignored") {
  PathFixture fixture;
  fixture.Fail(PathFailure::kAcceptTimeout, kStart, kStart + seconds(5));
  CHECK(IsPathUsable(fixture.path));
}

// Guards against timeouts on a path with a long round trip.
TEST_CASE("the accept timeout follows the usual time of the path") {
  PathFixture fixture;
  // A path that was never used may lead to another region.
  CHECK(AcceptTimeout(fixture.path) == milliseconds(490));
  PathFixture near;
  RecordPathSuccess(near.path, kStart, kStart + milliseconds(1));
  CHECK(AcceptTimeout(near.path) == milliseconds(254));
  for (int i = 0; i < 50; ++i) {
    RecordPathSuccess(fixture.path, kStart, kStart + milliseconds(60));
  }
  CHECK(AcceptTimeout(fixture.path) == milliseconds(490));
  RecordPathSuccess(fixture.path, kStart, kStart + seconds(60));
  CHECK(AcceptTimeout(fixture.path) < milliseconds(600));
}

// Guards against a round trip that appears long because it includes the time to
// establish connections. The ingress would then send bodies without querying
// the load first.
TEST_CASE("the minimum accept time is about a round trip") {
  PathFixture fixture;
  RecordPathSuccess(fixture.path, kStart, kStart + milliseconds(200));
  RecordPathSuccess(fixture.path, kStart, kStart + milliseconds(62));
  RecordPathSuccess(fixture.path, kStart, kStart + milliseconds(90));
  CHECK(fixture.path.min_accept_time == milliseconds(62));
  fixture.Fail(PathFailure::kTransport, kStart, kStart + seconds(1));
  RecordPathSuccess(fixture.path, kStart + seconds(2),
                    kStart + seconds(2) + milliseconds(80));
  CHECK(fixture.path.min_accept_time == milliseconds(80));
}

}  // namespace
}  // namespace comfrey
