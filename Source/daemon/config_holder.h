#ifndef DAEMON_CONFIG_HOLDER_H_
#define DAEMON_CONFIG_HOLDER_H_

#include <memory>
#include <mutex>
#include <utility>

#include "config/config_store.h"

namespace comfrey {

/// \brief The configuration in force; a request keeps the one that it started
/// with.
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
