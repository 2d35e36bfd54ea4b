#include "config/team_config.h"

#include <string>

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

// The example of the design page.
constexpr char kExample[] = R"(
[team]
generation = 1

[service booking]
endpoints = 127.0.1.1:8081, 127.0.1.2:8081
slots = 3                 ; concurrent requests per endpoint
floor = 70%
key_retention = 10m
keys_since = 2026-12-04T10:00:00Z
queue_limit = 64
detection = balanced
expected_latency = 40ms
warmup = 10s

[endpoint 127.0.1.1:8081]
keys = joining

[rank dispatch]
urgency = 1
target = 250ms
objective = 99%
share = 20%
worth = 10

[route book-visit]
service = booking
rank = dispatch
method = POST
path = /visits
match_header = X-Caller: internal
repeat = safe
deadline = 2s
)";

// Guards against a key that is read into another field or not at all.
TEST_CASE("the example of the design page is read") {
  std::vector<IniError> errors;
  const TeamConfig config = ParseTeamConfig("salon", "t.ini", kExample, errors);
  INFO(FormatIniErrors(errors));
  REQUIRE(errors.empty());
  REQUIRE(config.services.size() == 1);
  const ServiceConfig& service = config.services[0];
  REQUIRE(service.endpoints.size() == 2);
  CHECK(service.endpoints[0].ip == "127.0.1.1");
  CHECK(service.endpoints[0].port == 8081);
  CHECK(service.endpoints[0].keys == KeysState::kJoining);
  CHECK(service.endpoints[1].keys == KeysState::kActive);
  CHECK(service.floor == Approx(0.7));
  CHECK(service.key_retention == std::chrono::minutes(10));
  REQUIRE(service.keys_since);
  CHECK(std::chrono::system_clock::to_time_t(*service.keys_since) ==
        1796378400);
  CHECK(service.expected_latency == std::chrono::milliseconds(40));
  REQUIRE(config.ranks.size() == 1);
  CHECK(config.ranks[0].target == std::chrono::milliseconds(250));
  CHECK(config.ranks[0].share == Approx(0.2));
  REQUIRE(config.routes.size() == 1);
  const RouteConfig& route = config.routes[0];
  CHECK(route.path == "/visits");
  CHECK(route.header_name == "X-Caller");
  CHECK(route.header_value == "internal");
  CHECK(route.repeat_safe);
}

}  // namespace
}  // namespace comfrey
