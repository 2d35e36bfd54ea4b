#ifndef REGISTRY_REGISTRY_WATCHER_H_
#define REGISTRY_REGISTRY_WATCHER_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>

#include "absl/status/statusor.h"
#include "base/counters.h"
#include "registry/registry_confirmation.h"
#include "registry/registry_contact.h"
#include "registry/registry_view.h"
#include "registry/watch_supervision.h"

namespace comfrey {

/// \brief Functions that read a registry. They return the errors of
/// RegistryClient.
struct RegistrySource {
  std::function<absl::StatusOr<RegistryUpdate>()> read_all;
  std::function<absl::StatusOr<RegistryUpdate>(const RegistryRevision& revision,
                                               std::chrono::milliseconds wait)>
      watch;
  /// Returns a position of the registry that may be out of date. Called from
  /// another thread than the others.
  std::function<absl::StatusOr<RegistryRevision>()> read_revision;
  /// Ends a watch in progress with an error; called from another thread.
  std::function<void()> abandon_watch;
  /// Cancels a read in progress; called from another thread.
  std::function<void()> stop;
};

/// \brief Lists and watches a registry on its own thread. Another thread
/// supervises the watch, which may never get a response.
class RegistryWatcher {
 public:
  /// Called on the thread of the watcher after each change of the view.
  using ChangeFunction = std::function<void(const RegistryView& view)>;

  RegistryWatcher(RegistrySource source,
                  CounterRegistry& counters,
                  RegistryConfirmation& confirmation,
                  ChangeFunction on_change);
  ~RegistryWatcher();

  RegistryWatcher(const RegistryWatcher&) = delete;
  RegistryWatcher& operator=(const RegistryWatcher&) = delete;

  void Start();

  /// \brief Cancels a read in progress and ends the threads.
  void Stop();

 private:
  using Clock = std::chrono::steady_clock;

  void Run();
  // These read the registry once and return the delay until the next read.
  std::chrono::milliseconds ReadOnce();
  std::chrono::milliseconds List();
  std::chrono::milliseconds Watch();
  // Removes the registrations that were missing for long enough.
  void RemoveDueRegistrations();
  std::chrono::milliseconds PauseAfterChange() const;
  // Begins a listing in place of an update of another era.
  std::chrono::milliseconds ListInstead(const RegistryUpdate& update);
  absl::StatusOr<RegistryUpdate> WatchSupervised(
      std::chrono::milliseconds wait);
  void HandleUpdate(const RegistryUpdate& update);
  void RecordRead(const absl::Status& status, Clock::time_point started_at);
  // The caller must hold the mutex.
  void RecordReadLocked(const absl::Status& status,
                        Clock::time_point started_at);
  void RecordFailure(const std::string& operation, const absl::Status& status);
  std::chrono::milliseconds NextRetryDelay();

  void RunSupervision();
  // Reads the revision if the watch has waited for long, and ends the watch if
  // it cannot be relied on. Returns the delay until the next read.
  std::chrono::milliseconds SuperviseOnce();
  void Abandon(WatchVerdict verdict, const RegistryRevision& revision);
  // These write what became of an update to the log and the metrics.
  void ReportProblems(const RegistryUpdate& update);
  void ReportIgnored(const IgnoredChange& ignored);
  void ReportRestored(const RegistryRevision& before);
  Metric& AbandonedWatches(WatchVerdict verdict);

  RegistrySource source;
  CounterRegistry& counters;
  Metric& reads;
  Metric& revision_reads;
  Metric& abandoned_after_silence;
  Metric& abandoned_behind;
  Metric& abandoned_restored;
  Metric& restorations;
  Metric& unusable_entries;
  Metric& unreadable_eras;
  Metric& era;
  Metric& revision;
  Metric& config_version;
  Metric& confirmed_at_unix_ms;
  RegistryConfirmation& confirmation;
  ChangeFunction on_change;
  RegistryView view;
  /// The last problem of the era that was logged.
  std::string era_problem;
  /// Whether the view contains a listing after which no read has failed.
  bool listed = false;
  /// Number of listings and watches that have failed since one succeeded.
  int failures = 0;
  /// When the last listing or watch succeeded; the start until then.
  Clock::time_point confirmed_at;
  std::chrono::milliseconds retry_delay;
  std::mt19937_64 rng;
  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  /// Number of threads that run.
  int running = 0;
  RegistryContact contact;
  /// The watch in progress, if any.
  std::optional<WatchSupervision> supervision;
  std::thread thread;
  std::thread supervision_thread;
};

}  // namespace comfrey

#endif  // REGISTRY_REGISTRY_WATCHER_H_
