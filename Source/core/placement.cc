#include "core/placement.h"

#include <algorithm>
#include <tuple>

namespace comfrey {
namespace {

using TimePoint = std::chrono::steady_clock::time_point;
using Tier = std::vector<PlannedEndpoint>;

struct PlacementInput {
  const CapacityPlan& plan;
  const std::vector<EndpointView>& views;
  const std::vector<PlacementHint>& hints;
  const PlacementPolicy& policy;
  TimePoint now;
  std::mt19937_64& rng;
};

bool IsKnownSuspect(const PlacementInput& input, std::uint32_t view) {
  const PlacementHint& hint = input.hints[view];
  return hint.offer_result == OfferResult::kSuspect ||
         hint.suspect_until > input.now;
}

// An endpoint with a slot share below 100% is considered only with that
// probability.
bool IsSampled(const PlacementInput& input, const PlannedEndpoint& planned) {
  constexpr unsigned kPercent = 100;
  return planned.slot_share >= kPercent ||
         input.rng() % kPercent < planned.slot_share;
}

// Returns the endpoint that may have a free slot and has the fewest requests of
// this ingress in progress; standby endpoints come first. Endpoints that
// reported a longer wait than `max_wait` within `max_age` are skipped.
std::optional<std::uint32_t> FindFreeSlot(const PlacementInput& input,
                                          const Tier& tier,
                                          std::chrono::microseconds max_wait,
                                          std::chrono::microseconds max_age) {
  std::optional<std::uint32_t> best;
  std::tuple<bool, std::uint32_t, std::uint64_t> best_key;
  for (const PlannedEndpoint& planned : tier) {
    const PlacementHint& hint = input.hints[planned.view];
    const EndpointView& view = input.views[planned.view];
    if (hint.offer_result != OfferResult::kNotTried ||
        IsKnownSuspect(input, planned.view) || view.full_until > input.now ||
        (hint.expected_wait > max_wait && hint.wait_age <= max_age) ||
        !IsSampled(input, planned)) {
      continue;
    }
    const auto key = std::make_tuple<bool, std::uint32_t, std::uint64_t>(
        !hint.standby, hint.in_flight, input.rng());
    if (!best || key < best_key) {
      best = planned.view;
      best_key = key;
    }
  }
  return best;
}

// Returns whether the wait is unknown: the endpoint has not refused the request
// and no forecast of its owner is still valid.
bool IsWaitUnknown(const PlacementHint& hint) {
  return hint.offer_result == OfferResult::kNotTried &&
         hint.expected_wait.count() == 0;
}

// Returns the expected wait from which on endpoints of the tier are expected to
// refuse to queue the request: the second shortest wait with which one has
// refused. A single refusal may be due to a long service time of its endpoint.
std::chrono::microseconds RefusedWait(const PlacementInput& input,
                                      const Tier& tier) {
  constexpr std::size_t kMinRefusals = 2;
  std::vector<std::chrono::microseconds> waits;
  for (const PlannedEndpoint& planned : tier) {
    const PlacementHint& hint = input.hints[planned.view];
    if (hint.offer_result == OfferResult::kNoRoom &&
        hint.expected_wait.count() > 0) {
      waits.push_back(hint.expected_wait);
    }
  }
  if (waits.size() < kMinRefusals) {
    return std::chrono::microseconds::max();
  }
  std::sort(waits.begin(), waits.end());
  return waits[kMinRefusals - 1];
}

// Endpoints with a full queue come last. An unknown wait counts as the longest
// one for which a request stays in its region, since the queue may be of any
// length, but is probably shorter than a long one that is known.
std::optional<std::uint32_t> FindShortestWait(const PlacementInput& input,
                                              const Tier& tier,
                                              bool suspect) {
  const std::chrono::microseconds refused_wait = RefusedWait(input, tier);
  std::optional<std::uint32_t> best;
  std::tuple<bool, std::chrono::microseconds, std::uint64_t> best_key;
  for (const PlannedEndpoint& planned : tier) {
    const PlacementHint& hint = input.hints[planned.view];
    if (hint.offer_result == OfferResult::kExcluded ||
        hint.offer_result == OfferResult::kNoRoom ||
        IsKnownSuspect(input, planned.view) != suspect ||
        (!IsWaitUnknown(hint) && hint.expected_wait >= refused_wait)) {
      continue;
    }
    const bool is_full = input.views[planned.view].full_until > input.now;
    const auto wait = IsWaitUnknown(hint) ? input.policy.local_wait_limit
                                          : hint.expected_wait;
    const auto key = std::make_tuple(is_full, wait, input.rng());
    if (!best || key < best_key) {
      best = planned.view;
      best_key = key;
    }
  }
  return best;
}

std::size_t CountTried(const PlacementInput& input, const Tier& tier) {
  return static_cast<std::size_t>(
      std::count_if(tier.begin(), tier.end(), [&](const PlannedEndpoint& p) {
        return input.hints[p.view].offer_result != OfferResult::kNotTried;
      }));
}

// Finds a free slot in the region, unless the limit of tries in the tier has
// been reached.
std::optional<std::uint32_t> FindFreeSlotNearby(const PlacementInput& input,
                                                const Tier& tier,
                                                std::size_t max_tries) {
  if (CountTried(input, tier) >= max_tries) {
    return std::nullopt;
  }
  return FindFreeSlot(input, tier, input.policy.free_slot_wait_limit,
                      input.policy.max_wait_age);
}

// Returns whether any endpoint is not suspect, even if it has refused the
// request.
bool HasNonSuspect(const PlacementInput& input, const Tier& tier) {
  return std::any_of(tier.begin(), tier.end(), [&](const PlannedEndpoint& p) {
    return !IsKnownSuspect(input, p.view);
  });
}

Tier EndpointsInRegion(const CapacityPlan& plan) {
  Tier region = plan.same_failure_domain;
  region.insert(region.end(), plan.same_region.begin(), plan.same_region.end());
  return region;
}

}  // namespace

const char* PlacementModeName(PlacementMode mode) {
  switch (mode) {
    case PlacementMode::kRunNow:
      return "run now";
    case PlacementMode::kSpareSlot:
      return "spare slot";
    case PlacementMode::kQueue:
      return "queue";
    case PlacementMode::kAcceptSuspect:
      break;
  }
  return "force";
}

std::optional<Placement> NextPlacement(const CapacityPlan& plan,
                                       const std::vector<EndpointView>& views,
                                       const std::vector<PlacementHint>& hints,
                                       const PlacementPolicy& policy,
                                       TimePoint now,
                                       std::mt19937_64& rng) {
  // An ingress sends few requests to one endpoint, so it seldom knows the load
  // of all. It tries some endpoints without a known wait for a free slot,
  // nearest first. Each refusal tells it a wait, and the request is then queued
  // at the shortest one. When every endpoint was tried, overloaded services got
  // 8 offers a request, and the tries ran out before the request was queued.
  const PlacementInput input{plan, views, hints, policy, now, rng};
  if (const auto free_slot = FindFreeSlotNearby(
          input, plan.same_failure_domain, policy.max_failure_domain_tries)) {
    return Placement{*free_slot, PlacementMode::kRunNow};
  }
  if (const auto free_slot = FindFreeSlotNearby(input, plan.same_region,
                                                policy.max_region_tries)) {
    return Placement{*free_slot, PlacementMode::kRunNow};
  }
  const Tier region = EndpointsInRegion(plan);
  const auto local = FindShortestWait(input, region, false);
  const bool leave_region =
      !local || hints[*local].expected_wait > policy.local_wait_limit;
  // Remote endpoints offer only spare slots and short waits. If regions near
  // their capacity used each other's last slots, all requests would be sent to
  // another region. An urgent request has a short expected wait where less
  // urgent work uses the slots, so it can leave a region in which endpoints
  // fail.
  if (leave_region &&
      CountTried(input, plan.other_regions) < policy.max_spare_slot_tries) {
    if (const auto free_slot =
            FindFreeSlot(input, plan.other_regions, policy.remote_wait_limit,
                         std::chrono::microseconds::max())) {
      return Placement{*free_slot, PlacementMode::kSpareSlot};
    }
  }
  if (local) {
    return Placement{*local, PlacementMode::kQueue};
  }
  // A request is queued remotely for longer only if all endpoints of its region
  // are suspect.
  if (HasNonSuspect(input, region)) {
    return std::nullopt;
  }
  if (CountTried(input, plan.other_regions) >= policy.max_remote_tries) {
    return std::nullopt;
  }
  if (const auto remote = FindShortestWait(input, plan.other_regions, false)) {
    return Placement{*remote, PlacementMode::kQueue};
  }
  if (HasNonSuspect(input, plan.other_regions)) {
    return std::nullopt;
  }
  // A suspect endpoint is used only if all endpoints are suspect. It is better
  // to refuse a request than to let it fail: a caller who is refused may retry,
  // while one whose order fails may not return.
  for (const Tier& tier : {region, plan.other_regions}) {
    if (const auto suspect = FindShortestWait(input, tier, true)) {
      return Placement{*suspect, PlacementMode::kAcceptSuspect};
    }
  }
  return std::nullopt;
}

bool AcceptsRemoteRequest(const EndpointLoad& load,
                          PlacementMode mode,
                          std::chrono::microseconds max_wait) {
  switch (mode) {
    case PlacementMode::kAcceptSuspect:
      return true;
    case PlacementMode::kQueue:
      return !load.suspect;
    case PlacementMode::kRunNow:
    case PlacementMode::kSpareSlot:
      break;
  }
  const bool has_spare_slot = load.in_progress + 1 < load.limit;
  return !load.suspect && (has_spare_slot || load.expected_wait <= max_wait);
}

}  // namespace comfrey
