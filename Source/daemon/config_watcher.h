#ifndef DAEMON_CONFIG_WATCHER_H_
#define DAEMON_CONFIG_WATCHER_H_

#include <atomic>
#include <functional>
#include <thread>

#include "base/counters.h"
#include "daemon/config_service_client.h"

namespace comfrey {

/// \brief Watches the configuration service on a thread of its own.
class ConfigWatcher {
 public:
  using ValueCallback = std::function<void(const ServiceValue& value)>;

  ConfigWatcher(ConfigServiceClient client,
                CounterRegistry& counters,
                ValueCallback on_value);
  ~ConfigWatcher();

  ConfigWatcher(const ConfigWatcher&) = delete;
  ConfigWatcher& operator=(const ConfigWatcher&) = delete;

  void Start();

  /// \brief Ends the thread; waits for a read in progress.
  void Stop();

 private:
  void Run();

  ConfigServiceClient client;
  Metric& reads;
  Metric& failed_reads;
  ValueCallback on_value;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace comfrey

#endif  // DAEMON_CONFIG_WATCHER_H_
