#include "registry/watch_supervision.h"

#include "registry/registration_order.h"

// A watch that gets no response looks like one without changes. It happens if
// the registry receives the watch while it is down or discards its history, if
// the response is lost, and if the connection is broken without a reset. Short
// watches would bound the time for which a daemon is unaware of that, but each
// is a call. A read of the revision that may be out of date costs a tenth.

namespace comfrey {
namespace {

// Time within which the response to a watch arrives after another read has
// shown the change.
constexpr std::chrono::milliseconds kResponseTime{750};

}  // namespace

void BeginWatch(WatchSupervision& watch,
                const RegistryRevision& revision,
                WatchSupervision::TimePoint now) {
  watch.revision = revision;
  watch.started_at = now;
  watch.has_failed_read = false;
  watch.behind_since.reset();
}

std::chrono::steady_clock::duration TimeUntilRead(
    const WatchSupervision& watch,
    WatchSupervision::TimePoint now) {
  return watch.started_at + kUnsupervisedWatchTime - now;
}

void RecordFailedRead(WatchSupervision& watch) {
  watch.has_failed_read = true;
}

WatchVerdict RecordRevision(WatchSupervision& watch,
                            const RegistryRevision& revision,
                            WatchSupervision::TimePoint now) {
  if (watch.has_failed_read) {
    return WatchVerdict::kAbandonAfterSilence;
  }
  switch (CompareHistory(watch.revision, revision)) {
    case HistoryOrder::kRestored:
      return WatchVerdict::kAbandonRestored;
    case HistoryOrder::kEarlierEra:
      return WatchVerdict::kKeep;
    case HistoryOrder::kSame:
      break;
  }
  if (revision.revision <= watch.revision.revision) {
    watch.behind_since.reset();
    return WatchVerdict::kKeep;
  }
  if (!watch.behind_since) {
    watch.behind_since = now;
  }
  return now - *watch.behind_since >= kResponseTime
             ? WatchVerdict::kAbandonBehind
             : WatchVerdict::kKeep;
}

}  // namespace comfrey
