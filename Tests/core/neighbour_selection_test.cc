#include "core/neighbour_selection.h"

#include <queue>
#include <random>
#include <set>

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

Membership RandomFleet(std::mt19937_64& rng) {
  const auto pick = [&](std::size_t low, std::size_t high) {
    return std::uniform_int_distribution<std::size_t>(low, high)(rng);
  };
  const std::size_t members = pick(2, 120);
  const std::size_t regions = pick(1, 3);
  const std::size_t domains = pick(1, 4);
  Membership fleet;
  for (std::size_t i = 0; i < members; ++i) {
    MemberRecord record;
    record.name = "vm-" + std::to_string(rng());
    record.region = "r" + std::to_string(pick(1, regions));
    record.failure_domain =
        record.region + "-" + std::to_string(pick(1, domains));
    fleet.members[record.name].record = record;
  }
  return fleet;
}

std::set<std::string> Reachable(
    const std::map<std::string, std::vector<std::string>>& links) {
  std::set<std::string> reached{links.begin()->first};
  std::queue<std::string> open;
  open.push(links.begin()->first);
  while (!open.empty()) {
    for (const std::string& next : links.at(open.front())) {
      if (reached.insert(next).second) {
        open.push(next);
      }
    }
    open.pop();
  }
  return reached;
}

// Guards against a group of members to which or from which no push is sent.
TEST_CASE("the graph of neighbours is strongly connected and bounded") {
  std::mt19937_64 rng(11);
  for (int round = 0; round < 150; ++round) {
    INFO("round " << round);
    Membership fleet = RandomFleet(rng);
    std::map<std::string, std::vector<std::string>> links;
    std::map<std::string, std::vector<std::string>> reverse;
    std::set<std::string> domains;
    std::set<std::string> domains_with_outgoing_link;
    for (const auto& [name, entry] : fleet.members) {
      fleet.self = name;
      links[name] = SelectNeighbours(fleet);
      CHECK(links[name].size() <= kMaxNeighbours);
      reverse[name];
      domains.insert(entry.record.failure_domain);
      for (const std::string& next : links[name]) {
        CHECK(next != name);
        if (fleet.members.at(next).record.failure_domain !=
            entry.record.failure_domain) {
          domains_with_outgoing_link.insert(entry.record.failure_domain);
        }
      }
    }
    for (const auto& [name, targets] : links) {
      for (const std::string& next : targets) {
        reverse[next].push_back(name);
      }
    }
    CHECK(Reachable(links).size() == fleet.members.size());
    CHECK(Reachable(reverse).size() == fleet.members.size());
    if (domains.size() > 1) {
      CHECK(domains_with_outgoing_link == domains);
    }
  }
}

// Guards against pushes to members that are known to be dead.
TEST_CASE("dead members are not neighbours") {
  std::mt19937_64 rng(12);
  Membership fleet = RandomFleet(rng);
  fleet.self = fleet.members.begin()->first;
  for (auto& [name, entry] : fleet.members) {
    entry.record.sequence = name == fleet.self ? 4 : 6;
  }
  CHECK(SelectNeighbours(fleet).empty());
}

}  // namespace
}  // namespace comfrey
