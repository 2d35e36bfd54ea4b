#include "config/bootstrap_gate.h"

#include <algorithm>
#include <tuple>

namespace comfrey {
namespace {

// Returns whether the store holds every reported version or a newer one. A
// daemon that rejects a value which is in force at its peers does not become
// ready, because serving the older value would revert the configuration.
bool HoldsReportedVersions(const BootstrapGate& gate,
                           const ConfigStore& store) {
  return std::all_of(
      gate.reported.begin(), gate.reported.end(), [&](const auto& entry) {
        const SubtreeVersion& reported = entry.second;
        const auto held = store.subtrees.find(entry.first);
        return held != store.subtrees.end() &&
               std::tie(held->second->version, held->second->content_hash) >=
                   std::tie(reported.version, reported.content_hash);
      });
}

}  // namespace

BootstrapGate MakeBootstrapGate(std::size_t bootstrap_peers,
                                std::size_t seeds,
                                std::chrono::steady_clock::time_point now) {
  BootstrapGate gate;
  gate.started_at = now;
  gate.required_peers = std::min(bootstrap_peers, seeds);
  return gate;
}

void RecordPeerVersions(BootstrapGate& gate,
                        absl::string_view peer,
                        bool starting,
                        const std::vector<SubtreeVersion>& versions) {
  if (gate.ready) {
    return;
  }
  const std::string name(peer);
  (starting ? gate.starting_peers : gate.ready_peers).insert(name);
  if (!starting) {
    gate.starting_peers.erase(name);
  }
  for (const SubtreeVersion& version : versions) {
    const auto [known, added] = gate.reported.emplace(version.team, version);
    if (!added && std::tie(known->second.version, known->second.content_hash) <
                      std::tie(version.version, version.content_hash)) {
      known->second = version;
    }
  }
}

BootstrapState UpdateBootstrapState(BootstrapGate& gate,
                                    const ConfigStore& store,
                                    std::chrono::steady_clock::time_point now) {
  if (gate.ready) {
    return BootstrapState::kReady;
  }
  std::size_t peers = gate.ready_peers.size();
  if (now - gate.started_at >= kStartingPeersWait) {
    peers += gate.starting_peers.size();
  }
  if (peers < gate.required_peers) {
    return BootstrapState::kAwaitingPeers;
  }
  if (!HoldsReportedVersions(gate, store)) {
    return BootstrapState::kAwaitingValues;
  }
  if (store.subtrees.empty()) {
    return BootstrapState::kAwaitingConfig;
  }
  gate.ready = true;
  gate.reported.clear();
  return BootstrapState::kReady;
}

absl::string_view FormatBootstrapState(BootstrapState state) {
  switch (state) {
    case BootstrapState::kReady:
      return "ready";
    case BootstrapState::kAwaitingPeers:
      return "waiting for peers to report their configuration versions";
    case BootstrapState::kAwaitingConfig:
      return "waiting for the first configuration";
    case BootstrapState::kAwaitingValues:
      return "waiting for the configuration that peers hold";
  }
  return "unknown";
}

}  // namespace comfrey
