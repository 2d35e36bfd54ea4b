#ifndef REGISTRY_REGISTRY_UPDATE_H_
#define REGISTRY_REGISTRY_UPDATE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/ini_fields.h"
#include "config/team_config.h"
#include "registry/registry_revision.h"

namespace comfrey {

/// \brief The registration of a backend server.
struct RegisteredEndpoint {
  std::string service;
  SocketAddress address;
  std::string failure_domain;
  /// Maximum number of concurrent requests; at least 1.
  int slots = 1;
  bool draining = false;
  /// Counts what the backend server has written since its start.
  std::uint64_t sequence = 0;
  /// Start time of the backend server; the epoch if not known.
  std::chrono::system_clock::time_point started_at;
};

/// \brief A route of the published configuration.
struct PublishedRoute {
  std::string name;
  /// Why the route cannot be used; empty if it can. Only `name`, `host` and
  /// `prefix` of such a route are set. Its requests are refused as not run.
  std::string problem;
  std::string host;
  /// Path prefix that starts and ends with a slash.
  std::string prefix;
  bool idempotent = false;
  std::chrono::milliseconds timeout{0};
  std::chrono::milliseconds target{0};
  /// 0 is the most urgent.
  int priority = 0;
  /// Services between which the requests are divided; at least one. The weights
  /// are relative.
  std::vector<ServiceShare> services;
  int max_attempts = 1;
};

/// \brief A service of the published configuration.
struct PublishedService {
  std::string name;
  std::string health_path;
};

/// \brief An entry of the published configuration that could not be read, or
/// not completely.
struct EntryProblem {
  /// Kind and name of the entry, for example "route r-1".
  std::string entry;
  std::string cause;
  /// What becomes of the entry.
  std::string effect;
};

/// \brief The configuration that the registry publishes.
struct PublishedConfig {
  std::uint64_t version = 0;
  std::vector<PublishedRoute> routes;
  std::vector<PublishedService> services;
  /// Absent if the published limits could not be read.
  std::optional<CallerLimits> limits = CallerLimits();
  std::vector<EntryProblem> problems;
  /// Whether a route is missing from `routes` because its host or prefix could
  /// not be read. A request without a route may then be a request of that
  /// route.
  bool lacks_routes = false;
};

/// \brief A change of one registration.
struct RegistrationChange {
  /// Identity of the backend server.
  std::string instance;
  /// Absent if the registration was removed or is not usable.
  std::optional<RegisteredEndpoint> endpoint;
  /// Position of the change in the history of the registry.
  RegistryRevision revision;
  /// Revision in which the registration was created.
  std::uint64_t created_revision = 0;
  /// Reason why the registration is not usable; empty if it is usable.
  std::string problem;
};

/// \brief The result of one read of the registry.
struct RegistryUpdate {
  /// Whether `registrations` lists all registrations that exist, and not only
  /// changes.
  bool complete = false;
  /// Position up to which changes are included. Later changes of the same era
  /// have a greater revision.
  RegistryRevision revision;
  /// Why the era that a response names cannot be read; empty if it can, or if
  /// it names none.
  std::string era_problem;
  /// Absent if the configuration did not change or is not usable.
  std::optional<PublishedConfig> config;
  /// Reason why the published configuration is not usable; empty otherwise.
  std::string config_problem;
  std::vector<RegistrationChange> registrations;
};

}  // namespace comfrey

#endif  // REGISTRY_REGISTRY_UPDATE_H_
