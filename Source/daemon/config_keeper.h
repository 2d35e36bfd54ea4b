#ifndef DAEMON_CONFIG_KEEPER_H_
#define DAEMON_CONFIG_KEEPER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

#include "base/counters.h"
#include "config/bootstrap_gate.h"
#include "config/config_store.h"
#include "core/peer_protocol.h"
#include "daemon/config_holder.h"

namespace comfrey {

/// \brief Stores the configuration from the configuration service, peers or a
/// registry, and decides whether the daemon is ready; thread-safe.
class ConfigKeeper {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  /// Receives each changed configuration; must not call the keeper.
  using PublishFunction =
      std::function<void(const std::shared_ptr<const ConfigStore>& store)>;

  ConfigKeeper(std::size_t bootstrap_peers,
               std::size_t seeds,
               CounterRegistry& counters,
               PublishFunction publish);

  /// \brief Applies a value that was read from the configuration service;
  /// returns whether it took effect.
  bool ApplyServiceValue(const std::string& team,
                         std::uint64_t revision,
                         const std::string& text);

  /// \brief Puts the configuration of a registry in force as a team, and marks
  /// the daemon as ready.
  void ApplyTeam(TeamConfig team);

  /// \brief Returns the functions with which the peer protocol accesses the
  /// configuration.
  ConfigAccess Access();

  /// \brief Handles the configuration digest in the ping reply of a peer;
  /// returns whether it equals the digest of this daemon.
  bool RecordPeerDigest(const std::string& peer,
                        bool starting,
                        std::uint64_t digest);

  /// \brief Updates whether the daemon is ready; called by a timer.
  void Tick(TimePoint now);

  bool Ready() const { return this->ready; }
  /// \brief Returns why the daemon is not ready yet; empty if it is ready.
  std::string BootstrapReason();

  std::shared_ptr<const ConfigStore> Current() const {
    return this->holder.Current();
  }
  /// \brief Returns a copy that includes the rejected values of all teams.
  ConfigStore Snapshot();
  const ConfigHolder& Holder() const { return this->holder; }

 private:
  bool HandleApplyOutcome(const std::string& team,
                          const std::string& source,
                          ApplyOutcome outcome);

  PublishFunction publish;
  Metric& accepted;
  Metric& older;
  Metric& invalid;
  Metric& conflicts;
  Metric& unusable_entries;
  std::mutex mutex;
  ConfigStore store;
  BootstrapGate gate;
  BootstrapState state = BootstrapState::kAwaitingPeers;
  ConfigHolder holder;
  std::atomic<bool> ready{false};
};

}  // namespace comfrey

#endif  // DAEMON_CONFIG_KEEPER_H_
