#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "catch2/catch.hpp"
#include "system/fleet.h"

namespace comfrey {
namespace {

using std::chrono::seconds;

// Sends idempotent requests from two callers at each VM until destroyed. An
// ingress prefers endpoints of its own failure domain, so callers at only a few
// VMs would leave the other endpoints without requests.
class Callers {
 public:
  Callers(const Fleet& fleet, int vm_count) {
    constexpr int kCallersPerVm = 2;
    for (int i = 0; i < vm_count * kCallersPerVm; ++i) {
      this->threads.emplace_back([this, &fleet, vm = 1 + i % vm_count] {
        while (!this->stopping) {
          fleet.Send(vm, {"GET", "/demo/slots", "load", "", ""});
        }
      });
    }
  }

  ~Callers() {
    this->stopping = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
  }

 private:
  std::atomic<bool> stopping{false};
  std::vector<std::thread> threads;
};

int CountEndpointsWithUse(const Fleet& fleet, int observer, ReportedUse use) {
  const absl::StatusOr<StatusReport> status = fleet.ReadStatus(observer);
  return !status.ok()
             ? 0
             : static_cast<int>(std::count_if(
                   status->endpoints.begin(), status->endpoints.end(),
                   [&](const EndpointReport& e) { return e.use == use; }));
}

// Guards against a backend server with a gray failure that still receives
// requests, and against an ejection that never ends.
TEST_CASE("a backend server that fails is ejected and returns") {
  Fleet fleet(4);
  fleet.Publish("demo", BookingConfig(4, "warmup = 1s\n"));
  REQUIRE(fleet.WaitReady());
  const Callers callers(fleet, 4);
  REQUIRE(WaitFor([&] { return fleet.CountAllRuns(2) > 100; }, seconds(20)));
  fleet.SetFault(2, "mode=wrong");
  CHECK(WaitFor(
      [&] {
        return CountEndpointsWithUse(fleet, 1,
                                     ReportedUse::kEjectionHonoured) == 1 &&
               CountEndpointsWithUse(fleet, 2,
                                     ReportedUse::kEjectionHonoured) == 1;
      },
      seconds(20)));
  fleet.SetFault(2, "mode=ok");
  CHECK(WaitFor(
      [&] { return CountEndpointsWithUse(fleet, 1, ReportedUse::kInUse) == 4; },
      seconds(90)));
}

// Guards against ejections that take a service below its floor: 70% of 6
// endpoints is 5 after rounding up, so only one of two ejections is honoured.
TEST_CASE("ejections stop at the floor of the service") {
  constexpr int kVms = 6;
  Fleet fleet(kVms);
  fleet.Publish("demo", BookingConfig(kVms, "floor = 70%\nwarmup = 1s\n"));
  REQUIRE(fleet.WaitReady());
  const Callers callers(fleet, kVms);
  REQUIRE(WaitFor([&] { return fleet.CountAllRuns(2) > 50; }, seconds(20)));
  fleet.SetFault(2, "mode=wrong");
  fleet.SetFault(3, "mode=wrong");
  int max_ejected = 0;
  const auto observe = [&] {
    bool floor_held = true;
    for (int observer = 1; observer <= kVms; ++observer) {
      max_ejected = std::max(
          max_ejected, CountEndpointsWithUse(fleet, observer,
                                             ReportedUse::kEjectionHonoured));
      floor_held = floor_held &&
                   CountEndpointsWithUse(
                       fleet, observer, ReportedUse::kEjectionNotHonoured) == 1;
    }
    return floor_held;
  };
  CHECK(WaitFor(observe, seconds(30)));
  CHECK(max_ejected == 1);
}

}  // namespace
}  // namespace comfrey
