#include <csignal>
#include <string>

#include "catch2/catch.hpp"
#include "system/fleet.h"

namespace comfrey {
namespace {

using std::chrono::seconds;

// A subtree whose version can be told from outside: the route for `path`
// exists only in this version.
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

// Guards against a change that does not reach each daemon in time.
TEST_CASE("an accepted configuration is in force everywhere within 4 s") {
  Fleet fleet(4);
  fleet.Publish("demo", ConfigWithPath("/one"));
  REQUIRE(fleet.WaitReady());
  fleet.Publish("demo", ConfigWithPath("/two"));
  CHECK(WaitFor([&] { return AllServe(fleet, 4, "/two"); }, seconds(4)));
  CHECK_FALSE(Serves(fleet, 1, "/one"));
}

// Guards against a daemon that reverts to an older configuration because the
// service is stale, was restored, or is away when the daemon restarts.
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
    // A service that was restored from a backup starts with the first value;
    // one with a later clock of revisions gives the old value a new revision
    // only when somebody publishes it.
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

// Guards against one team's invalid value that takes effect, or harms another
// team.
TEST_CASE("an invalid value keeps the last one and harms no other team") {
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
