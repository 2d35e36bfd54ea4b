#ifndef REGISTRY_REGISTRY_VIEW_H_
#define REGISTRY_REGISTRY_VIEW_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "config/team_config.h"
#include "registry/registration_order.h"
#include "registry/registry_revision.h"
#include "registry/registry_update.h"

namespace comfrey {

/// \brief A registration whose endpoint is in use.
struct KnownRegistration {
  RegisteredEndpoint endpoint;
  /// The write that the endpoint was read from.
  RegistryRevision revision;
  /// Revision of the era of `revision` in which it was created.
  std::uint64_t created_revision = 0;
  /// Time since which the registration is missing from the registry while its
  /// endpoint is still in use.
  std::optional<std::chrono::steady_clock::time_point> missing_since;
  /// Where it was found missing, if it is.
  RegistryRevision removed;
};

/// \brief A registration that is no longer in use. It is remembered, since the
/// registry may come back from a copy that still lists it.
struct RemovedRegistration {
  RegistrationStatement statement;
  std::chrono::steady_clock::time_point at;
};

/// \brief What became of a change of the registry that is not in force.
enum class IgnoredAction {
  kDropped,
  kHeldBack,  ///< It takes effect later, unless it is reversed.
};

/// \brief A change that was read from the registry and is not in force.
struct IgnoredChange {
  /// Identity of a backend server, or "configuration".
  std::string subject;
  IgnoredAction action = IgnoredAction::kDropped;
  /// A name such as "older_revision".
  absl::string_view reason;
  RegistryRevision known;
  RegistryRevision change;
};

/// \brief The state of the registry as known to this daemon.
///
/// While the registry cannot be read, the last known state stays in use.
/// Registrations that expired during such an outage are kept until their
/// backend servers have had time to register again.
struct RegistryView {
  std::optional<PublishedConfig> config;
  /// Why a newer published configuration is not in `config`; empty if the
  /// newest one is.
  std::string config_problem;
  /// By instance.
  std::map<std::string, KnownRegistration> registrations;
  /// By instance; those removed within kRemovalMemory.
  std::map<std::string, RemovedRegistration> removed;
  /// Position of the last applied update.
  RegistryRevision revision;
  /// The changes of the last update that are not in force because of it.
  std::vector<IgnoredChange> ignored;
  /// Whether the registry is in an outage, as far as known.
  bool outage = false;
  /// Time of the first successful read after the last outage.
  std::optional<std::chrono::steady_clock::time_point> reconnected_at;
};

/// \brief Time after an outage of the registry for which missing registrations
/// are kept.
inline constexpr std::chrono::milliseconds kReregistrationTime{2000};

/// \brief Time for which removed registrations are remembered. Copies of the
/// registry are some seconds old.
inline constexpr std::chrono::seconds kRemovalMemory{60};

/// \brief Whether an update cannot be applied, because it is from another era
/// than the view and is no listing of a later one. The registry must be listed.
bool NeedsListing(const RegistryView& view, const RegistryUpdate& update);

/// \brief Whether the registry was restored from a copy since the last update.
bool IsRestored(const RegistryView& view, const RegistryUpdate& update);

/// \brief Records that the registry is in an outage, in which registrations of
/// running backend servers may expire. The next update ends it.
void RecordOutage(RegistryView& view);

/// \brief Applies the result of a read; returns whether the configuration or an
/// endpoint in use changed. An update that needs a listing changes nothing. A
/// configuration that is not newer than the one in use is ignored. A
/// configuration whose limits could not be read keeps those of the one in use.
///
/// A listing of a restored registry does not undo what is known: see
/// `registration_order`. It counts as the end of an outage, since registrations
/// that are newer than the copy are missing until they are written again.
bool ApplyRegistryUpdate(RegistryView& view,
                         RegistryUpdate update,
                         std::chrono::steady_clock::time_point now);

/// \brief Returns the time left until RemoveMissingRegistrations must be
/// called; nothing if no registration is missing.
std::optional<std::chrono::milliseconds> TimeUntilRemoval(
    const RegistryView& view,
    std::chrono::steady_clock::time_point now);

/// \brief Removes registrations that are still missing after
/// kReregistrationTime; returns whether there were any.
bool RemoveMissingRegistrations(RegistryView& view,
                                std::chrono::steady_clock::time_point now);

/// \brief Settings for all services of the registry.
struct RegistryServiceSettings {
  /// Region of each failure domain.
  std::map<std::string, std::string> regions;
  /// Minimum share of the endpoints that ejection leaves in use; 0 to 1.
  double floor = 0.7;
};

/// \brief Name of the team that holds the published configuration.
inline constexpr char kRegistryTeam[] = "registry";

/// \brief Returns the published configuration and the registrations as the
/// configuration of one team, or nothing if no configuration is known.
std::optional<TeamConfig> BuildRegistryTeam(
    const RegistryView& view,
    const RegistryServiceSettings& settings);

}  // namespace comfrey

#endif  // REGISTRY_REGISTRY_VIEW_H_
