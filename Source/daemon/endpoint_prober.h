#ifndef DAEMON_ENDPOINT_PROBER_H_
#define DAEMON_ENDPOINT_PROBER_H_

#include "base/counters.h"
#include "daemon/owner_service.h"

namespace comfrey {

/// \brief Probes the health endpoints of the backend servers of this VM.
///
/// Probes find a backend server that drains, and support the verdict; they
/// never eject an endpoint alone, since health endpoints lag and mislead.
class EndpointProber {
 public:
  EndpointProber(OwnerService& owner, CounterRegistry& counters);

  /// \brief Probes each endpoint once; blocks.
  void ProbeAll();

 private:
  void Probe(OwnedEndpoint& endpoint);

  OwnerService& owner;
  Metric& probes;
  Metric& failed_probes;
};

}  // namespace comfrey

#endif  // DAEMON_ENDPOINT_PROBER_H_
