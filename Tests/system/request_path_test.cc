#include <string>

#include "catch2/catch.hpp"
#include "system/fleet.h"

namespace comfrey {
namespace {

// Guards against a response that is lost, truncated or delivered to another
// caller when it passes through two daemons.
TEST_CASE("a request through any daemon gets its own response") {
  Fleet fleet(2);
  fleet.Publish("demo", BookingConfig(2));
  REQUIRE(fleet.WaitReady());
  for (int i = 0; i < 20; ++i) {
    const std::string id = "r" + std::to_string(i);
    const std::string body(static_cast<std::size_t>(i) * 1000, 'x');
    const TestResponse response =
        fleet.Send(1 + i % 2, {"POST", "/demo/slots?n=1", id, "", body});
    INFO(response.body.substr(0, 200));
    CHECK(response.status == 200);
    CHECK(response.outcome.empty());
    CHECK(response.body.substr(9) == " POST /slots?n=1 " + id + "\n" + body);
    CHECK(fleet.CountRunsInFleet(id) == 1);
  }
}

}  // namespace
}  // namespace comfrey
