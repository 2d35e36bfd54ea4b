#include "core/key_placement.h"

#include <algorithm>
#include <cstddef>

#include "xxhash.h"

namespace comfrey {
namespace {

// Hashes a field with the hash of the previous field as the seed, so that the
// boundary between the fields affects the result.
std::uint64_t HashField(const std::string& field, std::uint64_t seed) {
  return XXH64(field.data(), field.size(), seed);
}

struct RankedEndpoint {
  std::uint64_t weight = 0;
  const PlacedEndpoint* placed = nullptr;
};

}  // namespace

KeyPlacement PlaceKey(const KeyId& key,
                      const std::vector<PlacedEndpoint>& endpoints) {
  const std::uint64_t key_hash =
      HashField(key.key, HashField(key.service, HashField(key.team, 0)));
  std::vector<RankedEndpoint> ranked;
  ranked.reserve(endpoints.size());
  for (const PlacedEndpoint& placed : endpoints) {
    ranked.push_back({HashField(placed.endpoint, key_hash), &placed});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const RankedEndpoint& a, const RankedEndpoint& b) {
              return a.weight != b.weight
                         ? a.weight > b.weight
                         : a.placed->endpoint < b.placed->endpoint;
            });

  KeyPlacement placement;
  std::size_t next = 0;
  for (; next < ranked.size(); ++next) {
    const PlacedEndpoint& placed = *ranked[next].placed;
    if (placed.phase != KeyPhase::kLeaving) {
      break;
    }
    placement.must_release.push_back(placed.endpoint);
  }
  if (next == ranked.size()) {
    return KeyPlacement();
  }
  placement.home = ranked[next].placed->endpoint;
  if (ranked[next].placed->phase == KeyPhase::kActive) {
    return placement;
  }
  // The home is joining, so lower-ranked endpoints may have been the home. The
  // list ends with the first active one: it has been active for so long that no
  // endpoint ranked below it was the home within the retention time.
  for (++next; next < ranked.size(); ++next) {
    placement.must_release.push_back(ranked[next].placed->endpoint);
    if (ranked[next].placed->phase == KeyPhase::kActive) {
      break;
    }
  }
  return placement;
}

}  // namespace comfrey
