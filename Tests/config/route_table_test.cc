#include "config/route_table.h"

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "catch2/catch.hpp"

namespace comfrey {
namespace {

std::shared_ptr<const TeamConfig> ParseConfig(const std::string& team,
                                              const std::string& routes) {
  std::vector<IniError> errors;
  TeamConfig config = ParseTeamConfig(team, "t.ini",
                                      "[service s]\nendpoints = 127.0.0.1:1\n"
                                      "[rank r]\nurgency = 1\ntarget = 1s\n" +
                                          routes,
                                      errors);
  INFO(FormatIniErrors(errors));
  REQUIRE(errors.empty());
  return std::make_shared<const TeamConfig>(std::move(config));
}

std::string MakeRouteSection(const std::string& name, const std::string& keys) {
  return "[route " + name + "]\nservice = s\nrank = r\n" + keys;
}

RouteTable MakeExampleTable() {
  return BuildRouteTable(
      {ParseConfig(
           "salon",
           MakeRouteSection("visits", "path = /visits\n") +
               MakeRouteSection("visits-post",
                                "path = /visits\nmethod = POST\n") +
               MakeRouteSection(
                   "visits-internal",
                   "path = /visits\nmatch_header = X-Caller: internal\n") +
               MakeRouteSection("visits-internal-post",
                                "path = /visits\nmethod = POST\n"
                                "match_header = X-Caller: internal\n") +
               MakeRouteSection("deep",
                                "path = /visits/by-day\nmethod = GET\n") +
               MakeRouteSection("at", "path = /a@b/\n") +
               MakeRouteSection("day-post", "path = /day\nmethod = POST\n") +
               MakeRouteSection(
                   "day-internal",
                   "path = /day\nmatch_header = X-Caller: internal\n")),
       ParseConfig("desk", MakeRouteSection("all", ""))});
}

RouteMatch MatchWithCaller(const RouteTable& table,
                           const std::string& method,
                           const std::string& target,
                           const std::string& caller) {
  return MatchRoute(table, method, target,
                    [&](absl::string_view name) -> std::optional<std::string> {
                      return absl::EqualsIgnoreCase(name, "x-caller") &&
                                     !caller.empty()
                                 ? std::optional<std::string>(caller)
                                 : std::nullopt;
                    });
}

// Guards against a wrong order of precedence, a request that does not match its
// route because its path is encoded differently, and a forwarded path that
// differs from the matched path.
TEST_CASE("requests find their route") {
  const RouteTable table = MakeExampleTable();
  struct Case {
    const char* method;
    const char* target;
    const char* caller;
    MatchStatus status;
    const char* route;
    const char* forwarded;
  };
  const MatchStatus found = MatchStatus::kFound;
  const MatchStatus bad = MatchStatus::kBadTarget;
  const Case cases[] = {
      {"GET", "/salon/visits", "", found, "visits", "/visits"},
      {"POST", "/salon/visits", "", found, "visits-post", "/visits"},
      {"GET", "/salon/visits", "internal", found, "visits-internal", "/visits"},
      {"POST", "/salon/visits", "internal", found, "visits-internal-post",
       "/visits"},
      {"POST", "/salon/visits", "Internal", found, "visits-post", "/visits"},
      {"POST", "/salon/day", "internal", found, "day-internal", "/day"},
      {"GET", "/salon/visits/by-day/1", "internal", found, "deep",
       "/visits/by-day/1"},
      {"PUT", "/salon/visits/by-day", "", found, "visits", "/visits/by-day"},
      {"GET", "/salon/visits/", "", found, "visits", "/visits/"},
      {"GET", "/salon/visits?d=/../desk", "", found, "visits",
       "/visits?d=/../desk"},
      {"GET", "/salon//visits///1", "", found, "visits", "/visits/1"},
      {"GET", "//salon/visits", "", found, "visits", "/visits"},
      {"GET", "/salon/%76isits/a%20b", "", found, "visits", "/%76isits/a%20b"},
      {"GET", "/%73alon/visits", "", found, "visits", "/visits"},
      {"GET", "/salon/a%40b/c", "", found, "at", "/a%40b/c"},
      {"GET", "/salon/visits/%252e%252e", "", found, "visits",
       "/visits/%252e%252e"},
      {"GET", "/desk", "", found, "all", "/"},
      {"GET", "/desk?x=1", "", found, "all", "/?x=1"},
      {"GET", "/desk/x/y/", "", found, "all", "/x/y/"},
      {"GET", "/salon/visitsx", "", MatchStatus::kNoRoute, "", ""},
      {"GET", "/salon", "", MatchStatus::kNoRoute, "", ""},
      {"GET", "/Salon/visits", "", MatchStatus::kNoTeam, "", ""},
      {"GET", "/salo/visits", "", MatchStatus::kNoTeam, "", ""},
      {"GET", "/", "", MatchStatus::kNoTeam, "", ""},
      {"GET", "//", "", MatchStatus::kNoTeam, "", ""},
      {"GET", "", "", bad, "", ""},
      {"GET", "*", "", bad, "", ""},
      {"GET", "http://127.0.0.1/salon/visits", "", bad, "", ""},
      {"GET", "/salon/../desk", "", bad, "", ""},
      {"GET", "/salon/./visits", "", bad, "", ""},
      {"GET", "/salon/visits/..", "", bad, "", ""},
      {"GET", "/salon/%2e%2E/desk", "", bad, "", ""},
      {"GET", "/salon/.%2e/desk", "", bad, "", ""},
      {"GET", "/salon/..;x/desk", "", bad, "", ""},
      {"GET", "/salon/..%2fdesk", "", bad, "", ""},
      {"GET", "/salon%2fvisits", "", bad, "", ""},
      {"GET", "/salon/..%5cdesk", "", bad, "", ""},
      {"GET", "/salon/..\\desk", "", bad, "", ""},
      {"GET", "/salon/visits%00", "", bad, "", ""},
      {"GET", "/salon/visits%0d%0aX:y", "", bad, "", ""},
      {"GET", "/salon/visits%", "", bad, "", ""},
      {"GET", "/salon/visits%4", "", bad, "", ""},
      {"GET", "/salon/visits%zz", "", bad, "", ""},
      {"GET", "/salon/visits#x", "", bad, "", ""},
      {"GET", "/salon/visits?a b", "", bad, "", ""},
      {"GET", "/salon/visits\xc3\xa9", "", bad, "", ""},
  };
  for (const Case& c : cases) {
    INFO(c.method << " " << c.target << " " << c.caller);
    const RouteMatch match =
        MatchWithCaller(table, c.method, c.target, c.caller);
    CHECK(match.status == c.status);
    if (match.status != MatchStatus::kFound) {
      CHECK(match.route == nullptr);
      continue;
    }
    CHECK(match.route->name == c.route);
    CHECK(match.target == c.forwarded);
    CHECK(match.path == match.target.substr(0, match.target.find('?')));
    CHECK(match.service->name == "s");
    CHECK(match.rank->name == "r");
  }
}

// Resolves a target like a lenient server: decodes it twice, treats backslashes
// as slashes and resolves dot segments. Returns the first segment, or an empty
// string if the path has no segment or leads above the root.
std::string LenientFirstSegment(std::string path) {
  path = path.substr(0, path.find('?'));
  for (const auto& [code, plain] : {std::pair<const char*, char>{"%2e", '.'},
                                    {"%2f", '/'},
                                    {"%5c", '\\'}}) {
    for (std::size_t at = 0; (at = path.find(code)) != std::string::npos;) {
      path.replace(at, 3, 1, plain);
    }
  }
  std::replace(path.begin(), path.end(), '\\', '/');
  std::vector<std::string> resolved;
  for (const absl::string_view segment : absl::StrSplit(path, '/')) {
    const std::string name(segment.substr(0, segment.find(';')));
    if (name == "..") {
      if (resolved.empty()) {
        return "";
      }
      resolved.pop_back();
    } else if (!name.empty() && name != ".") {
      resolved.push_back(name);
    }
  }
  return resolved.empty() ? "" : resolved.front();
}

// Guards against a path that matches a route of one team while a server
// resolves it to the prefix of another team.
TEST_CASE("no path resolves to the prefix of another team") {
  const RouteTable table =
      BuildRouteTable({ParseConfig("salon", MakeRouteSection("all", "")),
                       ParseConfig("desk", MakeRouteSection("all", ""))});
  const std::vector<std::string> pieces = {"/",  "/",   "salon", "desk",  "..",
                                           ".",  "%2e", "%2f",   "\\",    "%5c",
                                           ";x", "?",   "//x",   "%2e%2e"};
  std::mt19937 random(7);
  int matched = 0;
  for (int i = 0; i < 50'000; ++i) {
    std::string target = random() % 2 == 0 ? "/salon/" : "/desk/";
    for (std::size_t n = random() % 8; n > 0; --n) {
      target += pieces[random() % pieces.size()];
    }
    INFO(target);
    const RouteMatch match = MatchWithCaller(table, "GET", target, "");
    if (match.status != MatchStatus::kFound) {
      continue;
    }
    ++matched;
    CHECK(LenientFirstSegment(target) == match.team->team);
    CHECK(LenientFirstSegment("/" + match.team->team + match.target) ==
          match.team->team);
  }
  CHECK(matched > 5'000);
}

// Guards against a change of one team that copies, removes or changes the
// routes of other teams.
TEST_CASE("a change of one team shares the other teams") {
  const RouteTable table = MakeExampleTable();
  const RouteTable changed = WithTeam(
      table, ParseConfig("desk", MakeRouteSection("new", "path = /n\n")));
  CHECK(changed.teams.at("salon") == table.teams.at("salon"));
  CHECK(MatchWithCaller(changed, "GET", "/desk/n", "").route->name == "new");
  CHECK(MatchWithCaller(table, "GET", "/desk/n", "").route->name == "all");
  auto removed = std::make_shared<TeamConfig>();
  removed->team = "desk";
  removed->removed = true;
  const RouteTable without = WithTeam(table, removed);
  CHECK(MatchWithCaller(without, "GET", "/desk", "").status ==
        MatchStatus::kNoTeam);
  CHECK(without.teams.size() == 1);
}

RouteMatch MatchHost(const RouteTable& table,
                     const std::string& host,
                     const std::string& target) {
  return MatchRoute(table, "GET", target,
                    [&](absl::string_view name) -> std::optional<std::string> {
                      return absl::EqualsIgnoreCase(name, "Host")
                                 ? std::optional<std::string>(host)
                                 : std::nullopt;
                    });
}

// Guards against a request that matches the route of another host or prefix,
// and against a target that is forwarded in a different form.
TEST_CASE("a host with its own routes is matched by literal prefix") {
  const RouteTable table = BuildRouteTable(
      {ParseConfig("salon", MakeRouteSection("visits", "path = /visits\n")),
       ParseConfig(
           "shop",
           MakeRouteSection("short", "host = shop.example\npath = /a\n") +
               MakeRouteSection("long", "host = shop.example\npath = /a/b\n") +
               MakeRouteSection("other", "host = other.example\npath = /\n"))});
  struct Case {
    std::string host;
    std::string target;
    std::string route;  // Empty if none matches.
  };
  const std::vector<Case> cases = {
      {"shop.example", "/a/x?page=1", "short"},
      {"SHOP.example:8080", "/a/x", "short"},
      {"shop.example", "/a/b/c", "long"},
      {"shop.example", "/a/b", "short"},
      {"shop.example", "/a", ""},
      {"shop.example", "/ab/c", ""},
      {"shop.example", "/salon/visits", ""},
      {"other.example", "/anything//%2f", "other"},
      {"unknown.example", "/salon/visits", "visits"},
      {"unknown.example", "/a/x", ""},
  };
  for (const Case& c : cases) {
    INFO(c.host << " " << c.target);
    const RouteMatch match = MatchHost(table, c.host, c.target);
    if (c.route.empty()) {
      CHECK(match.status != MatchStatus::kFound);
      continue;
    }
    REQUIRE(match.status == MatchStatus::kFound);
    CHECK(match.route->name == c.route);
    if (c.route != "visits") {
      CHECK(match.target == c.target);
    }
  }
}

// Guards against a removed team that still serves its hosts, and against a host
// that no team serves although another team lists it.
TEST_CASE("a host is assigned to another team when its team is removed") {
  RouteTable table = BuildRouteTable(
      {ParseConfig(
           "b", MakeRouteSection("second", "host = shop.example\npath = /\n")),
       ParseConfig(
           "a", MakeRouteSection("first", "host = shop.example\npath = /\n"))});
  CHECK(MatchHost(table, "shop.example", "/x").team->team == "a");
  auto removed = std::make_shared<TeamConfig>();
  removed->team = "a";
  removed->removed = true;
  SetTeam(table, removed);
  CHECK(MatchHost(table, "shop.example", "/x").team->team == "b");
}

// Guards against a 404, or another route, for a request whose published route
// cannot be used.
TEST_CASE("requests of an unusable route match no other route") {
  auto config = std::make_shared<TeamConfig>(*ParseConfig(
      "t", MakeRouteSection("all", "host = shop.example\npath = /\n")));
  RouteConfig unusable;
  unusable.name = "orders";
  unusable.unusable = true;
  unusable.host = "shop.example";
  unusable.path = "/orders/";
  config->routes.push_back(unusable);
  RouteTable table = BuildRouteTable({config});
  CHECK(MatchHost(table, "shop.example", "/orders/1").status ==
        MatchStatus::kUnusableRoute);
  CHECK(MatchHost(table, "shop.example", "/other").status ==
        MatchStatus::kFound);
  CHECK(MatchHost(table, "else.example", "/orders/1").status ==
        MatchStatus::kNoTeam);
  auto lacking = std::make_shared<TeamConfig>(*config);
  lacking->lacks_routes = true;
  SetTeam(table, lacking);
  CHECK(MatchHost(table, "else.example", "/orders/1").status ==
        MatchStatus::kUnusableRoute);
  CHECK(MatchHost(table, "shop.example", "/other").status ==
        MatchStatus::kFound);
  SetTeam(table, config);
  CHECK(MatchHost(table, "else.example", "/orders/1").status ==
        MatchStatus::kNoTeam);
}

// Guards against a split that does not follow its weights.
TEST_CASE("a split divides the requests by weight") {
  std::vector<IniError> errors;
  auto config = std::make_shared<const TeamConfig>(
      ParseTeamConfig("t", "t.ini",
                      "[service s]\nendpoints = 127.0.0.1:1\n"
                      "[service s2]\nendpoints = 127.0.0.1:2\n"
                      "[service s3]\nendpoints = 127.0.0.1:3\n"
                      "[rank r]\nurgency = 1\ntarget = 1s\n"
                      "[route x]\nservice = s\nrank = r\nhost = h.example\n"
                      "split = s 90, s2 0, s3 10\n",
                      errors));
  INFO(FormatIniErrors(errors));
  REQUIRE(errors.empty());
  const RouteTable table = BuildRouteTable({config});
  const RouteMatch match = MatchHost(table, "h.example", "/x");
  REQUIRE(match.status == MatchStatus::kFound);
  CHECK(SelectService(match, 0)->name == "s");
  CHECK(SelectService(match, 0.899)->name == "s");
  CHECK(SelectService(match, 0.901)->name == "s3");
  CHECK(SelectService(match, 0.9999)->name == "s3");
}

// Guards against a split that is malformed, names a service that does not
// exist, or has only the weight 0.
TEST_CASE("an invalid split is rejected") {
  for (const char* split : {"s", "s x", "s -1", "none 1", "s 0", "s 1,"}) {
    INFO(split);
    std::vector<IniError> errors;
    ParseTeamConfig(
        "t", "t.ini",
        "[service s]\nendpoints = 127.0.0.1:1\n"
        "[rank r]\nurgency = 1\ntarget = 1s\n" +
            MakeRouteSection("x", std::string("split = ") + split + "\n"),
        errors);
    CHECK_FALSE(errors.empty());
  }
}

}  // namespace
}  // namespace comfrey
