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
  // While a process is stopped, the steady clock advances. While its VM is
  // suspended, the steady clock stands still, and only the wall clock shows the
  // gap. Setting the wall clock also counts as a pause; the only effect is that
  // the configuration must be confirmed again.
  const auto wall_gap = wall - detector.last_wall;
  const bool paused = steady - detector.last_steady > detector.max_gap ||
                      wall_gap > detector.max_gap ||
                      -wall_gap > detector.max_gap;
  // A thread may pass times that are older than those of another thread. They
  // must not set the recorded times back.
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
  // If the steady clock stood still during the pause, a time read before the
  // pause may equal the time read after it. Equality therefore counts as
  // paused.
  return detector.pauses > 0 && detector.resumed_at >= since;
}

}  // namespace comfrey
