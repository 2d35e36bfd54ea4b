#include <csignal>
#include <string>

#include "catch2/catch.hpp"
#include "system/fleet.h"

namespace comfrey {
namespace {

using std::chrono::seconds;

// Returns a subtree with a route for `path`. Each version has another path, so
// that requests show which version is in force.
std::string ConfigWithPath(const std::string& path,
                           const std::string& extra = "") {
  return "[team]\n" + extra +
         "[service booking]\nendpoints = @1, @2\n"
         "[rank dispatch]\nurgency = 1\ntarget = 250ms\nshare = 20%\n"
         "[route probe]\nservice = booking\nrank = dispatch\npath = " +
         path + "\nrepeat = safe\n";
}

bool Serves(const Fleet& fleet, int vm, const std::string& path) {
  return fleet.Send(vm, {"GET", "/demo" + path, "", "", ""}).status == 200;
}

bool AllServe(const Fleet& fleet, int vm_count, const std::string& path) {
  for (int vm = 1; vm <= vm_count; ++vm) {
    if (!Serves(fleet, vm, path)) {
      return false;
    }
  }
  return true;
}

// Guards against a change that does not reach every daemon in time.
TEST_CASE("an accepted configuration is in force everywhere within 4 s") {
  Fleet fleet(4);
  fleet.Publish("demo", ConfigWithPath("/one"));
  REQUIRE(fleet.WaitReady());
  fleet.Publish("demo", ConfigWithPath("/two"));
  CHECK(WaitFor([&] { return AllServe(fleet, 4, "/two"); }, seconds(4)));
  CHECK_FALSE(Serves(fleet, 1, "/one"));
}

// Guards against a daemon that reverts to an older configuration because the
// configuration service was restored from a backup, and so serves an old value,
// or is not reachable when the daemon restarts.
TEST_CASE("a restarted daemon does not revert to an older configuration") {
  const std::string fault = GENERATE("restored", "away");
  INFO(fault);
  Fleet fleet(4);
  fleet.Publish("demo", ConfigWithPath("/one"));
  REQUIRE(fleet.WaitReady());
  fleet.Publish("demo", ConfigWithPath("/two"));
  REQUIRE(WaitFor([&] { return AllServe(fleet, 4, "/two"); }, seconds(4)));
  if (fault == "away") {
    fleet.ConfigService().SendSignal(SIGKILL);
  } else {
    // A service that was restored from a backup serves the first value again.
    // If its revision counter is ahead, it still assigns a new revision to the
    // old value only when somebody publishes the value.
    fleet.StartConfigService();
    fleet.Publish("demo", ConfigWithPath("/one"));
  }
  fleet.DaemonOf(3).SendSignal(SIGKILL);
  fleet.DaemonOf(3).WaitForExit(seconds(5));
  fleet.StartDaemon(3);
  REQUIRE(fleet.WaitReady());
  CHECK(Serves(fleet, 3, "/two"));
  CHECK_FALSE(Serves(fleet, 3, "/one"));
  CHECK(AllServe(fleet, 4, "/two"));
}

// Guards against an invalid value of one team that takes effect, or that
// affects another team.
TEST_CASE(
    "an invalid value leaves the last one in force and affects no other team") {
  Fleet fleet(2);
  fleet.Publish("demo", ConfigWithPath("/one"));
  REQUIRE(fleet.WaitReady());
  fleet.Publish("demo", "[team]\n[service booking]\nendpoints = nonsense\n");
  fleet.Publish("other", ConfigWithPath("/one"));
  CHECK(WaitFor(
      [&] {
        return fleet.Send(1, {"GET", "/other/one", "", "", ""}).status == 200;
      },
      seconds(4)));
  CHECK(AllServe(fleet, 2, "/one"));
}

}  // namespace
}  // namespace comfrey
