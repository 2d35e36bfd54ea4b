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

// Returns a configuration that accepts keyed requests. `keys_since` can be
// close to the present because the service starts with the fleet: no daemon has
// run keyed requests of the service before.
std::string KeyedConfig(const Fleet& fleet, int vm_count) {
  return BookingConfig(vm_count, "key_retention = 20s\nkeys_since = " +
                                     fleet.NearFutureUtc() + "\n");
}

// Checks the guarantees for a request after a fault: it runs at most once, a
// response with status 200 means that it ran, and the outcome "not-run" means
// that it did not run. `run_counts_complete` is false if runs may be missing
// from the counts.
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

// Sends `count` requests from concurrent callers, and calls `inject_fault`
// while they are in flight.
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

// Guards against a second run, and against a false outcome "not-run", when a
// process is killed or frozen while requests that must not be retried are in
// flight.
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
    // Gives the resumed process the time to run requests that it still holds.
    // None may run now that ran elsewhere or was reported as not run.
    std::this_thread::sleep_for(seconds(1));
  }
  int answered = 0;
  for (std::size_t i = 0; i < responses.size(); ++i) {
    // A killed backend server loses its run counts.
    CheckOutcome(fleet, "r" + std::to_string(i), responses[i],
                 c.daemon || c.signal == SIGSTOP);
    answered += responses[i].status == 200 ? 1 : 0;
  }
  CHECK(answered > 0);
}

// Guards against a keyed request that runs again when the caller sends it again
// through any daemon, and against a different response to the second request.
TEST_CASE("a repeated key gets the first response from any daemon") {
  Fleet fleet(3);
  fleet.Publish("demo", KeyedConfig(fleet, 3));
  REQUIRE(fleet.WaitReady());
  // Each owner refuses keyed requests until it has confirmed its configuration,
  // independently of the others. Wait until each owner has run a keyed request.
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

// Guards against a restarted owner that runs a key again because its records
// were lost in the restart.
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
    // The ingress that sent the first requests still runs and knows their
    // outcomes.
    CHECK((repeat.status == 200 || !repeat.outcome.empty()));
  }
}

}  // namespace
}  // namespace comfrey
