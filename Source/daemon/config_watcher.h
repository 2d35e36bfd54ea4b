#ifndef DAEMON_CONFIG_WATCHER_H_
#define DAEMON_CONFIG_WATCHER_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include "base/counters.h"
#include "core/reader_selection.h"
#include "daemon/config_service_client.h"

namespace comfrey {

/// \brief Functions that the watcher calls on its own thread.
struct ConfigWatcherCallbacks {
  std::function<void(const ServiceValue& value)> on_value;
  /// Called after each successful read with the time before it was sent.
  std::function<void(std::chrono::steady_clock::time_point requested_at)>
      on_contact;
};

/// \brief Reads the configuration service on its own thread, when this daemon
/// is a reader or has to read once.
class ConfigWatcher {
 public:
  ConfigWatcher(ConfigServiceClient client,
                CounterRegistry& counters,
                ConfigWatcherCallbacks callbacks);
  ~ConfigWatcher();

  ConfigWatcher(const ConfigWatcher&) = delete;
  ConfigWatcher& operator=(const ConfigWatcher&) = delete;

  void Start();

  /// \brief Sets whether to watch, to read once, or not to read.
  void SetDecision(ReadDecision next);

  /// \brief Returns whether this daemon watches the configuration service
  /// continuously.
  bool IsReader() const;

  /// \brief Ends the thread; waits until a read in progress has ended.
  void Stop();

 private:
  void Run();
  bool ReadOnce();

  ConfigServiceClient client;
  Metric& reads;
  Metric& failed_reads;
  ConfigWatcherCallbacks callbacks;
  mutable std::mutex mutex;
  std::condition_variable changed;
  ReadDecision decision = ReadDecision::kNone;
  bool stopping = false;
  std::uint64_t revision = 0;
  bool available = true;
  std::thread thread;
};

}  // namespace comfrey

#endif  // DAEMON_CONFIG_WATCHER_H_
