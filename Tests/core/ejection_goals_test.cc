#include <algorithm>
#include <vector>

#include "catch2/catch.hpp"
#include "ejection_simulation.h"

// The bounds are the goals of the design.

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr unsigned kSeeds = 100;
constexpr SimulatedPolicy kDetectionPolicies[] = {SimulatedPolicy::kCareful,
                                                  SimulatedPolicy::kBalanced,
                                                  SimulatedPolicy::kFast};

struct Measured {
  std::vector<milliseconds> detection;  // sorted; max() if not detected
  unsigned false_ejections = 0;
  unsigned floor_violations = 0;
};

Measured Measure(SimulatedFault fault,
                 SimulatedPolicy policy,
                 unsigned seeds = kSeeds) {
  Measured measured;
  for (unsigned seed = 1; seed <= seeds; ++seed) {
    SimulationOptions options;
    options.fault = fault;
    options.policy = policy;
    options.seed = seed;
    const SimulationResult result = SimulateEjection(options);
    measured.detection.push_back(
        result.detection.value_or(milliseconds::max()));
    measured.false_ejections += result.false_ejections;
    measured.floor_violations += result.floor_violations;
  }
  std::sort(measured.detection.begin(), measured.detection.end());
  return measured;
}

// Guards against a slow endpoint that stays in use.
TEST_CASE("goal: an endpoint that is 5x slow is detected within 3 s") {
  for (const SimulatedPolicy policy : kDetectionPolicies) {
    INFO(static_cast<int>(policy));
    const Measured candidate = Measure(SimulatedFault::kSlow5, policy);
    CHECK(candidate.detection[kSeeds * 99 / 100 - 1] <= seconds(3));
  }
}

void CheckDetectionNotLater(SimulatedFault fault) {
  const Measured baseline = Measure(fault, SimulatedPolicy::kConsecutiveErrors);
  for (const SimulatedPolicy policy : kDetectionPolicies) {
    INFO(static_cast<int>(policy));
    const Measured candidate = Measure(fault, policy);
    for (const unsigned rank : {kSeeds / 2, kSeeds * 99 / 100 - 1}) {
      CHECK(candidate.detection[rank] < milliseconds::max());
      CHECK(candidate.detection[rank] <= baseline.detection[rank]);
    }
  }
}

// The following tests guard against a detection that avoids false ejections by
// ejecting faulty endpoints later.
TEST_CASE("goal: slow 20x is detected no later than by consecutive errors") {
  CheckDetectionNotLater(SimulatedFault::kSlow20);
}

TEST_CASE("goal: half wrong is detected no later than by consecutive errors") {
  CheckDetectionNotLater(SimulatedFault::kHalfWrong);
}

TEST_CASE("goal: hangs are detected no later than by consecutive errors") {
  CheckDetectionNotLater(SimulatedFault::kPartlyFunctional);
}

TEST_CASE("goal: flapping is detected no later than by consecutive errors") {
  CheckDetectionNotLater(SimulatedFault::kFlapping);
}

void CheckTenTimesFewerFalseEjections(SimulatedFault fault) {
  const Measured baseline =
      Measure(fault, SimulatedPolicy::kConsecutiveErrors, kSeeds / 2);
  REQUIRE(baseline.false_ejections > 0);
  for (const SimulatedPolicy policy : kDetectionPolicies) {
    INFO(static_cast<int>(policy));
    const Measured candidate = Measure(fault, policy, kSeeds / 2);
    CHECK(10 * candidate.false_ejections <= baseline.false_ejections);
    CHECK(candidate.floor_violations == 0);
  }
}

// The following tests guard against ejections that are caused by load, or by
// faults that all endpoints have at the same time.
TEST_CASE("goal: 10 times fewer false ejections in a shared outage") {
  CheckTenTimesFewerFalseEjections(SimulatedFault::kSharedOutage);
}

TEST_CASE("goal: 10 times fewer false ejections in a flood") {
  CheckTenTimesFewerFalseEjections(SimulatedFault::kFlood);
}

void CheckNoFalseEjections(SimulatedFault fault) {
  for (const SimulatedPolicy policy : kDetectionPolicies) {
    INFO(static_cast<int>(policy));
    const Measured candidate = Measure(fault, policy, kSeeds / 2);
    CHECK(candidate.false_ejections == 0);
    CHECK(candidate.floor_violations == 0);
  }
}

// The following tests guard against the ejection of healthy endpoints while the
// whole service is slow, and against the ejection of an endpoint because of a
// fault on the path to it.
TEST_CASE("goal: a service that is 5x slow as a whole ejects nobody") {
  CheckNoFalseEjections(SimulatedFault::kAllSlow5);
}

TEST_CASE("goal: a service that is 20x slow as a whole ejects nobody") {
  CheckNoFalseEjections(SimulatedFault::kAllSlow20);
  CheckTenTimesFewerFalseEjections(SimulatedFault::kAllSlow20);
}

TEST_CASE("goal: a cut path ejects nobody") {
  CheckNoFalseEjections(SimulatedFault::kPathCut);
  CheckTenTimesFewerFalseEjections(SimulatedFault::kPathCut);
}

}  // namespace
}  // namespace comfrey
