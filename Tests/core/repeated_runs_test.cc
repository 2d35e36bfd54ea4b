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
  CHECK_FALSE(MayBeCallOfRun(runs, "b", deadline));
  AddRepeatedRun(runs, "a", deadline, start);
  for (const int late_ms : {-2, 0, 20}) {
    CHECK(MayBeCallOfRun(runs, "b", deadline + milliseconds(late_ms)));
  }
  for (const int late_ms : {-50, -10, 50, 400}) {
    CHECK_FALSE(MayBeCallOfRun(runs, "b", deadline + milliseconds(late_ms)));
  }
}

// Guards against calls that are not recognized because they have a shorter
// limit of their own.
TEST_CASE("a call is recognized by the id of its run") {
  const RepeatedRuns::TimePoint start{};
  const RepeatedRuns::TimePoint call_deadline = start + milliseconds(400);
  RepeatedRuns runs;
  AddRepeatedRun(runs, "5f1d", start + milliseconds(1500), start);
  for (const char* const id : {"5f1d.07", "5f1d-07.1", "5f1d/07"}) {
    CHECK(MayBeCallOfRun(runs, id, call_deadline));
  }
  for (const char* const id : {"5f1d", "5f1d07", "5f1e.07", "07.5f1d", ""}) {
    CHECK_FALSE(MayBeCallOfRun(runs, id, call_deadline));
  }
  AddRepeatedRun(runs, "", start + milliseconds(1500), start);
  CHECK_FALSE(MayBeCallOfRun(runs, ".07", call_deadline));
}

// Guards against a list of runs that grows for ever.
TEST_CASE("a run is forgotten after its deadline") {
  const RepeatedRuns::TimePoint start{};
  RepeatedRuns runs;
  for (int run = 0; run < 1000; ++run) {
    const RepeatedRuns::TimePoint now = start + milliseconds(10 * run);
    AddRepeatedRun(runs, "a", now + milliseconds(500), now);
    AddRepeatedRun(runs, "b", now + milliseconds(500), now);
  }
  CHECK(runs.ids.size() <= 110);
}

}  // namespace
}  // namespace comfrey
