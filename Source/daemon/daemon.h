#ifndef DAEMON_DAEMON_H_
#define DAEMON_DAEMON_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

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
#include "daemon/service_levels.h"
#include "daemon/vm_list_reader.h"

namespace comfrey {

/// \brief The parts of a daemon, wired together.
class Daemon {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  Daemon(DaemonSettings settings, std::uint64_t incarnation);
  ~Daemon();

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// \brief Starts to listen, to join the fleet and to read configuration.
  absl::Status Start();

  /// \brief Graceful shutdown: takes no new work, tells the peers, and
  /// finishes all requests in flight within the grace period.
  void Stop();

 private:
  MemberRecord SelfRecord() const;
  void SubscribeTimers();
  void Tick(TimePoint now);
  void SlowTick(TimePoint now);
  void ApplyMembers();
  void AcceptValue(const ServiceValue& value);
  void OnConfigContact(TimePoint requested_at);
  void OnPeerConfirmation(const PeerConfirmation& confirmation);
  void ConfirmEndpoints(TimePoint requested_at, std::chrono::milliseconds age);
  void ConfirmByOwners();
  KeyFenceReply FenceKey(const FenceKeyCall& call);
  std::vector<MemberRecord> RecoveryMembers();
  void WaitForForwards(TimePoint deadline);

  DaemonSettings settings;
  std::uint64_t incarnation;
  TimePoint started_at;
  std::chrono::system_clock::time_point started_at_wall;
  std::atomic<bool> leaving{false};
  CounterRegistry counters;
  TimerService timers;
  CallWatchdog watchdog;
  ChannelPool channels;
  EndpointDirectory directory;
  KeyJournal journal;
  ServiceLevels levels;
  OwnerClient owner_client;
  OwnerService owner;
  ConfigKeeper keeper;
  /// Time of the request of the last ping that a member answered with the same
  /// configuration digest, by IP number.
  std::mutex agreement_mutex;
  std::map<std::string, TimePoint> agreed_at;
  PeerRunner runner;
  PeerServer peer_server;
  Ingress ingress;
  DaemonPages pages;
  HttpFrontend frontend;
  ConfigWatcher watcher;
  EndpointProber prober;
  KeyRecoveryRunner recovery;
  VmListReader vm_list;
  PeriodicThread probe_thread;
  PeriodicThread recovery_thread;
  PeriodicThread vm_list_thread;
};

}  // namespace comfrey

#endif  // DAEMON_DAEMON_H_
