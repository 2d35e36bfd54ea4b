#include "daemon/endpoint_status.h"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <optional>

#include "daemon/message_conversion.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

// Longest time for which an endpoint is reported as full. The forecast may be
// wrong, so an ingress tries the endpoint again after at most this time.
constexpr std::chrono::microseconds kMaxFullForecast =
    std::chrono::milliseconds(100);
// An ingress that was refused by a suspect endpoint tries it again after this
// time.
constexpr std::chrono::microseconds kSuspectRetryDelay =
    std::chrono::milliseconds(500);

}  // namespace

// Adds the expected wait to the status, and the times for which the endpoint
// refuses further requests, so that the ingress does not try it during them.
void FillForecast(OwnedEndpoint& endpoint,
                  const std::string& rank_name,
                  const std::string& organisation,
                  const SuspicionPolicy& suspicion,
                  rpc::Result& result) {
  rpc::EndpointStatus& status = *result.mutable_status();
  const std::lock_guard<std::mutex> lock(endpoint.mutex);
  const Clock::time_point now = Clock::now();
  if (IsSuspect(endpoint.suspicion, suspicion, now)) {
    status.set_suspect_for_us(kSuspectRetryDelay.count());
  }
  const std::size_t rank = FindRank(endpoint.queue.policy, rank_name);
  status.set_expected_wait_us(
      ExpectedWait(endpoint.queue, rank, organisation, now).count());
  if (result.reason() != rpc::REFUSAL_QUEUE_FULL) {
    return;
  }
  for (const RefusalForecast& forecast :
       ForecastRefusals(endpoint.queue, now)) {
    if (forecast.rank == rank) {
      status.set_full_for_us(
          std::min(forecast.refused_for, kMaxFullForecast).count());
    }
  }
}

void FillStatus(OwnedEndpoint& endpoint, rpc::Result& result) {
  const Clock::time_point now = Clock::now();
  const std::lock_guard<std::mutex> lock(endpoint.mutex);
  rpc::EndpointStatus& status = *result.mutable_status();
  status.set_endpoint(endpoint.identity.endpoint.address);
  status.set_team(endpoint.identity.team);
  status.set_service(endpoint.identity.service);
  status.set_verdict(static_cast<std::uint32_t>(endpoint.verdict.state));
  status.set_reason(static_cast<std::uint32_t>(endpoint.verdict.reason));
  status.set_severity(endpoint.verdict.severity);
  status.set_slot_share(endpoint.verdict.slot_share);
  status.set_draining(endpoint.drain.Any());
  if (endpoint.verdict.state == EndpointState::kEjected) {
    status.set_ejected_for_us(
        std::chrono::duration_cast<std::chrono::microseconds>(
            std::max(endpoint.health.ejected_until - now,
                     Clock::duration::zero()))
            .count());
  }
  status.set_load(static_cast<std::uint32_t>(endpoint.queue.running.size() +
                                             endpoint.queue.queued.size()));
  status.set_limit(
      static_cast<std::uint32_t>(ConcurrencyLimit(endpoint.queue)));
  const std::optional<EndpointSummary> summary =
      SummarizeEndpoint(endpoint.health, now);
  if (summary) {
    status.set_latency_us(summary->median_latency.count());
    ToProto(*summary, now, *result.mutable_summary());
    result.mutable_summary()->set_endpoint(endpoint.identity.endpoint.address);
  }
}

}  // namespace comfrey
