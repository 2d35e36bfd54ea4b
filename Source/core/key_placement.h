#ifndef CORE_KEY_PLACEMENT_H_
#define CORE_KEY_PLACEMENT_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace comfrey {

/// \brief Identity of an idempotency key. Equal key texts of different teams or
/// services are different keys.
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

/// \brief Phase of an endpoint that joins or leaves the set of endpoints that
/// run keys; set in the configuration.
enum class KeyPhase { kJoining, kActive, kLeaving };

struct PlacedEndpoint {
  std::string endpoint;
  KeyPhase phase = KeyPhase::kActive;
};

/// \brief Version of the configuration from which a placement is computed.
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

/// \brief The endpoint that may run a key, and the former ones.
struct KeyPlacement {
  /// Empty if no endpoint may run the key.
  std::string home;
  /// Endpoints that may have been the home under another version. The home
  /// runs the key only after each of them has fenced it.
  std::vector<std::string> must_release;
};

/// \brief Computes the placement of a key by rendezvous hashing.
KeyPlacement PlaceKey(const KeyId& key,
                      const std::vector<PlacedEndpoint>& endpoints);

}  // namespace comfrey

#endif  // CORE_KEY_PLACEMENT_H_
