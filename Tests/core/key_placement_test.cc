#include "core/key_placement.h"

#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "catch2/catch.hpp"

namespace comfrey {
namespace {

using Phase = KeyPhase;

std::vector<std::string> RankedEndpoints(const KeyId& key) {
  // Removing the home repeatedly yields the order of the endpoints without
  // computing the hash in the test.
  std::vector<PlacedEndpoint> left;
  for (int i = 1; i <= 4; ++i) {
    left.push_back({absl::StrCat("127.0.1.", i, ":8081"), Phase::kActive});
  }
  std::vector<std::string> ranked;
  while (!left.empty()) {
    const std::string home = PlaceKey(key, left).home;
    ranked.push_back(home);
    left.erase(std::find_if(left.begin(), left.end(),
                            [&](const auto& e) { return e.endpoint == home; }));
  }
  return ranked;
}

// Guards against a missing former home in `must_release`, and against endpoints
// in it that cannot have been the home.
TEST_CASE("the home and the former homes follow from the phases") {
  struct Case {
    std::vector<Phase> phases;  // By rank.
    int home;
    std::vector<int> must_release;
  };
  const Phase j = Phase::kJoining;
  const Phase a = Phase::kActive;
  const Phase l = Phase::kLeaving;
  const Case cases[] = {
      {{a, a, a, a}, 0, {}},        {{a, l, j, a}, 0, {}},
      {{l, a, a, a}, 1, {0}},       {{l, l, a, j}, 2, {0, 1}},
      {{j, a, a, a}, 0, {1}},       {{j, l, a, a}, 0, {1, 2}},
      {{j, j, l, a}, 0, {1, 2, 3}}, {{l, j, a, a}, 1, {0, 2}},
      {{l, j, j, j}, 1, {0, 2, 3}}, {{l, l, l, l}, -1, {}},
  };
  const KeyId key{"orders", "booking", "key-1"};
  const std::vector<std::string> ranked = RankedEndpoints(key);
  for (const Case& c : cases) {
    std::vector<PlacedEndpoint> endpoints;
    for (int i = 3; i >= 0; --i) {
      endpoints.push_back({ranked[i], c.phases[i]});
    }
    const KeyPlacement placement = PlaceKey(key, endpoints);
    CHECK(placement.home == (c.home < 0 ? "" : ranked[c.home]));
    std::vector<std::string> expected;
    for (const int rank : c.must_release) {
      expected.push_back(ranked[rank]);
    }
    CHECK(placement.must_release == expected);
  }
}

// Guards against an uneven placement, a placement that ignores the service, and
// one that moves keys between endpoints that were not removed.
TEST_CASE("keys spread evenly and move only with their endpoint") {
  std::vector<PlacedEndpoint> endpoints;
  endpoints.reserve(12);
  for (int i = 0; i < 12; ++i) {
    endpoints.push_back({absl::StrCat("127.0.1.", i, ":8081"), Phase::kActive});
  }
  std::vector<PlacedEndpoint> fewer(endpoints.begin() + 1, endpoints.end());
  std::map<std::string, int> counts;
  int other_service = 0;
  for (int i = 0; i < 12'000; ++i) {
    const KeyId key{"team", "service", absl::StrCat("key", i)};
    const std::string home = PlaceKey(key, endpoints).home;
    ++counts[home];
    if (home != endpoints[0].endpoint) {
      CHECK(PlaceKey(key, fewer).home == home);
    }
    const KeyId other{"team", "other", key.key};
    other_service += PlaceKey(other, endpoints).home == home ? 1 : 0;
  }
  for (const auto& [endpoint, count] : counts) {
    INFO(endpoint);
    CHECK(count > 850);
    CHECK(count < 1150);
  }
  CHECK(counts.size() == 12);
  CHECK(other_service < 1500);
}

}  // namespace
}  // namespace comfrey
