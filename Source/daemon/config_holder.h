#ifndef DAEMON_CONFIG_HOLDER_H_
#define DAEMON_CONFIG_HOLDER_H_

#include <memory>
#include <mutex>
#include <utility>

#include "config/route_table.h"

namespace comfrey {

/// \brief The routes in force; requests keep the table that they started with.
class ConfigHolder {
 public:
  std::shared_ptr<const RouteTable> Current() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->table;
  }

  void Replace(std::shared_ptr<const RouteTable> next) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->table = std::move(next);
  }

 private:
  mutable std::mutex mutex;
  std::shared_ptr<const RouteTable> table = std::make_shared<RouteTable>();
};

}  // namespace comfrey

#endif  // DAEMON_CONFIG_HOLDER_H_
