// Prints for each failure case the share of keyed requests that are refused as
// not run. Runs the decision procedure of the owners on a simulated fleet of 12
// endpoints in 3 regions with 2 failure domains each.

#include <cmath>
#include <cstdio>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "core/keyed_execution.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;

constexpr int kEndpoints = 12;
constexpr int kRequests = 60'000;
constexpr std::uint64_t kSeed = 20261204;

struct Node {
  KeyedOwner owner;
  int region = 0;
  int failure_domain = 0;
  bool dead = false;
};

struct Fleet {
  std::vector<Node> nodes;
  // Whether messages pass between two regions.
  std::function<bool(int, int)> connected = [](int, int) { return true; };
};

struct OutcomeCounts {
  int requests = 0;
  int not_run = 0;
  int unknown = 0;
  int ran = 0;
  int fences = 0;
};

std::string EndpointName(int node) {
  return absl::StrCat("127.0.1.", node + 1, ":8081");
}

bool CanReach(const Fleet& fleet, const Node& from, const Node& to) {
  return !from.dead && !to.dead && fleet.connected(from.region, to.region);
}

// Node i is in failure domain i / 2 and region i / 4. Node 12, if any, is in
// the last failure domain.
Fleet MakeFleet(const std::vector<KeyPhase>& phases) {
  const steady_clock::time_point start{};
  const KeyTimes times;
  std::vector<PlacedEndpoint> endpoints;
  for (std::size_t i = 0; i < phases.size(); ++i) {
    endpoints.push_back({EndpointName(static_cast<int>(i)), phases[i]});
  }
  Fleet fleet;
  for (std::size_t i = 0; i < phases.size(); ++i) {
    const int slot = std::min(static_cast<int>(i), kEndpoints - 1);
    Node node;
    node.failure_domain = slot / 2;
    node.region = slot / 4;
    node.owner.endpoint = endpoints[i].endpoint;
    node.owner.recovery = MakeKeyRecovery(times, false, start);
    node.owner.ledger =
        MakeAttemptLedger(times, {std::size_t{256} << 20, 4096}, i + 1, start);
    AdoptPlacement(node.owner, {1, 1}, endpoints);
    ConfirmPlacement(node.owner, {1, 1}, start, milliseconds(0), start,
                     system_clock::time_point());
    fleet.nodes.push_back(std::move(node));
  }
  return fleet;
}

OutcomeCounts SimulateRequests(Fleet& fleet) {
  const steady_clock::time_point now{};
  const system_clock::time_point wall_now{};
  std::mt19937_64 rng(kSeed);
  std::vector<const Node*> ingresses;
  for (const Node& node : fleet.nodes) {
    if (!node.dead) {
      ingresses.push_back(&node);
    }
  }
  const auto find_node = [&fleet](const std::string& endpoint) -> Node& {
    for (Node& node : fleet.nodes) {
      if (node.owner.endpoint == endpoint) {
        return node;
      }
    }
    return fleet.nodes.front();
  };
  OutcomeCounts counts;
  for (int i = 0; i < kRequests; ++i) {
    ++counts.requests;
    const Node& ingress = *ingresses[rng() % ingresses.size()];
    KeyedExecution execution;
    execution.request.key = KeyId{"team", "service", absl::StrCat("key", i)};
    execution.request.attempt = {"ingress", 1, static_cast<std::uint64_t>(i)};
    Node& home = find_node(
        PlaceKey(*execution.request.key, fleet.nodes[0].owner.endpoints).home);
    if (!CanReach(fleet, ingress, home)) {
      ++counts.not_run;
      continue;
    }
    execution.request.stamp = CurrentStamp(home.owner.ledger, now);
    KeyedAction action = NextKeyedAction(home.owner, execution, now, wall_now);
    if (action.step == KeyedStep::kFence) {
      for (const std::string& former : action.endpoints_to_fence) {
        ++counts.fences;
        Node& node = find_node(former);
        RecordKeyFenceReply(
            execution, former, action.version,
            CanReach(fleet, home, node)
                ? HandleFenceKey(node.owner, *execution.request.key,
                                 action.version, now)
                : KeyFenceReply());
      }
      action = NextKeyedAction(home.owner, execution, now, wall_now);
    }
    if (action.step == KeyedStep::kRun) {
      ++counts.ran;
    } else if (action.not_run) {
      ++counts.not_run;
    } else {
      ++counts.unknown;
    }
  }
  return counts;
}

void PrintCase(const char* name, Fleet fleet) {
  const OutcomeCounts counts = SimulateRequests(fleet);
  std::printf("%-52s %8.2f%% %8.2f%% %8.3f\n", name,
              100.0 * counts.not_run / counts.requests,
              100.0 * counts.unknown / counts.requests,
              1.0 * counts.fences / counts.requests);
}

// Returns `count` phases: `last` for the last endpoint, `others` for the rest.
std::vector<KeyPhase> MakePhases(KeyPhase last, KeyPhase others, int count) {
  std::vector<KeyPhase> phases(count, others);
  phases.back() = last;
  return phases;
}

void PrintCases() {
  const KeyPhase active = KeyPhase::kActive;
  const KeyPhase joining = KeyPhase::kJoining;
  const KeyPhase leaving = KeyPhase::kLeaving;
  std::printf("%-52s %9s %9s %8s\n", "case", "not run", "unknown", "fences");
  Fleet fleet = MakeFleet(MakePhases(active, active, kEndpoints));
  PrintCase("all well", fleet);
  fleet.nodes[3].dead = true;
  PrintCase("1 of 12 owners dead", fleet);

  fleet = MakeFleet(MakePhases(active, active, kEndpoints));
  fleet.nodes[3].owner.recovery.needed = true;
  PrintCase("1 of 12 owners recovering", fleet);

  fleet = MakeFleet(MakePhases(active, active, kEndpoints));
  fleet.nodes[2].dead = fleet.nodes[3].dead = true;
  PrintCase("1 failure domain of 6 lost", fleet);

  fleet = MakeFleet(MakePhases(active, active, kEndpoints));
  fleet.connected = [](int a, int b) { return a == b; };
  PrintCase("all 3 regions partitioned from each other", fleet);
  fleet.connected = [](int a, int b) { return (a == 0) == (b == 0); };
  PrintCase("1 region partitioned from the other 2", fleet);

  fleet = MakeFleet(MakePhases(joining, active, kEndpoints + 1));
  PrintCase("a 13th endpoint joining", fleet);
  fleet.nodes[3].dead = true;
  PrintCase("a 13th endpoint joining, 1 active owner dead", fleet);
  fleet = MakeFleet(MakePhases(joining, active, kEndpoints + 1));
  fleet.nodes[12].dead = true;
  PrintCase("a 13th endpoint joining, its owner dead", fleet);

  fleet = MakeFleet(MakePhases(leaving, active, kEndpoints));
  PrintCase("1 of 12 endpoints leaving", fleet);
  fleet.nodes[kEndpoints - 1].dead = true;
  PrintCase("1 of 12 endpoints leaving, its owner dead", fleet);
  fleet = MakeFleet(MakePhases(leaving, active, kEndpoints));
  fleet.connected = [](int a, int b) { return (a == 0) == (b == 0); };
  PrintCase("1 of 12 endpoints leaving, 1 region partitioned", fleet);

  fleet = MakeFleet(MakePhases(joining, joining, kEndpoints));
  PrintCase("all 12 endpoints joining (new service)", fleet);
  fleet.nodes[3].dead = true;
  PrintCase("all 12 endpoints joining, 1 owner dead", fleet);
}

// A restarted owner recovers from journals only if no other daemon restarted
// within RecordRetention.
void PrintRecovery() {
  const KeyTimes times;
  const double retention =
      std::chrono::duration<double>(RecordRetention(times)).count();
  constexpr double kDay = 86'400;
  struct Case {
    const char* name;
    double restarts_per_day;
    double daemons;
  };
  const Case cases[] = {{"24 daemons, 24 restarts a day", 24, 24},
                        {"440 daemons, 440 restarts a day", 440, 440}};
  std::printf("\n%-40s %10s %10s %14s\n", "recovery (key_retention 10 min)",
              "wait", "by journal", "not run a day");
  for (const Case& c : cases) {
    const double recent_restarts = c.restarts_per_day * retention / kDay;
    const double by_journal = std::exp(-recent_restarts);
    const double not_run_share =
        c.restarts_per_day / c.daemons * retention / kDay * (1 - by_journal);
    std::printf("%-40s %8.1f s %9.2f%% %13.3f%%\n", c.name, retention,
                100 * by_journal, 100 * not_run_share);
  }
}

}  // namespace
}  // namespace comfrey

int main() {
  comfrey::PrintCases();
  comfrey::PrintRecovery();
  return 0;
}
