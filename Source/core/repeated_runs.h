#ifndef CORE_REPEATED_RUNS_H_
#define CORE_REPEATED_RUNS_H_

#include <chrono>
#include <set>

namespace comfrey {

/// \brief Requests that ran at the backend server of this VM although another
/// one may have run them before, by their deadlines.
struct RepeatedRuns {
  using TimePoint = std::chrono::steady_clock::time_point;

  std::multiset<TimePoint> deadlines;
};

/// \brief Adds a run that begins. It is forgotten when its deadline has passed.
void AddRepeatedRun(RepeatedRuns& runs,
                    RepeatedRuns::TimePoint deadline,
                    RepeatedRuns::TimePoint now);

/// \brief Whether a request of this VM that has just been read may be a call of
/// one of the runs.
bool MayBeCallOfRun(const RepeatedRuns& runs, RepeatedRuns::TimePoint deadline);

}  // namespace comfrey

#endif  // CORE_REPEATED_RUNS_H_
