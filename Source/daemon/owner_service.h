#ifndef DAEMON_OWNER_SERVICE_H_
#define DAEMON_OWNER_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "base/counters.h"
#include "config/route_table.h"
#include "daemon/call_watchdog.h"
#include "peer.pb.h"

namespace comfrey {

struct OwnedEndpoint;

/// \brief Identity of this daemon as an owner.
struct OwnerIdentity {
  /// IP number; the endpoints with this IP belong to this daemon.
  std::string ip;
  std::uint64_t incarnation = 0;
};

/// \brief Hooks of one Forward call.
struct ForwardHooks {
  /// Called once when the attempt is queued or started.
  std::function<void()> accepted;
  /// Whether the ingress gave the call up.
  std::function<bool()> cancelled;
};

/// \brief Runs forwarded requests at the backend servers of this VM.
class OwnerService {
 public:
  OwnerService(OwnerIdentity identity,
               CallWatchdog& watchdog,
               CounterRegistry& counters);
  ~OwnerService();

  OwnerService(const OwnerService&) = delete;
  OwnerService& operator=(const OwnerService&) = delete;

  /// \brief Adopts the endpoints of a configuration. Requests in flight at an
  /// endpoint that is gone still finish.
  void ApplyConfig(const RouteTable& table);

  /// \brief Runs one attempt; blocks until its outcome is known.
  rpc::Result Forward(const rpc::ForwardRequest& request,
                      const ForwardHooks& hooks);

 private:
  std::shared_ptr<OwnedEndpoint> Find(const rpc::ForwardRequest& request);

  OwnerIdentity identity;
  CallWatchdog& watchdog;
  Metric& attempts;
  Metric& refusals;
  std::mutex mutex;
  std::map<std::string, std::shared_ptr<OwnedEndpoint>> endpoints;
};

}  // namespace comfrey

#endif  // DAEMON_OWNER_SERVICE_H_
