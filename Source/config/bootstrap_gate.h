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

/// \brief Time after the start of a daemon before reports of peers that are not
/// ready themselves count. Otherwise, daemons that restart together could
/// confirm a stale value to each other. The daemons of a new fleet wait for
/// this time before they are ready.
inline constexpr std::chrono::seconds kStartingPeersWait{5};

/// \brief Versions that peers reported to a starting daemon.
struct BootstrapGate {
  std::chrono::steady_clock::time_point started_at;
  /// Number of peers that must report before the daemon is ready.
  std::size_t required_peers = 0;
  /// Peers that reported and were ready themselves.
  std::set<std::string> ready_peers;
  /// Peers that reported but were not ready themselves.
  std::set<std::string> starting_peers;
  /// Newest reported version, by team.
  std::map<std::string, SubtreeVersion> reported;
  /// A daemon that became ready stays ready.
  bool ready = false;
};

/// \brief Whether a daemon may serve, or what it waits for.
enum class BootstrapState {
  kReady,
  /// Fewer peers than required have reported their versions.
  kAwaitingPeers,
  /// The store holds no configuration of any team.
  kAwaitingConfig,
  /// A peer reported a newer version than the version in the store.
  kAwaitingValues,
};

/// \brief Returns a gate that requires reports of `bootstrap_peers` peers, or
/// of `seeds` peers if there are fewer seeds.
BootstrapGate MakeBootstrapGate(std::size_t bootstrap_peers,
                                std::size_t seeds,
                                std::chrono::steady_clock::time_point now);

/// \brief Records the versions that a peer holds. `starting` is true if the
/// peer is not ready itself.
void RecordPeerVersions(BootstrapGate& gate,
                        absl::string_view peer,
                        bool starting,
                        const std::vector<SubtreeVersion>& versions);

/// \brief Decides whether the daemon may serve, and updates `gate.ready`.
BootstrapState UpdateBootstrapState(BootstrapGate& gate,
                                    const ConfigStore& store,
                                    std::chrono::steady_clock::time_point now);

/// \brief Returns the reason why a daemon is not ready, for "/readyz" and the
/// log.
absl::string_view FormatBootstrapState(BootstrapState state);

}  // namespace comfrey

#endif  // CONFIG_BOOTSTRAP_GATE_H_
