#include "core/placement.h"

#include <set>

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using TimePoint = std::chrono::steady_clock::time_point;

constexpr TimePoint kNow{seconds(1000)};

// Six endpoints: two in the same failure domain (0, 1), two elsewhere in the
// same region (2, 3) and two in another region (4, 5).
struct PlacementFixture {
  PlacementFixture() : views(6), hints(6) {
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

  // Offers the request until it is queued, a suspect endpoint is to accept it,
  // or no endpoint is left. Every owner replies that all slots are in use and
  // reports the given wait.
  std::vector<Placement> TryWhileBusy(milliseconds wait) {
    std::vector<Placement> placements;
    while (const auto next = this->Next()) {
      placements.push_back(*next);
      if (next->mode != PlacementMode::kRunNow &&
          next->mode != PlacementMode::kSpareSlot) {
        break;
      }
      this->hints[next->view].offer_result = OfferResult::kBusy;
      this->hints[next->view].expected_wait = wait;
    }
    return placements;
  }

  std::vector<EndpointView> views;
  std::vector<PlacementHint> hints;
  PlacementPolicy policy;
  std::mt19937_64 rng{5};
};

// Guards against traffic between failure domains while an endpoint of the same
// failure domain may have a free slot.
TEST_CASE("the failure domain comes first, then the region") {
  PlacementFixture fixture;
  const auto first = fixture.Next();
  REQUIRE(first);
  CHECK(first->view < 2);
  CHECK(first->mode == PlacementMode::kRunNow);
  fixture.hints[0].offer_result = OfferResult::kBusy;
  fixture.hints[1].suspect_until = kNow + milliseconds(1);
  const auto second = fixture.Next();
  REQUIRE(second);
  CHECK((second->view == 2 || second->view == 3));
}

// Guards against a request that is queued while another endpoint of the region
// has a free slot, and against billed traffic to another region that only
// avoids a short wait.
TEST_CASE("a short wait in the region is better than another region") {
  PlacementFixture fixture;
  const auto placements = fixture.TryWhileBusy(milliseconds(140));
  REQUIRE(placements.size() == 5);
  std::set<std::uint32_t> tried;
  for (int i = 0; i < 4; ++i) {
    tried.insert(placements[i].view);
  }
  CHECK(tried == std::set<std::uint32_t>{0, 1, 2, 3});
  CHECK(placements.back().mode == PlacementMode::kQueue);
  CHECK(placements.back().view < 4);
}

// Guards against requests that are not served because their region has no
// capacity left, although another region has.
TEST_CASE("a long wait sends work to another region") {
  PlacementFixture fixture;
  const auto placements = fixture.TryWhileBusy(milliseconds(800));
  REQUIRE(placements.size() == 6);
  CHECK(placements[4].view >= 4);
  CHECK(placements[4].mode == PlacementMode::kSpareSlot);
  CHECK(placements.back().view < 4);
  CHECK(placements.back().mode == PlacementMode::kQueue);
}

// Guards against a request that waits for a new connection to another region
// although the ingress already has a connection to an endpoint there.
TEST_CASE("connected endpoints of another region are tried first") {
  PlacementFixture fixture;
  fixture.hints[5].standby = true;
  fixture.hints[5].in_flight = 3;
  const auto placements = fixture.TryWhileBusy(milliseconds(800));
  REQUIRE(placements.size() == 6);
  CHECK(placements[4].view == 5);
}

// Guards against a request that tries all remote endpoints, with a round trip
// for each, when all endpoints of its region are suspect.
TEST_CASE("few endpoints of other regions are tried") {
  PlacementFixture fixture;
  fixture.policy.max_remote_tries = 1;
  for (std::size_t i = 0; i < 4; ++i) {
    fixture.hints[i].offer_result = OfferResult::kSuspect;
  }
  const auto first = fixture.Next();
  REQUIRE(first);
  CHECK(first->view >= 4);
  fixture.hints[first->view].offer_result = OfferResult::kExcluded;
  CHECK_FALSE(fixture.Next());
}

// Guards against billed traffic to remote endpoints whose expected wait is
// known to be too long.
TEST_CASE("a remote endpoint with a long queue is not tried for a slot") {
  PlacementFixture fixture;
  fixture.policy.remote_wait_limit = milliseconds(100);
  fixture.hints[4].expected_wait = milliseconds(101);
  fixture.hints[5].expected_wait = milliseconds(100);
  auto placements = fixture.TryWhileBusy(milliseconds(800));
  REQUIRE(placements.size() == 6);
  CHECK(placements[4].view == 5);
  fixture = PlacementFixture();
  fixture.policy.remote_wait_limit = milliseconds(100);
  fixture.hints[4].expected_wait = milliseconds(101);
  fixture.hints[5].expected_wait = milliseconds(101);
  placements = fixture.TryWhileBusy(milliseconds(800));
  REQUIRE(placements.size() == 5);
  CHECK(placements.back().mode == PlacementMode::kQueue);
}

// Guards against sending requests to another region where they are refused.
TEST_CASE("a request is sent to another region only if it would be accepted") {
  constexpr milliseconds kLongestWait{100};
  const auto accepts = [&](const EndpointLoad& load, PlacementMode mode) {
    return AcceptsRemoteRequest(load, mode, kLongestWait);
  };
  const EndpointLoad spare{2, 4, milliseconds(0), false};
  const EndpointLoad short_wait{9, 4, kLongestWait, false};
  const EndpointLoad long_wait{9, 4, milliseconds(101), false};
  const EndpointLoad suspect{0, 4, milliseconds(0), true};
  CHECK(accepts(spare, PlacementMode::kSpareSlot));
  CHECK(accepts(short_wait, PlacementMode::kSpareSlot));
  CHECK_FALSE(accepts(long_wait, PlacementMode::kSpareSlot));
  CHECK(accepts(long_wait, PlacementMode::kQueue));
  CHECK_FALSE(accepts(suspect, PlacementMode::kQueue));
  CHECK(accepts(suspect, PlacementMode::kAcceptSuspect));
}

// Guards against queuing a request at an endpoint other than the one with the
// shortest expected wait.
TEST_CASE("work is queued where the wait is shortest") {
  PlacementFixture fixture;
  for (std::size_t i = 0; i < fixture.hints.size(); ++i) {
    fixture.hints[i].offer_result = OfferResult::kBusy;
    fixture.hints[i].expected_wait = milliseconds(200);
  }
  fixture.hints[3].expected_wait = milliseconds(50);
  const auto next = fixture.Next();
  REQUIRE(next);
  CHECK(next->view == 3);
}

// Guards against a service that refuses all requests because each of its
// endpoints failed once, and against a request that fails at a suspect endpoint
// although another endpoint is not suspect and may accept a retry.
TEST_CASE("a suspect endpoint is used only if all endpoints are suspect") {
  PlacementFixture fixture;
  for (PlacementHint& hint : fixture.hints) {
    hint.offer_result = OfferResult::kSuspect;
  }
  fixture.hints[5].offer_result = OfferResult::kNotTried;
  const auto other = fixture.Next();
  REQUIRE(other);
  CHECK(other->view == 5);
  CHECK(other->mode == PlacementMode::kQueue);
  fixture.hints[5].offer_result = OfferResult::kExcluded;
  CHECK_FALSE(fixture.Next());
  fixture.hints[5].offer_result = OfferResult::kSuspect;
  const auto at_suspect = fixture.Next();
  REQUIRE(at_suspect);
  CHECK(at_suspect->mode == PlacementMode::kAcceptSuspect);
  CHECK(at_suspect->view < 4);
}

// Guards against new requests for a backend server that is draining or whose
// owner is unreachable.
TEST_CASE("endpoints that drain or are not reached get no requests") {
  PlacementFixture fixture;
  for (std::size_t i = 0; i < fixture.views.size(); ++i) {
    fixture.views[i].draining = i % 2 == 0;
    fixture.views[i].owner_reachable = i % 2 == 0;
  }
  CHECK_FALSE(fixture.Next());
}

// Guards against offers that the last reply of the owner has ruled out.
TEST_CASE(
    "an endpoint that has just reported a wait is not offered a free-slot "
    "request") {
  PlacementFixture fixture;
  for (std::size_t i = 0; i < 4; ++i) {
    fixture.hints[i].expected_wait = milliseconds(100);
    fixture.hints[i].wait_age = milliseconds(16);
  }
  fixture.hints[1].expected_wait = milliseconds(90);
  const auto queued = fixture.Next();
  REQUIRE(queued);
  CHECK(queued->mode == PlacementMode::kQueue);
  CHECK(queued->view == 1);
  fixture.hints[2].expected_wait = milliseconds(0);
  const auto unknown = fixture.Next();
  REQUIRE(unknown);
  CHECK(unknown->mode == PlacementMode::kRunNow);
  CHECK(unknown->view == 2);
}

// Guards against an endpoint that gets no requests because of a forecast that
// has become wrong.
TEST_CASE("an old status does not keep an endpoint from being offered") {
  PlacementFixture fixture;
  for (std::size_t i = 0; i < 4; ++i) {
    fixture.hints[i].expected_wait = milliseconds(100);
    fixture.hints[i].wait_age = milliseconds(16);
  }
  fixture.hints[3].expected_wait = seconds(2);
  fixture.hints[3].wait_age =
      std::chrono::duration_cast<milliseconds>(fixture.policy.max_wait_age) +
      milliseconds(1);
  const auto old = fixture.Next();
  REQUIRE(old);
  CHECK(old->mode == PlacementMode::kRunNow);
  CHECK(old->view == 3);
}

// Guards against a request that is refused because all of its tries were offers
// for a free slot in a large region.
TEST_CASE("a request of a large busy region reaches a queue after few tries") {
  constexpr std::size_t kEndpoints = 40;
  constexpr std::size_t kMaxPlacements = 7;
  PlacementFixture fixture;
  fixture.views.resize(kEndpoints);
  fixture.hints.resize(kEndpoints);
  for (std::size_t i = 10; i < kEndpoints; ++i) {
    fixture.views[i].same_failure_domain = false;
  }
  const auto placements = fixture.TryWhileBusy(milliseconds(140));
  REQUIRE(placements.size() <= kMaxPlacements);
  CHECK(placements.back().mode == PlacementMode::kQueue);
  // The wait at an endpoint that was not tried is unknown.
  CHECK(fixture.hints[placements.back().view].offer_result ==
        OfferResult::kBusy);
}

// Guards against further offers of a request where it would be refused as well,
// and against a single slow endpoint that decides for all.
TEST_CASE("a request is not offered to queues as long as two that refused it") {
  PlacementFixture fixture;
  for (std::size_t i = 0; i < 4; ++i) {
    fixture.hints[i].offer_result = OfferResult::kBusy;
    fixture.hints[i].expected_wait = milliseconds(140);
  }
  fixture.hints[0].offer_result = OfferResult::kNoRoom;
  const auto second = fixture.Next();
  REQUIRE(second);
  CHECK(second->mode == PlacementMode::kQueue);
  fixture.hints[1].offer_result = OfferResult::kNoRoom;
  fixture.hints[2].expected_wait = milliseconds(139);
  const auto shorter = fixture.Next();
  REQUIRE(shorter);
  CHECK(shorter->mode == PlacementMode::kQueue);
  CHECK(shorter->view == 2);
  fixture.hints[2].offer_result = OfferResult::kNoRoom;
  const auto longer = fixture.Next();
  CHECK((!longer || longer->mode != PlacementMode::kQueue));
}

// Guards against an offer to a queue that is known to be full while another one
// has room.
TEST_CASE("a full queue is used last") {
  PlacementFixture fixture;
  for (std::size_t i = 0; i < 4; ++i) {
    fixture.hints[i].offer_result = OfferResult::kBusy;
    fixture.hints[i].expected_wait = milliseconds(50);
    fixture.views[i].full_until = kNow + milliseconds(1);
  }
  fixture.hints[2].expected_wait = milliseconds(140);
  fixture.views[2].full_until = kNow;
  const auto with_room = fixture.Next();
  REQUIRE(with_room);
  CHECK(with_room->view == 2);
  fixture.hints[2].offer_result = OfferResult::kExcluded;
  const auto full = fixture.Next();
  REQUIRE(full);
  CHECK(full->mode == PlacementMode::kQueue);
}

// Guards against a request that is refused because all of its tries were offers
// to suspect endpoints or full queues of a large region.
TEST_CASE("a request reaches a queue although many endpoints are suspect") {
  constexpr std::size_t kEndpoints = 40;
  constexpr std::size_t kSuspects = 30;
  constexpr int kMaxPlacements = 16;
  PlacementFixture fixture;
  fixture.views.assign(kEndpoints, EndpointView());
  fixture.hints.assign(kEndpoints, PlacementHint());
  int placements = 0;
  for (auto next = fixture.Next(); next; next = fixture.Next()) {
    REQUIRE(++placements <= kMaxPlacements);
    if (next->mode == PlacementMode::kQueue && next->view >= kSuspects) {
      break;
    }
    fixture.hints[next->view].offer_result =
        next->view < kSuspects ? OfferResult::kSuspect : OfferResult::kBusy;
    fixture.hints[next->view].expected_wait = milliseconds(140);
  }
}

// Guards against a long queue, or a way to another region, while endpoints of
// the region have not been tried.
TEST_CASE("an endpoint that was not tried comes before a long queue") {
  PlacementFixture fixture;
  fixture.policy.max_failure_domain_tries = 0;
  fixture.policy.max_region_tries = 0;
  fixture.hints[0].offer_result = OfferResult::kBusy;
  fixture.hints[0].expected_wait = seconds(2);
  fixture.hints[1] = fixture.hints[0];
  const auto untried = fixture.Next();
  REQUIRE(untried);
  CHECK(untried->mode == PlacementMode::kQueue);
  CHECK((untried->view == 2 || untried->view == 3));
}

// Guards against leaving out endpoints with room, because two others refused
// the request without a known wait.
TEST_CASE("refusals without a wait do not exclude other queues") {
  PlacementFixture fixture;
  fixture.hints[0].offer_result = OfferResult::kNoRoom;
  fixture.hints[1].offer_result = OfferResult::kNoRoom;
  for (std::size_t i = 2; i < 4; ++i) {
    fixture.hints[i].offer_result = OfferResult::kBusy;
    fixture.hints[i].expected_wait = milliseconds(50);
  }
  const auto queued = fixture.Next();
  REQUIRE(queued);
  CHECK(queued->mode == PlacementMode::kQueue);
  CHECK((queued->view == 2 || queued->view == 3));
}

}  // namespace
}  // namespace comfrey
