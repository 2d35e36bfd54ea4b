#include "core/placement.h"

#include <set>

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using TimePoint = std::chrono::steady_clock::time_point;

constexpr TimePoint kNow{seconds(1000)};

// Six endpoints: two in the failure domain (0, 1), two in the region (2, 3) and
// two in another region (4, 5).
struct Bench {
  Bench() : views(6), hints(6) {
    for (std::size_t i = 2; i < this->views.size(); ++i) {
      this->views[i].same_failure_domain = false;
      this->views[i].same_region = i < 4;
    }
  }

  std::optional<Placement> Next() {
    constexpr unsigned kFloorPercent = 70;
    return NextPlacement(PlanCapacity(this->views, kFloorPercent), this->views,
                         this->hints, this->policy, kNow, this->rng);
  }

  // Offers the request until it is queued, forced or nowhere left; every owner
  // answers that its slots are in use.
  std::vector<Placement> AskWhileBusy(milliseconds wait) {
    std::vector<Placement> placements;
    while (const auto next = this->Next()) {
      placements.push_back(*next);
      if (next->mode != PlacementMode::kRunNow &&
          next->mode != PlacementMode::kSpare) {
        break;
      }
      this->hints[next->view].asked = AskResult::kBusy;
      this->hints[next->view].expected_wait = wait;
    }
    return placements;
  }

  std::vector<EndpointView> views;
  std::vector<PlacementHint> hints;
  PlacementPolicy policy;
  std::mt19937_64 rng{5};
};

// Guards against traffic between failure domains while there is room nearby.
TEST_CASE("the failure domain comes first, then the region") {
  Bench bench;
  const auto first = bench.Next();
  REQUIRE(first);
  CHECK(first->view < 2);
  CHECK(first->mode == PlacementMode::kRunNow);
  bench.hints[0].asked = AskResult::kBusy;
  bench.hints[1].suspect_until = kNow + milliseconds(1);
  const auto second = bench.Next();
  REQUIRE(second);
  CHECK((second->view == 2 || second->view == 3));
}

// Guards against a request that waits behind others while an endpoint of the
// region is free, and against billed traffic for a short wait.
TEST_CASE("a short wait in the region is better than another region") {
  Bench bench;
  const auto placements = bench.AskWhileBusy(milliseconds(140));
  REQUIRE(placements.size() == 5);
  std::set<std::uint32_t> asked;
  for (int i = 0; i < 4; ++i) {
    asked.insert(placements[i].view);
  }
  CHECK(asked == std::set<std::uint32_t>{0, 1, 2, 3});
  CHECK(placements.back().mode == PlacementMode::kQueue);
  CHECK(placements.back().view < 4);
}

// Guards against callers who go unserved in a region that is out of capacity.
TEST_CASE("a long wait sends work to another region") {
  Bench bench;
  const auto placements = bench.AskWhileBusy(milliseconds(800));
  REQUIRE(placements.size() == 6);
  CHECK(placements[4].view >= 4);
  CHECK(placements[4].mode == PlacementMode::kSpare);
  CHECK(placements.back().view < 4);
  CHECK(placements.back().mode == PlacementMode::kQueue);
}

// Guards against a request that pays for a new connection to another region.
TEST_CASE("of another region, connected endpoints come first") {
  Bench bench;
  bench.hints[5].standby = true;
  bench.hints[5].in_flight = 3;
  const auto placements = bench.AskWhileBusy(milliseconds(800));
  REQUIRE(placements.size() == 6);
  CHECK(placements[4].view == 5);
}

// Guards against a request that visits all endpoints of other regions, a round
// trip each, where its own region has no sound one.
TEST_CASE("few endpoints of other regions are asked") {
  Bench bench;
  bench.policy.most_remote_asks = 1;
  for (std::size_t i = 0; i < 4; ++i) {
    bench.hints[i].asked = AskResult::kSuspect;
  }
  const auto first = bench.Next();
  REQUIRE(first);
  CHECK(first->view >= 4);
  bench.hints[first->view].asked = AskResult::kExcluded;
  CHECK_FALSE(bench.Next());
}

// Guards against questions to other regions, of which the answer is known and
// each byte is billed.
TEST_CASE("a region with a long queue is not asked for a slot") {
  Bench bench;
  bench.policy.remote_wait_limit = milliseconds(100);
  bench.hints[4].expected_wait = milliseconds(101);
  bench.hints[5].expected_wait = milliseconds(100);
  auto placements = bench.AskWhileBusy(milliseconds(800));
  REQUIRE(placements.size() == 6);
  CHECK(placements[4].view == 5);
  bench = Bench();
  bench.policy.remote_wait_limit = milliseconds(100);
  bench.hints[4].expected_wait = milliseconds(101);
  bench.hints[5].expected_wait = milliseconds(101);
  placements = bench.AskWhileBusy(milliseconds(800));
  REQUIRE(placements.size() == 5);
  CHECK(placements.back().mode == PlacementMode::kQueue);
}

// Guards against requests whose bytes travel to another region to be refused.
TEST_CASE("a request travels only where it would be accepted") {
  constexpr milliseconds kLongestWait{100};
  const auto may_travel = [&](const EndpointLoad& load, PlacementMode mode) {
    return MayTravelTo(load, mode, kLongestWait);
  };
  const EndpointLoad spare{2, 4, milliseconds(0), false};
  const EndpointLoad short_wait{9, 4, kLongestWait, false};
  const EndpointLoad long_wait{9, 4, milliseconds(101), false};
  const EndpointLoad suspect{0, 4, milliseconds(0), true};
  CHECK(may_travel(spare, PlacementMode::kSpare));
  CHECK(may_travel(short_wait, PlacementMode::kSpare));
  CHECK_FALSE(may_travel(long_wait, PlacementMode::kSpare));
  CHECK(may_travel(long_wait, PlacementMode::kQueue));
  CHECK_FALSE(may_travel(suspect, PlacementMode::kQueue));
  CHECK(may_travel(suspect, PlacementMode::kForce));
}

// Guards against queueing behind the longest queue.
TEST_CASE("work is queued where the wait is shortest") {
  Bench bench;
  for (std::size_t i = 0; i < bench.hints.size(); ++i) {
    bench.hints[i].asked = AskResult::kBusy;
    bench.hints[i].expected_wait = milliseconds(200);
  }
  bench.hints[3].expected_wait = milliseconds(50);
  const auto next = bench.Next();
  REQUIRE(next);
  CHECK(next->view == 3);
}

// Guards against a service that answers nobody because all of its endpoints
// failed once, and against an order that fails at a suspect although another
// endpoint is sound and may have room when the caller comes back.
TEST_CASE("a suspect is used only if nothing else is left") {
  Bench bench;
  for (PlacementHint& hint : bench.hints) {
    hint.asked = AskResult::kSuspect;
  }
  bench.hints[5].asked = AskResult::kNotAsked;
  const auto sound = bench.Next();
  REQUIRE(sound);
  CHECK(sound->view == 5);
  CHECK(sound->mode == PlacementMode::kQueue);
  bench.hints[5].asked = AskResult::kExcluded;
  CHECK_FALSE(bench.Next());
  bench.hints[5].asked = AskResult::kSuspect;
  const auto forced = bench.Next();
  REQUIRE(forced);
  CHECK(forced->mode == PlacementMode::kForce);
  CHECK(forced->view < 4);
}

// Guards against new work for a backend server that leaves or whose owner is
// not reached.
TEST_CASE("endpoints that leave or are not reached get nothing") {
  Bench bench;
  for (std::size_t i = 0; i < bench.views.size(); ++i) {
    bench.views[i].draining = i % 2 == 0;
    bench.views[i].owner_reachable = i % 2 == 0;
  }
  CHECK_FALSE(bench.Next());
}

}  // namespace
}  // namespace comfrey
