#include "daemon/config_watcher.h"

#include <spdlog/spdlog.h>

#include <string>
#include <utility>

namespace comfrey {
namespace {

constexpr char kPrefix[] = "/comfreywood/";
// A stop waits for the end of a watch, so a watch is short.
constexpr std::chrono::milliseconds kWatchTime{1000};
constexpr std::chrono::milliseconds kRetryDelay{500};

}  // namespace

ConfigWatcher::ConfigWatcher(ConfigServiceClient client,
                             CounterRegistry& counters,
                             ValueCallback on_value)
    : client(std::move(client)),
      reads(counters.Counter("comfrey_config_reads_total")),
      failed_reads(counters.Counter("comfrey_config_failed_reads_total")),
      on_value(std::move(on_value)) {}

ConfigWatcher::~ConfigWatcher() {
  this->Stop();
}

void ConfigWatcher::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void ConfigWatcher::Stop() {
  this->stopping = true;
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void ConfigWatcher::Run() {
  std::uint64_t revision = 0;
  bool available = true;
  while (!this->stopping) {
    this->reads.Add();
    const absl::StatusOr<TreeUpdate> update =
        this->client.ReadTree(kPrefix, revision, kWatchTime);
    if (update.ok() != available) {
      available = update.ok();
      spdlog::warn(
          "configuration service {}",
          available ? "available" : std::string(update.status().message()));
    }
    if (!update.ok()) {
      this->failed_reads.Add();
      std::this_thread::sleep_for(kRetryDelay);
      continue;
    }
    for (const ServiceValue& value : update->values) {
      this->on_value(value);
    }
    // A lower revision is one of a stale or restored service; reading from it
    // again shows values that are written there later.
    revision = update->revision;
  }
}

}  // namespace comfrey
