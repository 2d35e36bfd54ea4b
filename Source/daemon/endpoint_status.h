#ifndef DAEMON_ENDPOINT_STATUS_H_
#define DAEMON_ENDPOINT_STATUS_H_

#include <string>

#include "core/failure_suspicion.h"
#include "daemon/owned_endpoint.h"
#include "peer.pb.h"

namespace comfrey {

/// \brief Adds the state of an endpoint to a result: verdict, drain, load and
/// latency summary. Locks the endpoint.
void FillStatus(OwnedEndpoint& endpoint, rpc::Result& result);

/// \brief Adds the wait that the endpoint expects for a request to the status
/// in a result, and the times for which it refuses further requests. Locks the
/// endpoint.
void FillForecast(OwnedEndpoint& endpoint,
                  const std::string& rank_name,
                  const std::string& organisation,
                  const SuspicionPolicy& suspicion,
                  rpc::Result& result);

}  // namespace comfrey

#endif  // DAEMON_ENDPOINT_STATUS_H_
