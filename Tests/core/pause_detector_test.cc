#include "core/pause_detector.h"

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

using std::chrono::milliseconds;

// Guards against failing to detect a stopped process, a suspended VM (whose
// steady clock stands still) or a change of the wall clock.
TEST_CASE("a gap on either clock is a pause") {
  struct Case {
    int steady_gap;
    int wall_gap;
    bool paused;
  };
  const Case cases[] = {
      {100, 100, false}, {500, 500, false},    {501, 100, true},
      {501, 501, true},  {0, 3'600'000, true}, {100, -3'600'000, true},
      {-50, -50, false},
  };
  const std::chrono::steady_clock::time_point steady{milliseconds(10'000)};
  const std::chrono::system_clock::time_point wall{milliseconds(90'000'000)};
  for (const Case& c : cases) {
    INFO(c.steady_gap << " " << c.wall_gap);
    PauseDetector detector;
    CHECK_FALSE(ObserveClocks(detector, steady, wall));
    CHECK(ObserveClocks(detector, steady + milliseconds(c.steady_gap),
                        wall + milliseconds(c.wall_gap)) == c.paused);
    CHECK(PausedSince(detector, steady) == c.paused);
    CHECK_FALSE(PausedSince(detector, steady + milliseconds(502)));
    // The pause is reported once.
    CHECK_FALSE(ObserveClocks(detector, steady + milliseconds(c.steady_gap + 2),
                              wall + milliseconds(c.wall_gap + 2)));
  }
}

}  // namespace
}  // namespace comfrey
