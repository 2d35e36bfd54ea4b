#include "ctl/keys_rule.h"

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

using Phase = std::optional<KeysState>;

constexpr Phase kAbsent = std::nullopt;
constexpr Phase kJoining = KeysState::kJoining;
constexpr Phase kActive = KeysState::kActive;
constexpr Phase kLeaving = KeysState::kLeaving;

EndpointConfig MakeEndpoint(const std::string& ip, KeysState keys) {
  constexpr std::uint16_t kPort = 8081;
  EndpointConfig endpoint;
  endpoint.address = ip + ":" + std::to_string(kPort);
  endpoint.ip = ip;
  endpoint.port = kPort;
  endpoint.keys = keys;
  return endpoint;
}

TeamConfig MakeTeam(const Phase& phase, bool repeat_safe) {
  TeamConfig team;
  ServiceConfig service;
  service.name = "booking";
  service.endpoints = {MakeEndpoint("127.0.1.1", *kActive)};
  if (phase) {
    service.endpoints.push_back(MakeEndpoint("127.0.1.2", *phase));
  }
  team.services = {service};
  RouteConfig route;
  route.service = "booking";
  route.repeat_safe = repeat_safe;
  team.routes = {route};
  return team;
}

// Guards against accepting a phase change that the keys rule forbids. A key
// could then run at two endpoints.
TEST_CASE("each phase change of an endpoint is checked by the keys rule") {
  constexpr Phase kPhases[] = {kAbsent, kJoining, kActive, kLeaving};
  // Rows are phases before the change, columns phases after it, in the same
  // order. B breaks the rule. n is permitted after the minimum duration of a
  // phase, 1.5 times the retention time. A dash stands for a change that
  // needs no message.
  constexpr const char* kExpected[] = {"--B-",   // absent
                                       "B-n-",   // joining
                                       "B---",   // active
                                       "n-B-"};  // leaving
  for (int before = 0; before < 4; before++) {
    for (int after = 0; after < 4; after++) {
      INFO("phase " << before << " to " << after);
      const char expected = kExpected[before][after];
      const auto changes = CompareKeyPhases(MakeTeam(kPhases[before], false),
                                            MakeTeam(kPhases[after], false));
      REQUIRE(changes.size() == (expected == '-' ? 0 : 1));
      if (!changes.empty()) {
        CHECK(changes[0].service == "booking");
        CHECK(changes[0].endpoint == "127.0.1.2:8081");
        CHECK(changes[0].breaks_rule == (expected == 'B'));
        CHECK_THAT(changes[0].remedy, Catch::Contains("15m"));
      }
    }
  }
}

// Guards against warnings about services without keys, which would make
// operators ignore all warnings, and against a missing warning for a service
// that has keys in only one of the versions.
TEST_CASE("only services with non-idempotent routes are compared") {
  struct Case {
    bool safe_before;
    bool safe_after;
    std::size_t expected;
  };
  for (const Case& c : {Case{true, true, 0}, Case{true, false, 1},
                        Case{false, true, 1}, Case{false, false, 1}}) {
    INFO(c.safe_before << " " << c.safe_after);
    CHECK(CompareKeyPhases(MakeTeam(kAbsent, c.safe_before),
                           MakeTeam(kActive, c.safe_after))
              .size() == c.expected);
  }
  CHECK(CompareKeyPhases(TeamConfig(), MakeTeam(kActive, false)).empty());
  CHECK(CompareKeyPhases(MakeTeam(kActive, false), TeamConfig()).empty());
}

// Guards against a remedy whose wait is based on the shorter of two retention
// times.
TEST_CASE("the wait of the longer retention time is stated") {
  TeamConfig before = MakeTeam(kAbsent, false);
  TeamConfig after = MakeTeam(kActive, false);
  before.services[0].key_retention = std::chrono::hours(1);
  CHECK_THAT(CompareKeyPhases(before, after).at(0).remedy,
             Catch::Contains("90m"));
  std::swap(before.services[0].key_retention, after.services[0].key_retention);
  CHECK_THAT(CompareKeyPhases(before, after).at(0).remedy,
             Catch::Contains("90m"));
}

}  // namespace
}  // namespace comfrey
