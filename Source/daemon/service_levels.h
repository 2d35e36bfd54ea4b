#ifndef DAEMON_SERVICE_LEVELS_H_
#define DAEMON_SERVICE_LEVELS_H_

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "config/config_store.h"
#include "core/service_level.h"

namespace comfrey {

/// \brief Service levels of all ranks at this ingress; thread-safe.
class ServiceLevels {
 public:
  void ApplyConfig(const ConfigStore& store);

  /// \brief Records a response and the time since the request arrived.
  void AddResponse(const std::string& team,
                   const std::string& rank,
                   std::chrono::microseconds latency);

  /// \brief Records a request that failed: without a response from a backend
  /// server, or with a server error.
  void AddMiss(const std::string& team, const std::string& rank);

  /// \brief Returns the burn report of each team.
  std::map<std::string, BurnReport> Report();

 private:
  ServiceLevel* Find(const std::string& team, const std::string& rank);

  std::mutex mutex;
  std::map<std::string, std::vector<ServiceLevel>> teams;
};

}  // namespace comfrey

#endif  // DAEMON_SERVICE_LEVELS_H_
