#include "daemon/endpoint_prober.h"

#include <httplib.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <memory>
#include <string>

#include "absl/strings/match.h"

namespace comfrey {
namespace {

constexpr char kHealthPath[] = "/health";
constexpr std::chrono::milliseconds kProbeTimeout{500};
constexpr int kOk = 200;

// A backend server announces that it is draining by a header or at the start of
// the body of its health endpoint.
bool AnnouncesDraining(const httplib::Response& response) {
  return response.has_header("Draining") ||
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
  const EndpointConfig& config = endpoint.identity.endpoint;
  httplib::Client client(config.ip, config.port);
  client.set_connection_timeout(kProbeTimeout);
  client.set_read_timeout(kProbeTimeout);
  const httplib::Result reply = client.Get(kHealthPath);
  const bool passed = reply && reply->status == kOk;
  this->probes.Add();
  if (!passed) {
    this->failed_probes.Add();
  }
  const auto now = std::chrono::steady_clock::now();
  const std::lock_guard<std::mutex> lock(endpoint.mutex);
  RecordProbe(endpoint.health,
              passed ? ProbeResult::kPassed : ProbeResult::kFailed, now);
  // Without a reply, the drain state stays as it is: a backend server that was
  // draining may have stopped by now.
  if (!reply) {
    return;
  }
  const bool draining = AnnouncesDraining(*reply);
  if (draining != endpoint.drain.backend_server) {
    endpoint.drain.backend_server = draining;
    UpdateDraining(endpoint);
    spdlog::info("backend server {} {}", config.address,
                 draining ? "drains" : "no longer drains");
  }
}

}  // namespace comfrey
