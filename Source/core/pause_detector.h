#ifndef CORE_PAUSE_DETECTOR_H_
#define CORE_PAUSE_DETECTOR_H_

#include <chrono>
#include <cstdint>

namespace comfrey {

/// \brief Detects that the process was stopped or its VM was suspended.
struct PauseDetector {
  /// A longer time between two observations counts as a pause.
  std::chrono::milliseconds max_gap{500};
  std::chrono::steady_clock::time_point last_steady;
  std::chrono::system_clock::time_point last_wall;
  /// Time of the observation that detected the latest pause.
  std::chrono::steady_clock::time_point resumed_at;
  std::uint64_t pauses = 0;
  bool started = false;
};

/// \brief Records the current time of both clocks, and returns whether a pause
/// ended since the previous observation.
///
/// Called by a timer whose period is well below `max_gap`, and before each
/// decision that a pause invalidates.
bool ObserveClocks(PauseDetector& detector,
                   std::chrono::steady_clock::time_point steady,
                   std::chrono::system_clock::time_point wall);

/// \brief Whether a pause ended at or after the given time.
bool PausedSince(const PauseDetector& detector,
                 std::chrono::steady_clock::time_point since);

}  // namespace comfrey

#endif  // CORE_PAUSE_DETECTOR_H_
