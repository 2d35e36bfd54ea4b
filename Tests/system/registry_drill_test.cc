#include <chrono>
#include <string>
#include <thread>

#include "catch2/catch.hpp"
#include "published_documents.h"
#include "system/registry_fleet.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;

// Time after a change within which each daemon applies it.
constexpr milliseconds kApplyTime{2500};
// Time after a drill within which each daemon has noticed it.
constexpr milliseconds kSettleTime{4000};

// Sends requests to both daemons and returns how many of them run at the
// backend server of VM 1.
int CountRunsAtFirst(const RegistryFleet& fleet, int requests = 20) {
  const int before = fleet.backend_one.runs;
  for (int i = 0; i < requests; ++i) {
    CHECK(RegistryFleet::Send(1 + i % 2, "/a/x")->status == 200);
  }
  return fleet.backend_one.runs - before;
}

void Leave(RegistryFleet& fleet, bool draining, int sequence) {
  if (draining) {
    fleet.registry.Put(MakeRegistrationKey("i-1"),
                       RegistrationOf(1, true, sequence));
  } else {
    fleet.registry.Remove(MakeRegistrationKey("i-1"));
  }
}

// Guards against a leave that is dropped because its revision was given out
// before the drill.
TEST_CASE("a backend server that leaves after a drill gets no requests") {
  const bool draining = GENERATE(true, false);
  RegistryFleet fleet;
  REQUIRE(WaitFor(RegistryFleet::AreReady));
  const FakeRegistry::State copy = fleet.registry.TakeCopy();
  for (int sequence = 2; sequence <= 6; ++sequence) {
    fleet.registry.Put(MakeRegistrationKey("i-1"),
                       RegistrationOf(1, false, sequence));
  }
  std::this_thread::sleep_for(milliseconds(1500));
  fleet.registry.Restore(copy);
  fleet.registry.Put(MakeRegistrationKey("i-1"), RegistrationOf(1, false, 7));
  std::this_thread::sleep_for(kSettleTime);
  CHECK(CountRunsAtFirst(fleet) > 0);
  Leave(fleet, draining, 8);
  std::this_thread::sleep_for(kApplyTime);
  CHECK(CountRunsAtFirst(fleet) == 0);
}

// Guards against a backend server that is used again because the copy lists it
// as ready.
TEST_CASE("a drill does not bring back a backend server that has left") {
  const bool draining = GENERATE(true, false);
  RegistryFleet fleet;
  REQUIRE(WaitFor(RegistryFleet::AreReady));
  const FakeRegistry::State copy = fleet.registry.TakeCopy();
  Leave(fleet, draining, 2);
  std::this_thread::sleep_for(kApplyTime);
  fleet.registry.Restore(copy);
  std::this_thread::sleep_for(milliseconds(1500));
  CHECK(CountRunsAtFirst(fleet) == 0);
  std::this_thread::sleep_for(kSettleTime);
  CHECK(CountRunsAtFirst(fleet) == 0);
}

// Guards against a version that is never applied, since the drill falls between
// two watches and the second one continues from a revision that has another
// meaning.
TEST_CASE("a configuration written again after a drill is in force") {
  RegistryFleet fleet;
  REQUIRE(WaitFor(RegistryFleet::AreReady));
  const FakeRegistry::State copy = fleet.registry.TakeCopy();
  fleet.registry.Put(MakeRegistrationKey("i-9"), "first odd entry");
  std::this_thread::sleep_for(milliseconds(1500));
  fleet.registry.Put(MakeRegistrationKey("i-9"), "second odd entry");
  std::this_thread::sleep_for(milliseconds(200));
  fleet.registry.Restore(copy);
  fleet.registry.Put(platform::kConfigKey, MakeConfiguration(5, "/b/"));
  fleet.registry.Put(MakeRegistrationKey("i-9"), "third odd entry");
  std::this_thread::sleep_for(kSettleTime);
  for (const int vm : {1, 2}) {
    CHECK(RegistryFleet::Send(vm, "/b/x")->status == 200);
    CHECK(RegistryFleet::Send(vm, "/a/x")->status == 404);
  }
}

}  // namespace
}  // namespace comfrey
