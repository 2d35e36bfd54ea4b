#include "core/endpoint_selector.h"

#include <algorithm>
#include <tuple>

namespace comfrey {
namespace {

using TimePoint = std::chrono::steady_clock::time_point;
using Tier = std::vector<PlannedEndpoint>;

// An endpoint of the local region is used as long as it has fewer requests in
// progress than this many times its limit. A queue as long as the limit delays
// a request by about one service time. This is comparable with the round trip
// to another region, and traffic between regions is billed.
constexpr unsigned kRegionalQueueFactor = 2;
// Number of draws that respect the limited shares of endpoints. After that, any
// endpoint is taken; this is likely only if most endpoints have a limited
// share.
constexpr int kMaxShareDraws = 4;

bool IsAvailable(const EndpointView& view) {
  return view.configured && view.owner_reachable && !view.leaving &&
         !view.draining;
}

// Returns a random index in [0, size) without the division of
// std::uniform_int_distribution. The bias is below 2^-32 per value for the
// number of endpoints of a service.
std::size_t DrawIndex(std::size_t size, std::mt19937_64& rng) {
  constexpr int kShift = 32;
  return static_cast<std::size_t>(((rng() >> kShift) * size) >> kShift);
}

bool IsFull(const EndpointView& view, TimePoint now) {
  return view.full_until > now;
}

bool HasRoom(const EndpointView& view, unsigned queue_factor, TimePoint now) {
  return !IsFull(view, now) && view.load < queue_factor * view.limit;
}

// Compares load / limit without a division.
bool IsLessLoaded(const EndpointView& a, const EndpointView& b) {
  return static_cast<std::uint32_t>(a.load) * std::max<unsigned>(b.limit, 1) <
         static_cast<std::uint32_t>(b.load) * std::max<unsigned>(a.limit, 1);
}

std::uint32_t DrawByShare(const Tier& tier, std::mt19937_64& rng) {
  for (int i = 0; i < kMaxShareDraws; ++i) {
    const PlannedEndpoint& drawn = tier[DrawIndex(tier.size(), rng)];
    if (drawn.slot_share >= 100 || DrawIndex(100, rng) < drawn.slot_share) {
      return drawn.view;
    }
  }
  return tier[DrawIndex(tier.size(), rng)].view;
}

// Draws two endpoints and returns the less loaded one; a full one only if both
// are full.
std::optional<std::uint32_t> ChooseOfTwo(const Tier& tier,
                                         const std::vector<EndpointView>& views,
                                         TimePoint now,
                                         std::mt19937_64& rng) {
  if (tier.empty()) {
    return std::nullopt;
  }
  const std::uint32_t first = DrawByShare(tier, rng);
  const std::uint32_t second = DrawByShare(tier, rng);
  const bool first_full = IsFull(views[first], now);
  if (first_full != IsFull(views[second], now)) {
    return first_full ? second : first;
  }
  return IsLessLoaded(views[second], views[first]) ? second : first;
}

// Returns the first endpoint with room. The search starts at a random index, so
// that ingress daemons with equal views do not all select the same endpoint.
std::optional<std::uint32_t> FindEndpointWithRoom(
    const Tier& tier,
    const std::vector<EndpointView>& views,
    unsigned queue_factor,
    TimePoint now,
    std::mt19937_64& rng) {
  if (tier.empty()) {
    return std::nullopt;
  }
  const std::size_t start = DrawIndex(tier.size(), rng);
  for (std::size_t i = 0; i < tier.size(); ++i) {
    const PlannedEndpoint& planned = tier[(start + i) % tier.size()];
    // Endpoints with a limited share are selected only by `DrawByShare`.
    if (planned.slot_share >= 100 &&
        HasRoom(views[planned.view], queue_factor, now)) {
      return planned.view;
    }
  }
  return std::nullopt;
}

}  // namespace

std::size_t RequiredEndpoints(std::size_t configured, unsigned floor_percent) {
  return (configured * std::min(floor_percent, 100U) + 99) / 100;
}

CapacityPlan PlanCapacity(const std::vector<EndpointView>& views,
                          unsigned floor_percent) {
  CapacityPlan plan;
  std::vector<std::uint32_t> limited;
  std::size_t warm = 0;
  for (std::uint32_t i = 0; i < views.size(); ++i) {
    const EndpointView& view = views[i];
    plan.configured += view.configured ? 1 : 0;
    // A warming endpoint receives requests according to its share, but does not
    // count as capacity yet.
    if (!IsAvailable(view) || view.state == EndpointState::kWarming) {
      continue;
    }
    ++warm;
    if (view.state != EndpointState::kHealthy) {
      limited.push_back(i);
    }
  }
  plan.required = RequiredEndpoints(plan.configured, floor_percent);

  // Equal views give the same order at every ingress, so the ingress daemons
  // honour different ejections only if their views differ.
  std::sort(limited.begin(), limited.end(),
            [&views](std::uint32_t a, std::uint32_t b) {
              const auto key = [&views](std::uint32_t i) {
                const EndpointView& view = views[i];
                return std::make_tuple(view.state != EndpointState::kEjected,
                                       -static_cast<int>(view.severity),
                                       view.endpoint_id);
              };
              return key(a) < key(b);
            });
  const std::size_t spare = warm > plan.required ? warm - plan.required : 0;
  const std::size_t honoured = std::min(spare, limited.size());
  plan.in_full_use = warm - honoured;

  std::vector<bool> is_honoured(views.size(), false);
  for (std::size_t i = 0; i < limited.size(); ++i) {
    const bool ejected = views[limited[i]].state == EndpointState::kEjected;
    if (i < honoured) {
      is_honoured[limited[i]] = true;
      if (ejected) {
        plan.ejected.push_back(limited[i]);
      }
    } else if (ejected) {
      ++plan.not_honoured;
    }
  }

  for (std::uint32_t i = 0; i < views.size(); ++i) {
    const EndpointView& view = views[i];
    if (!IsAvailable(view) ||
        (is_honoured[i] && view.state == EndpointState::kEjected)) {
      continue;
    }
    PlannedEndpoint planned;
    planned.view = i;
    if (is_honoured[i] || view.state == EndpointState::kWarming) {
      planned.slot_share = view.slot_share;
    }
    Tier& tier = view.same_failure_domain ? plan.same_failure_domain
                 : view.same_region       ? plan.same_region
                                          : plan.other_regions;
    tier.push_back(planned);
  }
  return plan;
}

std::optional<std::size_t> ChooseEndpoint(
    const CapacityPlan& plan,
    const std::vector<EndpointView>& views,
    TimePoint now,
    std::mt19937_64& rng) {
  const auto near = ChooseOfTwo(plan.same_failure_domain, views, now, rng);
  if (near && HasRoom(views[*near], 1, now)) {
    return near;
  }
  const auto regional = ChooseOfTwo(plan.same_region, views, now, rng);
  if (regional && HasRoom(views[*regional], 1, now)) {
    return regional;
  }
  // The drawn endpoints have no room, which is common at a moderate load. The
  // region lacks capacity only if none of its endpoints has room.
  for (const unsigned factor : {1U, kRegionalQueueFactor}) {
    for (const Tier* tier : {&plan.same_failure_domain, &plan.same_region}) {
      if (const auto found =
              FindEndpointWithRoom(*tier, views, factor, now, rng)) {
        return found;
      }
    }
  }
  const auto remote = ChooseOfTwo(plan.other_regions, views, now, rng);
  if (remote && HasRoom(views[*remote], kRegionalQueueFactor, now)) {
    return remote;
  }
  // Every endpoint may have a long queue. Send the request anyway, since the
  // owner decides whether to accept it.
  for (const auto& candidate : {near, regional, remote}) {
    if (candidate && !IsFull(views[*candidate], now)) {
      return candidate;
    }
  }
  for (const Tier* tier :
       {&plan.same_failure_domain, &plan.same_region, &plan.other_regions}) {
    for (const PlannedEndpoint& planned : *tier) {
      if (!IsFull(views[planned.view], now)) {
        return planned.view;
      }
    }
  }
  return std::nullopt;
}

}  // namespace comfrey
