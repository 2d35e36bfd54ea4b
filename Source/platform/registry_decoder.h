#ifndef PLATFORM_REGISTRY_DECODER_H_
#define PLATFORM_REGISTRY_DECODER_H_

#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "nlohmann/json.hpp"
#include "registry/registry_update.h"

namespace comfrey::platform {

/// Key of the published configuration.
inline constexpr char kConfigKey[] = "op/config";
/// Prefix of the keys of registrations; the identity of the backend server
/// follows.
inline constexpr char kRegistrationKeyPrefix[] = "servers/";

/// \brief Decodes the published configuration. It fails only if the version or
/// the list of entries cannot be read; an entry that cannot be read is listed
/// in PublishedConfig::problems.
absl::StatusOr<PublishedConfig> DecodeConfig(absl::string_view text);

/// \brief Decodes the registration of one backend server.
absl::StatusOr<RegisteredEndpoint> DecodeRegistration(absl::string_view text);

/// \brief Adds an item of the registry, or an event of a watch, to the update.
/// Ignores items that are neither the configuration nor a registration.
void AddItem(const nlohmann::json& item, RegistryUpdate& update);

}  // namespace comfrey::platform

#endif  // PLATFORM_REGISTRY_DECODER_H_
