#ifndef DAEMON_OWNED_ENDPOINT_H_
#define DAEMON_OWNED_ENDPOINT_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "config/config_version.h"
#include "config/team_config.h"
#include "core/admission_queue.h"
#include "core/endpoint_health.h"
#include "core/failure_suspicion.h"
#include "core/keyed_execution.h"
#include "core/outlier_verdict.h"
#include "daemon/backend_client.h"
#include "daemon/call_watchdog.h"

namespace comfrey {

/// \brief State of a request that is in the queue of an endpoint.
enum class QueueState { kQueued, kStarted, kDropped };

/// \brief Who asked for an endpoint to be drained; it is drained while any did.
struct DrainReasons {
  bool operator_command = false;
  bool vm_list = false;
  bool registry = false;
  bool backend_server = false;
  bool daemon_stopping = false;

  bool Any() const {
    return this->operator_command || this->vm_list || this->registry ||
           this->backend_server || this->daemon_stopping;
  }
};

/// \brief Identity of an endpoint at its owner.
struct EndpointIdentity {
  std::string team;
  std::string service;
  EndpointConfig endpoint;
  /// Of the owner.
  std::uint64_t incarnation = 0;
  /// Start of the owner on both clocks.
  std::chrono::steady_clock::time_point started_at;
  std::chrono::system_clock::time_point started_at_wall;
};

/// \brief One endpoint of this VM. All members but `client` are guarded by
/// `mutex`.
struct OwnedEndpoint {
  OwnedEndpoint(EndpointIdentity identity,
                const ServiceConfig& service,
                const std::vector<RankConfig>& ranks,
                CallWatchdog& watchdog,
                const BackendProtocol& protocol);

  EndpointIdentity identity;
  BackendClient client;

  std::mutex mutex;
  /// Notified when a queued request starts or is dropped, and when the record
  /// of a key changes.
  std::condition_variable changed;
  /// Whether the endpoint is in the configuration in force. The state of one
  /// that is not is kept, since former homes are asked for their keys.
  bool configured = true;
  AdmissionQueue queue;
  std::uint64_t next_item_id = 1;
  std::map<std::uint64_t, QueueState> queue_states;
  DrainReasons drain;
  std::optional<std::chrono::steady_clock::time_point> draining_since;
  EndpointHealth health;
  FailureSuspicion suspicion;
  DetectionPolicy detection;
  Verdict verdict;
  std::map<std::string, EndpointSummary> siblings;
  KeyedOwner keyed;
};

/// \brief Adopts a new configuration of the service. The caller holds the
/// mutex.
void ConfigureEndpoint(OwnedEndpoint& endpoint,
                       const EndpointConfig& config,
                       const ServiceConfig& service,
                       const std::vector<RankConfig>& ranks,
                       const ConfigVersion& version,
                       std::chrono::steady_clock::time_point now);

/// \brief Periodic work: verdict, expiry of queued requests and records. The
/// caller holds the mutex.
void TickEndpoint(OwnedEndpoint& endpoint,
                  std::chrono::steady_clock::time_point now,
                  std::chrono::system_clock::time_point wall);

/// \brief Starts and expires queued requests and wakes their threads. The
/// caller holds the mutex.
void AdvanceQueue(OwnedEndpoint& endpoint,
                  std::chrono::steady_clock::time_point now);

/// \brief Marks items as dropped and wakes their threads. The caller holds the
/// mutex.
void DropItems(OwnedEndpoint& endpoint, const std::vector<WorkItem>& items);

/// \brief Adopts a change of `drain`. The caller holds the mutex.
void UpdateDraining(OwnedEndpoint& endpoint,
                    std::chrono::steady_clock::time_point now);

/// \brief Enters a newer summary of another endpoint of the service. The caller
/// holds the mutex.
void UpdateSiblingSummary(OwnedEndpoint& endpoint,
                          const std::string& sibling,
                          const EndpointSummary& summary);

}  // namespace comfrey

#endif  // DAEMON_OWNED_ENDPOINT_H_
