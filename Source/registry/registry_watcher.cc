#include "registry/registry_watcher.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "base/log_event.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;

// Limits the time for which a watch without a response goes unnoticed if the
// supervision does not notice it.
constexpr milliseconds kWatchTimeout{10'000};
// Delay after a change, so that further changes are read with a single call.
// The calls of the whole fleet to the registry are limited, but a change must
// be in force within 2.5 s.
constexpr milliseconds kDelayAfterChange{800};
constexpr milliseconds kMinRetryDelay{100};
constexpr milliseconds kStopPeriod{100};
constexpr milliseconds kMaxRetryDelay{1000};
constexpr milliseconds kSupervisionPeriod{1000};
constexpr milliseconds kSupervisionPeriodInDoubt{400};
constexpr int kLoggedFailures = 3;

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

const char* DescribeVerdict(WatchVerdict verdict) {
  switch (verdict) {
    case WatchVerdict::kAbandonBehind:
      return "it has not returned a change";
    case WatchVerdict::kAbandonRestored:
      return "the registry was restored from a copy";
    default:
      return "the registry did not respond meanwhile";
  }
}

const char* ActionName(IgnoredAction action) {
  return action == IgnoredAction::kDropped ? "dropped" : "held_back";
}

// Whether the registry responded to a read, if only to refuse it.
bool ShowsResponse(const absl::Status& status) {
  return status.ok() || absl::IsResourceExhausted(status) ||
         absl::IsAborted(status);
}

// A watch ends when missing registrations must be removed.
milliseconds ComputeWatchWait(const RegistryView& view,
                              std::chrono::steady_clock::time_point now) {
  const std::optional<milliseconds> left = TimeUntilRemoval(view, now);
  return left ? std::clamp(*left, milliseconds(1), kWatchTimeout)
              : kWatchTimeout;
}

}  // namespace

RegistryWatcher::RegistryWatcher(RegistrySource source,
                                 CounterRegistry& counters,
                                 RegistryConfirmation& confirmation,
                                 ChangeFunction on_change)
    : source(std::move(source)),
      counters(counters),
      reads(counters.Counter("comfrey_registry_reads_total")),
      revision_reads(counters.Counter("comfrey_registry_revision_reads_total")),
      abandoned_after_silence(
          counters.Counter("comfrey_registry_abandoned_watches_total",
                           {{"cause", "silence"}})),
      abandoned_behind(
          counters.Counter("comfrey_registry_abandoned_watches_total",
                           {{"cause", "behind"}})),
      abandoned_restored(
          counters.Counter("comfrey_registry_abandoned_watches_total",
                           {{"cause", "restored"}})),
      restorations(counters.Counter("comfrey_registry_restorations_total")),
      unusable_entries(
          counters.Counter("comfrey_registry_unusable_entries_total")),
      unreadable_eras(
          counters.Counter("comfrey_registry_unreadable_eras_total")),
      era(counters.Gauge("comfrey_registry_era")),
      revision(counters.Gauge("comfrey_registry_revision")),
      config_version(counters.Gauge("comfrey_registry_config_version")),
      confirmed_at_unix_ms(
          counters.Gauge("comfrey_registry_confirmed_unix_ms")),
      confirmation(confirmation),
      on_change(std::move(on_change)),
      confirmed_at(Clock::now()),
      retry_delay(kMinRetryDelay),
      rng(std::random_device()()) {}

RegistryWatcher::~RegistryWatcher() {
  this->Stop();
}

void RegistryWatcher::Start() {
  this->running = 2;
  this->thread = std::thread([this] { this->Run(); });
  this->supervision_thread = std::thread([this] { this->RunSupervision(); });
}

void RegistryWatcher::Stop() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }
  if (!this->thread.joinable()) {
    return;
  }
  // A read that begins just after the source was stopped may not be ended by
  // it, so the source is stopped until the threads have ended.
  std::unique_lock<std::mutex> lock(this->mutex);
  while (this->running > 0) {
    lock.unlock();
    this->source.stop();
    lock.lock();
    this->changed.wait_for(lock, kStopPeriod,
                           [this] { return this->running == 0; });
  }
  lock.unlock();
  this->thread.join();
  this->supervision_thread.join();
}

void RegistryWatcher::Run() {
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    lock.unlock();
    const milliseconds pause = this->ReadOnce();
    lock.lock();
    this->changed.wait_for(lock, pause, [this] { return this->stopping; });
  }
  --this->running;
  this->changed.notify_all();
}

milliseconds RegistryWatcher::ReadOnce() {
  this->reads.Add();
  return this->listed ? this->Watch() : this->List();
}

milliseconds RegistryWatcher::List() {
  const Clock::time_point started_at = Clock::now();
  const absl::StatusOr<RegistryUpdate> update = this->source.read_all();
  this->RecordRead(update.status(), started_at);
  if (!update.ok()) {
    this->RecordFailure("list", update.status());
    return this->NextRetryDelay();
  }
  if (NeedsListing(this->view, *update)) {
    return this->ListInstead(*update);
  }
  this->listed = true;
  this->HandleUpdate(*update);
  return milliseconds(0);
}

milliseconds RegistryWatcher::Watch() {
  this->RemoveDueRegistrations();
  const absl::StatusOr<RegistryUpdate> update =
      this->WatchSupervised(ComputeWatchWait(this->view, Clock::now()));
  if (!update.ok()) {
    this->RecordFailure("watch", update.status());
    // A watch that the registry receives while it discards its history may wait
    // without a response although there were changes before. A listing returns
    // these changes.
    this->listed = false;
    return absl::IsOutOfRange(update.status()) ? milliseconds(0)
                                               : this->NextRetryDelay();
  }
  if (NeedsListing(this->view, *update)) {
    return this->ListInstead(*update);
  }
  const bool empty = update->registrations.empty() && !update->config;
  this->HandleUpdate(*update);
  return empty ? milliseconds(0) : this->PauseAfterChange();
}

// A removal that is held back takes effect when its time is over, and not when
// the next read has returned.
void RegistryWatcher::RemoveDueRegistrations() {
  if (RemoveMissingRegistrations(this->view, Clock::now())) {
    this->on_change(this->view);
  }
}

milliseconds RegistryWatcher::PauseAfterChange() const {
  const std::optional<milliseconds> left =
      TimeUntilRemoval(this->view, Clock::now());
  return left ? std::clamp(*left, milliseconds(0), kDelayAfterChange)
              : kDelayAfterChange;
}

// The whole fleet notices a restored registry at nearly the same time, so the
// delay before the listing is randomised.
milliseconds RegistryWatcher::ListInstead(const RegistryUpdate& update) {
  spdlog::info(
      "registry: a response has revision {} of era {}, and revision {} of era "
      "{} is in force; everything is listed",
      update.revision.revision, update.revision.era,
      this->view.revision.revision, this->view.revision.era);
  this->listed = false;
  return this->NextRetryDelay();
}

absl::StatusOr<RegistryUpdate> RegistryWatcher::WatchSupervised(
    milliseconds wait) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->supervision.emplace();
    BeginWatch(*this->supervision, this->view.revision, Clock::now());
    this->changed.notify_all();
  }
  absl::StatusOr<RegistryUpdate> update =
      this->source.watch(this->view.revision, wait);
  const std::lock_guard<std::mutex> lock(this->mutex);
  // A failed watch alone is no sign of an outage: the registry may cut a watch
  // at any time. If it is down, the listing that follows fails.
  if (update.ok()) {
    RecordResponse(this->contact, Clock::now());
  }
  this->supervision.reset();
  return update;
}

void RegistryWatcher::RecordRead(const absl::Status& status,
                                 Clock::time_point started_at) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->RecordReadLocked(status, started_at);
}

void RegistryWatcher::RecordReadLocked(const absl::Status& status,
                                       Clock::time_point started_at) {
  if (ShowsResponse(status)) {
    RecordResponse(this->contact, Clock::now());
  } else {
    RecordFailedRead(this->contact, started_at);
  }
}

void RegistryWatcher::RunSupervision() {
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    lock.unlock();
    const milliseconds pause = this->SuperviseOnce();
    lock.lock();
    this->changed.wait_for(lock, pause, [this] { return this->stopping; });
  }
  --this->running;
  this->changed.notify_all();
}

milliseconds RegistryWatcher::SuperviseOnce() {
  Clock::time_point started_at;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->supervision) {
      return kSupervisionPeriod;
    }
    const Clock::duration left =
        TimeUntilRead(*this->supervision, Clock::now());
    if (left > Clock::duration::zero()) {
      return std::chrono::ceil<milliseconds>(left);
    }
    started_at = this->supervision->started_at;
  }
  this->revision_reads.Add();
  const Clock::time_point read_at = Clock::now();
  const absl::StatusOr<RegistryRevision> read = this->source.read_revision();
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->RecordReadLocked(read.status(), read_at);
  if (!this->supervision || this->supervision->started_at != started_at) {
    return kSupervisionPeriod;
  }
  if (!read.ok()) {
    RecordFailedRead(*this->supervision);
    return kSupervisionPeriodInDoubt;
  }
  if (*read == this->supervision->revision) {
    this->confirmation.Confirm(Clock::now());
  }
  const WatchVerdict verdict =
      RecordRevision(*this->supervision, *read, Clock::now());
  if (verdict != WatchVerdict::kKeep) {
    this->Abandon(verdict, *read);
  }
  return this->supervision->behind_since ? kSupervisionPeriodInDoubt
                                         : kSupervisionPeriod;
}

// The caller must hold the mutex, so that no later read is ended.
void RegistryWatcher::Abandon(WatchVerdict verdict,
                              const RegistryRevision& revision) {
  this->AbandonedWatches(verdict).Add();
  spdlog::warn(
      "registry: the watch after revision {} of era {} is given up after {} "
      "ms: {}, the registry has revision {} of era {}",
      this->supervision->revision.revision, this->supervision->revision.era,
      std::chrono::duration_cast<milliseconds>(Clock::now() -
                                               this->supervision->started_at)
          .count(),
      DescribeVerdict(verdict), revision.revision, revision.era);
  this->source.abandon_watch();
}

Metric& RegistryWatcher::AbandonedWatches(WatchVerdict verdict) {
  switch (verdict) {
    case WatchVerdict::kAbandonBehind:
      return this->abandoned_behind;
    case WatchVerdict::kAbandonRestored:
      return this->abandoned_restored;
    default:
      return this->abandoned_after_silence;
  }
}

void RegistryWatcher::HandleUpdate(const RegistryUpdate& update) {
  const Clock::time_point now = Clock::now();
  if (this->failures > 0 || this->view.revision.revision == 0) {
    spdlog::info(
        "registry: read revision {} of era {} after revision {} of era {}, {} "
        "ms after the last success, {} failures",
        update.revision.revision, update.revision.era,
        this->view.revision.revision, this->view.revision.era,
        std::chrono::duration_cast<milliseconds>(now - this->confirmed_at)
            .count(),
        this->failures);
  }
  this->failures = 0;
  this->retry_delay = kMinRetryDelay;
  this->confirmed_at = now;
  this->confirmed_at_unix_ms.Set(UnixMilliseconds());
  this->confirmation.Confirm(now);
  this->ReportProblems(update);
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (TakeOutage(this->contact)) {
      RecordOutage(this->view);
    }
  }
  const RegistryRevision before = this->view.revision;
  const bool restored = IsRestored(this->view, update);
  const bool applied = ApplyRegistryUpdate(this->view, update, now);
  for (const IgnoredChange& ignored : this->view.ignored) {
    this->ReportIgnored(ignored);
  }
  if (restored) {
    this->ReportRestored(before);
  }
  const bool dropped = RemoveMissingRegistrations(this->view, now);
  this->era.Set(static_cast<std::int64_t>(this->view.revision.era));
  this->revision.Set(static_cast<std::int64_t>(this->view.revision.revision));
  if (this->view.config) {
    this->config_version.Set(
        static_cast<std::int64_t>(this->view.config->version));
  }
  if (applied || dropped) {
    this->on_change(this->view);
  }
}

void RegistryWatcher::ReportProblems(const RegistryUpdate& update) {
  for (const RegistrationChange& change : update.registrations) {
    if (!change.problem.empty()) {
      this->unusable_entries.Add();
      spdlog::warn("registry: entry of backend server {} is not usable: {}",
                   change.instance, change.problem);
    }
  }
  if (!update.config_problem.empty()) {
    this->unusable_entries.Add();
    spdlog::warn("registry: the published configuration is not usable: {}",
                 update.config_problem);
  }
  std::string problem = update.era_problem;
  if (problem.empty() && update.revision.era == 0 &&
      this->view.revision.era != 0) {
    problem = "a response does not name the era";
  }
  if (!problem.empty()) {
    this->unreadable_eras.Add();
  }
  if (!problem.empty() && problem != this->era_problem) {
    spdlog::warn("registry: {}; the era {} is taken to be unchanged", problem,
                 this->view.revision.era);
  }
  this->era_problem = std::move(problem);
}

void RegistryWatcher::ReportRestored(const RegistryRevision& before) {
  this->restorations.Add();
  std::int64_t kept = 0;
  std::int64_t missing = 0;
  for (const IgnoredChange& ignored : this->view.ignored) {
    ++(ignored.action == IgnoredAction::kDropped ? kept : missing);
  }
  const RegistryRevision& after = this->view.revision;
  WriteEvent(
      LogEvent("registry_restored")
          .Add("era_before", static_cast<std::int64_t>(before.era))
          .Add("revision_before", static_cast<std::int64_t>(before.revision))
          .Add("era", static_cast<std::int64_t>(after.era))
          .Add("revision", static_cast<std::int64_t>(after.revision))
          .Add("registrations",
               static_cast<std::int64_t>(this->view.registrations.size()))
          .Add("kept_against_the_copy", kept)
          .Add("missing_from_the_copy", missing));
}

void RegistryWatcher::ReportIgnored(const IgnoredChange& ignored) {
  this->counters
      .Counter("comfrey_registry_ignored_changes_total",
               {{"action", ActionName(ignored.action)},
                {"reason", std::string(ignored.reason)}})
      .Add();
  LogEvent event("registry_change_ignored");
  event.Add("subject", ignored.subject)
      .Add("action", ActionName(ignored.action))
      .Add("reason", ignored.reason)
      .Add("known_era", static_cast<std::int64_t>(ignored.known.era))
      .Add("known_revision", static_cast<std::int64_t>(ignored.known.revision))
      .Add("era", static_cast<std::int64_t>(ignored.change.era))
      .Add("revision", static_cast<std::int64_t>(ignored.change.revision));
  WriteEvent(event);
}

// In a long outage, only the first failures are logged; all are counted.
void RegistryWatcher::RecordFailure(const std::string& operation,
                                    const absl::Status& status) {
  this->counters
      .Counter("comfrey_registry_failed_reads_total",
               {{"operation", operation},
                {"cause", absl::StatusCodeToString(status.code())}})
      .Add();
  ++this->failures;
  if (this->failures <= kLoggedFailures) {
    spdlog::warn(
        "registry: {}; revision {} of era {}, {} ms after the last "
        "success",
        std::string(status.message()), this->view.revision.revision,
        this->view.revision.era,
        std::chrono::duration_cast<milliseconds>(Clock::now() -
                                                 this->confirmed_at)
            .count());
  }
}

milliseconds RegistryWatcher::NextRetryDelay() {
  const milliseconds delay = this->retry_delay;
  this->retry_delay = std::min(2 * this->retry_delay, kMaxRetryDelay);
  // The delay is randomised, so that the daemons of the fleet do not all retry
  // at the same time.
  const double factor =
      std::uniform_real_distribution<double>(0.5, 1.0)(this->rng);
  return milliseconds(
      static_cast<long>(static_cast<double>(delay.count()) * factor));
}

}  // namespace comfrey
