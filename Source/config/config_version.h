#ifndef CONFIG_CONFIG_VERSION_H_
#define CONFIG_CONFIG_VERSION_H_

#include <cstdint>
#include <string>
#include <tuple>

namespace comfrey {

/// \brief The version of a subtree, compared by generation, then revision.
///
/// The generation is set by operators in the value; the revision is assigned
/// by the configuration service.
struct ConfigVersion {
  std::uint64_t generation = 0;
  std::uint64_t revision = 0;
};

inline bool operator==(const ConfigVersion& a, const ConfigVersion& b) {
  return std::tie(a.generation, a.revision) ==
         std::tie(b.generation, b.revision);
}

inline bool operator!=(const ConfigVersion& a, const ConfigVersion& b) {
  return !(a == b);
}

inline bool operator<(const ConfigVersion& a, const ConfigVersion& b) {
  return std::tie(a.generation, a.revision) <
         std::tie(b.generation, b.revision);
}

inline bool operator>(const ConfigVersion& a, const ConfigVersion& b) {
  return b < a;
}

/// \brief Renders a version as "generation.revision".
std::string FormatConfigVersion(const ConfigVersion& version);

}  // namespace comfrey

#endif  // CONFIG_CONFIG_VERSION_H_
