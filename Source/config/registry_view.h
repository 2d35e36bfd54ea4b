#ifndef CONFIG_REGISTRY_VIEW_H_
#define CONFIG_REGISTRY_VIEW_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "config/registry.h"
#include "config/team_config.h"

namespace comfrey {

/// \brief A registration that is in use.
struct KnownRegistration {
  RegisteredEndpoint endpoint;
  std::uint64_t revision = 0;
  std::uint64_t created_revision = 0;
  /// Set while the registration is missing but still in use.
  std::optional<std::chrono::steady_clock::time_point> missing_since;
};

/// \brief What this daemon knows of the registry.
///
/// Answers a registry that is away: registrations that lapsed meanwhile are
/// kept until their backend servers had time to register again.
struct RegistryView {
  std::optional<PublishedConfig> config;
  /// By instance.
  std::map<std::string, KnownRegistration> registrations;
  std::uint64_t revision = 0;
  /// Whether the last read succeeded.
  bool last_read_succeeded = false;
  /// When the registry was last reached again after a failure.
  std::chrono::steady_clock::time_point reconnected_at;
};

/// \brief How long a registration that is missing after an outage is kept.
inline constexpr std::chrono::milliseconds kReregistrationTime{2000};

/// \brief Records that a read failed.
void RecordFailedRead(RegistryView& view);

/// \brief Adopts the result of a read; returns whether anything in use changed.
/// A configuration that is older than the one in use is ignored.
bool ApplyRegistryUpdate(RegistryView& view,
                         const RegistryUpdate& update,
                         std::chrono::steady_clock::time_point now);

/// \brief Drops registrations that stayed missing; returns whether there were
/// any. Called periodically.
bool RemoveMissingRegistrations(RegistryView& view,
                                std::chrono::steady_clock::time_point now);

/// \brief Settings for all services that come from the registry.
struct RegistryServiceSettings {
  /// Region of each failure domain.
  std::map<std::string, std::string> regions;
  /// Share of the endpoints that ejection leaves in use; 0 to 1.
  double floor = 0.7;
};

/// \brief Name of the team that holds the published configuration.
inline constexpr char kRegistryTeam[] = "registry";

/// \brief The configuration in force as a team; empty without a configuration.
std::optional<TeamConfig> BuildRegistryTeam(
    const RegistryView& view,
    const RegistryServiceSettings& settings);

}  // namespace comfrey

#endif  // CONFIG_REGISTRY_VIEW_H_
