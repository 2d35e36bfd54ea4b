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

/// \brief Functions that the watcher calls on its thread.
struct ConfigWatcherCallbacks {
  std::function<void(const ServiceValue& value)> on_value;
  /// After each successful read, with the time before it was sent.
  std::function<void(std::chrono::steady_clock::time_point requested_at)>
      on_contact;
};

/// \brief Watches the configuration service on a thread of its own, while this
/// daemon is a reader.
class ConfigWatcher {
 public:
  ConfigWatcher(ConfigServiceClient client,
                CounterRegistry& counters,
                ConfigWatcherCallbacks callbacks);
  ~ConfigWatcher();

  ConfigWatcher(const ConfigWatcher&) = delete;
  ConfigWatcher& operator=(const ConfigWatcher&) = delete;

  void Start();

  /// \brief Says whether to watch, to read once, or to wait.
  void SetDecision(ReadDecision next);

  bool IsReader() const;

  /// \brief Ends the thread; waits for a read in progress.
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
