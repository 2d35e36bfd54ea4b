#ifndef CORE_ENDPOINT_SELECTOR_H_
#define CORE_ENDPOINT_SELECTOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "core/endpoint_health.h"

namespace comfrey {

/// \brief State of one endpoint of a service, as known to an ingress.
struct EndpointView {
  /// The same at all daemons, e.g. the packed IPv4 address and port.
  std::uint64_t endpoint_id = 0;
  /// The owner accepts no further requests until this time.
  std::chrono::steady_clock::time_point full_until;
  std::uint16_t severity = 0;
  std::uint16_t load = 0;   ///< requests running and queued
  std::uint16_t limit = 1;  ///< requests that may run at the same time
  EndpointState state = EndpointState::kHealthy;
  std::uint8_t slot_share = 100;  ///< percent; from the published verdict
  bool configured : 1;
  bool owner_reachable : 1;
  bool leaving : 1;
  bool draining : 1;
  bool same_failure_domain : 1;
  bool same_region : 1;

  EndpointView()
      : configured(true),
        owner_reachable(true),
        leaving(false),
        draining(false),
        same_failure_domain(true),
        same_region(true) {}
};

static_assert(sizeof(EndpointView) <= 32,
              "an ingress keeps an EndpointView for each endpoint of the "
              "fleet");

/// \brief An endpoint that may receive requests under a plan.
struct PlannedEndpoint {
  std::uint32_t view = 0;         ///< index into the views
  std::uint8_t slot_share = 100;  ///< percent
};

/// \brief Endpoints that one ingress uses, grouped by distance.
///
/// A plan refers to the views that it was made from. It becomes invalid when a
/// field other than load, limit or full_until changes.
struct CapacityPlan {
  std::vector<PlannedEndpoint> same_failure_domain;
  std::vector<PlannedEndpoint> same_region;  ///< other failure domains
  std::vector<PlannedEndpoint> other_regions;
  /// Indices of the endpoints whose ejection is honoured, worst first.
  std::vector<std::uint32_t> ejected;
  std::size_t configured = 0;
  /// Number of endpoints that ejections must leave in use.
  std::size_t required = 0;
  /// Number of endpoints in use with their full share.
  std::size_t in_full_use = 0;
  /// Number of ejections that the floor does not permit.
  std::size_t not_honoured = 0;
};

/// \brief Returns `floor_percent` percent of `configured`, rounded up.
std::size_t RequiredEndpoints(std::size_t configured, unsigned floor_percent);

/// \brief Decides which ejections this ingress honours.
///
/// `floor_percent` is the service key `floor`, 0 to 100. An endpoint in
/// probation is limited to its share only if the floor still permits it after
/// the ejections.
CapacityPlan PlanCapacity(const std::vector<EndpointView>& views,
                          unsigned floor_percent);

/// \brief Selects an endpoint for a request, by the power of two choices.
///
/// Returns an index into `views`, or nothing if no endpoint is in use or all
/// of them are full.
std::optional<std::size_t> ChooseEndpoint(
    const CapacityPlan& plan,
    const std::vector<EndpointView>& views,
    std::chrono::steady_clock::time_point now,
    std::mt19937_64& rng);

}  // namespace comfrey

#endif  // CORE_ENDPOINT_SELECTOR_H_
