#include "config/config_store.h"

#include <xxhash.h>

#include <map>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "absl/strings/str_cat.h"
#include "catch2/catch.hpp"
#include "config/bootstrap_gate.h"

namespace comfrey {
namespace {

std::string MakeValue(std::uint64_t generation, int slots) {
  return absl::StrCat("[team]\ngeneration = ", generation,
                      "\n[service s]\nendpoints = 127.0.0.1:1\nslots = ", slots,
                      "\n[rank r]\nurgency = 1\ntarget = 1s\n"
                      "[route all]\nservice = s\nrank = r\n");
}

std::string MakeRemovedValue(std::uint64_t generation) {
  return absl::StrCat("[team]\nremoved = true\ngeneration = ", generation,
                      "\n");
}

std::uint64_t Hash(const std::string& text) {
  return XXH64(text.data(), text.size(), 0);
}

int SlotsInForce(const ConfigStore& store, const std::string& team) {
  const auto found = store.subtrees.find(team);
  return found == store.subtrees.end() || found->second->config->removed
             ? 0
             : found->second->config->services[0].slots;
}

bool IsServed(const ConfigStore& store, const std::string& team) {
  return store.routes.teams.contains(team);
}

// Guards against a value that is put in force although it is older or invalid,
// and against a newer value that is not. Each case continues with the store of
// the previous case.
TEST_CASE("values are accepted by version, content and validity") {
  const std::string a = MakeValue(2, 1);
  const std::string b = MakeValue(2, 2);
  const std::string& low = Hash(a) < Hash(b) ? a : b;
  const std::string& high = Hash(a) < Hash(b) ? b : a;
  const int high_slots = Hash(a) < Hash(b) ? 2 : 1;
  struct Case {
    const char* name;
    std::uint64_t revision;
    std::string text;
    ApplyOutcome outcome;
    int slots;
  };
  const Case cases[] = {
      {"first", 5, MakeValue(1, 5), ApplyOutcome::kAccepted, 5},
      {"same", 5, MakeValue(1, 5), ApplyOutcome::kSame, 5},
      {"older", 4, MakeValue(1, 4), ApplyOutcome::kOlder, 5},
      {"older and invalid", 4, "x", ApplyOutcome::kOlder, 5},
      {"invalid", 6, "[service s]\n", ApplyOutcome::kInvalid, 5},
      {"invalid again", 6, "[service s]\n", ApplyOutcome::kInvalid, 5},
      {"too large", 6, MakeValue(1, 6) + std::string(kMaxValueBytes, '\n'),
       ApplyOutcome::kInvalid, 5},
      {"invalid generation", 6, "[team]\ngeneration = x\n",
       ApplyOutcome::kInvalid, 5},
      {"newer", 7, MakeValue(1, 7), ApplyOutcome::kAccepted, 7},
      {"restored service, greater generation", 3, low, ApplyOutcome::kAccepted,
       3 - high_slots},
      {"lower generation, greater revision", 9, MakeValue(1, 9),
       ApplyOutcome::kOlder, 3 - high_slots},
      {"conflict, invalid", 3, "[team]\ngeneration = 2\n",
       ApplyOutcome::kInvalid, 3 - high_slots},
      {"conflict, higher hash", 3, high, ApplyOutcome::kConflictReplaced,
       high_slots},
      {"conflict, lower hash", 3, low, ApplyOutcome::kConflictKept, high_slots},
      {"removed", 4, MakeRemovedValue(2), ApplyOutcome::kAccepted, 0},
      {"older than the removal", 3, high, ApplyOutcome::kOlder, 0},
      {"restored by an operator", 5, MakeValue(2, 8), ApplyOutcome::kAccepted,
       8},
      {"invalid generation, greater one in force", 6,
       "[team]\ngeneration = x\n", ApplyOutcome::kInvalid, 8},
  };
  ConfigStore store;
  for (const Case& c : cases) {
    INFO(c.name);
    const ApplyOutcome outcome =
        ApplyRevision(store, "salon", c.revision, c.text);
    CHECK(FormatApplyOutcome(outcome) == FormatApplyOutcome(c.outcome));
    CHECK(SlotsInForce(store, "salon") == c.slots);
    CHECK(IsServed(store, "salon") == (c.slots != 0));
    CHECK((store.rejected.count("salon") == 0 || !ChangedStore(outcome)));
  }
  CHECK(store.counts.accepted == 5);
  CHECK(store.counts.older == 4);
  CHECK(store.counts.same == 1);
  CHECK(store.counts.invalid == 6);
  CHECK(store.counts.conflicts_kept == 1);
  CHECK(store.counts.conflicts_replaced == 1);
}

// Guards against a rejected value whose errors are not reported in the status,
// and against a sender that states a version which differs from that of the
// value.
TEST_CASE("rejected values keep their errors for status") {
  ConfigStore store;
  ApplySubtree(store, "salon", {1, 1}, MakeValue(1, 1));
  CHECK(ApplySubtree(store, "salon", {3, 1}, MakeValue(2, 1)) ==
        ApplyOutcome::kInvalid);
  REQUIRE(store.rejected.count("salon") == 1);
  CHECK(FormatIniErrors(store.rejected.at("salon").errors)
            .find("/comfreywood/teams/salon: the value has generation 2 but "
                  "was sent with version 3.1; ") == 0);
  CHECK(ApplyRevision(store, "salon", 2, "[service s]\nslots = 0\n") ==
        ApplyOutcome::kInvalid);
  // The errors of the greater version are kept.
  CHECK(store.rejected.at("salon").version == ConfigVersion{3, 1});
  const std::uint64_t rejected_hash = Hash(MakeValue(2, 1));
  CHECK(VersionsNewerThan({{"salon", {3, 1}, rejected_hash}}, store).empty());
  CHECK(
      VersionsNewerThan({{"salon", {3, 1}, rejected_hash + 1}}, store).size() ==
      1);
  CHECK(VersionsNewerThan({{"salon", {3, 2}, rejected_hash}}, store).size() ==
        1);
  CHECK(ApplyRevision(store, "a b", 1, MakeValue(1, 1)) ==
        ApplyOutcome::kInvalid);
  CHECK(store.rejected.count("a b") == 1);
  CHECK(ListVersions(store).size() == 1);
}

// A value that a store receives from the configuration service or a peer.
struct Delivery {
  std::string team;
  std::uint64_t generation = 1;
  std::uint64_t revision = 0;
  std::string text;
  bool valid = true;
};

// Returns values as operators write them over time. Some have equal versions
// but different contents, as after the configuration service was restored
// without a new generation.
std::vector<Delivery> RandomDeliveries(std::mt19937& random) {
  std::vector<Delivery> deliveries;
  for (int i = 0; i < 120; ++i) {
    Delivery delivery;
    delivery.team = absl::StrCat("team-", random() % 4);
    delivery.generation = 1 + random() % 2;
    delivery.revision = 1 + random() % 12;
    const std::uint32_t kind = random() % 10;
    delivery.valid = kind > 1;
    delivery.text =
        kind == 0
            ? absl::StrCat(MakeValue(delivery.generation, 1), "unknown = 1")
        : kind == 1 ? absl::StrCat("[team]\ngeneration = ", delivery.generation)
        : kind == 2 ? MakeRemovedValue(delivery.generation)
                    : MakeValue(delivery.generation,
                                1 + static_cast<int>(random() % 100));
    deliveries.push_back(delivery);
  }
  return deliveries;
}

using VersionAndHash = std::tuple<ConfigVersion, std::uint64_t>;
using TeamVersions = std::map<std::string, VersionAndHash>;

TeamVersions TeamVersionsOf(const std::vector<SubtreeVersion>& versions) {
  TeamVersions orders;
  for (const SubtreeVersion& v : versions) {
    orders[v.team] = {v.version, v.content_hash};
  }
  return orders;
}

// Fails if the store holds an older version of a team than `before`.
void CheckNoRevert(const TeamVersions& before, const ConfigStore& store) {
  const TeamVersions now = TeamVersionsOf(ListVersions(store));
  for (const auto& [team, order] : before) {
    REQUIRE(now.count(team) == 1);
    REQUIRE_FALSE(now.at(team) < order);
  }
}

// Fails if the routes of the store are not those of its subtrees.
void CheckRoutes(const ConfigStore& store) {
  std::size_t served = 0;
  for (const auto& [team, subtree] : store.subtrees) {
    const auto routes = store.routes.teams.find(team);
    REQUIRE((routes != store.routes.teams.end()) == !subtree->config->removed);
    if (routes != store.routes.teams.end()) {
      ++served;
      REQUIRE(routes->second->config == subtree->config);
    }
  }
  REQUIRE(served == store.routes.teams.size());
}

void Deliver(ConfigStore& store, const Delivery& d, std::mt19937& random) {
  const ConfigStore before = store;
  if (random() % 2 == 0) {
    ApplyRevision(store, d.team, d.revision, d.text);
  } else {
    ApplySubtree(store, d.team, {d.generation, d.revision}, d.text);
  }
  CheckNoRevert(TeamVersionsOf(ListVersions(before)), store);
  for (const auto& [team, subtree] : before.subtrees) {
    if (team != d.team || !d.valid) {
      REQUIRE(store.subtrees.at(team) == subtree);
    }
  }
  CheckRoutes(store);
}

// Applies all subtrees of `from` that are newer than those of `to`.
void FetchNewer(ConfigStore& to, const ConfigStore& from) {
  const std::vector<SubtreeVersion> wanted =
      VersionsNewerThan(ListVersions(from), to);
  const auto newer = SubtreesNewerThan(from, ListVersions(to));
  REQUIRE(wanted.size() == newer.size());
  for (const auto& subtree : newer) {
    REQUIRE(ChangedStore(
        ApplySubtree(to, subtree->team, subtree->version, subtree->text)));
  }
  REQUIRE(SubtreesNewerThan(from, ListVersions(to)).empty());
}

// Returns the store of a restarted daemon that reads values from a stale
// configuration service before it receives the versions of its peers.
ConfigStore Restart(const std::vector<ConfigStore>& stores,
                    const std::vector<Delivery>& deliveries,
                    std::mt19937& random) {
  const std::chrono::steady_clock::time_point now;
  ConfigStore store;
  BootstrapGate gate = MakeBootstrapGate(2, stores.size(), now);
  for (int i = 0; i < 5; ++i) {
    Deliver(store, deliveries[random() % deliveries.size()], random);
  }
  REQUIRE(UpdateBootstrapState(gate, store, now) ==
          BootstrapState::kAwaitingPeers);
  const std::size_t first = random() % stores.size();
  const std::size_t second = (first + 1) % stores.size();
  for (const std::size_t peer : {first, second}) {
    RecordPeerVersions(gate, absl::StrCat("vm-", peer), false,
                       ListVersions(stores[peer]));
  }
  if (UpdateBootstrapState(gate, store, now) != BootstrapState::kReady) {
    FetchNewer(store, stores[first]);
    FetchNewer(store, stores[second]);
  }
  if (UpdateBootstrapState(gate, store, now) == BootstrapState::kReady) {
    CheckNoRevert(TeamVersionsOf(ListVersions(stores[first])), store);
    CheckNoRevert(TeamVersionsOf(ListVersions(stores[second])), store);
  } else {
    REQUIRE(store.subtrees.empty());
  }
  return store;
}

// Guards against a store that reverts to an older version, a value of one team
// that changes another team, and stores that differ after they have exchanged
// their subtrees.
TEST_CASE("stores never revert and converge after random deliveries") {
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const std::vector<Delivery> deliveries = RandomDeliveries(random);
    std::vector<ConfigStore> stores(5);
    TeamVersions expected;
    for (int step = 0; step < 400; ++step) {
      const std::size_t at = random() % stores.size();
      if (random() % 40 == 0) {
        // Subtrees that only the restarted daemon held are lost, so they are
        // not expected in the end.
        stores[at] = Restart(stores, deliveries, random);
        continue;
      }
      Deliver(stores[at], deliveries[random() % deliveries.size()], random);
    }
    for (const ConfigStore& store : stores) {
      for (const SubtreeVersion& v : ListVersions(store)) {
        VersionAndHash& order = expected[v.team];
        order = std::max(order, VersionAndHash{v.version, v.content_hash});
      }
    }
    for (std::size_t round = 0; round < 2; ++round) {
      for (std::size_t i = 0; i < stores.size(); ++i) {
        FetchNewer(stores[(i + 1) % stores.size()], stores[i]);
      }
    }
    for (const ConfigStore& store : stores) {
      CHECK(TeamVersionsOf(ListVersions(store)) == expected);
      CHECK(store.digest == stores[0].digest);
      CheckRoutes(store);
      for (const auto& [team, subtree] : store.subtrees) {
        CHECK(subtree->text == stores[0].subtrees.at(team)->text);
        CHECK(subtree->content_hash == Hash(subtree->text));
      }
    }
  }
}

// Guards against stores that end with different content because they received
// the same values in different orders. The expected content is computed
// independently of the store.
TEST_CASE("every order of the same deliveries ends with the same content") {
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    std::vector<Delivery> deliveries = RandomDeliveries(random);
    TeamVersions expected;
    for (const Delivery& d : deliveries) {
      if (d.valid) {
        VersionAndHash& order = expected[d.team];
        order = std::max(
            order, VersionAndHash{{d.generation, d.revision}, Hash(d.text)});
      }
    }
    for (int store_number = 0; store_number < 3; ++store_number) {
      std::shuffle(deliveries.begin(), deliveries.end(), random);
      ConfigStore store;
      for (const Delivery& d : deliveries) {
        Deliver(store, d, random);
      }
      CHECK(TeamVersionsOf(ListVersions(store)) == expected);
    }
  }
}

// Guards against equal digests of stores that differ.
TEST_CASE("the digest differs with version and content and ignores order") {
  ConfigStore a;
  ConfigStore b;
  ApplySubtree(a, "x", {1, 1}, MakeValue(1, 1));
  ApplySubtree(a, "y", {1, 2}, MakeValue(1, 2));
  ApplySubtree(b, "y", {1, 1}, MakeValue(1, 2));
  CHECK(a.digest != b.digest);
  ApplySubtree(b, "y", {1, 2}, MakeValue(1, 2));
  CHECK(a.digest != b.digest);
  ApplySubtree(b, "x", {1, 1}, MakeValue(1, 1));
  CHECK(a.digest == b.digest);
  ApplySubtree(b, "x", {1, 2}, MakeValue(1, 1));
  CHECK(a.digest != b.digest);
}

}  // namespace
}  // namespace comfrey
