#ifndef CORE_PAUSE_DETECTOR_H_
#define CORE_PAUSE_DETECTOR_H_

#include <chrono>
#include <cstdint>

namespace comfrey {

/// \brief Detects that the process or its VM did not run for a while.
struct PauseDetector {
  /// Greatest gap between two observations that is not a pause.
  std::chrono::milliseconds max_gap{500};
  std::chrono::steady_clock::time_point last_steady;
  std::chrono::system_clock::time_point last_wall;
  /// Time of the observation that found the latest pause.
  std::chrono::steady_clock::time_point resumed_at;
  std::uint64_t pauses = 0;
  bool started = false;
};

/// \brief Records that the process runs; called by a timer whose period is
/// well below the limit, and before each decision that a pause invalidates.
///
/// Returns whether a pause ended since the previous observation.
bool ObserveClocks(PauseDetector& detector,
                   std::chrono::steady_clock::time_point steady,
                   std::chrono::system_clock::time_point wall);

/// \brief Whether a pause ended after the given time.
bool PausedSince(const PauseDetector& detector,
                 std::chrono::steady_clock::time_point since);

}  // namespace comfrey

#endif  // CORE_PAUSE_DETECTOR_H_
