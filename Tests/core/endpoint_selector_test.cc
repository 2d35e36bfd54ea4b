#include "core/endpoint_selector.h"

#include <algorithm>
#include <random>
#include <set>
#include <vector>

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

using std::chrono::seconds;
using TimePoint = std::chrono::steady_clock::time_point;

constexpr TimePoint kNow{seconds(1000)};
constexpr int kDraws = 2000;

std::vector<EndpointView> MakeViews(std::size_t count) {
  std::vector<EndpointView> views(count);
  for (std::size_t i = 0; i < count; ++i) {
    views[i].endpoint_id = i;
    views[i].limit = 4;
  }
  return views;
}

void SetEjected(EndpointView& view, int severity) {
  view.state = EndpointState::kEjected;
  view.severity = static_cast<std::uint16_t>(severity);
  view.slot_share = 0;
}

std::vector<PlannedEndpoint> AllPlanned(const CapacityPlan& plan) {
  std::vector<PlannedEndpoint> all = plan.same_failure_domain;
  all.insert(all.end(), plan.same_region.begin(), plan.same_region.end());
  all.insert(all.end(), plan.other_regions.begin(), plan.other_regions.end());
  return all;
}

std::vector<int> CountChoices(const std::vector<EndpointView>& views,
                              const CapacityPlan& plan) {
  std::mt19937_64 rng(7);
  std::vector<int> counts(views.size());
  for (int i = 0; i < kDraws; ++i) {
    const auto chosen = ChooseEndpoint(plan, views, kNow, rng);
    if (chosen) {
      ++counts[*chosen];
    }
  }
  return counts;
}

// Guards against a number of required endpoints that is rounded down.
TEST_CASE("the floor is rounded up") {
  CHECK(RequiredEndpoints(12, 70) == 9);
  CHECK(RequiredEndpoints(1, 1) == 1);
  CHECK(RequiredEndpoints(10, 70) == 7);
  CHECK(RequiredEndpoints(0, 70) == 0);
  CHECK(RequiredEndpoints(3, 0) == 0);
  CHECK(RequiredEndpoints(3, 100) == 3);
}

// Guards against ejections that reduce a service below its floor, alone or
// together with capacity that is lost for other reasons.
TEST_CASE("ejections are honoured above the floor, worst first") {
  struct Case {
    const char* name;
    int leaving;
    int draining;
    int unreachable;
    int warming;
    std::vector<int> severities;  // of the ejected endpoints, from index 0
    std::vector<std::uint32_t> honoured;
  };
  const Case cases[] = {
      {"within the floor", 0, 0, 0, 0, {10, 30, 20}, {1, 2, 0}},
      {"beyond the floor", 0, 0, 0, 0, {10, 30, 20, 40, 50}, {4, 3, 1}},
      {"equal severity", 0, 0, 0, 0, {10, 10, 10, 10, 10}, {0, 1, 2}},
      {"lost capacity first", 1, 0, 1, 0, {10, 30, 20}, {1}},
      {"draining and cold", 0, 1, 0, 1, {10, 30, 20}, {1}},
      {"at the floor", 1, 1, 1, 0, {10, 30, 20}, {}},
      {"below the floor", 2, 1, 1, 1, {10, 30, 20}, {}},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    auto views = MakeViews(12);
    for (std::size_t i = 0; i < c.severities.size(); ++i) {
      SetEjected(views[i], c.severities[i]);
    }
    std::size_t next = 11;
    for (int i = 0; i < c.leaving; ++i) {
      views[next--].leaving = true;
    }
    for (int i = 0; i < c.draining; ++i) {
      views[next--].draining = true;
    }
    for (int i = 0; i < c.unreachable; ++i) {
      views[next--].owner_reachable = false;
    }
    for (int i = 0; i < c.warming; ++i) {
      views[next--].state = EndpointState::kWarming;
    }
    const CapacityPlan plan = PlanCapacity(views, 70);
    CHECK(plan.ejected == c.honoured);
    CHECK(plan.ejected.size() + plan.not_honoured == c.severities.size());
  }
}

// Guards against endpoints in probation that reduce the capacity below the
// floor or prevent an ejection.
TEST_CASE("probation is limited after ejections are honoured") {
  auto views = MakeViews(10);
  SetEjected(views[3], 10);
  for (const std::size_t i : {0U, 1U, 2U}) {
    views[i].state = EndpointState::kProbation;
    views[i].severity = 1;
    views[i].slot_share = 12;
  }
  const CapacityPlan plan = PlanCapacity(views, 70);
  CHECK(plan.ejected == std::vector<std::uint32_t>{3});
  CHECK(plan.in_full_use == 7);
  const auto planned = AllPlanned(plan);
  CHECK(planned[0].slot_share == 12);
  CHECK(planned[1].slot_share == 12);
  CHECK(planned[2].slot_share == 100);
}

std::vector<EndpointView> RandomViews(std::mt19937_64& rng) {
  auto views = MakeViews(rng() % 40);
  const auto one_in = [&rng](unsigned n) { return rng() % n == 0; };
  const unsigned rarity = 2 + rng() % 10;
  for (EndpointView& view : views) {
    view.configured = !one_in(10);
    view.owner_reachable = !one_in(rarity);
    view.leaving = one_in(rarity);
    view.draining = one_in(rarity);
    view.same_failure_domain = one_in(2);
    view.same_region = view.same_failure_domain || one_in(2);
    view.state = static_cast<EndpointState>(rng() % 4);
    view.severity = static_cast<std::uint16_t>(rng() % 5);
    view.slot_share = static_cast<std::uint8_t>(rng() % 101);
    view.load = static_cast<std::uint16_t>(rng() % 12);
    if (one_in(6)) {
      view.full_until = kNow + seconds(1);
    }
  }
  return views;
}

// Guards against combinations of lost capacity, ejections and probation that
// reduce a service below its floor, and against plans that depend on the order
// of the views.
TEST_CASE("random views keep the floor") {
  std::mt19937_64 rng(20261204);
  for (int run = 0; run < 20000; ++run) {
    auto views = RandomViews(rng);
    const auto floor = static_cast<unsigned>(rng() % 101);
    const CapacityPlan plan = PlanCapacity(views, floor);
    INFO("run " << run);

    std::size_t configured = 0;
    std::size_t usable = 0;
    std::size_t warm = 0;
    for (const EndpointView& view : views) {
      const bool available = view.configured && view.owner_reachable &&
                             !view.leaving && !view.draining;
      configured += view.configured ? 1 : 0;
      usable += available ? 1 : 0;
      warm += available && view.state != EndpointState::kWarming ? 1 : 0;
    }
    const std::size_t required = (configured * floor + 99) / 100;
    const auto planned = AllPlanned(plan);
    const auto full = static_cast<std::size_t>(std::count_if(
        planned.begin(), planned.end(), [&](const PlannedEndpoint& endpoint) {
          return endpoint.slot_share >= 100 &&
                 views[endpoint.view].state != EndpointState::kWarming;
        }));
    bool holds = planned.size() + plan.ejected.size() == usable;
    // At or below the floor, no ejection is honoured.
    holds &= warm > required ? full >= required : full == warm;
    holds &= warm > required || plan.ejected.empty();
    for (const PlannedEndpoint& endpoint : planned) {
      const EndpointView& view = views[endpoint.view];
      holds &= view.configured && view.owner_reachable && !view.leaving &&
               !view.draining;
    }

    std::set<std::uint64_t> ids;
    for (const std::uint32_t i : plan.ejected) {
      ids.insert(views[i].endpoint_id);
    }
    std::mt19937_64 draw(static_cast<std::uint64_t>(run));
    const auto chosen = ChooseEndpoint(plan, views, kNow, draw);
    const bool has_room = std::any_of(
        planned.begin(), planned.end(), [&](const PlannedEndpoint& endpoint) {
          return views[endpoint.view].full_until <= kNow;
        });
    holds &= chosen.has_value() == has_room;
    holds &= !chosen || (ids.count(views[*chosen].endpoint_id) == 0 &&
                         views[*chosen].full_until <= kNow);

    std::shuffle(views.begin(), views.end(), rng);
    std::set<std::uint64_t> shuffled_ids;
    for (const std::uint32_t i : PlanCapacity(views, floor).ejected) {
      shuffled_ids.insert(views[i].endpoint_id);
    }
    holds &= ids == shuffled_ids;
    REQUIRE(holds);
  }
}

// Guards against billed traffic to other regions while the local region has
// capacity, and against callers that wait although another region has capacity.
TEST_CASE("the nearest endpoints with room are selected") {
  struct Case {
    const char* name;
    int near_load;
    int regional_load;
    bool near_full;
    bool regional_full;
    int used_tier;  // 0: failure domain, 1: region, 2: other regions, 3: none
    bool remote_full;
  };
  const Case cases[] = {
      {"all idle", 0, 0, false, false, 0, false},
      {"near busy", 4, 0, false, false, 1, false},
      {"region has a short queue", 5, 5, false, false, 0, false},
      {"region is overloaded", 8, 8, false, false, 2, false},
      {"near refuses", 0, 0, true, false, 1, false},
      {"region refuses", 0, 0, true, true, 2, false},
      {"all refuse", 0, 0, true, true, 3, true},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    auto views = MakeViews(12);
    for (std::size_t i = 0; i < 12; ++i) {
      const std::size_t tier = i / 4;
      views[i].same_failure_domain = tier == 0;
      views[i].same_region = tier <= 1;
      views[i].load = static_cast<std::uint16_t>(
          tier == 0 ? c.near_load : (tier == 1 ? c.regional_load : 0));
      if ((tier == 0 && c.near_full) || (tier == 1 && c.regional_full) ||
          (tier == 2 && c.remote_full)) {
        views[i].full_until = kNow + seconds(1);
      }
    }
    const auto counts = CountChoices(views, PlanCapacity(views, 70));
    std::vector<int> by_tier(3);
    for (std::size_t i = 0; i < 12; ++i) {
      by_tier[i / 4] += counts[i];
    }
    for (int tier = 0; tier < 3; ++tier) {
      CHECK(by_tier[static_cast<std::size_t>(tier)] ==
            (tier == c.used_tier ? kDraws : 0));
    }
  }
}

// Guards against a selection that ignores the load, and against one that sends
// all requests to the endpoint that was idle when the loads were reported.
TEST_CASE("less loaded endpoints get more work, but not all of it") {
  auto views = MakeViews(6);
  for (std::size_t i = 1; i < 6; ++i) {
    views[i].load = static_cast<std::uint16_t>(i < 4 ? 1 : 3);
  }
  const auto counts = CountChoices(views, PlanCapacity(views, 70));
  CHECK(counts[0] > counts[1]);
  CHECK(counts[1] > counts[4]);
  CHECK(counts[0] < kDraws / 2);
}

// Guards against an endpoint in probation that receives a full share of the
// requests.
TEST_CASE("a limited share limits the selections of an endpoint") {
  auto views = MakeViews(10);
  views[0].state = EndpointState::kProbation;
  views[0].slot_share = 12;
  const auto counts = CountChoices(views, PlanCapacity(views, 70));
  CHECK(counts[0] > 0);
  CHECK(counts[0] < kDraws / 10 / 4);
}

// Guards against randomness from a source other than the passed generator.
TEST_CASE("equal generators give equal selections") {
  std::mt19937_64 views_rng(3);
  const auto views = RandomViews(views_rng);
  const CapacityPlan plan = PlanCapacity(views, 50);
  CHECK(CountChoices(views, plan) == CountChoices(views, plan));
}

}  // namespace
}  // namespace comfrey
