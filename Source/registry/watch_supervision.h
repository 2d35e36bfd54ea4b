#ifndef REGISTRY_WATCH_SUPERVISION_H_
#define REGISTRY_WATCH_SUPERVISION_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "registry/registry_revision.h"

namespace comfrey {

/// \brief What is known of a watch that waits for changes, from small reads
/// beside it that return the revision of the registry.
struct WatchSupervision {
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Position after which the watch waits.
  RegistryRevision revision;
  TimePoint started_at;
  /// Whether a read has failed since the watch started.
  bool has_failed_read = false;
  /// Since when the registry is known to have a later revision.
  std::optional<TimePoint> behind_since;
};

/// \brief What to do with a watch.
enum class WatchVerdict {
  kKeep,
  /// The registry did not respond meanwhile, and does so again.
  kAbandonAfterSilence,
  /// The registry has changes that the watch has not returned.
  kAbandonBehind,
  /// The registry was restored from a copy, so the watch waits for changes
  /// after a revision that has another meaning.
  kAbandonRestored,
};

/// \brief Time for which a watch may wait before it is supervised.
inline constexpr std::chrono::milliseconds kUnsupervisedWatchTime{1000};

/// \brief Starts the supervision of a watch.
void BeginWatch(WatchSupervision& watch,
                const RegistryRevision& revision,
                WatchSupervision::TimePoint now);

/// \brief Time until the first read of the revision is due for the watch; zero
/// or less if it is.
std::chrono::steady_clock::duration TimeUntilRead(
    const WatchSupervision& watch,
    WatchSupervision::TimePoint now);

/// \brief Records that a read of the revision has failed.
void RecordFailedRead(WatchSupervision& watch);

/// \brief Records the position that a read has returned, which may be out of
/// date.
WatchVerdict RecordRevision(WatchSupervision& watch,
                            const RegistryRevision& revision,
                            WatchSupervision::TimePoint now);

}  // namespace comfrey

#endif  // REGISTRY_WATCH_SUPERVISION_H_
