#ifndef REGISTRY_REGISTRY_REVISION_H_
#define REGISTRY_REGISTRY_REVISION_H_

#include <cstdint>

namespace comfrey {

/// \brief A position in the history of a registry.
///
/// A registry that comes back from a copy gives out revisions again, and raises
/// its era by one. Revisions of different eras therefore have no order; see
/// `registration_order`.
struct RegistryRevision {
  /// 0 if the registry did not name it.
  std::uint64_t era = 0;
  std::uint64_t revision = 0;
};

inline bool operator==(const RegistryRevision& a, const RegistryRevision& b) {
  return a.era == b.era && a.revision == b.revision;
}

}  // namespace comfrey

#endif  // REGISTRY_REGISTRY_REVISION_H_
