#include "core/repeated_runs.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;

// A call expires at the deadline of the run that makes it, unless it has a
// shorter limit of its own. Both times left are rounded down to milliseconds,
// and a call is read some time after its backend server has computed its own.
constexpr milliseconds kRounding{3};
constexpr milliseconds kMaxReadDelay{30};

bool IsExtendedBy(absl::string_view id, absl::string_view longer) {
  return !id.empty() && longer.size() > id.size() &&
         absl::StartsWith(longer, id) &&
         !absl::ascii_isalnum(longer[id.size()]);
}

}  // namespace

void AddRepeatedRun(RepeatedRuns& runs,
                    absl::string_view id,
                    RepeatedRuns::TimePoint deadline,
                    RepeatedRuns::TimePoint now) {
  runs.ids.erase(runs.ids.begin(), runs.ids.lower_bound(now - kMaxReadDelay));
  runs.ids.emplace(deadline, id);
}

bool MayBeCallOfRun(const RepeatedRuns& runs,
                    absl::string_view id,
                    RepeatedRuns::TimePoint deadline) {
  return std::any_of(runs.ids.begin(), runs.ids.end(), [&](const auto& run) {
    const auto& [run_deadline, run_id] = run;
    return IsExtendedBy(run_id, id) ||
           (run_deadline >= deadline - kMaxReadDelay &&
            run_deadline <= deadline + kRounding);
  });
}

}  // namespace comfrey
