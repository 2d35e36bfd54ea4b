#include "core/pause_detector.h"

#include <algorithm>

namespace comfrey {

bool ObserveClocks(PauseDetector& detector,
                   std::chrono::steady_clock::time_point steady,
                   std::chrono::system_clock::time_point wall) {
  if (!detector.started) {
    detector.started = true;
    detector.last_steady = steady;
    detector.last_wall = wall;
    return false;
  }
  // The steady clock advances while a process is stopped, but not while its VM
  // is suspended; the wall clock shows the latter. A wall clock that is set
  // counts as a pause too, which only costs a reconfirmation.
  const auto wall_gap = wall - detector.last_wall;
  const bool paused = steady - detector.last_steady > detector.max_gap ||
                      wall_gap > detector.max_gap ||
                      -wall_gap > detector.max_gap;
  // A thread that read its clocks earlier than another one must not move the
  // detector back.
  detector.last_steady = std::max(detector.last_steady, steady);
  detector.last_wall = paused ? wall : std::max(detector.last_wall, wall);
  if (paused) {
    detector.resumed_at = detector.last_steady;
    ++detector.pauses;
  }
  return paused;
}

bool PausedSince(const PauseDetector& detector,
                 std::chrono::steady_clock::time_point since) {
  // While the steady clock stands still, a time before the pause equals the
  // time after it, so equality counts as paused.
  return detector.pauses > 0 && detector.resumed_at >= since;
}

}  // namespace comfrey
