#include "config/config_version.h"

#include "absl/strings/str_cat.h"

namespace comfrey {

std::string FormatConfigVersion(const ConfigVersion& version) {
  return absl::StrCat(version.generation, ".", version.revision);
}

}  // namespace comfrey
