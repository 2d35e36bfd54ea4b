#ifndef DAEMON_CONFIG_HOLDER_H_
#define DAEMON_CONFIG_HOLDER_H_

#include <memory>
#include <mutex>
#include <utility>

#include "config/config_store.h"

namespace comfrey {

/// \brief Holds the configuration in force; thread-safe. A request uses the
/// same configuration from its start to its end.
class ConfigHolder {
 public:
  std::shared_ptr<const ConfigStore> Current() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->store;
  }

  void Replace(std::shared_ptr<const ConfigStore> next) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->store = std::move(next);
  }

 private:
  mutable std::mutex mutex;
  std::shared_ptr<const ConfigStore> store = std::make_shared<ConfigStore>();
};

}  // namespace comfrey

#endif  // DAEMON_CONFIG_HOLDER_H_
