#ifndef CONFIG_BOOTSTRAP_GATE_H_
#define CONFIG_BOOTSTRAP_GATE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "config/config_store.h"

namespace comfrey {

/// \brief Reports of starting peers count only after this time, so that
/// daemons that restart together do not confirm a stale value to each other.
/// Daemons that start as a new fleet wait this long.
inline constexpr std::chrono::seconds kStartingPeersWait{5};

/// \brief What a starting daemon has heard from its peers.
struct BootstrapGate {
  std::chrono::steady_clock::time_point started_at;
  /// Number of peers that must have reported.
  std::size_t required_peers = 0;
  std::set<std::string> ready_peers;
  std::set<std::string> starting_peers;
  /// Newest reported version of each team.
  std::map<std::string, SubtreeVersion> reported;
  /// Once ready, the daemon stays ready.
  bool ready = false;
};

enum class BootstrapState {
  kReady,
  /// Fewer peers than required have reported their versions.
  kAwaitingPeers,
  /// No team has a configuration yet.
  kAwaitingConfig,
  /// A peer reported a newer version than the store holds.
  kAwaitingValues,
};

/// \brief Returns a gate that requires `bootstrap_peers` reports, but not more
/// than there are seeds.
BootstrapGate MakeBootstrapGate(std::size_t bootstrap_peers,
                                std::size_t seeds,
                                std::chrono::steady_clock::time_point now);

/// \brief Records the versions that a peer holds. `starting` tells that the
/// peer is not ready itself.
void RecordPeerVersions(BootstrapGate& gate,
                        absl::string_view peer,
                        bool starting,
                        const std::vector<SubtreeVersion>& versions);

/// \brief Decides whether the daemon may serve.
BootstrapState UpdateBootstrapState(BootstrapGate& gate,
                                    const ConfigStore& store,
                                    std::chrono::steady_clock::time_point now);

/// \brief The reason why a daemon is not ready, for "/readyz" and the log.
absl::string_view FormatBootstrapState(BootstrapState state);

}  // namespace comfrey

#endif  // CONFIG_BOOTSTRAP_GATE_H_
