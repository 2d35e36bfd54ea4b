#include "core/repeated_runs.h"

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

using std::chrono::milliseconds;

// Guards against calls of repeated runs that are not recognized because the
// time left is rounded or the VM is busy, and against all requests of a VM
// being taken for calls of a run.
TEST_CASE("a call is recognized by the deadline of its run") {
  const RepeatedRuns::TimePoint start{};
  const RepeatedRuns::TimePoint deadline = start + milliseconds(800);
  RepeatedRuns runs;
  CHECK_FALSE(MayBeCallOfRun(runs, deadline));
  AddRepeatedRun(runs, deadline, start);
  for (const int late_ms : {-2, 0, 20}) {
    CHECK(MayBeCallOfRun(runs, deadline + milliseconds(late_ms)));
  }
  for (const int late_ms : {-50, -10, 50, 400}) {
    CHECK_FALSE(MayBeCallOfRun(runs, deadline + milliseconds(late_ms)));
  }
}

// Guards against a list of runs that grows for ever.
TEST_CASE("a run is forgotten after its deadline") {
  const RepeatedRuns::TimePoint start{};
  RepeatedRuns runs;
  for (int run = 0; run < 1000; ++run) {
    const RepeatedRuns::TimePoint now = start + milliseconds(10 * run);
    AddRepeatedRun(runs, now + milliseconds(500), now);
    AddRepeatedRun(runs, now + milliseconds(500), now);
  }
  CHECK(runs.deadlines.size() <= 110);
}

}  // namespace
}  // namespace comfrey
