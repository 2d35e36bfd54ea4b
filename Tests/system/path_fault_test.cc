#include <algorithm>
#include <string>
#include <thread>

#include "catch2/catch.hpp"
#include "system/fleet.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

bool IsEjected(const Fleet& fleet, int observer, int vm) {
  const absl::StatusOr<StatusReport> status = fleet.ReadStatus(observer);
  return status.ok() &&
         std::any_of(status->endpoints.begin(), status->endpoints.end(),
                     [&](const EndpointReport& e) {
                       return e.endpoint.rfind(fleet.Address(vm) + ":", 0) ==
                                  0 &&
                              e.state == ReportedEndpointState::kEjected;
                     });
}

void WarmUp(const Fleet& fleet) {
  for (int i = 0; i < 30; ++i) {
    fleet.Send(1, {"POST", "/demo/slots", "warm", "", "x"});
    fleet.Send(1, {"POST", "/demo/visits", "warm", "", "x"});
  }
}

struct OutcomeCounts {
  int answered = 0;
  int not_run = 0;
  int unknown = 0;
};

// Sends requests one after another and checks that each response agrees with
// the run counts of the backend servers.
OutcomeCounts SendAndCheck(const Fleet& fleet,
                           const std::string& path,
                           const std::string& prefix,
                           int count) {
  OutcomeCounts counts;
  for (int i = 0; i < count; ++i) {
    const std::string id = prefix + std::to_string(i);
    const TestResponse response =
        fleet.Send(1, {"POST", path, id, "", "body of " + id});
    INFO(id << " status " << response.status << " " << response.outcome << " "
            << response.body);
    const int runs = fleet.CountRunsInFleet(id);
    if (response.status == 200) {
      ++counts.answered;
      CHECK(response.body.find(id + "\nbody of " + id) != std::string::npos);
      CHECK(runs >= 1);
    } else if (response.outcome == "not-run") {
      ++counts.not_run;
      CHECK(runs == 0);
    } else {
      CHECK(response.outcome == "unknown");
      ++counts.unknown;
    }
    if (path == "/demo/visits") {
      CHECK(runs <= 1);
    }
  }
  return counts;
}

// Guards against a path fault that is mistaken for a fault of the backend
// server, that makes requests run twice, or that makes requests fail even after
// the ingress could have moved its traffic to other endpoints.
TEST_CASE("a one-way cut to an owner moves traffic and ejects nobody") {
  const std::string mode = GENERATE("drop-forward", "drop-back", "drop-both");
  INFO(mode);
  Fleet fleet(3, 2);
  fleet.Publish("demo", BookingConfig(3));
  REQUIRE(fleet.WaitReady());
  WarmUp(fleet);
  fleet.SetRelayMode(mode);
  const OutcomeCounts visits = SendAndCheck(fleet, "/demo/visits", "v", 15);
  CHECK(visits.answered >= 12);
  const OutcomeCounts slots = SendAndCheck(fleet, "/demo/slots", "s", 30);
  CHECK(slots.answered == 30);
  CHECK_FALSE(IsEjected(fleet, 1, 2));
  CHECK_FALSE(IsEjected(fleet, 3, 2));
  // The ingress tries the path again and uses it once it works.
  fleet.SetRelayMode("pass");
  const int runs = fleet.CountAllRuns(2);
  CHECK(WaitFor(
      [&] {
        fleet.Send(1, {"POST", "/demo/slots", "again", "", "x"});
        return fleet.CountAllRuns(2) > runs;
      },
      seconds(60)));
}

// Guards against requests that get no response, or that run twice, because an
// open connection stopped carrying data while new connections work.
TEST_CASE("a connection that went silent is replaced within the deadline") {
  Fleet fleet(3, 2);
  fleet.Publish("demo", BookingConfig(3));
  REQUIRE(fleet.WaitReady());
  WarmUp(fleet);
  fleet.SetRelayMode("silent-old");
  const OutcomeCounts visits = SendAndCheck(fleet, "/demo/visits", "v", 15);
  CHECK(visits.answered == 15);
  const OutcomeCounts slots = SendAndCheck(fleet, "/demo/slots", "s", 15);
  CHECK(slots.answered == 15);
}

}  // namespace
}  // namespace comfrey
