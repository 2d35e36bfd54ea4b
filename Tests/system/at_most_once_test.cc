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

// The service was launched with the fleet, so no earlier incarnation ran keys.
std::string KeyedConfig(const Fleet& fleet, int vm_count) {
  return BookingConfig(vm_count, "key_retention = 20s\nkeys_since = " +
                                     fleet.NearFutureUtc() + "\n");
}

// What a caller may rely on, whatever was killed, frozen or cut.
void CheckOutcome(const Fleet& fleet,
                  const std::string& id,
                  const TestResponse& response,
                  bool run_counts_complete) {
  INFO(id << " status " << response.status << " outcome " << response.outcome
          << " body " << response.body);
  const int runs = fleet.CountRunsInFleet(id);
  CHECK(runs <= 1);
  if (response.status == 200 && run_counts_complete) {
    CHECK(runs == 1);
  }
  if (response.outcome == "not-run") {
    CHECK(runs == 0);
  }
}

// Sends one request per caller at the same moment as `disturb` runs.
std::vector<TestResponse> SendRequestsDuring(
    const Fleet& fleet,
    int count,
    const std::function<void()>& inject_fault) {
  std::vector<TestResponse> responses(static_cast<std::size_t>(count));
  std::vector<std::thread> callers;
  callers.reserve(responses.size());
  for (int i = 0; i < count; ++i) {
    callers.emplace_back([&, i] {
      responses[static_cast<std::size_t>(i)] = fleet.Send(
          1, {"POST", "/demo/visits", "r" + std::to_string(i), "", "x"});
    });
  }
  inject_fault();
  for (std::thread& caller : callers) {
    caller.join();
  }
  return responses;
}

// Guards against a second run, and against a false "not run", when a process
// is killed or frozen while requests that must not be repeated are in flight.
TEST_CASE("a request without a key runs at most once under kill and freeze") {
  struct Case {
    const char* name;
    bool daemon;
    int signal;
  };
  const Case c = GENERATE(Case{"daemon killed", true, SIGKILL},
                          Case{"daemon frozen", true, SIGSTOP},
                          Case{"backend server killed", false, SIGKILL},
                          Case{"backend server frozen", false, SIGSTOP});
  INFO(c.name);
  Fleet fleet(3);
  fleet.Publish("demo", BookingConfig(3));
  REQUIRE(fleet.WaitReady());
  for (int vm = 1; vm <= 3; ++vm) {
    fleet.SetFault(vm, "delay_ms=100");
  }
  Process& faulty_process = c.daemon ? fleet.DaemonOf(2) : fleet.BackendOf(2);
  const std::vector<TestResponse> responses =
      SendRequestsDuring(fleet, 20, [&] {
        std::this_thread::sleep_for(milliseconds(50));
        faulty_process.SendSignal(c.signal);
      });
  if (c.signal == SIGSTOP) {
    faulty_process.SendSignal(SIGCONT);
    // Whatever the process held back runs now, if it is wrong about it.
    std::this_thread::sleep_for(seconds(1));
  }
  int answered = 0;
  for (std::size_t i = 0; i < responses.size(); ++i) {
    // A killed backend server takes its counts with it.
    CheckOutcome(fleet, "r" + std::to_string(i), responses[i],
                 c.daemon || c.signal == SIGSTOP);
    answered += responses[i].status == 200 ? 1 : 0;
  }
  CHECK(answered > 0);
}

// Guards against a key that runs again when the caller repeats it, through any
// daemon, and against a repeat that gets another response.
TEST_CASE("a repeated key gets the first response from any daemon") {
  Fleet fleet(3);
  fleet.Publish("demo", KeyedConfig(fleet, 3));
  REQUIRE(fleet.WaitReady());
  // Each owner confirms its configuration by itself, and until then refuses the
  // keys that are homed there; so a key must have run at each of them.
  int keys = 0;
  REQUIRE(WaitFor(
      [&] {
        const std::string key = "k" + std::to_string(keys++);
        fleet.Send(1, {"POST", "/demo/visits", key, key, "x"});
        return fleet.CountAllRuns(1) > 0 && fleet.CountAllRuns(2) > 0 &&
               fleet.CountAllRuns(3) > 0;
      },
      seconds(20)));
  const TestResponse first =
      fleet.Send(1, {"POST", "/demo/visits", "a", "order-1", "two plates"});
  REQUIRE(first.status == 200);
  for (int vm = 1; vm <= 3; ++vm) {
    const TestResponse repeat =
        fleet.Send(vm, {"POST", "/demo/visits", "b", "order-1", "two plates"});
    CHECK(repeat.status == 200);
    CHECK(repeat.body == first.body);
  }
  CHECK(fleet.CountRunsInFleet("a") == 1);
  CHECK(fleet.CountRunsInFleet("b") == 0);
  const TestResponse other =
      fleet.Send(2, {"POST", "/demo/visits", "c", "order-1", "three plates"});
  CHECK(other.outcome == "not-run");
  CHECK(fleet.CountRunsInFleet("c") == 0);
}

// Guards against a key that a restarted owner runs again because it lost its
// records.
TEST_CASE("a key does not run again after its owner restarted") {
  Fleet fleet(3);
  fleet.Publish("demo", KeyedConfig(fleet, 3));
  REQUIRE(fleet.WaitReady());
  std::vector<std::string> keys;
  keys.reserve(12);
  for (int i = 0; i < 12; ++i) {
    keys.push_back("order-" + std::to_string(i));
  }
  REQUIRE(WaitFor(
      [&] {
        return fleet.Send(1, {"POST", "/demo/visits", "warm", "k0", "x"})
                   .status == 200;
      },
      seconds(20)));
  for (const std::string& key : keys) {
    fleet.Send(1, {"POST", "/demo/visits", key, key, "x"});
  }
  fleet.DaemonOf(2).SendSignal(SIGKILL);
  fleet.DaemonOf(2).WaitForExit(seconds(5));
  fleet.StartDaemon(2);
  REQUIRE(fleet.WaitReady());
  for (const std::string& key : keys) {
    const TestResponse repeat =
        fleet.Send(3, {"POST", "/demo/visits", key, key, "x"});
    INFO(key << " status " << repeat.status << " " << repeat.body);
    CHECK(fleet.CountRunsInFleet(key) <= 1);
    // The ingress of the first submissions is alive and knows their outcome.
    CHECK((repeat.status == 200 || !repeat.outcome.empty()));
  }
}

}  // namespace
}  // namespace comfrey
