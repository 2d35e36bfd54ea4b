#include "daemon/owner_service.h"

#include <condition_variable>
#include <utility>

#include "absl/strings/str_cat.h"
#include "daemon/backend_client.h"
#include "daemon/message_conversion.h"

namespace comfrey {

// State of one endpoint of this VM.
struct OwnedEndpoint {
  OwnedEndpoint(const EndpointConfig& endpoint,
                int slots,
                CallWatchdog& watchdog)
      : slots(slots), client(endpoint.ip, endpoint.port, watchdog) {}

  std::mutex mutex;
  std::condition_variable slot_free;
  int slots;
  int running = 0;
  BackendClient client;
};

namespace {

using Clock = std::chrono::steady_clock;

std::string EndpointKey(absl::string_view team,
                        absl::string_view service,
                        absl::string_view address) {
  return absl::StrCat(team, "/", service, "/", address);
}

rpc::Result Refuse(rpc::RefusalReason reason, const std::string& detail) {
  rpc::Result result;
  result.set_outcome(rpc::OUTCOME_NOT_RUN);
  result.set_reason(reason);
  result.set_detail(detail);
  return result;
}

bool TakeSlot(OwnedEndpoint& endpoint, Clock::time_point deadline) {
  std::unique_lock<std::mutex> lock(endpoint.mutex);
  if (!endpoint.slot_free.wait_until(
          lock, deadline, [&] { return endpoint.running < endpoint.slots; })) {
    return false;
  }
  ++endpoint.running;
  return true;
}

void ReleaseSlot(OwnedEndpoint& endpoint) {
  const std::lock_guard<std::mutex> lock(endpoint.mutex);
  --endpoint.running;
  endpoint.slot_free.notify_one();
}

rpc::Result ToResult(const BackendResult& backend) {
  if (backend.outcome == BackendOutcome::kNotSent) {
    return Refuse(rpc::REFUSAL_BACKEND_CONNECT,
                  std::string(backend.error.message()));
  }
  rpc::Result result;
  if (backend.outcome == BackendOutcome::kAnswered) {
    result.set_outcome(rpc::OUTCOME_ANSWERED);
    ToProto(backend.response, *result.mutable_answer());
    return result;
  }
  result.set_outcome(rpc::OUTCOME_UNKNOWN);
  result.set_reason(rpc::REFUSAL_BACKEND_FAILED);
  result.set_detail(std::string(backend.error.message()));
  return result;
}

}  // namespace

OwnerService::OwnerService(OwnerIdentity identity,
                           CallWatchdog& watchdog,
                           CounterRegistry& counters)
    : identity(std::move(identity)),
      watchdog(watchdog),
      attempts(counters.Counter("comfrey_owner_attempts_total")),
      refusals(counters.Counter("comfrey_owner_refusals_total")) {}

OwnerService::~OwnerService() = default;

void OwnerService::ApplyConfig(const RouteTable& table) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::map<std::string, std::shared_ptr<OwnedEndpoint>> next;
  for (const auto& [team, routes] : table.teams) {
    for (const ServiceConfig& service : routes->config->services) {
      for (const EndpointConfig& endpoint : service.endpoints) {
        if (endpoint.ip != this->identity.ip) {
          continue;
        }
        const std::string key =
            EndpointKey(team, service.name, endpoint.address);
        const auto known = this->endpoints.find(key);
        next[key] = known != this->endpoints.end()
                        ? known->second
                        : std::make_shared<OwnedEndpoint>(
                              endpoint, service.slots, this->watchdog);
      }
    }
  }
  this->endpoints = std::move(next);
}

rpc::Result OwnerService::Forward(const rpc::ForwardRequest& request,
                                  const ForwardHooks& hooks) {
  this->attempts.Add();
  const Clock::time_point deadline =
      Clock::now() + std::chrono::microseconds(request.time_left_us());
  const std::shared_ptr<OwnedEndpoint> endpoint = this->Find(request);
  if (!endpoint) {
    this->refusals.Add();
    return Refuse(rpc::REFUSAL_NOT_OWNER,
                  absl::StrCat("endpoint ", request.endpoint(),
                               " is not served by ", this->identity.ip));
  }
  hooks.accepted();
  if (!TakeSlot(*endpoint, deadline)) {
    this->refusals.Add();
    return Refuse(rpc::REFUSAL_DEADLINE,
                  absl::StrCat("no free slot at ", request.endpoint(),
                               " before the deadline"));
  }
  const HttpRequest http_request = RequestFromProto(request);
  BackendCall call;
  call.request = &http_request;
  call.idempotent = request.repeatable();
  call.deadline = deadline;
  // Cancelling a non-idempotent request would only make its outcome unknown.
  call.cancelled =
      request.repeatable() ? hooks.cancelled : [] { return false; };
  const BackendResult result = endpoint->client.Call(call);
  ReleaseSlot(*endpoint);
  return ToResult(result);
}

std::shared_ptr<OwnedEndpoint> OwnerService::Find(
    const rpc::ForwardRequest& request) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->endpoints.find(
      EndpointKey(request.team(), request.service(), request.endpoint()));
  return found == this->endpoints.end() ? nullptr : found->second;
}

}  // namespace comfrey
