#include "daemon/registry_watcher.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds kWatchTimeout{20'000};
// While registrations are missing after an outage, a watch ends after this
// time, so that they are checked regularly.
constexpr milliseconds kWatchTimeoutWhileMissing{500};
// Delay after a change, so that further changes are read with a single call.
// The calls of the whole fleet to the registry are limited, but a change must
// be in force within 2.5 s.
constexpr milliseconds kDelayAfterChange{400};
constexpr milliseconds kMinRetryDelay{100};
constexpr milliseconds kStopPeriod{100};
constexpr milliseconds kMaxRetryDelay{1000};

bool HasMissingRegistrations(const RegistryView& view) {
  return std::any_of(
      view.registrations.begin(), view.registrations.end(),
      [](const auto& entry) { return entry.second.missing_since.has_value(); });
}

}  // namespace

RegistryWatcher::RegistryWatcher(RegistrySource source,
                                 CounterRegistry& counters,
                                 ChangeFunction on_change)
    : source(std::move(source)),
      reads(counters.Counter("comfrey_registry_reads_total")),
      failed_reads(counters.Counter("comfrey_registry_failed_reads_total")),
      unusable_entries(
          counters.Counter("comfrey_registry_unusable_entries_total")),
      on_change(std::move(on_change)),
      retry_delay(kMinRetryDelay),
      rng(std::random_device()()) {}

RegistryWatcher::~RegistryWatcher() {
  this->Stop();
}

void RegistryWatcher::Start() {
  this->thread = std::thread([this] { this->Run(); });
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
  // A read that begins just after the source was stopped is not ended by it,
  // and a watch may last for kWatchTimeout. The source is therefore stopped
  // until the thread has ended.
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->ended) {
    lock.unlock();
    this->source.stop();
    lock.lock();
    this->changed.wait_for(lock, kStopPeriod, [this] { return this->ended; });
  }
  lock.unlock();
  this->thread.join();
}

void RegistryWatcher::Run() {
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    lock.unlock();
    const milliseconds pause = this->ReadOnce();
    lock.lock();
    this->changed.wait_for(lock, pause, [this] { return this->stopping; });
  }
  this->ended = true;
  this->changed.notify_all();
}

// Reads the registry once. Returns the delay until the next read.
milliseconds RegistryWatcher::ReadOnce() {
  this->reads.Add();
  const bool listing = !this->listed;
  const absl::StatusOr<RegistryUpdate> update =
      listing ? this->source.read_all()
              : this->source.watch(this->view.revision,
                                   HasMissingRegistrations(this->view)
                                       ? kWatchTimeoutWhileMissing
                                       : kWatchTimeout);
  if (!update.ok()) {
    const milliseconds delay = this->HandleReadFailure(update.status());
    return absl::IsOutOfRange(update.status()) ? milliseconds(0) : delay;
  }
  this->listed = true;
  this->retry_delay = kMinRetryDelay;
  const bool empty = update->registrations.empty() && !update->config;
  this->HandleUpdate(*update);
  return listing || empty ? milliseconds(0) : kDelayAfterChange;
}

void RegistryWatcher::HandleUpdate(const RegistryUpdate& update) {
  if (!this->view.last_read_succeeded) {
    spdlog::info("registry: reached, revision {}", update.revision);
  }
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
  const Clock::time_point now = Clock::now();
  const bool applied = ApplyRegistryUpdate(this->view, update, now);
  const bool dropped = RemoveMissingRegistrations(this->view, now);
  if (applied || dropped) {
    this->on_change(this->view);
  }
}

milliseconds RegistryWatcher::HandleReadFailure(const absl::Status& status) {
  this->failed_reads.Add();
  if (this->view.last_read_succeeded || this->failed_reads.Value() == 1) {
    spdlog::warn("registry: {}", std::string(status.message()));
  }
  RecordFailedRead(this->view);
  // A watch that the registry receives while it discards its history may wait
  // without a response although there were changes before. A listing returns
  // these changes.
  this->listed = false;
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
