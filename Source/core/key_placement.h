#ifndef CORE_KEY_PLACEMENT_H_
#define CORE_KEY_PLACEMENT_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace comfrey {

/// \brief Identity of an idempotency key: equal keys of two teams or services
/// are different keys.
struct KeyId {
  std::string team;
  std::string service;
  std::string key;
};

inline bool operator==(const KeyId& a, const KeyId& b) {
  return std::tie(a.key, a.service, a.team) ==
         std::tie(b.key, b.service, b.team);
}

inline bool operator<(const KeyId& a, const KeyId& b) {
  return std::tie(a.key, a.service, a.team) <
         std::tie(b.key, b.service, b.team);
}

/// \brief Key phase of an endpoint, from the configuration.
enum class KeyPhase { kJoining, kActive, kLeaving };

struct PlacedEndpoint {
  std::string endpoint;
  KeyPhase phase = KeyPhase::kActive;
};

/// \brief Version of the configuration that a placement was computed from.
struct PlacementVersion {
  std::uint64_t generation = 0;
  std::uint64_t revision = 0;
};

inline bool operator==(const PlacementVersion& a, const PlacementVersion& b) {
  return a.generation == b.generation && a.revision == b.revision;
}

inline bool operator<(const PlacementVersion& a, const PlacementVersion& b) {
  return std::tie(a.generation, a.revision) <
         std::tie(b.generation, b.revision);
}

/// \brief Where a key may run.
struct KeyPlacement {
  /// Empty where no endpoint may run keys.
  std::string home;
  /// Endpoints that may have been the home under another version; the home
  /// runs the key only after each of them has fenced it.
  std::vector<std::string> must_release;
};

/// \brief Ranks the endpoints for a key by rendezvous hashing.
KeyPlacement PlaceKey(const KeyId& key,
                      const std::vector<PlacedEndpoint>& endpoints);

}  // namespace comfrey

#endif  // CORE_KEY_PLACEMENT_H_
