#include "daemon/owned_endpoint.h"

#include <algorithm>
#include <utility>

#include "base/log_event.h"
#include "daemon/message_conversion.h"
#include "registry/registry_log.h"

namespace comfrey {
namespace {

// The ledgers of all endpoints of a VM take at most this part of the limit of
// 32 MB of its daemon.
constexpr std::size_t kLedgerBytes = std::size_t{7} << 20;
// In a fleet of the target size, a VM has about 14 endpoints. With more of
// them, each still has this much.
constexpr std::size_t kMinLedgerBytes = std::size_t{512} << 10;

// Without a configured latency, the expected service time is 1/4 of the rank's
// latency target, since a target leaves time for a wait and a retry.
constexpr int kTargetPerServiceTime = 4;

std::size_t SlotsOf(const EndpointConfig& endpoint,
                    const ServiceConfig& service) {
  return static_cast<std::size_t>(endpoint.slots > 0 ? endpoint.slots
                                                     : service.slots);
}

AdmissionPolicy MakeAdmissionPolicy(const EndpointConfig& endpoint,
                                    const ServiceConfig& service,
                                    const std::vector<RankConfig>& ranks) {
  AdmissionPolicy policy;
  policy.slots = SlotsOf(endpoint, service);
  policy.queue_limit = static_cast<std::size_t>(service.queue_limit);
  policy.fixed_slots = endpoint.slots > 0;
  policy.urgent_slots = static_cast<std::size_t>(service.urgent_slots);
  if (service.late_limit) {
    policy.late_limit = static_cast<std::size_t>(*service.late_limit);
    // Allows one queued late request per slot. A late request that waits behind
    // more than that is seldom served.
    policy.early_refusal_limit = policy.slots;
  }
  if (service.expected_latency) {
    policy.expected_service_time = *service.expected_latency;
  }
  for (const RankConfig& rank : ranks) {
    RankPolicy rank_policy;
    rank_policy.name = rank.name;
    rank_policy.urgency = rank.urgency;
    rank_policy.share = rank.share;
    rank_policy.target = rank.target;
    if (!service.expected_latency) {
      rank_policy.expected_service_time = rank.target / kTargetPerServiceTime;
    }
    policy.ranks.push_back(std::move(rank_policy));
  }
  return policy;
}

KeyTimes MakeKeyTimes(const ServiceConfig& service) {
  KeyTimes times;
  times.key_retention = std::chrono::duration_cast<std::chrono::milliseconds>(
      service.key_retention);
  return times;
}

KeyedOwner MakeKeyedOwner(const EndpointIdentity& identity,
                          const ServiceConfig& service) {
  const KeyTimes times = MakeKeyTimes(service);
  LedgerLimits limits;
  limits.byte_budget = kMinLedgerBytes;
  KeyedOwner keyed;
  keyed.endpoint = identity.endpoint.address;
  keyed.ledger = MakeAttemptLedger(times, limits, identity.incarnation,
                                   identity.started_at);
  keyed.recovery = MakeKeyRecovery(
      times, NeedsRecovery(identity.started_at_wall, service.keys_since),
      identity.started_at);
  return keyed;
}

LogEvent MakeEvent(const char* name, const OwnedEndpoint& endpoint) {
  LogEvent event(name);
  event.Add("endpoint", endpoint.identity.endpoint.address)
      .Add("instance", endpoint.identity.endpoint.instance);
  return event;
}

void LogVerdict(const OwnedEndpoint& endpoint) {
  WriteEvent(MakeEvent("endpoint_verdict", endpoint)
                 .Add("state", EndpointStateName(endpoint.verdict.state))
                 .Add("reason", VerdictReasonName(endpoint.verdict.reason))
                 .Add("severity", endpoint.verdict.severity)
                 .Add("slot_share", endpoint.verdict.slot_share));
}

// Removes the queued requests of an endpoint that leaves. They have not run, so
// their ingress can offer them to other endpoints at once. Had they waited for
// a slot here, a backend server could get work later than the requirement
// allows, because the owner learns of the drain some time after it began.
void ReturnQueued(OwnedEndpoint& endpoint) {
  for (auto& [id, state] : endpoint.queue_states) {
    if (state == QueueState::kQueued &&
        Cancel(endpoint.queue, id) == CancelResult::kCancelled) {
      state = QueueState::kReturned;
    }
  }
  endpoint.changed.notify_all();
}

std::chrono::milliseconds WarmupOf(const ServiceConfig& service) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(service.warmup);
}

}  // namespace

OwnedEndpoint::OwnedEndpoint(EndpointIdentity endpoint_identity,
                             const ServiceConfig& service,
                             const std::vector<RankConfig>& ranks,
                             CallWatchdog& watchdog,
                             const BackendProtocol& protocol,
                             ResponseBudget& responses)
    : identity(std::move(endpoint_identity)),
      client(this->identity.endpoint.ip,
             this->identity.endpoint.port,
             watchdog,
             protocol,
             {SlotsOf(this->identity.endpoint, service), &responses}),
      queue(MakeAdmissionPolicy(this->identity.endpoint, service, ranks),
            std::chrono::steady_clock::now()),
      health(MakeEndpointHealth(std::chrono::steady_clock::now())),
      detection(MakeDetectionPolicy(service.detection, WarmupOf(service))),
      keyed(MakeKeyedOwner(this->identity, service)) {}

void ConfigureEndpoint(OwnedEndpoint& endpoint,
                       const EndpointConfig& config,
                       const ServiceConfig& service,
                       const std::vector<RankConfig>& ranks,
                       const ConfigVersion& version,
                       std::chrono::steady_clock::time_point now) {
  if (!IsSameBackendServer(endpoint.identity.endpoint, config)) {
    // Another backend server now has the address, so the health state of the
    // previous one is discarded.
    endpoint.health = MakeEndpointHealth(now);
    endpoint.suspicion = {};
    endpoint.drain.backend_server = false;
  }
  endpoint.identity.endpoint = config;
  endpoint.client.SetConnectionLimit(SlotsOf(config, service));
  endpoint.drain.registry = config.draining;
  UpdateDraining(endpoint);
  DropItems(endpoint,
            Reconfigure(endpoint.queue,
                        MakeAdmissionPolicy(config, service, ranks), now));
  endpoint.detection =
      MakeDetectionPolicy(service.detection, WarmupOf(service));
  endpoint.keyed.ledger.times = MakeKeyTimes(service);
  if (!NeedsRecovery(endpoint.identity.started_at_wall, service.keys_since)) {
    endpoint.keyed.recovery.needed = false;
  }
  std::vector<PlacedEndpoint> placed;
  placed.reserve(service.endpoints.size());
  for (const EndpointConfig& other : service.endpoints) {
    placed.push_back({other.address, KeyPhaseOf(other.keys)});
  }
  AdoptPlacement(endpoint.keyed, {version.generation, version.revision},
                 placed);
  AdvanceQueue(endpoint, now);
}

void TickEndpoint(OwnedEndpoint& endpoint,
                  std::chrono::steady_clock::time_point now,
                  std::chrono::system_clock::time_point wall) {
  SiblingBaseline baseline;
  baseline.siblings.reserve(endpoint.siblings.size());
  for (const auto& [address, summary] : endpoint.siblings) {
    baseline.siblings.push_back(summary);
  }
  const EndpointState previous = endpoint.verdict.state;
  endpoint.verdict =
      EvaluateEndpoint(endpoint.health, baseline, endpoint.detection, now);
  if (endpoint.verdict.state != previous) {
    LogVerdict(endpoint);
  }
  AdvanceQueue(endpoint, now);
  ObserveOwnerClocks(endpoint.keyed, now, wall);
  RemoveExpiredRecords(endpoint.keyed.ledger, now);
}

void AdvanceQueue(OwnedEndpoint& endpoint,
                  std::chrono::steady_clock::time_point now) {
  const DispatchResult progress = Dispatch(endpoint.queue, now);
  for (const WorkItem& item : progress.started) {
    endpoint.queue_states[item.id] = QueueState::kStarted;
  }
  DropItems(endpoint, progress.expired);
  if (!progress.started.empty()) {
    endpoint.changed.notify_all();
  }
}

void DropItems(OwnedEndpoint& endpoint, const std::vector<WorkItem>& items) {
  for (const WorkItem& item : items) {
    endpoint.queue_states[item.id] = QueueState::kDropped;
  }
  if (!items.empty()) {
    endpoint.changed.notify_all();
  }
}

bool IsLeaving(const OwnedEndpoint& endpoint) {
  return !endpoint.configured || endpoint.drain.Any();
}

void UpdateDraining(OwnedEndpoint& endpoint) {
  const bool leaving = IsLeaving(endpoint);
  if (leaving == endpoint.leaving) {
    return;
  }
  endpoint.leaving = leaving;
  SetDraining(endpoint.queue, leaving);
  LogEvent event =
      MakeEvent(leaving ? "endpoint_draining" : "endpoint_undrained", endpoint);
  event.AddBool("configured", endpoint.configured);
  AddRegistration(event, endpoint.identity.endpoint.registration)
      .Add("queued", static_cast<std::int64_t>(endpoint.queue.queued.size()))
      .Add("running", static_cast<std::int64_t>(endpoint.queue.running.size()));
  WriteEvent(event);
  if (leaving) {
    ReturnQueued(endpoint);
  }
}

void UpdateSiblingSummary(OwnedEndpoint& endpoint,
                          const std::string& sibling,
                          const EndpointSummary& summary) {
  if (sibling == endpoint.identity.endpoint.address) {
    return;
  }
  const auto [entry, inserted] = endpoint.siblings.emplace(sibling, summary);
  if (!inserted && entry->second.midpoint < summary.midpoint) {
    entry->second = summary;
  }
}

// A VM with one fast endpoint may run hundreds of orders a second, and the
// record of each is kept for half a minute and longer.
void ShareLedgerBytes(OwnedEndpoint& endpoint, std::size_t endpoint_count) {
  endpoint.keyed.ledger.limits.byte_budget = std::max(
      kMinLedgerBytes, kLedgerBytes / std::max<std::size_t>(endpoint_count, 1));
}

}  // namespace comfrey
