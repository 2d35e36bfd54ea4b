#ifndef CORE_PLACEMENT_H_
#define CORE_PLACEMENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "core/endpoint_selector.h"

namespace comfrey {

/// \brief What the owner of the chosen endpoint is asked to do.
enum class PlacementMode : std::uint8_t {
  kRunNow,     ///< Run it if a slot is free and the endpoint is not suspect.
  kSpareSlot,  ///< Run it if a further slot stays free, or queue it if the
               ///< expected wait is within PlacementPolicy::remote_wait_limit.
  kQueue,      ///< Queue it if it cannot run at once.
  kForce,      ///< Queue it even if the endpoint is suspect.
};

/// \brief What became of a request at an endpoint that was asked before.
enum class OfferResult : std::uint8_t {
  kNotTried,
  kBusy,      ///< No free slot.
  kSuspect,   ///< Refused because the endpoint is suspect.
  kExcluded,  ///< Not to be asked again.
};

/// \brief One endpoint for one request, beside its EndpointView.
struct PlacementHint {
  OfferResult offer_result = OfferResult::kNotTried;
  /// Requests of this ingress in progress there.
  std::uint16_t in_flight = 0;
  /// The owner is known to refuse work there as suspect until this time.
  std::chrono::steady_clock::time_point suspect_until;
  /// Preferred within its distance, since its owner is connected.
  bool standby = false;
  /// Wait in the queue that the owner last expected for the rank.
  std::chrono::microseconds expected_wait{0};
};

/// \brief Constants of the placement of one request.
struct PlacementPolicy {
  /// Work leaves the region only if the wait in it exceeds this time: links
  /// between regions add a round trip and are billed by volume.
  std::chrono::microseconds local_wait_limit{std::chrono::milliseconds(150)};
  /// Endpoints of other regions that are asked for a spare slot.
  std::size_t max_spare_slot_tries = 1;
  /// Endpoints of other regions that are asked in all.
  std::size_t max_remote_tries = 4;
  /// Longest expected wait for which work is queued in another region.
  std::chrono::microseconds remote_wait_limit{std::chrono::milliseconds(75)};
};

/// \brief Names a mode, for example "run now".
const char* PlacementModeName(PlacementMode mode);

struct Placement {
  /// Index into the views.
  std::uint32_t view = 0;
  PlacementMode mode = PlacementMode::kRunNow;
};

/// \brief Chooses where a request is offered next, or nothing if no endpoint
/// is left.
///
/// Answers a load near the capacity, with stale knowledge of it: each endpoint
/// of the region is asked for a free slot, nearest first, before the request
/// waits in the shortest queue or leaves the region. Another region gives only
/// spare slots and short waits: if regions near their capacity took each
/// other's last slots, all of their work would travel. Urgent work waits
/// shortly where less urgent work holds the slots, so a region in which
/// endpoints fail sends it there. Work waits longer in another region only if
/// its own has no sound endpoint. A suspect endpoint gets it only if all
/// endpoints are suspect: a caller who is refused may come back, one whose
/// order fails may not.
std::optional<Placement> NextPlacement(
    const CapacityPlan& plan,
    const std::vector<EndpointView>& views,
    const std::vector<PlacementHint>& hints,
    const PlacementPolicy& policy,
    std::chrono::steady_clock::time_point now,
    std::mt19937_64& rng);

/// \brief Load of an endpoint, as its owner has just stated it.
struct EndpointLoad {
  std::size_t in_progress = 0;  ///< Running and queued.
  std::size_t limit = 0;        ///< Requests that may run at once.
  std::chrono::microseconds expected_wait{0};
  bool suspect = false;
};

/// \brief Whether an endpoint of another region with this load would accept
/// the request in the given mode.
bool AcceptsRemoteRequest(const EndpointLoad& load,
                          PlacementMode mode,
                          std::chrono::microseconds max_wait);

}  // namespace comfrey

#endif  // CORE_PLACEMENT_H_
