#ifndef CORE_PLACEMENT_H_
#define CORE_PLACEMENT_H_

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <random>
#include <vector>

#include "core/endpoint_selector.h"

namespace comfrey {

/// \brief How the owner of the chosen endpoint is to handle the request.
enum class PlacementMode : std::uint8_t {
  /// Run it if a slot is free and the endpoint is not suspect.
  kRunNow,
  /// Run it if at least one other slot stays free, or queue it if the expected
  /// wait is at most PlacementPolicy::remote_wait_limit.
  kSpareSlot,
  /// Queue it if it cannot run at once.
  kQueue,
  /// Run or queue it even if the endpoint is suspect.
  kAcceptSuspect,
};

/// \brief Result of offering a request to an endpoint.
enum class OfferResult : std::uint8_t {
  kNotTried,
  kBusy,      ///< No free slot.
  kSuspect,   ///< Refused because the endpoint is suspect.
  kNoRoom,    ///< Not queued: the queue is full or the wait would be too long.
  kExcluded,  ///< Not to be tried again.
};

/// \brief What the ingress knows about an endpoint for one request, in addition
/// to its EndpointView.
struct PlacementHint {
  OfferResult offer_result = OfferResult::kNotTried;
  /// Requests of this ingress in progress at the endpoint.
  std::uint16_t in_flight = 0;
  /// Until this time the owner is expected to refuse requests because the
  /// endpoint is suspect.
  std::chrono::steady_clock::time_point suspect_until;
  /// Whether the ingress keeps a connection to its owner open. Such an endpoint
  /// is preferred to others at the same distance.
  bool standby = false;
  /// Expected wait in the queue for the rank, as last reported by the owner,
  /// less the time since then. 0 if nothing is known or the time has passed.
  std::chrono::microseconds expected_wait{0};
  /// Time since the owner reported that wait.
  std::chrono::microseconds wait_age{0};
};

/// \brief Value of a limit on tries that is not set.
inline constexpr std::size_t kUnlimitedTries =
    std::numeric_limits<std::size_t>::max();

/// \brief Limits for the placement of one request.
struct PlacementPolicy {
  /// An endpoint of the region is not tried for a free slot while its expected
  /// wait is longer than this. An offer takes about as long, so a slot may be
  /// free by then.
  std::chrono::microseconds free_slot_wait_limit{std::chrono::milliseconds(5)};
  /// A wait that was reported longer ago does not keep an endpoint from being
  /// tried for a free slot, since queued requests may have been dropped.
  std::chrono::microseconds max_wait_age{std::chrono::milliseconds(500)};
  /// Maximum number of endpoints of the failure domain that are tried for a
  /// free slot.
  std::size_t max_failure_domain_tries = 3;
  /// The same for the other failure domains of the region.
  std::size_t max_region_tries = 2;
  /// A request is offered to other regions only if the shortest expected wait
  /// in its own region is longer than this. Links between regions add a round
  /// trip and are billed by volume.
  std::chrono::microseconds local_wait_limit{std::chrono::milliseconds(150)};
  /// Maximum number of remote endpoints that are tried for a spare slot.
  std::size_t max_spare_slot_tries = 1;
  /// Maximum number of remote endpoints that are tried in total.
  std::size_t max_remote_tries = 4;
  /// Longest expected wait with which a request for a spare slot is queued in
  /// another region.
  std::chrono::microseconds remote_wait_limit{std::chrono::milliseconds(75)};
};

/// \brief Returns the text of a mode, for example "run now".
const char* PlacementModeName(PlacementMode mode);

/// \brief The chosen endpoint and mode.
struct Placement {
  /// Index into the views.
  std::uint32_t view = 0;
  PlacementMode mode = PlacementMode::kRunNow;
};

/// \brief Chooses the endpoint to which a request is offered next, or nothing
/// if no endpoint is left.
///
/// The order of the choices is:
///  - a free slot in the failure domain, then in the region, at endpoints that
///    are not known to have a queue;
///  - a spare slot or a short wait in another region, if the expected wait in
///    the region is too long;
///  - the shortest queue in the region;
///  - the shortest queue in another region, if all endpoints of the region are
///    suspect;
///  - a suspect endpoint, if all endpoints are suspect.
std::optional<Placement> NextPlacement(
    const CapacityPlan& plan,
    const std::vector<EndpointView>& views,
    const std::vector<PlacementHint>& hints,
    const PlacementPolicy& policy,
    std::chrono::steady_clock::time_point now,
    std::mt19937_64& rng);

/// \brief Load of an endpoint, as its owner has just reported it.
struct EndpointLoad {
  std::size_t in_progress = 0;  ///< Requests running and queued.
  std::size_t limit = 0;        ///< Requests that may run at once.
  std::chrono::microseconds expected_wait{0};
  bool suspect = false;
};

/// \brief Whether a remote endpoint with this load would accept the request in
/// the given mode.
///
/// With PlacementMode::kSpareSlot, `max_wait` is the longest expected wait with
/// which it is queued.
bool AcceptsRemoteRequest(const EndpointLoad& load,
                          PlacementMode mode,
                          std::chrono::microseconds max_wait);

}  // namespace comfrey

#endif  // CORE_PLACEMENT_H_
