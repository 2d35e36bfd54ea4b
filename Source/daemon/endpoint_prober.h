#ifndef DAEMON_ENDPOINT_PROBER_H_
#define DAEMON_ENDPOINT_PROBER_H_

#include "base/counters.h"
#include "daemon/owner_service.h"

namespace comfrey {

/// \brief Probes the health endpoints of the backend servers of this VM.
///
/// Probes detect draining backend servers and contribute to the verdict. A
/// failed probe alone never ejects an endpoint, since health endpoints may
/// report an old or wrong state.
class EndpointProber {
 public:
  EndpointProber(OwnerService& owner, CounterRegistry& counters);

  /// \brief Probes each endpoint once; blocks until all probes have ended.
  void ProbeAll();

 private:
  void Probe(OwnedEndpoint& endpoint);

  OwnerService& owner;
  Metric& probes;
  Metric& failed_probes;
};

}  // namespace comfrey

#endif  // DAEMON_ENDPOINT_PROBER_H_
