// Prints the share of keyed requests that are refused as not run in each
// failure case, by running the owners' decision procedure on a fleet of 12
// endpoints in 3 regions of 2 failure domains.
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

struct Share {
  int requests = 0;
  int not_run = 0;
  int unknown = 0;
  int ran = 0;
  int fences = 0;
};

std::string EndpointName(int node) {
  return absl::StrCat("127.0.1.", node + 1, ":8081");
}

bool Reaches(const Fleet& fleet, const Node& from, const Node& to) {
  return !from.dead && !to.dead && fleet.connected(from.region, to.region);
}

// Node i is in failure domain i / 2 and region i / 4; node 12 joins the last
// failure domain.
Fleet NewFleet(const std::vector<KeyPhase>& phases) {
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

Share Measure(Fleet& fleet) {
  const steady_clock::time_point now{};
  const system_clock::time_point wall{};
  std::mt19937_64 rng(kSeed);
  std::vector<const Node*> ingresses;
  for (const Node& node : fleet.nodes) {
    if (!node.dead) {
      ingresses.push_back(&node);
    }
  }
  const auto find = [&fleet](const std::string& endpoint) -> Node& {
    for (Node& node : fleet.nodes) {
      if (node.owner.endpoint == endpoint) {
        return node;
      }
    }
    return fleet.nodes.front();
  };
  Share share;
  for (int i = 0; i < kRequests; ++i) {
    ++share.requests;
    const Node& ingress = *ingresses[rng() % ingresses.size()];
    KeyedExecution execution;
    execution.request.key = KeyId{"team", "service", absl::StrCat("key", i)};
    execution.request.attempt = {"ingress", 1, static_cast<std::uint64_t>(i)};
    Node& home = find(
        PlaceKey(*execution.request.key, fleet.nodes[0].owner.endpoints).home);
    if (!Reaches(fleet, ingress, home)) {
      ++share.not_run;
      continue;
    }
    execution.request.stamp = CurrentStamp(home.owner.ledger, now);
    KeyedAction action = NextKeyedAction(home.owner, execution, now, wall);
    if (action.step == KeyedStep::kFence) {
      for (const std::string& former : action.endpoints_to_fence) {
        ++share.fences;
        Node& node = find(former);
        RecordRelease(execution, former, action.version,
                      Reaches(fleet, home, node)
                          ? HandleFenceKey(node.owner, *execution.request.key,
                                           action.version, now)
                          : KeyFenceReply());
      }
      action = NextKeyedAction(home.owner, execution, now, wall);
    }
    if (action.step == KeyedStep::kRun) {
      ++share.ran;
    } else if (action.not_run) {
      ++share.not_run;
    } else {
      ++share.unknown;
    }
  }
  return share;
}

void Print(const char* name, Fleet fleet) {
  const Share share = Measure(fleet);
  std::printf("%-52s %8.2f%% %8.2f%% %8.3f\n", name,
              100.0 * share.not_run / share.requests,
              100.0 * share.unknown / share.requests,
              1.0 * share.fences / share.requests);
}

std::vector<KeyPhase> Phases(KeyPhase first, KeyPhase others, int count) {
  std::vector<KeyPhase> phases(count, others);
  phases.back() = first;
  return phases;
}

void PrintCases() {
  const KeyPhase active = KeyPhase::kActive;
  const KeyPhase joining = KeyPhase::kJoining;
  const KeyPhase leaving = KeyPhase::kLeaving;
  std::printf("%-52s %9s %9s %8s\n", "case", "not run", "unknown", "fences");
  Fleet fleet = NewFleet(Phases(active, active, kEndpoints));
  Print("all well", fleet);
  fleet.nodes[3].dead = true;
  Print("1 of 12 owners dead", fleet);

  fleet = NewFleet(Phases(active, active, kEndpoints));
  fleet.nodes[3].owner.recovery.needed = true;
  Print("1 of 12 owners recovering", fleet);

  fleet = NewFleet(Phases(active, active, kEndpoints));
  fleet.nodes[2].dead = fleet.nodes[3].dead = true;
  Print("1 failure domain of 6 lost", fleet);

  fleet = NewFleet(Phases(active, active, kEndpoints));
  fleet.connected = [](int a, int b) { return a == b; };
  Print("all 3 regions partitioned from each other", fleet);
  fleet.connected = [](int a, int b) { return (a == 0) == (b == 0); };
  Print("1 region partitioned from the other 2", fleet);

  fleet = NewFleet(Phases(joining, active, kEndpoints + 1));
  Print("a 13th endpoint joining", fleet);
  fleet.nodes[3].dead = true;
  Print("a 13th endpoint joining, 1 active owner dead", fleet);
  fleet = NewFleet(Phases(joining, active, kEndpoints + 1));
  fleet.nodes[12].dead = true;
  Print("a 13th endpoint joining, its owner dead", fleet);

  fleet = NewFleet(Phases(leaving, active, kEndpoints));
  Print("1 of 12 endpoints leaving", fleet);
  fleet.nodes[kEndpoints - 1].dead = true;
  Print("1 of 12 endpoints leaving, its owner dead", fleet);
  fleet = NewFleet(Phases(leaving, active, kEndpoints));
  fleet.connected = [](int a, int b) { return (a == 0) == (b == 0); };
  Print("1 of 12 endpoints leaving, 1 region partitioned", fleet);

  fleet = NewFleet(Phases(joining, joining, kEndpoints));
  Print("all 12 endpoints joining (new service)", fleet);
  fleet.nodes[3].dead = true;
  Print("all 12 endpoints joining, 1 owner dead", fleet);
}

// A restarted owner recovers from journals only where no other daemon
// restarted within RecordRetention.
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
    const double recent = c.restarts_per_day * retention / kDay;
    const double by_journal = std::exp(-recent);
    const double share =
        c.restarts_per_day / c.daemons * retention / kDay * (1 - by_journal);
    std::printf("%-40s %8.1f s %9.2f%% %13.3f%%\n", c.name, retention,
                100 * by_journal, 100 * share);
  }
}

}  // namespace
}  // namespace comfrey

int main() {
  comfrey::PrintCases();
  comfrey::PrintRecovery();
  return 0;
}
