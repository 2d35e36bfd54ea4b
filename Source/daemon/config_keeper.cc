#include "daemon/config_keeper.h"

#include <spdlog/spdlog.h>

#include <optional>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace comfrey {

ConfigKeeper::ConfigKeeper(std::size_t bootstrap_peers,
                           std::size_t seeds,
                           CounterRegistry& counters,
                           PublishFunction publish)
    : publish(std::move(publish)),
      accepted(counters.Counter("comfrey_config_accepted_total")),
      older(counters.Counter("comfrey_config_older_total")),
      invalid(counters.Counter("comfrey_config_invalid_total")),
      conflicts(counters.Counter("comfrey_config_conflicts_total")),
      unusable_entries(counters.Gauge("comfrey_config_unusable_entries")),
      gate(MakeBootstrapGate(bootstrap_peers,
                             seeds,
                             std::chrono::steady_clock::now())) {}

bool ConfigKeeper::ApplyServiceValue(const std::string& team,
                                     std::uint64_t revision,
                                     const std::string& text) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->HandleApplyOutcome(
      team, "the configuration service",
      ApplyRevision(this->store, team, revision, text));
}

void ConfigKeeper::ApplyTeam(TeamConfig team) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::string name = team.team;
  const auto known = this->store.subtrees.find(name);
  ConfigVersion version{team.generation, 1};
  const bool first = known == this->store.subtrees.end();
  const bool same_generation =
      !first && known->second->version.generation == version.generation;
  if (same_generation) {
    version.revision = known->second->version.revision + 1;
  }
  this->unusable_entries.Set(
      static_cast<std::int64_t>(team.entry_errors.size()));
  if (!same_generation) {
    for (const IniError& error : team.entry_errors) {
      spdlog::warn("configuration {} of the registry: {}", version.generation,
                   FormatIniError(error));
    }
  }
  ReplaceTeam(this->store, version, std::move(team));
  auto next = std::make_shared<const ConfigStore>(this->store);
  this->publish(next);
  this->holder.Replace(std::move(next));
  this->accepted.Add();
  this->ready = true;
  if (!same_generation) {
    spdlog::info("configuration {} of the registry is in force",
                 version.generation);
  }
}

ConfigAccess ConfigKeeper::Access() {
  ConfigAccess access;
  access.versions = [this] {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<AnnouncedVersion> versions;
    for (const SubtreeVersion& version : ListVersions(this->store)) {
      versions.push_back({version.team, version.version.generation,
                          version.version.revision, version.content_hash});
    }
    return versions;
  };
  access.digest = [this] {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->store.digest;
  };
  access.look_up =
      [this](const std::string& team) -> std::optional<SubtreeValue> {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->store.subtrees.find(team);
    if (found == this->store.subtrees.end()) {
      return std::nullopt;
    }
    const Subtree& subtree = *found->second;
    return SubtreeValue{team, subtree.version.generation,
                        subtree.version.revision, subtree.text};
  };
  access.apply = [this](const SubtreeValue& subtree) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->HandleApplyOutcome(
        subtree.team, "a peer",
        ApplySubtree(this->store, subtree.team,
                     {subtree.generation, subtree.revision}, subtree.value));
  };
  return access;
}

bool ConfigKeeper::HandleApplyOutcome(const std::string& team,
                                      const std::string& source,
                                      ApplyOutcome outcome) {
  switch (outcome) {
    case ApplyOutcome::kAccepted:
      this->accepted.Add();
      break;
    case ApplyOutcome::kOlder:
      this->older.Add();
      break;
    case ApplyOutcome::kInvalid:
      this->invalid.Add();
      spdlog::warn("configuration of team {} from {} rejected:\n{}", team,
                   source,
                   FormatIniErrors(this->store.rejected.at(team).errors));
      break;
    case ApplyOutcome::kConflictKept:
    case ApplyOutcome::kConflictReplaced:
      this->conflicts.Add();
      break;
    case ApplyOutcome::kSame:
      break;
  }
  if (!ChangedStore(outcome)) {
    return false;
  }
  const ConfigVersion& version = this->store.subtrees.at(team)->version;
  auto next = std::make_shared<const ConfigStore>(this->store);
  this->publish(next);
  this->holder.Replace(std::move(next));
  spdlog::info(
      "configuration of team {} generation {} revision {} from {} is in force",
      team, version.generation, version.revision, source);
  return true;
}

// A peer with a different digest is not recorded, because the exchange that
// follows makes the digests equal, unless this daemon rejects a value of the
// peer.
bool ConfigKeeper::RecordPeerDigest(const std::string& peer,
                                    bool starting,
                                    std::uint64_t digest) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (digest != this->store.digest) {
    return false;
  }
  if (!this->gate.ready) {
    RecordPeerVersions(this->gate, peer, starting, ListVersions(this->store));
  }
  return true;
}

void ConfigKeeper::Tick(TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->gate.ready) {
    return;
  }
  this->state = UpdateBootstrapState(this->gate, this->store, now);
  if (this->state == BootstrapState::kReady) {
    this->ready = true;
    spdlog::info("ready");
  }
}

ConfigStore ConfigKeeper::Snapshot() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->store;
}

std::string ConfigKeeper::BootstrapReason() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->gate.ready ? "" : std::string(FormatBootstrapState(this->state));
}

}  // namespace comfrey
