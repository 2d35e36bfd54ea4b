#include "daemon/owner_service.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "daemon/endpoint_status.h"
#include "daemon/message_conversion.h"
#include "daemon/owner_result.h"
#include "registry/registry_log.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

// How often a waiting call checks whether the ingress has cancelled it.
constexpr std::chrono::milliseconds kCancelPollPeriod{50};
// During a planned stop, a request is taken only if this many of its expected
// service times are left, so that few requests are still running when the stop
// aborts them.
constexpr int kServiceTimesBeforeStop = 4;
// A call that its deadline ended is a failure of the backend server only if it
// lasted this many of the service times that are assumed for its rank.
constexpr int kServiceTimesBeforeFailure = 2;
// A backend server that answers 504 at the deadline does so at most this much
// before.
constexpr std::chrono::milliseconds kDeadlineSlack{100};

// Number of slots that stay free when a request from another region starts.
constexpr std::size_t kReservedSlots = 1;

std::string EndpointKey(absl::string_view team,
                        absl::string_view service,
                        absl::string_view address) {
  return absl::StrCat(team, "/", service, "/", address);
}

constexpr int kServerError = 500;
constexpr int kGatewayTimeout = 504;

// Returns the id that identifies the request in the logs of all daemons.
std::string TraceIdOf(const rpc::ForwardRequest& message,
                      const BackendProtocol& protocol) {
  const std::string& name = protocol.headers.attempt_id;
  for (const rpc::Header& header : message.headers()) {
    if (!name.empty() && absl::EqualsIgnoreCase(header.name(), name)) {
      return header.value();
    }
  }
  return absl::StrCat(message.attempt().ingress(), "-",
                      message.attempt().incarnation(), "-",
                      message.attempt().sequence());
}

rpc::Result MakeLeavingResult(const std::string& endpoint) {
  return MakeNotRunResult(rpc::REFUSAL_LEAVING,
                          absl::StrCat(endpoint, " is draining"));
}

}  // namespace

// One Forward call in progress.
struct OwnerService::Call {
  const rpc::ForwardRequest& message;
  const ForwardCallbacks& callbacks;
  OwnedEndpoint& endpoint;
  Clock::time_point deadline;
  HttpRequest request;
  KeyedExecution execution;
  std::uint64_t item = 0;
  rpc::Result result;
  Clock::time_point received;
  Clock::time_point started;
  std::chrono::microseconds service_time{0};
  /// What was known of the endpoint when the request was sent to it.
  RegistryRevision registration;
  std::optional<Clock::duration> registry_age;
};

OwnerService::OwnerService(OwnerIdentity identity,
                           CallWatchdog& watchdog,
                           CounterRegistry& counters,
                           RequestLog& log,
                           FenceKeyFunction fence_key,
                           BackendProtocol protocol,
                           const RegistryConfirmation* confirmation,
                           RepeatedRunList* repeated_runs)
    : identity(std::move(identity)),
      watchdog(watchdog),
      log(log),
      fence_key(std::move(fence_key)),
      protocol(std::move(protocol)),
      confirmation(confirmation),
      repeated_runs(repeated_runs),
      attempts(counters.Counter("comfrey_owner_attempts_total")),
      refusals(counters.Counter("comfrey_owner_not_run_total")),
      backend_calls(counters.Counter("comfrey_owner_backend_calls_total")),
      backend_failures(
          counters.Counter("comfrey_owner_backend_failures_total")) {}

OwnerService::~OwnerService() = default;

void OwnerService::ApplyConfig(const ConfigStore& store) {
  const Clock::time_point now = Clock::now();
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::set<std::string> configured;
  for (const auto& [team, subtree] : store.subtrees) {
    for (const ServiceConfig& service : subtree->config->services) {
      for (const EndpointConfig& endpoint : service.endpoints) {
        if (endpoint.ip != this->identity.ip) {
          continue;
        }
        const std::string key =
            EndpointKey(team, service.name, endpoint.address);
        configured.insert(key);
        std::shared_ptr<OwnedEndpoint>& owned = this->endpoints[key];
        if (!owned) {
          owned = std::make_shared<OwnedEndpoint>(
              EndpointIdentity{
                  team, service.name, endpoint, this->identity.incarnation,
                  this->identity.started_at, this->identity.started_at_wall},
              service, subtree->config->ranks, this->watchdog, this->protocol,
              this->responses);
        }
        const std::lock_guard<std::mutex> endpoint_lock(owned->mutex);
        owned->configured = true;
        ConfigureEndpoint(*owned, endpoint, service, subtree->config->ranks,
                          subtree->version, now);
      }
    }
  }
  for (auto& [key, endpoint] : this->endpoints) {
    const std::lock_guard<std::mutex> endpoint_lock(endpoint->mutex);
    ShareLedgerBytes(*endpoint, configured.size());
    if (configured.count(key) == 0) {
      endpoint->configured = false;
      UpdateDraining(*endpoint);
    }
  }
}

rpc::Result OwnerService::Forward(const rpc::ForwardRequest& request,
                                  const ForwardCallbacks& callbacks) {
  this->attempts.Add();
  const Clock::time_point deadline =
      Clock::now() + std::chrono::microseconds(request.time_left_us());
  const std::shared_ptr<OwnedEndpoint> endpoint =
      this->Find(request.team(), request.service(), request.endpoint());
  rpc::Result result;
  if (!endpoint) {
    result = MakeNotRunResult(
        rpc::REFUSAL_NOT_OWNER,
        absl::StrCat("endpoint ", request.endpoint(),
                     " is not configured at its owner ", this->identity.ip));
  } else {
    Call call{
        request, callbacks, *endpoint, deadline,     RequestFromProto(request),
        {},      0,         {},        Clock::now(), {},
        {},      {},        {}};
    call.request.stream = callbacks.body;
    result = this->Run(call);
    FillStatus(*endpoint, result);
    this->LogResult(call, *endpoint, result);
    FillForecast(*endpoint, request.rank(), request.organisation(),
                 this->suspicion, result);
  }
  if (result.outcome() == rpc::OUTCOME_NOT_RUN) {
    this->refusals.Add();
  }
  *result.mutable_stamp() = this->Stamp();
  return result;
}

rpc::Result OwnerService::Run(Call& call) {
  const rpc::ForwardRequest& message = call.message;
  OwnedEndpoint& endpoint = call.endpoint;
  LedgerRequest& ledger_request = call.execution.request;
  ledger_request = LedgerRequestFromProto(message);

  // A request with a key is accepted here, since the decision on the key may
  // need calls to other owners. A request without a key is either refused
  // without delay or accepted when it gets a slot or a place in the queue.
  if (ledger_request.key) {
    call.callbacks.accepted();
  }
  std::unique_lock<std::mutex> lock(endpoint.mutex);
  const Clock::time_point received = Clock::now();
  for (const rpc::EndpointSummary& summary : message.siblings()) {
    UpdateSiblingSummary(endpoint, summary.endpoint(),
                         FromProto(summary, received));
  }
  // While draining, a non-idempotent attempt is refused only if the ledger does
  // not know it, so that a repeated key that ran here is still answered.
  // AdmitNonIdempotent decides about it.
  if (message.repeatable() && this->IsRefusedAsLeaving(call, received)) {
    return MakeLeavingResult(message.endpoint());
  }
  if (this->RefuseIfSuspect(call)) {
    return std::move(call.result);
  }
  if (!message.repeatable() && !this->AdmitNonIdempotent(call, lock)) {
    return std::move(call.result);
  }
  if (!this->WaitForSlot(call, lock)) {
    if (!message.repeatable() &&
        call.result.outcome() == rpc::OUTCOME_NOT_RUN &&
        !RefuseAttempt(endpoint.keyed.ledger, ledger_request,
                       RunRefusal::kCancelled, Clock::now())) {
      return MakeUnknownResult(rpc::REFUSAL_CANCELLED,
                               "the attempt may have run");
    }
    endpoint.changed.notify_all();
    return std::move(call.result);
  }
  this->CallBackend(call, lock);
  return std::move(call.result);
}

// Returns whether the request must not start because its endpoint is leaving,
// or because the stop of this daemon would abort it. The backend server goes on
// while its daemon stops, so refusing everything at once would waste it.
bool OwnerService::IsRefusedAsLeaving(const Call& call,
                                      Clock::time_point now) const {
  const AdmissionQueue& queue = call.endpoint.queue;
  const Clock::time_point end = this->stop_end;
  if (IsLeaving(call.endpoint) || end == Clock::time_point::max()) {
    return IsLeaving(call.endpoint);
  }
  const std::size_t rank = FindRank(queue.policy, call.message.rank());
  return now + ExpectedWait(queue, rank, call.message.organisation(), now) +
             kServiceTimesBeforeStop * ExpectedServiceTime(queue, rank, now) >
         end;
}

// A suspect endpoint runs an occasional repeatable request as a trial of
// whether it still fails, since such a request can be retried elsewhere. A
// refused attempt without a key is not recorded in the ledger, like one that
// never arrived.
bool OwnerService::RefuseIfSuspect(Call& call) {
  OwnedEndpoint& endpoint = call.endpoint;
  const Clock::time_point now = Clock::now();
  if (call.message.accept_suspect() || call.execution.request.key ||
      !IsSuspect(endpoint.suspicion, this->suspicion, now)) {
    return false;
  }
  if (call.message.repeatable() &&
      TryBeginSuspicionTrial(endpoint.suspicion, this->suspicion, now)) {
    return false;
  }
  call.result = MakeNotRunResult(
      rpc::REFUSAL_SUSPECT,
      absl::StrCat(call.message.endpoint(), " is suspected of failing"));
  return true;
}

// Returns whether a non-idempotent attempt may be queued; if not, sets the
// result of the call.
bool OwnerService::AdmitNonIdempotent(Call& call,
                                      std::unique_lock<std::mutex>& lock) {
  OwnedEndpoint& endpoint = call.endpoint;
  for (;;) {
    const Clock::time_point now = Clock::now();
    const auto wall = std::chrono::system_clock::now();
    if (this->IsRefusedAsLeaving(call, now)) {
      const std::optional<LedgerDecision> known =
          LookUpAttempt(endpoint.keyed.ledger, call.execution.request,
                        endpoint.keyed.version, now);
      if (!known) {
        RefuseAttempt(endpoint.keyed.ledger, call.execution.request,
                      RunRefusal::kCancelled, now);
        call.result = MakeLeavingResult(call.message.endpoint());
        return false;
      }
    }
    const KeyedAction action =
        NextKeyedAction(endpoint.keyed, call.execution, now, wall);
    switch (action.step) {
      case KeyedStep::kRun:
        return true;
      case KeyedStep::kRespond:
        call.result = MakeAnsweredResult(action.response);
        return false;
      case KeyedStep::kRefuse:
        call.result = MakeResult(
            action.not_run ? rpc::OUTCOME_NOT_RUN : rpc::OUTCOME_UNKNOWN,
            ReasonOf(action.reason),
            std::string(RunRefusalName(action.reason)));
        return false;
      case KeyedStep::kFence:
        this->FenceFormerHomes(call, action, lock);
        break;
      case KeyedStep::kWait:
        if (now >= call.deadline || call.callbacks.cancelled()) {
          const AttemptFenceReply fence = comfrey::FenceAttempt(
              endpoint.keyed.ledger, call.execution.request, now);
          call.result =
              fence.state == AttemptState::kFenced
                  ? MakeNotRunResult(rpc::REFUSAL_DEADLINE, "deadline exceeded")
                  : MakeUnknownResult(rpc::REFUSAL_DEADLINE,
                                      "another attempt for the key is running");
          return false;
        }
        endpoint.changed.wait_until(
            lock, std::min(call.deadline, now + kCancelPollPeriod));
        break;
    }
  }
}

void OwnerService::FenceFormerHomes(Call& call,
                                    const KeyedAction& action,
                                    std::unique_lock<std::mutex>& lock) {
  lock.unlock();
  for (const std::string& former_home : action.endpoints_to_fence) {
    const KeyFenceReply reply =
        this->fence_key({former_home, *call.execution.request.key,
                         action.version, call.deadline});
    RecordKeyFenceReply(call.execution, former_home, action.version, reply);
  }
  lock.lock();
}

// Notifies the ingress that the request runs or is queued. For a request with a
// key, this was already done when it arrived.
void OwnerService::ReportAccepted(Call& call) {
  if (!call.execution.request.key) {
    call.callbacks.accepted();
  }
}

// Waits until the request has a slot. If it gets none, sets the result and
// returns false.
bool OwnerService::WaitForSlot(Call& call, std::unique_lock<std::mutex>& lock) {
  OwnedEndpoint& endpoint = call.endpoint;
  const Clock::time_point now = Clock::now();
  WorkItem item;
  item.rank = FindRank(endpoint.queue.policy, call.message.rank());
  item.organisation = call.message.organisation();
  bool run_now = call.message.run_now();
  if (call.message.spare_only() &&
      endpoint.queue.running.size() + kReservedSlots >=
          ConcurrencyLimit(endpoint.queue)) {
    if (ExpectedWait(endpoint.queue, item.rank, item.organisation, now) >
        std::chrono::microseconds(call.message.max_wait_us())) {
      call.result = MakeNotRunResult(
          rpc::REFUSAL_BUSY,
          absl::StrCat(call.message.endpoint(), ": no spare slot"));
      return false;
    }
    run_now = false;
  }
  call.item = endpoint.next_item_id++;
  item.id = call.item;
  // The latency target is measured from the arrival at the ingress.
  item.arrival = now - std::chrono::microseconds(call.message.age_us());
  item.deadline = call.deadline;
  const AdmissionDecision decision = Offer(endpoint.queue, item, now);
  DropItems(endpoint, decision.displaced);
  DropItems(endpoint, decision.expired);
  if (decision.verdict == AdmissionVerdict::kRefused) {
    call.result =
        MakeNotRunResult(ReasonOf(decision.reason),
                         absl::StrCat(call.message.endpoint(), ": ",
                                      RefusalReasonName(decision.reason)));
    return false;
  }
  if (decision.verdict == AdmissionVerdict::kRun) {
    this->ReportAccepted(call);
    return true;
  }
  endpoint.queue_states[call.item] = QueueState::kQueued;
  AdvanceQueue(endpoint, Clock::now());
  if (run_now && endpoint.queue_states[call.item] == QueueState::kQueued &&
      Cancel(endpoint.queue, call.item) == CancelResult::kCancelled) {
    endpoint.queue_states.erase(call.item);
    call.result = MakeNotRunResult(
        rpc::REFUSAL_BUSY,
        absl::StrCat(call.message.endpoint(), ": no free slot"));
    return false;
  }
  this->ReportAccepted(call);
  while (endpoint.queue_states[call.item] == QueueState::kQueued) {
    if ((this->aborting || call.callbacks.cancelled()) &&
        Cancel(endpoint.queue, call.item) == CancelResult::kCancelled) {
      endpoint.queue_states[call.item] = QueueState::kDropped;
      break;
    }
    const std::optional<TimePoint> expiry = NextExpiry(endpoint.queue);
    const Clock::time_point poll = Clock::now() + kCancelPollPeriod;
    endpoint.changed.wait_until(lock, expiry ? std::min(poll, *expiry) : poll);
    AdvanceQueue(endpoint, Clock::now());
  }
  const QueueState state = endpoint.queue_states[call.item];
  endpoint.queue_states.erase(call.item);
  if (state == QueueState::kReturned) {
    call.result = MakeLeavingResult(call.message.endpoint());
    return false;
  }
  if (state == QueueState::kDropped) {
    call.result = MakeNotRunResult(
        rpc::REFUSAL_DEADLINE,
        absl::StrCat(call.message.endpoint(), ": removed from the queue"));
    return false;
  }
  // The endpoint may have begun to leave after another thread gave the slot to
  // the request and before this thread woke up.
  if (IsLeaving(endpoint)) {
    Finish(endpoint.queue, call.item, FinishOutcome::kCancelled, Clock::now());
    call.result = MakeLeavingResult(call.message.endpoint());
    return false;
  }
  return true;
}

// Sends the request to the backend server and sets the result.
void OwnerService::CallBackend(Call& call, std::unique_lock<std::mutex>& lock) {
  OwnedEndpoint& endpoint = call.endpoint;
  const bool repeatable = call.message.repeatable();
  const LedgerRequest& ledger_request = call.execution.request;
  if (this->aborting) {
    Finish(endpoint.queue, call.item, FinishOutcome::kCancelled, Clock::now());
    call.result =
        MakeNotRunResult(rpc::REFUSAL_LEAVING, "the daemon is stopping");
    return;
  }
  if (!repeatable &&
      !StartAttempt(endpoint.keyed.ledger, ledger_request, Clock::now())) {
    Finish(endpoint.queue, call.item, FinishOutcome::kCancelled, Clock::now());
    AdvanceQueue(endpoint, Clock::now());
    call.result = MakeNotRunResult(rpc::REFUSAL_FENCED,
                                   "the attempt was fenced before it started");
    return;
  }
  const EndpointConfig called = endpoint.identity.endpoint;
  call.registration = called.registration;
  if (this->confirmation != nullptr) {
    call.registry_age = this->confirmation->Age(Clock::now());
  }
  lock.unlock();
  BackendCall backend_call;
  backend_call.request = &call.request;
  backend_call.idempotent = repeatable;
  backend_call.deadline = call.deadline;
  // Cancelling a non-idempotent request would only make its outcome unknown, so
  // its call ends early only if the daemon stops.
  backend_call.cancelled = [this, repeatable, &call] {
    return this->aborting || (repeatable && call.callbacks.cancelled());
  };
  call.started = Clock::now();
  if (call.message.repeat() && this->repeated_runs != nullptr) {
    this->repeated_runs->Add(TraceIdOf(call.message, this->protocol),
                             call.deadline, call.started);
  }
  BackendResult backend = endpoint.client.Call(backend_call);
  this->backend_calls.Add();
  if (backend.outcome != BackendOutcome::kAnswered) {
    this->backend_failures.Add();
  }
  lock.lock();

  const Clock::time_point now = Clock::now();
  const BackendReplyClass reply =
      ClassifyReply(backend, this->protocol.headers);
  Finish(endpoint.queue, call.item, FinishOutcomeOf(reply), now);
  call.service_time = backend.latency;
  if (IsSameBackendServer(called, endpoint.identity.endpoint) &&
      IsEvidence(call, backend, reply, now)) {
    this->RecordReply(call, reply, now);
  }
  if (reply == BackendReplyClass::kDraining) {
    endpoint.drain.backend_server = true;
    UpdateDraining(endpoint);
  }
  // The ledger keeps what the caller gets, so that a fence or a repeated key
  // does not say more than the first result.
  const DeliverableResponse response =
      TakeDeliverable(backend, reply, this->protocol.headers);
  call.result = ToResult(backend, reply, response);
  if (!repeatable && response) {
    FinishAttempt(endpoint.keyed.ledger, ledger_request, response, now);
  } else if (!repeatable) {
    MarkOutcomeUnknown(endpoint.keyed.ledger, ledger_request, now);
  }
  AdvanceQueue(endpoint, now);
  endpoint.changed.notify_all();
}

// Returns whether the end of a call says something about the backend server. A
// request with little time left ends at its deadline at any of them. It may
// have come with a short deadline, or have spent its time in queues.
bool OwnerService::IsEvidence(const Call& call,
                              const BackendResult& backend,
                              BackendReplyClass reply,
                              Clock::time_point now) {
  const bool ended_by_deadline =
      reply == BackendReplyClass::kTimedOut ||
      (reply == BackendReplyClass::kNotSent && now >= call.deadline) ||
      (reply == BackendReplyClass::kServerError &&
       backend.response.status == kGatewayTimeout &&
       now + kDeadlineSlack >= call.deadline);
  const AdmissionQueue& queue = call.endpoint.queue;
  const std::size_t rank = FindRank(queue.policy, call.message.rank());
  return !ended_by_deadline ||
         call.service_time >= kServiceTimesBeforeFailure *
                                  AssumedServiceTime(queue.policy, rank);
}

// Updates the health and the failure suspicion of the endpoint, and logs when
// the endpoint becomes suspect or is cleared.
void OwnerService::RecordReply(Call& call,
                               BackendReplyClass reply,
                               Clock::time_point now) {
  OwnedEndpoint& endpoint = call.endpoint;
  RecordHealth(endpoint.health, reply, call.service_time, now);
  const bool was_suspect = IsSuspect(endpoint.suspicion, this->suspicion, now);
  RecordSuspicion(endpoint.suspicion, this->suspicion, reply, now);
  const bool is_suspect = IsSuspect(endpoint.suspicion, this->suspicion, now);
  if (was_suspect != is_suspect) {
    WriteEvent(LogEvent(is_suspect ? "endpoint_suspect" : "endpoint_cleared")
                   .Add("endpoint", endpoint.identity.endpoint.address)
                   .Add("instance", endpoint.identity.endpoint.instance)
                   .Add("request", TraceIdOf(call.message, this->protocol))
                   .Add("reply", BackendReplyClassName(reply))
                   .AddDouble("probability", endpoint.suspicion.probability));
  }
}

// Logs the result of a forwarded request and the state of its endpoint.
void OwnerService::LogResult(const Call& call,
                             const OwnedEndpoint& endpoint,
                             const rpc::Result& result) const {
  const std::string id = TraceIdOf(call.message, this->protocol);
  const bool ran = result.sent_to_backend();
  LogEvent event(ran ? "attempt_finished" : "attempt_refused");
  event.Add("request", id)
      .Add("ingress", call.message.attempt().ingress())
      .Add("endpoint", call.message.endpoint())
      .Add("instance", endpoint.identity.endpoint.instance)
      .Add("rank", call.message.rank())
      .Add("load", result.status().load())
      .Add("limit", result.status().limit())
      .AddDouble("failure_probability", endpoint.suspicion.probability);
  if (ran) {
    event.AddDuration("queued", call.started - call.received)
        .AddDuration("service", call.service_time);
  }
  AddRegistryBasis(event, call.registration, call.registry_age);
  if (result.outcome() == rpc::OUTCOME_ANSWERED) {
    event.Add("status", result.answer().status());
  } else {
    event.Add("reason", rpc::RefusalReason_Name(result.reason()))
        .Add("detail", result.detail());
  }
  const bool served = result.outcome() == rpc::OUTCOME_ANSWERED &&
                      result.answer().status() < kServerError;
  this->log.Write(id, event, !served);
}

rpc::FenceReply OwnerService::FenceAttempt(
    const rpc::FenceAttemptRequest& request) {
  const std::shared_ptr<OwnedEndpoint> endpoint =
      this->Find(request.team(), request.service(), request.endpoint());
  rpc::FenceReply reply;
  if (!endpoint) {
    reply.set_state(rpc::FENCE_UNKNOWN);
    reply.set_detail("the endpoint is not configured at its owner");
  } else if (request.stamp().incarnation() != this->identity.incarnation) {
    // The attempt may have run at the previous incarnation.
    reply.set_state(rpc::FENCE_UNKNOWN);
    reply.set_detail("the owner has restarted");
  } else {
    const std::lock_guard<std::mutex> lock(endpoint->mutex);
    reply = ToFenceReply(comfrey::FenceAttempt(
        endpoint->keyed.ledger, LedgerRequestFromProto(request), Clock::now()));
    endpoint->changed.notify_all();
  }
  reply.set_owner_incarnation(this->identity.incarnation);
  return reply;
}

rpc::FenceReply OwnerService::FenceKey(const rpc::FenceKeyRequest& request) {
  rpc::FenceReply reply;
  reply.set_owner_incarnation(this->identity.incarnation);
  const std::shared_ptr<OwnedEndpoint> endpoint =
      this->Find(request.team(), request.service(), request.endpoint());
  if (!endpoint) {
    reply.set_state(rpc::FENCE_UNDECIDABLE);
    reply.set_detail("the endpoint is not configured at its owner");
    return reply;
  }
  const std::lock_guard<std::mutex> lock(endpoint->mutex);
  const KeyFenceReply fence = HandleFenceKey(
      endpoint->keyed,
      {request.team(), request.service(), request.idempotency_key()},
      {request.version().generation(), request.version().revision()},
      Clock::now());
  ToProto(fence, reply);
  return reply;
}

rpc::OwnerStamp OwnerService::Stamp() const {
  rpc::OwnerStamp stamp;
  stamp.set_incarnation(this->identity.incarnation);
  stamp.set_uptime_us(std::chrono::duration_cast<std::chrono::microseconds>(
                          Clock::now() - this->identity.started_at)
                          .count());
  return stamp;
}

rpc::LoadReply OwnerService::Load(const rpc::LoadRequest& request) const {
  rpc::LoadReply reply;
  *reply.mutable_stamp() = this->Stamp();
  const std::shared_ptr<OwnedEndpoint> endpoint =
      this->Find(request.team(), request.service(), request.endpoint());
  if (endpoint) {
    rpc::Result result;
    FillStatus(*endpoint, result);
    FillForecast(*endpoint, request.rank(), request.organisation(),
                 this->suspicion, result);
    *reply.mutable_status() = std::move(*result.mutable_status());
  }
  return reply;
}

absl::StatusOr<std::size_t> OwnerService::Drain(const std::string& endpoint,
                                                DrainSource source,
                                                bool draining) {
  bool found = false;
  std::size_t in_flight = 0;
  for (const std::shared_ptr<OwnedEndpoint>& owned : this->Endpoints()) {
    if (!endpoint.empty() && owned->identity.endpoint.address != endpoint) {
      continue;
    }
    found = true;
    const std::lock_guard<std::mutex> lock(owned->mutex);
    switch (source) {
      case DrainSource::kOperator:
        owned->drain.operator_command = draining;
        break;
      case DrainSource::kVmList:
        owned->drain.vm_list = draining;
        break;
      case DrainSource::kBackendServer:
        owned->drain.backend_server = draining;
        break;
    }
    UpdateDraining(*owned);
    in_flight += owned->queue.running.size() + owned->queue.queued.size();
  }
  if (!found && !endpoint.empty()) {
    return absl::NotFoundError(absl::StrCat("endpoint ", endpoint,
                                            " is not owned by the daemon on ",
                                            this->identity.ip));
  }
  return in_flight;
}

void OwnerService::DrainForShutdown() {
  for (const std::shared_ptr<OwnedEndpoint>& endpoint : this->Endpoints()) {
    const std::lock_guard<std::mutex> lock(endpoint->mutex);
    endpoint->drain.daemon_stopping = true;
    UpdateDraining(*endpoint);
  }
}

void OwnerService::Tick(Clock::time_point now) {
  const auto wall = std::chrono::system_clock::now();
  for (const std::shared_ptr<OwnedEndpoint>& endpoint : this->Endpoints()) {
    const std::lock_guard<std::mutex> lock(endpoint->mutex);
    TickEndpoint(*endpoint, now, wall);
  }
}

std::vector<rpc::EndpointStatus> OwnerService::Statuses() {
  std::vector<rpc::EndpointStatus> statuses;
  for (const std::shared_ptr<OwnedEndpoint>& endpoint : this->Endpoints()) {
    rpc::Result result;
    FillStatus(*endpoint, result);
    const std::lock_guard<std::mutex> lock(endpoint->mutex);
    if (endpoint->configured) {
      statuses.push_back(result.status());
    }
  }
  return statuses;
}

std::vector<std::shared_ptr<OwnedEndpoint>> OwnerService::Endpoints() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<std::shared_ptr<OwnedEndpoint>> all;
  all.reserve(this->endpoints.size());
  for (const auto& [key, endpoint] : this->endpoints) {
    all.push_back(endpoint);
  }
  return all;
}

std::shared_ptr<OwnedEndpoint> OwnerService::Find(
    const std::string& team,
    const std::string& service,
    const std::string& endpoint) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->endpoints.find(EndpointKey(team, service, endpoint));
  return found == this->endpoints.end() ? nullptr : found->second;
}

}  // namespace comfrey
