#include "core/repeated_runs.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;

// A call expires at the deadline of the run that makes it, and has no other
// mark of it. Both times left are rounded down to milliseconds, and a call is
// read some time after its backend server has computed the time left.
constexpr milliseconds kRounding{3};
constexpr milliseconds kMaxReadDelay{30};

}  // namespace

void AddRepeatedRun(RepeatedRuns& runs,
                    RepeatedRuns::TimePoint deadline,
                    RepeatedRuns::TimePoint now) {
  runs.deadlines.erase(runs.deadlines.begin(),
                       runs.deadlines.lower_bound(now - kMaxReadDelay));
  runs.deadlines.insert(deadline);
}

bool MayBeCallOfRun(const RepeatedRuns& runs,
                    RepeatedRuns::TimePoint deadline) {
  const auto found = runs.deadlines.lower_bound(deadline - kMaxReadDelay);
  return found != runs.deadlines.end() && *found <= deadline + kRounding;
}

}  // namespace comfrey
