#ifndef DAEMON_OWNED_ENDPOINT_H_
#define DAEMON_OWNED_ENDPOINT_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
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

/// \brief State of a request that was queued at an endpoint.
enum class QueueState {
  kQueued,
  kStarted,
  kDropped,
  kReturned,  ///< Removed because the endpoint leaves.
};

/// \brief Reasons to drain an endpoint; it drains while any of them is set.
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
  /// Incarnation of the owner.
  std::uint64_t incarnation = 0;
  /// Start time of the owner on the steady clock and on the system clock.
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
                const BackendProtocol& protocol,
                ResponseBudget& responses);

  EndpointIdentity identity;
  BackendClient client;

  std::mutex mutex;
  /// Notified when a queued request starts or is dropped, and when the record
  /// of a key changes.
  std::condition_variable changed;
  /// Whether the configuration in force contains the endpoint. The state of a
  /// removed endpoint is kept, since it may be the former home of keys that
  /// FenceKey calls name.
  bool configured = true;
  AdmissionQueue queue;
  std::uint64_t next_item_id = 1;
  std::map<std::uint64_t, QueueState> queue_states;
  DrainReasons drain;
  /// Whether the last probe got a valid and complete response.
  bool probe_answered = true;
  /// Whether the queue has been told that the endpoint leaves.
  bool leaving = false;
  EndpointHealth health;
  FailureSuspicion suspicion;
  DetectionPolicy detection;
  Verdict verdict;
  std::map<std::string, EndpointSummary> siblings;
  KeyedOwner keyed;
};

/// \brief Applies a new configuration of the service. The caller must hold the
/// mutex.
void ConfigureEndpoint(OwnedEndpoint& endpoint,
                       const EndpointConfig& config,
                       const ServiceConfig& service,
                       const std::vector<RankConfig>& ranks,
                       const ConfigVersion& version,
                       std::chrono::steady_clock::time_point now);

/// \brief Updates the verdict and removes expired queued requests and records;
/// called periodically. The caller must hold the mutex.
void TickEndpoint(OwnedEndpoint& endpoint,
                  std::chrono::steady_clock::time_point now,
                  std::chrono::system_clock::time_point wall);

/// \brief Starts and expires queued requests and wakes their threads. The
/// caller must hold the mutex.
void AdvanceQueue(OwnedEndpoint& endpoint,
                  std::chrono::steady_clock::time_point now);

/// \brief Marks items as dropped and wakes their threads. The caller must hold
/// the mutex.
void DropItems(OwnedEndpoint& endpoint, const std::vector<WorkItem>& items);

/// \brief Returns whether the endpoint gets no more work: it drains, or the
/// configuration in force does not contain it. The caller must hold the mutex.
bool IsLeaving(const OwnedEndpoint& endpoint);

/// \brief Applies a change of `drain` or `configured` to the queue: when the
/// endpoint begins to leave, its queued requests are returned as not run. The
/// caller must hold the mutex.
void UpdateDraining(OwnedEndpoint& endpoint);

/// \brief Stores the summary of another endpoint of the service if it is newer
/// than the stored one. The caller must hold the mutex.
void UpdateSiblingSummary(OwnedEndpoint& endpoint,
                          const std::string& sibling,
                          const EndpointSummary& summary);

/// \brief Gives an endpoint its part of the memory for ledgers, which the
/// configured endpoints of this daemon share equally.
void ShareLedgerBytes(OwnedEndpoint& endpoint, std::size_t endpoint_count);

}  // namespace comfrey

#endif  // DAEMON_OWNED_ENDPOINT_H_
