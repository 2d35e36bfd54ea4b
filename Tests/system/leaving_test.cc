#include <atomic>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "catch2/catch.hpp"
#include "system/fleet.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Requests of a Load by outcome. `no_outcome` counts failed connections, and
// responses with neither status 200 nor the outcome "not-run" or "unknown".
struct LoadCounts {
  std::atomic<int> sent{0};
  std::atomic<int> answered{0};
  std::atomic<int> refused{0};
  std::atomic<int> unknown{0};
  std::atomic<int> no_outcome{0};
};

// Sends requests from several callers until stopped and counts their outcomes.
class Load {
 public:
  Load(const Fleet& fleet, int vm, const std::string& path) {
    constexpr int kCallers = 4;
    for (int caller = 0; caller < kCallers; ++caller) {
      this->threads.emplace_back([this, &fleet, vm, path, caller] {
        int n = 0;
        while (!this->stopping) {
          const std::string id =
              std::to_string(caller) + "-" + std::to_string(n++);
          const TestResponse response =
              fleet.Send(vm, {"POST", path, id, "", "x"});
          ++this->counts.sent;
          if (response.status == 200) {
            ++this->counts.answered;
          } else if (response.outcome == "not-run") {
            ++this->counts.refused;
          } else if (response.outcome == "unknown") {
            ++this->counts.unknown;
          } else {
            ++this->counts.no_outcome;
          }
        }
      });
    }
  }

  void Stop() {
    this->stopping = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
  }

  ~Load() { this->Stop(); }

  LoadCounts counts;

 private:
  std::atomic<bool> stopping{false};
  std::vector<std::thread> threads;
};

// Guards against requests that fail or are refused during a planned stop of the
// daemon that owns their endpoint.
TEST_CASE("a planned stop of an owner daemon cuts no request") {
  const std::string path = GENERATE("/demo/slots", "/demo/visits");
  Fleet fleet(3);
  fleet.Publish("demo", BookingConfig(3));
  REQUIRE(fleet.WaitReady());
  for (int vm = 1; vm <= 3; ++vm) {
    fleet.SetFault(vm, "delay_ms=50");
  }
  Load load(fleet, 1, path);
  REQUIRE(WaitFor([&] { return load.counts.answered > 20; }, seconds(10)));
  fleet.DaemonOf(2).SendSignal(SIGTERM);
  CHECK(fleet.DaemonOf(2).WaitForExit(seconds(30)) == 0);
  const int before = load.counts.answered;
  REQUIRE(
      WaitFor([&] { return load.counts.answered > before + 20; }, seconds(10)));
  load.Stop();
  CHECK(load.counts.unknown == 0);
  CHECK(load.counts.no_outcome == 0);
  CHECK(load.counts.refused == 0);
}

// Guards against requests that get no response because of a planned stop of the
// ingress daemon that received them.
TEST_CASE("a planned stop of an ingress daemon answers what it has accepted") {
  Fleet fleet(2);
  fleet.Publish("demo", BookingConfig(2));
  REQUIRE(fleet.WaitReady());
  fleet.SetFault(1, "delay_ms=800");
  fleet.SetFault(2, "delay_ms=800");
  std::vector<TestResponse> responses(4);
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < responses.size(); ++i) {
    callers.emplace_back([&, i] {
      responses[i] = fleet.Send(
          1, {"POST", "/demo/visits", "r" + std::to_string(i), "", "x"});
    });
  }
  REQUIRE(WaitFor(
      [&] {
        return fleet.CountRunsInFleet("r0") + fleet.CountRunsInFleet("r1") +
                   fleet.CountRunsInFleet("r2") +
                   fleet.CountRunsInFleet("r3") ==
               4;
      },
      seconds(10)));
  fleet.DaemonOf(1).SendSignal(SIGTERM);
  for (std::thread& caller : callers) {
    caller.join();
  }
  for (const TestResponse& response : responses) {
    CHECK(response.status == 200);
  }
  CHECK(fleet.DaemonOf(1).WaitForExit(seconds(30)) == 0);
}

// Guards against new requests to a backend server that is leaving, whether its
// health endpoint or the VM list says so.
TEST_CASE("a backend server that is leaving gets no new work") {
  const std::string drain_reason = GENERATE("health endpoint", "VM list");
  INFO(drain_reason);
  Fleet fleet(3);
  fleet.Publish("demo", BookingConfig(3));
  REQUIRE(fleet.WaitReady());
  Load load(fleet, 1, "/demo/slots");
  REQUIRE(WaitFor([&] { return load.counts.answered > 50; }, seconds(10)));
  if (drain_reason == "health endpoint") {
    fleet.SetFault(2, "mode=draining");
  } else {
    fleet.ControlConfigService(
        "PUT", "/control/vms",
        "vm-2 " + fleet.Address(2) + " region-0 domain-0 leaving\n");
  }
  // New requests must stop within a few seconds; the test allows 4 s.
  std::this_thread::sleep_for(seconds(4));
  const int runs = fleet.CountAllRuns(2);
  const int answered = load.counts.answered;
  REQUIRE(WaitFor([&] { return load.counts.answered > answered + 100; },
                  seconds(20)));
  CHECK(fleet.CountAllRuns(2) == runs);
  load.Stop();
  CHECK(load.counts.unknown == 0);
  CHECK(load.counts.no_outcome == 0);
}

}  // namespace
}  // namespace comfrey
