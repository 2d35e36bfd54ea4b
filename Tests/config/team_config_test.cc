#include "config/team_config.h"

#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_replace.h"
#include "catch2/catch.hpp"
#include "config/route_table.h"

namespace comfrey {
namespace {

// The example in the design documentation.
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

// Guards against a key that is read into another field or ignored.
TEST_CASE("the example in the design documentation is read") {
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

// Guards against an error that is not reported, is reported twice, or is
// reported without its place, its cause or its remedy.
TEST_CASE("each error of a subtree names place, cause and remedy") {
  struct Case {
    const char* replaced;
    const char* replacement;
    const char* place_and_cause;
    const char* remedy;
    // More than 1 if another section refers to what the replacement removes.
    std::size_t errors = 1;
  };
  const Case cases[] = {
      {"generation = 1", "generation = 0",
       "t.ini:3: [team] generation = 0: the value is out of range",
       "from 1 to 9223372036854775807"},
      {"generation = 1", "removed = yes",
       "t.ini:3: [team] removed = yes: the value is not one of", "true, false"},
      {"[team]", "[team x]", "t.ini:2: [team x] the section takes no name",
       "write [team]"},
      {"127.0.1.2:8081", "vm-2:8081",
       "t.ini:6: [service booking] endpoints = 127.0.1.1:8081, vm-2:8081: "
       "\"vm-2:8081\" is not an IP address with a port",
       "host names are not resolved"},
      {"127.0.1.2:8081", "127.0.1.2:65536", "the port of", "from 1 to 65535"},
      {"127.0.1.2:8081", "0.0.0.0:8081", "is the unspecified address",
       "one VM"},
      {"127.0.1.2:8081", "::1:8081", "is not an IP address", "[::1]:8081"},
      {"127.0.1.2:8081", "", "\"\" is not an IP address", "IP:port"},
      {"127.0.1.2:8081", "127.0.1.1:8081",
       "127.0.1.1:8081 is already an endpoint of service booking",
       "list each endpoint once"},
      {"endpoints = 127.0.1.1:8081, 127.0.1.2:8081\n", "",
       "t.ini:5: [service booking] the key \"endpoints\" is missing",
       "endpoints = ...", 2},
      {"slots = 3 ", "slots = 0 ", "slots = 0: the value is out of range",
       "from 1 to 10000"},
      {"slots = 3 ", "slots = 3 # x", "not a whole number", "from 1 to 10000"},
      {"slots = 3 ", "slot = 3 ", "slot = 3: the key is unknown", "\"slots\""},
      {"floor = 70%", "floor = 70", "floor = 70: the value is not a percent",
       "from 0% to 100%"},
      {"floor = 70%", "floor = 100.0001%", "out of range", "0% to 100%"},
      {"floor = 70%", "floor = 0.00001%", "not a percentage", "4 decimals"},
      {"key_retention = 10m", "key_retention = 25h", "out of range",
       "from 1s to 24h"},
      {"key_retention = 10m", "key_retention = 10 minutes", "not a duration",
       "us, ms, s, m or h"},
      {"12-04T10:00:00Z", "13-04T10:00:00Z", "not a time in UTC", "2026-12-"},
      {"2026-12-04T10:00:00Z", "infinite-past", "out of range", "2000 to"},
      {"2026-12-04T10:00:00Z", "infinite-future", "out of range", "2000 to"},
      {"2026-12-04T10:00:00Z", "2026-02-30T10:00:00Z", "not a time",
       "2026-12-"},
      {"2026-12-04T10:00:00Z", "2026-12-04T10:00:00+01:00", "not a time",
       "2026-12-"},
      {"2026-12-04T10:00:00Z", "1999-12-04T10:00:00Z", "out of range",
       "2000 to 2199"},
      {"2026-12-04T10:00:00Z", "2026-12-04T10:00:60Z", "not a time",
       "2026-12-"},
      {"2026-12-04T10:00:00Z", "2026-12-4T1:00:00Z", "not a time", "2026-12-"},
      {"queue_limit = 64", "queue_limit = -1", "not a whole number",
       "from 0 to 100000"},
      {"queue_limit = 64", "urgent_slots = 10001", "out of range",
       "from 0 to 10000"},
      {"balanced", "quick", "detection = quick: the value is not one of",
       "careful, balanced, fast"},
      {"expected_latency = 40ms", "expected_latency = 0s", "out of range",
       "100us to 10m"},
      {"warmup = 10s", "warmup = 2h", "out of range", "from 0s to 1h"},
      {"[endpoint 127.0.1.1:8081]", "[endpoint 127.0.1.9:8081]",
       "t.ini:16: [endpoint 127.0.1.9:8081] no service lists the endpoint",
       "remove the section"},
      {"[endpoint 127.0.1.1:8081]", "[endpoint vm-1:8081]",
       "t.ini:16: [endpoint vm-1:8081] \"vm-1:8081\" is not", "::1 8081"},
      {"keys = joining", "keys = gone", "keys = gone: the value is not one of",
       "joining, active, leaving"},
      {"urgency = 1", "urgency = 101", "out of range", "from 1 to 100"},
      {"target = 250ms\n", "", "t.ini:19: [rank dispatch] the key \"target\"",
       "target = ..."},
      {"objective = 99%", "objective = 100%", "out of range",
       "from 1% to 99.9999%"},
      {"share = 20%",
       "share = 100%\n[rank x]\nurgency = 2\ntarget = 1s\n"
       "share = 0.0001%\n",
       "share = 0.0001%: the shares of all ranks add up "
       "to 100.0001%",
       "at most 100%"},
      {"worth = 10", "worth = ten", "not a whole number", "0 to 1000000"},
      {"service = booking", "service = bookings",
       "t.ini:27: [route book-visit] service = bookings: no section [service "
       "bookings] exists",
       "\"booking\", the nearest"},
      {"rank = dispatch", "rank = urgent", "no section [rank urgent] exists",
       "\"dispatch\""},
      {"rank = dispatch", "rank = a b", "not a valid name", "letters, digits"},
      {"method = POST", "method = post", "not an HTTP method", "POST"},
      {"path = /visits", "path = visits", "not a plain absolute path",
       "start it with"},
      {"path = /visits", "path = /a/../visits", "not a plain", "dot segments"},
      {"path = /visits", "path = /a//visits", "not a plain", "empty"},
      {"X-Caller: internal", "X-Caller", "not a header", "Name: value"},
      {"repeat = safe", "repeat = always", "not one of", "never, safe"},
      {"deadline = 2s", "deadline = 2", "not a duration", "from 1ms to 1h"},
      {"[route book-visit]", "[route book visit]", "the name in the heading",
       "letters, digits"},
      {"deadline = 2s",
       "[route other]\nservice = booking\nrank = dispatch\n"
       "method = POST\npath = /visits/\nmatch_header = x-caller:internal",
       "[route other] route book-visit has the same path", "remove one"},
      {"[rank dispatch]", "[ranks dispatch]",
       "t.ini:19: [ranks dispatch] the section is unknown", "\"rank\"", 2},
  };
  for (const Case& c : cases) {
    INFO(c.replacement);
    const std::string text =
        absl::StrReplaceAll(kExample, {{c.replaced, c.replacement}});
    REQUIRE(text != kExample);
    std::vector<IniError> errors;
    ParseTeamConfig("salon", "t.ini", text, errors);
    const std::string rendered = FormatIniErrors(errors);
    INFO(rendered);
    CHECK(errors.size() == c.errors);
    REQUIRE_FALSE(errors.empty());
    const std::string first = FormatIniError(errors.front());
    CHECK(first.find(c.place_and_cause) != std::string::npos);
    CHECK(first.find(c.remedy) != std::string::npos);
    CHECK(first.rfind("t.ini:", 0) == 0);
  }
}

// Guards against an error that ends the parsing, and against a damaged value
// whose errors fill the memory.
TEST_CASE("all errors are reported at once, up to the limit") {
  const std::string text =
      absl::StrReplaceAll(kExample, {{"slots = 3 ", "slots = x "},
                                     {"floor = 70%", "floor = 7"},
                                     {"urgency = 1", "urgency = 0"},
                                     {"POST", "post"}});
  std::vector<IniError> errors;
  ParseTeamConfig("salon", "t.ini", text, errors);
  CHECK(errors.size() == 4);
  std::string damaged = "[service a]\nendpoints = x\n";
  for (int i = 0; i < 9'000; ++i) {
    damaged += "  ,a.b.c.d:1\n";
  }
  damaged += "[service b]\n";
  for (int i = 0; i < 9'000; ++i) {
    damaged += "unknown" + std::to_string(i) + " = 1\n";
  }
  errors.clear();
  ParseTeamConfig("salon", "t.ini", damaged, errors);
  REQUIRE(errors.size() == kMaxIniErrors);
  CHECK(errors.back().cause == "further errors are not listed");
  for (const IniError& error : errors) {
    CHECK(FormatIniError(error).size() < 2'000);
  }
}

// Guards against an empty or truncated value that removes the services of a
// team, and against team names that cannot be a URL prefix.
TEST_CASE("values without a service and invalid team names are rejected") {
  struct Case {
    const char* team;
    std::string text;
    const char* expected;
  };
  const Case cases[] = {
      {"salon", "", "t.ini: the value has no service; add"},
      {"salon", "[team]\ngeneration = 3\n", "the value has no service"},
      {"salon", "[team]\nremoved = true\n", ""},
      {"../salon", kExample, "\"../salon\" is not a valid team name; use"},
      {"", kExample, "is not a valid team name"},
      {"readyz", kExample, "the team name \"readyz\" is reserved; use"},
  };
  for (const Case& c : cases) {
    INFO(c.team << c.text);
    std::vector<IniError> errors;
    const TeamConfig config = ParseTeamConfig(c.team, "t.ini", c.text, errors);
    const std::string rendered = FormatIniErrors(errors);
    INFO(rendered);
    CHECK(errors.size() == (*c.expected == '\0' ? 0 : 1));
    CHECK(rendered.find(c.expected) != std::string::npos);
  }
}

// Guards against one backend server with two endpoint addresses. The owner
// compares addresses as strings.
TEST_CASE("IPv6 endpoints are read in canonical form") {
  std::vector<IniError> errors;
  const TeamConfig config = ParseTeamConfig(
      "salon", "t.ini",
      "[service a]\nendpoints = [0:0::0:1]:80,\n  [2001:DB8::1]:80\n"
      "[endpoint 2001:db8:0:0:0:0:0:1 80]\nkeys = leaving\n",
      errors);
  INFO(FormatIniErrors(errors));
  REQUIRE(errors.empty());
  const std::vector<EndpointConfig>& endpoints = config.services[0].endpoints;
  REQUIRE(endpoints.size() == 2);
  CHECK(endpoints[0].address == "[::1]:80");
  CHECK(endpoints[1].ip == "2001:db8::1");
  CHECK(endpoints[1].keys == KeysState::kLeaving);
}

// Checks the properties of a valid configuration on which other modules rely.
void CheckInvariants(const TeamConfig& config) {
  double shares = 0;
  for (const RankConfig& rank : config.ranks) {
    shares += rank.share;
    CHECK((rank.objective > 0 && rank.objective < 1));
    CHECK((rank.share >= 0 && rank.urgency >= 1));
    CHECK(rank.target >= std::chrono::milliseconds(1));
  }
  CHECK(shares <= 1 + 1e-9);
  CHECK((config.removed || !config.services.empty()));
  for (const ServiceConfig& service : config.services) {
    CHECK((service.floor >= 0 && service.floor <= 1));
    CHECK((service.slots >= 1 && service.queue_limit >= 0));
    CHECK(service.key_retention >= std::chrono::seconds(1));
    CHECK_FALSE(service.endpoints.empty());
    for (const EndpointConfig& endpoint : service.endpoints) {
      CHECK((endpoint.port > 0 && !endpoint.ip.empty()));
    }
  }
  for (const RouteConfig& route : config.routes) {
    CHECK(FindService(config, route.service) != nullptr);
    CHECK(FindRank(config, route.rank) != nullptr);
    CHECK(route.path.front() == '/');
    CHECK(route.deadline >= std::chrono::milliseconds(1));
  }
}

// Returns `text` with 1 to 3 random changes.
std::string Mutate(std::string text, std::mt19937& random) {
  const std::vector<std::string> pieces = {
      "\n",
      "[",
      "]",
      "=",
      "%",
      ";",
      ",",
      "0",
      "101%",
      "-1",
      "99999999999999999999",
      "\n  ",
      "[team]\n",
      "[rank x]\nurgency = 1\ntarget = 1s\nshare = 81%\n",
      std::string(1, '\0'),
      "\xff",
      "/",
      "%2f",
      "removed = true\n",
      "[::1]:1",
      "ms",
      ":"};
  const int edits = 1 + static_cast<int>(random() % 3);
  for (int i = 0; i < edits && !text.empty(); ++i) {
    const std::size_t at = random() % text.size();
    const std::size_t length = random() % 8;
    switch (random() % 4) {
      case 0:
        text.erase(at, length);
        break;
      case 1:
        text.insert(at, pieces[random() % pieces.size()]);
        break;
      case 2:
        text[at] = static_cast<char>(random());
        break;
      default:
        // Copies a part of the document, often a whole word or line, to another
        // place.
        text.insert(random() % text.size(), text.substr(at, length * 8));
    }
  }
  return text;
}

// Guards against documents that crash the parser, and against an accepted
// document that violates the invariants on which other modules rely.
TEST_CASE("mutated documents are rejected or keep all invariants") {
  std::mt19937 random(20261204);
  int accepted = 0;
  for (int i = 0; i < 20'000; ++i) {
    const std::string text = Mutate(kExample, random);
    std::vector<IniError> errors;
    auto config = std::make_shared<const TeamConfig>(
        ParseTeamConfig("salon", "t.ini", text, errors));
    INFO("document " << i << ":\n" << text);
    for (const IniError& error : errors) {
      REQUIRE_FALSE((error.cause.empty() || error.remedy.empty()));
    }
    if (!errors.empty()) {
      continue;
    }
    ++accepted;
    CheckInvariants(*config);
    BuildRouteTable({config});
  }
  // The test is only meaningful if both outcomes are frequent.
  CHECK(accepted > 1'000);
  CHECK(accepted < 19'000);
}

}  // namespace
}  // namespace comfrey
