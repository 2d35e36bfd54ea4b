#ifndef DAEMON_STOP_PHASES_H_
#define DAEMON_STOP_PHASES_H_

#include <chrono>

namespace comfrey {

/// \brief Phases of a graceful stop, as times since the stop signal.
struct StopPhases {
  /// Callers are no longer accepted.
  std::chrono::microseconds close{0};
  /// Requests in flight are aborted. Never before 5/6 of the grace period.
  std::chrono::microseconds abort{0};
};

/// \brief Divides the grace period into phases.
StopPhases PlanStop(std::chrono::microseconds grace);

}  // namespace comfrey

#endif  // DAEMON_STOP_PHASES_H_
