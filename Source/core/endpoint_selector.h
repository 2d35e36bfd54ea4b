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

/// \brief What an ingress knows about one endpoint of a service.
struct EndpointView {
  /// Equal at all daemons, e.g. the packed IPv4 address and port.
  std::uint64_t endpoint_id = 0;
  /// The owner refuses further work until this time.
  std::chrono::steady_clock::time_point full_until;
  std::uint16_t severity = 0;
  std::uint16_t load = 0;   ///< requests running and queued
  std::uint16_t limit = 1;  ///< requests that may run at the same time
  EndpointState state = EndpointState::kHealthy;
  std::uint8_t slot_share = 100;  ///< percent; of the published verdict
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
              "an ingress holds one for each endpoint of the fleet");

/// \brief An endpoint that receives work under a plan.
struct PlannedEndpoint {
  std::uint32_t view = 0;         ///< index into the views
  std::uint8_t slot_share = 100;  ///< percent
};

/// \brief Endpoints in use at one ingress, grouped by distance.
///
/// Valid for the views that it was made from, until a field other than load,
/// limit or full_until changes.
struct CapacityPlan {
  std::vector<PlannedEndpoint> same_failure_domain;
  std::vector<PlannedEndpoint> same_region;  ///< other failure domains
  std::vector<PlannedEndpoint> other_regions;
  /// Indices of the endpoints whose ejection is honoured, worst first.
  std::vector<std::uint32_t> ejected;
  std::size_t configured = 0;
  /// Endpoints that ejection must leave in use.
  std::size_t required = 0;
  /// Endpoints in use at their full share.
  std::size_t in_full_use = 0;
  /// Ejections that the floor does not permit.
  std::size_t not_honoured = 0;
};

/// \brief Number of endpoints that `floor_percent` of `configured` requires.
std::size_t RequiredEndpoints(std::size_t configured, unsigned floor_percent);

/// \brief Decides which ejections this ingress honours.
///
/// `floor_percent` is the service key `floor`, 0 to 100. Endpoints in probation
/// are limited to their share under the same rule, after the ejections.
CapacityPlan PlanCapacity(const std::vector<EndpointView>& views,
                          unsigned floor_percent);

/// \brief Selects the view to send a request to, by power of two choices.
///
/// Returns an index into `views`, or nothing if no endpoint is in use or all
/// are full.
std::optional<std::size_t> ChooseEndpoint(
    const CapacityPlan& plan,
    const std::vector<EndpointView>& views,
    std::chrono::steady_clock::time_point now,
    std::mt19937_64& rng);

}  // namespace comfrey

#endif  // CORE_ENDPOINT_SELECTOR_H_
