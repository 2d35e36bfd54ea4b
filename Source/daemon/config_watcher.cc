#include "daemon/config_watcher.h"

#include <spdlog/spdlog.h>

#include <string>
#include <utility>

namespace comfrey {
namespace {

constexpr char kPrefix[] = "/comfreywood/";
// A stop waits for the end of a watch, so a watch is short. Two readers a
// failure domain make 14 calls a second at the target size.
constexpr std::chrono::milliseconds kWatchTime{1000};
constexpr std::chrono::milliseconds kRetryDelay{500};

}  // namespace

ConfigWatcher::ConfigWatcher(ConfigServiceClient client,
                             CounterRegistry& counters,
                             ConfigWatcherHooks hooks)
    : client(std::move(client)),
      reads(counters.Counter("comfrey_config_reads_total")),
      failed_reads(counters.Counter("comfrey_config_failed_reads_total")),
      hooks(std::move(hooks)) {}

ConfigWatcher::~ConfigWatcher() {
  this->Stop();
}

void ConfigWatcher::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void ConfigWatcher::SetDecision(ReadDecision next) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->decision = next;
  this->changed.notify_all();
}

bool ConfigWatcher::IsReader() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->decision == ReadDecision::kWatch;
}

void ConfigWatcher::Stop() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void ConfigWatcher::Run() {
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    if (this->decision == ReadDecision::kNone) {
      this->changed.wait(lock);
      continue;
    }
    if (this->decision == ReadDecision::kReadOnce) {
      this->decision = ReadDecision::kNone;
    }
    lock.unlock();
    const bool ok = this->ReadOnce();
    lock.lock();
    if (!ok) {
      this->changed.wait_for(lock, kRetryDelay,
                             [this] { return this->stopping; });
    }
  }
}

bool ConfigWatcher::ReadOnce() {
  this->reads.Add();
  const auto requested_at = std::chrono::steady_clock::now();
  const absl::StatusOr<TreeUpdate> update =
      this->client.ReadTree(kPrefix, this->revision, kWatchTime);
  if (update.ok() != this->available) {
    this->available = update.ok();
    spdlog::warn("configuration service: {}",
                 this->available ? "available again"
                                 : std::string(update.status().message()));
  }
  if (!update.ok()) {
    this->failed_reads.Add();
    return false;
  }
  for (const ServiceValue& value : update->values) {
    this->hooks.on_value(value);
  }
  // A lower revision is one of a stale or restored service; reading from it
  // again shows values that are written there later.
  this->revision = update->revision;
  this->hooks.on_contact(requested_at);
  return true;
}

}  // namespace comfrey
