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

/// \brief Accepts configuration from the service and from peers, and decides
/// whether the daemon is ready; thread-safe.
class ConfigKeeper {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  /// Adopts a changed configuration; must not call the keeper.
  using PublishFunction =
      std::function<void(const std::shared_ptr<const ConfigStore>& store)>;

  ConfigKeeper(std::size_t bootstrap_peers,
               std::size_t seeds,
               CounterRegistry& counters,
               PublishFunction publish);

  /// \brief Offers a value of the configuration service; true if it took
  /// effect.
  bool OfferFromService(const std::string& team,
                        std::uint64_t revision,
                        const std::string& text);

  /// \brief Puts a team of a registry in force; the daemon is ready then.
  void ApplyTeam(TeamConfig team);

  /// \brief Access for the peer protocol.
  ConfigAccess Access();

  /// \brief Records that a peer answered with this digest; true if it equals
  /// the digest of this daemon.
  bool RecordPeerDigest(const std::string& peer,
                        bool starting,
                        std::uint64_t digest);

  /// \brief Updates readiness; called by a timer.
  void Tick(TimePoint now);

  bool Ready() const { return this->ready; }
  std::string BootstrapReason();

  std::shared_ptr<const ConfigStore> Current() const {
    return this->holder.Current();
  }
  /// \brief A copy with the refused values of all teams.
  ConfigStore Snapshot();
  const ConfigHolder& Holder() const { return this->holder; }

 private:
  bool HandleOfferOutcome(const std::string& team,
                          const std::string& source,
                          OfferOutcome outcome);

  PublishFunction publish;
  Metric& accepted;
  Metric& older;
  Metric& invalid;
  Metric& conflicts;
  std::mutex mutex;
  ConfigStore store;
  BootstrapGate gate;
  BootstrapState state = BootstrapState::kAwaitingPeers;
  ConfigHolder holder;
  std::atomic<bool> ready{false};
};

}  // namespace comfrey

#endif  // DAEMON_CONFIG_KEEPER_H_
