#include "config/bootstrap_gate.h"

#include <string>
#include <vector>

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

constexpr char kValue[] = "[service s]\nendpoints = 127.0.0.1:1\n";

struct Report {
  std::string peer;
  bool starting = false;
  std::vector<SubtreeVersion> versions;
};

// Guards against a daemon that becomes ready before it holds the versions of
// its peers, and against a daemon that never becomes ready.
TEST_CASE("a daemon is ready when it holds what enough peers reported") {
  ConfigStore empty;
  ConfigStore held;
  ApplySubtree(held, "salon", {1, 3}, kValue);
  const std::vector<SubtreeVersion> equal = ListVersions(held);
  std::vector<SubtreeVersion> older = equal;
  older[0].version.revision = 2;
  std::vector<SubtreeVersion> newer = equal;
  newer[0].version.revision = 4;
  std::vector<SubtreeVersion> winning = equal;
  ++winning[0].content_hash;
  const std::vector<SubtreeVersion> other = {{"desk", {1, 1}, 1}};
  struct Case {
    const char* name;
    std::size_t bootstrap_peers;
    std::size_t seeds;
    std::vector<Report> reports;
    const ConfigStore* store;
    std::chrono::seconds age;
    BootstrapState state;
  };
  const std::chrono::seconds early{0};
  const Case cases[] = {
      {"no report", 2, 3, {}, &held, early, BootstrapState::kAwaitingPeers},
      {"one report",
       2,
       3,
       {{"a", false, equal}},
       &held,
       early,
       BootstrapState::kAwaitingPeers},
      {"one peer twice",
       2,
       3,
       {{"a", false, equal}, {"a", false, equal}},
       &held,
       early,
       BootstrapState::kAwaitingPeers},
      {"two reports",
       2,
       3,
       {{"a", false, equal}, {"b", false, older}},
       &held,
       early,
       BootstrapState::kReady},
      {"one seed",
       2,
       1,
       {{"a", false, equal}},
       &held,
       early,
       BootstrapState::kReady},
      {"no seed", 2, 0, {}, &held, early, BootstrapState::kReady},
      {"no configuration at any daemon",
       1,
       1,
       {{"a", false, {}}},
       &empty,
       early,
       BootstrapState::kAwaitingConfig},
      {"newer at the first peer",
       2,
       2,
       {{"a", false, newer}, {"b", false, older}},
       &held,
       early,
       BootstrapState::kAwaitingValues},
      {"newer at the second peer",
       2,
       2,
       {{"a", false, older}, {"b", false, newer}},
       &held,
       early,
       BootstrapState::kAwaitingValues},
      {"greater content hash at a peer",
       1,
       1,
       {{"a", false, winning}},
       &held,
       early,
       BootstrapState::kAwaitingValues},
      {"team not held",
       1,
       1,
       {{"a", false, other}},
       &held,
       early,
       BootstrapState::kAwaitingValues},
      {"peers are starting",
       2,
       2,
       {{"a", true, equal}, {"b", true, equal}},
       &held,
       early,
       BootstrapState::kAwaitingPeers},
      {"peers are starting, after the wait",
       2,
       2,
       {{"a", true, equal}, {"b", true, equal}},
       &held,
       kStartingPeersWait,
       BootstrapState::kReady},
      {"a peer becomes ready",
       1,
       1,
       {{"a", true, equal}, {"a", false, equal}},
       &held,
       early,
       BootstrapState::kReady},
      {"a peer counts once",
       2,
       2,
       {{"a", true, equal}, {"a", false, equal}},
       &held,
       kStartingPeersWait,
       BootstrapState::kAwaitingPeers},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    const std::chrono::steady_clock::time_point start{std::chrono::hours(1)};
    BootstrapGate gate = MakeBootstrapGate(c.bootstrap_peers, c.seeds, start);
    for (const Report& report : c.reports) {
      RecordPeerVersions(gate, report.peer, report.starting, report.versions);
    }
    CHECK(UpdateBootstrapState(gate, *c.store, start + c.age) == c.state);
    CHECK(gate.ready == (c.state == BootstrapState::kReady));
  }
}

// Guards against a ready daemon that rejects callers again when a peer reports
// a newer version.
TEST_CASE("a ready daemon stays ready") {
  const std::chrono::steady_clock::time_point now;
  ConfigStore store;
  ApplySubtree(store, "salon", {1, 3}, kValue);
  BootstrapGate gate = MakeBootstrapGate(1, 1, now);
  RecordPeerVersions(gate, "a", false, ListVersions(store));
  REQUIRE(UpdateBootstrapState(gate, store, now) == BootstrapState::kReady);
  RecordPeerVersions(gate, "b", false, {{"desk", {1, 9}, 1}});
  CHECK(UpdateBootstrapState(gate, store, now) == BootstrapState::kReady);
}

}  // namespace
}  // namespace comfrey
