#ifndef CONFIG_REGISTRY_H_
#define CONFIG_REGISTRY_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/ini_fields.h"
#include "config/team_config.h"

namespace comfrey {

/// \brief A backend server as it registered itself.
struct RegisteredEndpoint {
  std::string service;
  SocketAddress address;
  std::string failure_domain;
  /// Concurrent requests; at least 1.
  int slots = 1;
  bool draining = false;
  /// Start of the backend server; the epoch if it is not known.
  std::chrono::system_clock::time_point started_at;
};

/// \brief A route as it was published.
struct PublishedRoute {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  bool idempotent = false;
  std::chrono::milliseconds timeout{0};
  std::chrono::milliseconds target{0};
  /// 0 is the most urgent.
  int priority = 0;
  /// At least one; the weights are relative.
  std::vector<ServiceShare> services;
  int max_attempts = 1;
};

/// \brief A service as it was published.
struct PublishedService {
  std::string name;
  std::string health_path;
};

/// \brief The whole published configuration.
struct PublishedConfig {
  std::uint64_t version = 0;
  std::vector<PublishedRoute> routes;
  std::vector<PublishedService> services;
  CallerLimits limits;
};

/// \brief A change of one registration.
struct RegistrationChange {
  /// Identity of the backend server.
  std::string instance;
  /// Absent if the registration was removed or cannot be used.
  std::optional<RegisteredEndpoint> endpoint;
  /// Revisions of the change and of the creation of the registration.
  std::uint64_t revision = 0;
  std::uint64_t created_revision = 0;
  /// Why a registration cannot be used; empty otherwise.
  std::string problem;
};

/// \brief What one read of the registry brought.
struct RegistryUpdate {
  /// All registrations are listed; others do not exist.
  bool complete = false;
  /// Further changes have a greater revision.
  std::uint64_t revision = 0;
  std::optional<PublishedConfig> config;
  /// Why a published configuration cannot be used; empty otherwise.
  std::string config_problem;
  std::vector<RegistrationChange> registrations;
};

}  // namespace comfrey

#endif  // CONFIG_REGISTRY_H_
