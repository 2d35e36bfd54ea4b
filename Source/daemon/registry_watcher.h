#ifndef DAEMON_REGISTRY_WATCHER_H_
#define DAEMON_REGISTRY_WATCHER_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <random>
#include <thread>

#include "absl/status/statusor.h"
#include "base/counters.h"
#include "config/registry_view.h"

namespace comfrey {

/// \brief Functions that read a registry. They return the errors of
/// RegistryClient.
struct RegistrySource {
  std::function<absl::StatusOr<RegistryUpdate>()> read_all;
  std::function<absl::StatusOr<RegistryUpdate>(std::uint64_t revision,
                                               std::chrono::milliseconds wait)>
      watch;
  /// Cancels a read in progress; called from another thread.
  std::function<void()> stop;
};

/// \brief Lists and watches a registry on its own thread.
class RegistryWatcher {
 public:
  /// Called on the thread of the watcher after each change of the view.
  using ChangeFunction = std::function<void(const RegistryView& view)>;

  RegistryWatcher(RegistrySource source,
                  CounterRegistry& counters,
                  ChangeFunction on_change);
  ~RegistryWatcher();

  RegistryWatcher(const RegistryWatcher&) = delete;
  RegistryWatcher& operator=(const RegistryWatcher&) = delete;

  void Start();

  /// \brief Cancels a read in progress and ends the thread.
  void Stop();

 private:
  void Run();
  std::chrono::milliseconds ReadOnce();
  void HandleUpdate(const RegistryUpdate& update);
  std::chrono::milliseconds HandleReadFailure(const absl::Status& status);

  RegistrySource source;
  Metric& reads;
  Metric& failed_reads;
  Metric& unusable_entries;
  ChangeFunction on_change;
  RegistryView view;
  bool listed = false;
  std::chrono::milliseconds retry_delay;
  std::mt19937_64 rng;
  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  bool ended = false;
  std::thread thread;
};

}  // namespace comfrey

#endif  // DAEMON_REGISTRY_WATCHER_H_
