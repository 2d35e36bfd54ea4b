#ifndef DAEMON_DAEMON_H_
#define DAEMON_DAEMON_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "absl/status/status.h"
#include "base/counters.h"
#include "base/timer_service.h"
#include "config/daemon_settings.h"
#include "daemon/call_watchdog.h"
#include "daemon/channel_pool.h"
#include "daemon/config_holder.h"
#include "daemon/config_watcher.h"
#include "daemon/endpoint_directory.h"
#include "daemon/http_frontend.h"
#include "daemon/ingress.h"
#include "daemon/key_journal.h"
#include "daemon/owner_client.h"
#include "daemon/owner_service.h"
#include "daemon/peer_server.h"
#include "daemon/service_levels.h"

namespace comfrey {

/// \brief The parts of a daemon, wired together.
class Daemon {
 public:
  Daemon(DaemonSettings settings, std::uint64_t incarnation);

  /// \brief Starts to listen and to read configuration.
  absl::Status Start();

  /// \brief Graceful shutdown: finishes all requests in flight.
  void Stop();

 private:
  void AcceptValue(const ServiceValue& value);
  void PublishConfig();
  KeyFenceReply FenceKey(const FenceKeyCall& call);
  std::string StatusPage() const;

  DaemonSettings settings;
  std::uint64_t incarnation;
  CounterRegistry counters;
  TimerService timers;
  CallWatchdog watchdog;
  ChannelPool channels;
  ConfigHolder config;
  ConfigStore store;
  EndpointDirectory directory;
  KeyJournal journal;
  ServiceLevels levels;
  OwnerClient owner_client;
  OwnerService owner;
  PeerServer peer_server;
  Ingress ingress;
  HttpFrontend frontend;
  ConfigWatcher watcher;
};

}  // namespace comfrey

#endif  // DAEMON_DAEMON_H_
