#ifndef PLATFORM_REGISTRY_DECODER_H_
#define PLATFORM_REGISTRY_DECODER_H_

#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "config/registry.h"
#include "nlohmann/json.hpp"

namespace comfrey::platform {

/// Keys of the store that the daemon reads.
inline constexpr char kConfigKey[] = "op/config";
inline constexpr char kRegistrationKeyPrefix[] = "servers/";

/// \brief Decodes the published configuration; an error names the entry and
/// the field that cannot be used.
absl::StatusOr<PublishedConfig> DecodeConfig(absl::string_view text);

/// \brief Decodes the registration of one backend server.
absl::StatusOr<RegisteredEndpoint> DecodeRegistration(absl::string_view text);

/// \brief Adds an item of the store, or an event of a watch, to the update.
/// Items under other keys are left out.
void AddItem(const nlohmann::json& item, RegistryUpdate& update);

}  // namespace comfrey::platform

#endif  // PLATFORM_REGISTRY_DECODER_H_
