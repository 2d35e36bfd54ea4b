#include <functional>
#include <string>
#include <vector>

#include "catch2/catch.hpp"
#include "ctl/burn_command.h"
#include "ctl/explain_command.h"
#include "ctl/status_command.h"
#include "sample_reports.h"

namespace comfrey {
namespace {

// The expected texts begin with a line break, which comparisons leave out.
constexpr char kStatusText[] = R"(
TEAM   VERSION  CONTENT           DAEMONS  NOTE
salon  1.42     0123456789abcdef  vm-1

daemon vm-1 at 127.0.1.1, region budapest, failure domain budapest-a
  ready, up 2h2m5s, incarnation 1856789012345678901
  refused: team salon, version 2.43; in force is 1.42
    /comfreywood/teams/salon:4: [service booking] slots = 0: the value is out of range; write 1 to 10000
  members: 1 alive, 1 suspect
    MEMBER  ADDRESS    FAILURE DOMAIN  STATE
    vm-1    127.0.1.1  budapest-a      alive
    vm-2    127.0.1.2  budapest-b      suspect
  endpoints: 2, of which 1 healthy and in use
    ENDPOINT        TEAM   SERVICE  OWNER      STATE                     SEVERITY  LATENCY  LOAD  USE
    127.0.1.1:8081  salon  booking  reachable  healthy                   0         18.4ms   2/3   in_use
    127.0.1.2:8081  salon  booking  reachable  ejected, draining (slow)  31        -        1/3   ejection_not_honoured (floor 70% of 2 endpoints)
  keys of own endpoints:
    ENDPOINT        TEAM   SERVICE  STATE                                       RECORDS  BYTES
    127.0.1.1:8081  salon  booking  RECOVERING (waits for the journal of vm-2)  17       5120
)";

constexpr char kKeyedText[] = R"(
POST /salon/visits?day=3 with key "order-7"
team:     salon, version 1.42
route:    book-visit, forwarded as /visits?day=3
rank:     dispatch, target 250ms, guaranteed share 20%
service:  booking
repeat:   never: runs at most once
deadline: 2s
endpoints of the key:
                ENDPOINT        DISTANCE             OWNER        STATE                            LOAD  USE
  home          127.0.1.1:8081  same_failure_domain  reachable    healthy                          2/3   in_use
  must release  127.0.1.2:8081  other_region         UNREACHABLE  probation, draining (returning)  1/4   not_in_use (draining)
)";

constexpr char kBurnText[] = R"(
TEAM   RANK               TARGET  OBJECTIVE  WORTH  5m BURN (MISSED/ALL)  30m BURN (MISSED/ALL)
salon  dispatch           250ms   99%        10     5.00 (50/1000)        0.00 (20/6000)
salon  reports            10s     50%        30     0.50 (1/4)            0.00 (0/0)
all    weighted by worth                            1.62                  0.00
)";

// Guards against a value that is left out or shown under the wrong heading.
TEST_CASE("status is rendered") {
  CHECK(RenderStatus({SampleStatus()}, StatusDetail::kAll) == &kStatusText[1]);
}

// Guards against exit code 0 for a status that an operator must act upon, and
// against another exit code for a planned stop.
TEST_CASE("a status has a problem if an operator must act") {
  struct Case {
    std::string name;
    std::function<void(StatusReport&)> change;
    bool problem;
  };
  const std::vector<Case> cases = {
      {"good", [](StatusReport&) {}, false},
      {"not ready", [](StatusReport& r) { r.daemon.ready = false; }, true},
      {"planned stop",
       [](StatusReport& r) {
         r.daemon.ready = false;
         r.daemon.draining = true;
       },
       false},
      {"refused value",
       [](StatusReport& r) { r.teams[0].refused = RejectedConfig(); }, true},
      {"older version",
       [](StatusReport& r) { r.teams[0].in_force->version.revision--; }, true},
      {"team missing", [](StatusReport& r) { r.teams.clear(); }, true},
  };
  StatusReport good = SampleStatus();
  good.teams[0].refused.reset();
  for (const Case& c : cases) {
    INFO(c.name);
    StatusReport changed = good;
    c.change(changed);
    CHECK(HasProblem({good, changed}) == c.problem);
  }
}

// Guards against showing the wrong endpoint as the home of a key, and against
// texts that do not say why a request is not run.
TEST_CASE("explanations are rendered") {
  CHECK_THAT(RenderExplanation(SampleExplanation()),
             Catch::Contains("  1  127.0.1.1:8081  ") &&
                 Catch::Contains("  2  127.0.1.2:8081  "));
  CHECK(RenderExplanation(SampleKeyedExplanation()) == &kKeyedText[1]);

  RouteExplanation unmatched = SampleExplanation();
  unmatched.match = ExplainedMatch::kNoRoute;
  unmatched.problem = "no route of team salon matches; see its routes";
  unmatched.route.reset();
  CHECK(RenderExplanation(unmatched) ==
        "POST /salon/visits?day=3\n"
        "no match (no_route): no route of team salon matches; see its "
        "routes\n");

  RouteExplanation without_home = SampleKeyedExplanation();
  without_home.route->key->home.reset();
  CHECK_THAT(RenderExplanation(without_home),
             Catch::Contains("the key has no home"));

  RouteExplanation idempotent = SampleExplanation();
  idempotent.key = "order-7";
  idempotent.route->repeat_safe = true;
  CHECK_THAT(RenderExplanation(idempotent),
             Catch::Contains("the key has no effect") &&
                 Catch::Contains("repeat:   safe"));
}

// Guards against exit code 0 for a request that would not run.
TEST_CASE("an explanation has a problem if the request would not run") {
  struct Case {
    std::string name;
    RouteExplanation base;
    std::function<void(ExplainedRoute&)> change;
    bool problem;
  };
  const RouteExplanation plain = SampleExplanation();
  RouteExplanation keyed = SampleKeyedExplanation();
  keyed.route->key->must_release[0].owner_reachable = true;
  const auto set_use = [](ReportedUse use) {
    return [use](ExplainedRoute& r) { r.endpoints[0].use = use; };
  };
  const std::vector<Case> cases = {
      {"in use", plain, [](ExplainedRoute&) {}, false},
      {"limited", plain, set_use(ReportedUse::kLimited), false},
      {"floor", plain, set_use(ReportedUse::kEjectionNotHonoured), false},
      {"ejected", plain, set_use(ReportedUse::kEjectionHonoured), true},
      {"not in use", plain, set_use(ReportedUse::kNotInUse), true},
      {"draining", plain,
       [](ExplainedRoute& r) { r.endpoints[0].draining = true; }, true},
      {"unreachable", plain,
       [](ExplainedRoute& r) { r.endpoints[0].owner_reachable = false; }, true},
      {"no endpoints", plain, [](ExplainedRoute& r) { r.endpoints.clear(); },
       true},
      {"released key", keyed, [](ExplainedRoute&) {}, false},
      {"no home", keyed, [](ExplainedRoute& r) { r.key->home.reset(); }, true},
      {"home unreachable", keyed,
       [](ExplainedRoute& r) { r.key->home->owner_reachable = false; }, true},
      {"home draining", keyed,
       [](ExplainedRoute& r) { r.key->home->draining = true; }, true},
      {"not released", SampleKeyedExplanation(), [](ExplainedRoute&) {}, true},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    RouteExplanation changed = c.base;
    c.change(*changed.route);
    CHECK(HasProblem(changed) == c.problem);
  }
  RouteExplanation unmatched = plain;
  unmatched.match = ExplainedMatch::kNoTeam;
  CHECK(HasProblem(unmatched));
}

// Guards against counts that are shown under the wrong window.
TEST_CASE("a burn report is rendered") {
  CHECK(RenderBurn(SampleBurn()) == &kBurnText[1]);
  CHECK(RenderBurn(BurnStatus()) == "no ranks\n");
}

// Guards against terminal escape sequences in names and reasons that come from
// other processes.
TEST_CASE("control characters are not printed") {
  StatusReport report = SampleStatus();
  report.daemon.name = "vm\x1b[2J";
  report.endpoints[1].reason = "slow\n\x1b]0;x\x07";
  report.teams[0].refused->errors[0].value = "\r\x1b[1m";
  const std::string text = RenderStatus({report}, StatusDetail::kAll);
  CHECK_THAT(text, Catch::Contains("vm?[2J") &&
                       Catch::Contains("slow??]0;x?") &&
                       Catch::Contains("slots = ??[1m"));
}

// Guards against listing all names if 440 daemons have the same version.
TEST_CASE("many daemons with one version are counted") {
  std::vector<StatusReport> reports(440, SampleStatus());
  CHECK_THAT(RenderStatus(reports, StatusDetail::kAbnormalOnly),
             Catch::Contains("vm-1, vm-1 and 432 more"));
}

}  // namespace
}  // namespace comfrey
