#ifndef DAEMON_DAEMON_H_
#define DAEMON_DAEMON_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "base/counters.h"
#include "base/timer_service.h"
#include "config/daemon_settings.h"
#include "daemon/call_watchdog.h"
#include "daemon/channel_pool.h"
#include "daemon/config_keeper.h"
#include "daemon/config_watcher.h"
#include "daemon/daemon_pages.h"
#include "daemon/endpoint_directory.h"
#include "daemon/endpoint_prober.h"
#include "daemon/http_frontend.h"
#include "daemon/ingress.h"
#include "daemon/key_journal.h"
#include "daemon/key_recovery_runner.h"
#include "daemon/owner_client.h"
#include "daemon/owner_service.h"
#include "daemon/peer_runner.h"
#include "daemon/peer_server.h"
#include "daemon/periodic_thread.h"
#include "daemon/repeated_run_list.h"
#include "daemon/service_levels.h"
#include "daemon/vm_list_reader.h"
#include "registry/registry_confirmation.h"
#include "registry/registry_watcher.h"

namespace comfrey {

/// \brief Owns the components of a daemon and connects them to each other.
class Daemon {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// `registry` is used only if the settings contain a registry.
  Daemon(DaemonSettings settings,
         std::uint64_t incarnation,
         RegistrySource registry);
  ~Daemon();

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// \brief Starts to listen, to join the fleet and to read the configuration.
  absl::Status Start();

  /// \brief Applies changed settings.
  ///
  /// Only the name of the local service can change while the daemon runs. Other
  /// changes take effect at the next start; a change of the registry is logged.
  void Reload(const DaemonSettings& next);

  /// \brief Shuts down gracefully: announces the shutdown to the peers, then
  /// refuses new requests, and waits for requests in flight until the grace
  /// period ends.
  void Stop();

 private:
  MemberRecord SelfRecord() const;
  bool HasRegistry() const { return this->settings.registry.has_value(); }
  absl::Status StartFrontends();
  void StartWatchers();
  void StopWatchers();
  FrontendPages MakePages();
  FrontendPages MakeCallerPages();
  std::string LocalService();
  std::optional<CallerLimits> PublishedLimits();
  void ApplyRegistryView(const RegistryView& view);
  void RunDuePathTrials();
  void RunPathTrials(const std::vector<std::string>& ips);
  void SubscribeTimers();
  void Tick(TimePoint now);
  void SlowTick(TimePoint now);
  void ApplyMembers();
  void OnConfigValue(const ServiceValue& value);
  void OnConfigContact(TimePoint requested_at);
  void OnPeerConfirmation(const PeerConfirmation& confirmation);
  void ConfirmEndpoints(TimePoint requested_at, std::chrono::milliseconds age);
  void ConfirmByOwners();
  KeyFenceReply FenceKey(const FenceKeyCall& call);
  std::vector<MemberRecord> RecoveryMembers();
  void WaitForForwardedRequests(TimePoint deadline);

  DaemonSettings settings;
  std::uint64_t incarnation;
  TimePoint started_at;
  std::chrono::system_clock::time_point started_at_wall;
  std::atomic<bool> leaving{false};
  /// Set when callers are no longer accepted and path trials end.
  std::atomic<bool> stopping{false};
  CounterRegistry counters;
  TimerService timers;
  CallWatchdog watchdog;
  RequestLog request_log;
  ChannelPool channels;
  EndpointDirectory directory;
  ServiceBudgets budgets;
  KeyJournal journal;
  ServiceLevels levels;
  OwnerClient owner_client;
  RegistryConfirmation confirmation;
  RepeatedRunList repeated_runs;
  OwnerService owner;
  ConfigKeeper keeper;
  std::mutex agreement_mutex;
  /// For each member by IP address, the time when the last ping was sent that
  /// the member answered with the configuration digest of this daemon.
  std::map<std::string, TimePoint> agreed_at;
  PeerRunner runner;
  PeerServer peer_server;
  Ingress ingress;
  DaemonPages pages;
  HttpFrontend frontend;
  HttpFrontend status_frontend;
  HttpFrontend ready_frontend;
  ConfigWatcher config_watcher;
  RegistryWatcher registry_watcher;
  EndpointProber prober;
  KeyRecoveryRunner recovery;
  VmListReader vm_list;
  PeriodicThread probe_thread;
  PeriodicThread recovery_thread;
  PeriodicThread vm_list_thread;
  PeriodicThread path_trial_thread;
  std::mutex local_service_mutex;
  std::string local_service;
};

}  // namespace comfrey

#endif  // DAEMON_DAEMON_H_
