#include "daemon/endpoint_prober.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <memory>
#include <string>

#include "absl/strings/match.h"

namespace comfrey {
namespace {

constexpr char kHealthPath[] = "/health";
// For the whole probe, so that a response that is sent byte by byte does not
// hold up the probes of the other endpoints.
constexpr std::chrono::milliseconds kProbeTimeout{500};
constexpr int kOk = 200;

// A backend server announces that it is draining by a header or at the start of
// the body of its health endpoint.
bool AnnouncesDraining(const HttpResponse& response) {
  return !FindHeader(response.headers, "Draining").empty() ||
         absl::StartsWith(response.body, "draining");
}

}  // namespace

EndpointProber::EndpointProber(OwnerService& owner, CounterRegistry& counters)
    : owner(owner),
      probes(counters.Counter("comfrey_owner_probes_total")),
      failed_probes(counters.Counter("comfrey_owner_failed_probes_total")) {}

void EndpointProber::ProbeAll() {
  for (const std::shared_ptr<OwnedEndpoint>& endpoint :
       this->owner.Endpoints()) {
    this->Probe(*endpoint);
  }
}

void EndpointProber::Probe(OwnedEndpoint& endpoint) {
  const ReceivedResponse reply = endpoint.client.Probe(
      kHealthPath, std::chrono::steady_clock::now() + kProbeTimeout);
  const bool replied = reply.error.empty();
  const bool passed = replied && reply.response.status == kOk;
  this->probes.Add();
  if (!passed) {
    this->failed_probes.Add();
  }
  const auto now = std::chrono::steady_clock::now();
  const std::lock_guard<std::mutex> lock(endpoint.mutex);
  RecordProbe(endpoint.health,
              passed ? ProbeResult::kPassed : ProbeResult::kFailed, now);
  if (replied != endpoint.probe_answered) {
    endpoint.probe_answered = replied;
    spdlog::warn("probe of backend server {}: {}",
                 endpoint.identity.endpoint.address,
                 replied ? "answered again" : reply.error);
  }
  // Without a reply, the drain state stays as it is: a backend server that was
  // draining may have stopped by now.
  if (!replied) {
    return;
  }
  const bool draining = AnnouncesDraining(reply.response);
  if (draining != endpoint.drain.backend_server) {
    endpoint.drain.backend_server = draining;
    UpdateDraining(endpoint);
    spdlog::info("backend server {} {}", endpoint.identity.endpoint.address,
                 draining ? "drains" : "no longer drains");
  }
}

}  // namespace comfrey
