#ifndef DAEMON_OWNER_SERVICE_H_
#define DAEMON_OWNER_SERVICE_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "base/counters.h"
#include "base/timer_service.h"
#include "config/config_store.h"
#include "daemon/call_watchdog.h"
#include "daemon/owned_endpoint.h"
#include "daemon/owner_result.h"
#include "daemon/repeated_run_list.h"
#include "daemon/request_log.h"
#include "peer.pb.h"
#include "registry/registry_confirmation.h"

namespace comfrey {

/// \brief Identity of this daemon as an owner.
struct OwnerIdentity {
  /// IP address; this daemon owns the endpoints with this address.
  std::string ip;
  std::uint64_t incarnation = 0;
  std::chrono::steady_clock::time_point started_at;
  std::chrono::system_clock::time_point started_at_wall;
};

/// \brief Callbacks of one Forward call.
struct ForwardCallbacks {
  /// Called once when the owner accepts the attempt.
  std::function<void()> accepted;
  /// Returns whether the ingress has cancelled the call.
  std::function<bool()> cancelled;
  /// The body of an upload; null if the request holds its body.
  std::shared_ptr<BodyStream> body = nullptr;
};

/// \brief Arguments of a FenceKey call to the owner of a former home of a key.
struct FenceKeyCall {
  std::string endpoint;
  KeyId key;
  PlacementVersion version;
  std::chrono::steady_clock::time_point deadline;
};

/// \brief Performs a FenceKey call; returns kUndecidable if it fails.
using FenceKeyFunction = std::function<KeyFenceReply(const FenceKeyCall&)>;

/// \brief Selects the drain reason that a Drain call sets or clears.
enum class DrainSource { kOperator, kVmList, kBackendServer };

/// \brief Runs forwarded requests at the backend servers of this VM.
class OwnerService {
 public:
  using Clock = std::chrono::steady_clock;

  OwnerService(OwnerIdentity identity,
               CallWatchdog& watchdog,
               CounterRegistry& counters,
               RequestLog& log,
               FenceKeyFunction fence_key,
               BackendProtocol protocol = {},
               const RegistryConfirmation* confirmation = nullptr,
               RepeatedRunList* repeated_runs = nullptr);
  ~OwnerService();

  OwnerService(const OwnerService&) = delete;
  OwnerService& operator=(const OwnerService&) = delete;

  /// \brief Applies a new configuration. Requests in flight at a removed
  /// endpoint still finish.
  void ApplyConfig(const ConfigStore& store);

  /// \brief Runs one attempt; blocks until its outcome is known.
  rpc::Result Forward(const rpc::ForwardRequest& request,
                      const ForwardCallbacks& callbacks);

  rpc::FenceReply FenceAttempt(const rpc::FenceAttemptRequest& request);
  rpc::FenceReply FenceKey(const rpc::FenceKeyRequest& request);
  rpc::OwnerStamp Stamp() const;
  rpc::LoadReply Load(const rpc::LoadRequest& request) const;

  /// \brief Drains or undrains the endpoint "ip:port", or all endpoints if
  /// `endpoint` is empty. Returns the number of requests running and queued
  /// there, or NotFound.
  absl::StatusOr<std::size_t> Drain(const std::string& endpoint,
                                    DrainSource source,
                                    bool draining);

  /// \brief Begins a planned stop. Until DrainForShutdown, the endpoints take
  /// requests that are expected to end well before `end`.
  void BeginStop(Clock::time_point end) { this->stop_end = end; }

  /// \brief Drains all endpoints before the daemon exits; cannot be undone.
  void DrainForShutdown();

  /// \brief Ends the requests in flight before the daemon exits: queued ones do
  /// not run, and calls to backend servers are cancelled.
  void AbortBackendCalls() { this->aborting = true; }

  /// \brief Runs the periodic work of all endpoints.
  void Tick(std::chrono::steady_clock::time_point now);

  /// \brief Returns the state of all configured endpoints for publication.
  std::vector<rpc::EndpointStatus> Statuses();

  std::vector<std::shared_ptr<OwnedEndpoint>> Endpoints() const;

 private:
  struct Call;

  // The responses that are being received take at most a quarter of the memory
  // limit of a daemon, 32 MB, and one response of the largest size fits.
  static constexpr std::size_t kMaxReceivedBytes = 8 << 20;

  std::shared_ptr<OwnedEndpoint> Find(const std::string& team,
                                      const std::string& service,
                                      const std::string& endpoint) const;
  rpc::Result Run(Call& call);
  bool IsRefusedAsLeaving(const Call& call, Clock::time_point now) const;
  bool RefuseIfSuspect(Call& call);
  void ReportAccepted(Call& call);
  bool AdmitNonIdempotent(Call& call, std::unique_lock<std::mutex>& lock);
  void FenceFormerHomes(Call& call,
                        const KeyedAction& action,
                        std::unique_lock<std::mutex>& lock);
  bool WaitForSlot(Call& call, std::unique_lock<std::mutex>& lock);
  void CallBackend(Call& call, std::unique_lock<std::mutex>& lock);
  void LogResult(const Call& call,
                 const OwnedEndpoint& endpoint,
                 const rpc::Result& result) const;
  static bool IsEvidence(const Call& call,
                         const BackendResult& backend,
                         BackendReplyClass reply,
                         Clock::time_point now);
  void RecordReply(Call& call, BackendReplyClass reply, Clock::time_point now);

  OwnerIdentity identity;
  CallWatchdog& watchdog;
  RequestLog& log;
  FenceKeyFunction fence_key;
  BackendProtocol protocol;
  /// Null without a registry.
  const RegistryConfirmation* confirmation;
  RepeatedRunList* repeated_runs;
  SuspicionPolicy suspicion;
  /// When requests in flight are aborted by a planned stop.
  std::atomic<Clock::time_point> stop_end{Clock::time_point::max()};
  std::atomic<bool> aborting{false};
  Metric& attempts;
  Metric& refusals;
  Metric& backend_calls;
  Metric& backend_failures;
  ResponseBudget responses{kMaxReceivedBytes};
  mutable std::mutex mutex;
  std::map<std::string, std::shared_ptr<OwnedEndpoint>> endpoints;
};

}  // namespace comfrey

#endif  // DAEMON_OWNER_SERVICE_H_
