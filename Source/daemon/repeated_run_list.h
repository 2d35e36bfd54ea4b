#ifndef DAEMON_REPEATED_RUN_LIST_H_
#define DAEMON_REPEATED_RUN_LIST_H_

#include <chrono>
#include <mutex>

#include "absl/strings/string_view.h"
#include "core/repeated_runs.h"

namespace comfrey {

/// \brief The repeated runs of this VM, which its owner service adds and its
/// ingress asks for; thread-safe.
class RepeatedRunList {
 public:
  using TimePoint = RepeatedRuns::TimePoint;

  void Add(absl::string_view id, TimePoint deadline, TimePoint now) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    AddRepeatedRun(this->runs, id, deadline, now);
  }

  bool MayHaveCalled(absl::string_view id, TimePoint deadline) const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return MayBeCallOfRun(this->runs, id, deadline);
  }

 private:
  mutable std::mutex mutex;
  RepeatedRuns runs;
};

}  // namespace comfrey

#endif  // DAEMON_REPEATED_RUN_LIST_H_
