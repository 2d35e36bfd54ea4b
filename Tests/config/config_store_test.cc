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

std::string Value(std::uint64_t generation, int slots) {
  return absl::StrCat("[team]\ngeneration = ", generation,
                      "\n[service s]\nendpoints = 127.0.0.1:1\nslots = ", slots,
                      "\n[rank r]\nurgency = 1\ntarget = 1s\n"
                      "[route all]\nservice = s\nrank = r\n");
}

std::string Removed(std::uint64_t generation) {
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

// Guards against a version that takes effect although a rule refuses it, and
// the reverse. Each case continues with the store of the case before.
TEST_CASE("offered values are accepted by version, content and validity") {
  const std::string a = Value(2, 1);
  const std::string b = Value(2, 2);
  const std::string& low = Hash(a) < Hash(b) ? a : b;
  const std::string& high = Hash(a) < Hash(b) ? b : a;
  const int high_slots = Hash(a) < Hash(b) ? 2 : 1;
  struct Case {
    const char* name;
    std::uint64_t revision;
    std::string text;
    OfferOutcome outcome;
    int slots;
  };
  const Case cases[] = {
      {"first", 5, Value(1, 5), OfferOutcome::kAccepted, 5},
      {"same", 5, Value(1, 5), OfferOutcome::kSame, 5},
      {"older", 4, Value(1, 4), OfferOutcome::kOlder, 5},
      {"older and invalid", 4, "x", OfferOutcome::kOlder, 5},
      {"invalid", 6, "[service s]\n", OfferOutcome::kInvalid, 5},
      {"invalid again", 6, "[service s]\n", OfferOutcome::kInvalid, 5},
      {"too large", 6, Value(1, 6) + std::string(kMaxValueBytes, '\n'),
       OfferOutcome::kInvalid, 5},
      {"invalid generation", 6, "[team]\ngeneration = x\n",
       OfferOutcome::kInvalid, 5},
      {"newer", 7, Value(1, 7), OfferOutcome::kAccepted, 7},
      {"restored service, greater generation", 3, low, OfferOutcome::kAccepted,
       3 - high_slots},
      {"lower generation, greater revision", 9, Value(1, 9),
       OfferOutcome::kOlder, 3 - high_slots},
      {"conflict, invalid", 3, "[team]\ngeneration = 2\n",
       OfferOutcome::kInvalid, 3 - high_slots},
      {"conflict, higher hash", 3, high, OfferOutcome::kConflictReplaced,
       high_slots},
      {"conflict, lower hash", 3, low, OfferOutcome::kConflictKept, high_slots},
      {"removed", 4, Removed(2), OfferOutcome::kAccepted, 0},
      {"older than the removal", 3, high, OfferOutcome::kOlder, 0},
      {"restored by an operator", 5, Value(2, 8), OfferOutcome::kAccepted, 8},
      {"invalid generation, greater one in force", 6,
       "[team]\ngeneration = x\n", OfferOutcome::kInvalid, 8},
  };
  ConfigStore store;
  for (const Case& c : cases) {
    INFO(c.name);
    const OfferOutcome outcome =
        OfferRevision(store, "salon", c.revision, c.text);
    CHECK(FormatOfferOutcome(outcome) == FormatOfferOutcome(c.outcome));
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

// Guards against refusals that status cannot explain, and against a sender
// that states a version which the value does not have.
TEST_CASE("refused values keep their errors for status") {
  ConfigStore store;
  OfferSubtree(store, "salon", {1, 1}, Value(1, 1));
  CHECK(OfferSubtree(store, "salon", {3, 1}, Value(2, 1)) ==
        OfferOutcome::kInvalid);
  REQUIRE(store.rejected.count("salon") == 1);
  CHECK(FormatIniErrors(store.rejected.at("salon").errors)
            .find("/comfreywood/teams/salon: the value has generation 2 but "
                  "was sent with version 3.1; ") == 0);
  CHECK(OfferRevision(store, "salon", 2, "[service s]\nslots = 0\n") ==
        OfferOutcome::kInvalid);
  // The refusal of the greater version is the one that matters.
  CHECK(store.rejected.at("salon").version == ConfigVersion{3, 1});
  const std::uint64_t refused = Hash(Value(2, 1));
  CHECK(VersionsNewerThan({{"salon", {3, 1}, refused}}, store).empty());
  CHECK(VersionsNewerThan({{"salon", {3, 1}, refused + 1}}, store).size() == 1);
  CHECK(VersionsNewerThan({{"salon", {3, 2}, refused}}, store).size() == 1);
  CHECK(OfferRevision(store, "a b", 1, Value(1, 1)) == OfferOutcome::kInvalid);
  CHECK(store.rejected.count("a b") == 1);
  CHECK(ListVersions(store).size() == 1);
}

struct Delivery {
  std::string team;
  std::uint64_t generation = 1;
  std::uint64_t revision = 0;
  std::string text;
  bool valid = true;
};

// Every value that operators ever wrote. Equal versions with other contents
// come from a service that was restored without a new generation.
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
        kind == 0   ? absl::StrCat(Value(delivery.generation, 1), "unknown = 1")
        : kind == 1 ? absl::StrCat("[team]\ngeneration = ", delivery.generation)
        : kind == 2
            ? Removed(delivery.generation)
            : Value(delivery.generation, 1 + static_cast<int>(random() % 100));
    deliveries.push_back(delivery);
  }
  return deliveries;
}

using Order = std::tuple<ConfigVersion, std::uint64_t>;
using Orders = std::map<std::string, Order>;

Orders OrdersOf(const std::vector<SubtreeVersion>& versions) {
  Orders orders;
  for (const SubtreeVersion& v : versions) {
    orders[v.team] = {v.version, v.content_hash};
  }
  return orders;
}

// Fails if a team of the store is below `before`.
void CheckNotLower(const Orders& before, const ConfigStore& store) {
  const Orders now = OrdersOf(ListVersions(store));
  for (const auto& [team, order] : before) {
    REQUIRE(now.count(team) == 1);
    REQUIRE_FALSE(now.at(team) < order);
  }
}

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
    OfferRevision(store, d.team, d.revision, d.text);
  } else {
    OfferSubtree(store, d.team, {d.generation, d.revision}, d.text);
  }
  CheckNotLower(OrdersOf(ListVersions(before)), store);
  for (const auto& [team, subtree] : before.subtrees) {
    if (team != d.team || !d.valid) {
      REQUIRE(store.subtrees.at(team) == subtree);
    }
  }
  CheckRoutes(store);
}

void Pull(ConfigStore& to, const ConfigStore& from) {
  const std::vector<SubtreeVersion> wanted =
      VersionsNewerThan(ListVersions(from), to);
  const auto newer = SubtreesNewerThan(from, ListVersions(to));
  REQUIRE(wanted.size() == newer.size());
  for (const auto& subtree : newer) {
    REQUIRE(ChangedStore(
        OfferSubtree(to, subtree->team, subtree->version, subtree->text)));
  }
  REQUIRE(SubtreesNewerThan(from, ListVersions(to)).empty());
}

// A restarted daemon meets a stale service before its peers.
ConfigStore Restart(const std::vector<ConfigStore>& stores,
                    const std::vector<Delivery>& deliveries,
                    std::mt19937& random) {
  const std::chrono::steady_clock::time_point now;
  ConfigStore store;
  BootstrapGate gate = MakeBootstrapGate(2, stores.size(), now);
  for (int i = 0; i < 5; ++i) {
    Deliver(store, deliveries[random() % deliveries.size()], random);
  }
  REQUIRE(UpdateBootstrap(gate, store, now) == BootstrapState::kAwaitingPeers);
  const std::size_t first = random() % stores.size();
  const std::size_t second = (first + 1) % stores.size();
  for (const std::size_t peer : {first, second}) {
    RecordPeerVersions(gate, absl::StrCat("vm-", peer), false,
                       ListVersions(stores[peer]));
  }
  if (UpdateBootstrap(gate, store, now) != BootstrapState::kReady) {
    Pull(store, stores[first]);
    Pull(store, stores[second]);
  }
  if (UpdateBootstrap(gate, store, now) == BootstrapState::kReady) {
    CheckNotLower(OrdersOf(ListVersions(stores[first])), store);
    CheckNotLower(OrdersOf(ListVersions(stores[second])), store);
  } else {
    REQUIRE(store.subtrees.empty());
  }
  return store;
}

// Guards against a store that reverts to an older version, a value of one
// team that changes another one, and stores that stay different after they
// have exchanged what they hold.
TEST_CASE("stores never revert and converge after random deliveries") {
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const std::vector<Delivery> deliveries = RandomDeliveries(random);
    std::vector<ConfigStore> stores(5);
    Orders expected;
    for (int step = 0; step < 400; ++step) {
      const std::size_t at = random() % stores.size();
      if (random() % 40 == 0) {
        // What only the restarted daemon held is lost and not expected.
        stores[at] = Restart(stores, deliveries, random);
        continue;
      }
      Deliver(stores[at], deliveries[random() % deliveries.size()], random);
    }
    for (const ConfigStore& store : stores) {
      for (const SubtreeVersion& v : ListVersions(store)) {
        Order& order = expected[v.team];
        order = std::max(order, Order{v.version, v.content_hash});
      }
    }
    for (std::size_t round = 0; round < 2; ++round) {
      for (std::size_t i = 0; i < stores.size(); ++i) {
        Pull(stores[(i + 1) % stores.size()], stores[i]);
      }
    }
    for (const ConfigStore& store : stores) {
      CHECK(OrdersOf(ListVersions(store)) == expected);
      CHECK(store.digest == stores[0].digest);
      CheckRoutes(store);
      for (const auto& [team, subtree] : store.subtrees) {
        CHECK(subtree->text == stores[0].subtrees.at(team)->text);
        CHECK(subtree->content_hash == Hash(subtree->text));
      }
    }
  }
}

// Guards against stores that end with different content because one saw the
// values in another order; the expected content is computed here.
TEST_CASE("every order of the same deliveries ends with the same content") {
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    std::vector<Delivery> deliveries = RandomDeliveries(random);
    Orders expected;
    for (const Delivery& d : deliveries) {
      if (d.valid) {
        Order& order = expected[d.team];
        order =
            std::max(order, Order{{d.generation, d.revision}, Hash(d.text)});
      }
    }
    for (int store_number = 0; store_number < 3; ++store_number) {
      std::shuffle(deliveries.begin(), deliveries.end(), random);
      ConfigStore store;
      for (const Delivery& d : deliveries) {
        Deliver(store, d, random);
      }
      CHECK(OrdersOf(ListVersions(store)) == expected);
    }
  }
}

// Guards against a digest that misses a difference.
TEST_CASE("the digest differs with version and content and ignores order") {
  ConfigStore a;
  ConfigStore b;
  OfferSubtree(a, "x", {1, 1}, Value(1, 1));
  OfferSubtree(a, "y", {1, 2}, Value(1, 2));
  OfferSubtree(b, "y", {1, 1}, Value(1, 2));
  CHECK(a.digest != b.digest);
  OfferSubtree(b, "y", {1, 2}, Value(1, 2));
  CHECK(a.digest != b.digest);
  OfferSubtree(b, "x", {1, 1}, Value(1, 1));
  CHECK(a.digest == b.digest);
  OfferSubtree(b, "x", {1, 2}, Value(1, 1));
  CHECK(a.digest != b.digest);
}

}  // namespace
}  // namespace comfrey
