#include "daemon/stop_phases.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace comfrey {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against breaking off requests too early, or too late to answer them.
TEST_CASE("requests are aborted in the last sixth of the grace period") {
  for (const microseconds grace :
       {microseconds(0), microseconds(1), microseconds(milliseconds(100)),
        microseconds(seconds(1)), microseconds(seconds(6)),
        microseconds(seconds(30)), microseconds(std::chrono::hours(1))}) {
    INFO(grace.count());
    const StopPhases phases = PlanStop(grace);
    CHECK(phases.close <= grace / 2);
    CHECK(phases.close <= phases.abort);
    CHECK(6 * phases.abort >= 5 * grace);
    CHECK(phases.abort <= grace);
  }
  CHECK(PlanStop(seconds(6)).abort == seconds(5));
  CHECK(PlanStop(seconds(30)).abort == seconds(28));
}

}  // namespace
}  // namespace comfrey
