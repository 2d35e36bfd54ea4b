#ifndef CORE_REPEATED_RUNS_H_
#define CORE_REPEATED_RUNS_H_

#include <chrono>
#include <map>
#include <string>

#include "absl/strings/string_view.h"

namespace comfrey {

/// \brief Requests that ran at the backend server of this VM although another
/// one may have run them before.
struct RepeatedRuns {
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Ids of the requests, by their deadline.
  std::multimap<TimePoint, std::string> ids;
};

/// \brief Adds a run that begins. It is forgotten when its deadline has passed.
void AddRepeatedRun(RepeatedRuns& runs,
                    absl::string_view id,
                    RepeatedRuns::TimePoint deadline,
                    RepeatedRuns::TimePoint now);

/// \brief Whether a request of this VM that has just been read may be a call of
/// one of the runs: it has the same deadline, or an id that extends that of the
/// run, as "a1b2.c3d4" extends "a1b2".
bool MayBeCallOfRun(const RepeatedRuns& runs,
                    absl::string_view id,
                    RepeatedRuns::TimePoint deadline);

}  // namespace comfrey

#endif  // CORE_REPEATED_RUNS_H_
