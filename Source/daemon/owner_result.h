#ifndef DAEMON_OWNER_RESULT_H_
#define DAEMON_OWNER_RESULT_H_

#include <chrono>

#include "absl/strings/string_view.h"
#include "core/admission_queue.h"
#include "core/attempt_ledger.h"
#include "core/endpoint_health.h"
#include "core/http_message.h"
#include "daemon/backend_client.h"
#include "peer.pb.h"

namespace comfrey {

/// \brief Results of a forward that no backend server answered.
rpc::Result MakeRefusal(rpc::Outcome outcome,
                        rpc::RefusalReason reason,
                        absl::string_view detail);
rpc::Result NotRun(rpc::RefusalReason reason, absl::string_view detail);
rpc::Result Unknown(rpc::RefusalReason reason, absl::string_view detail);

/// \brief Result of a forward that was answered.
rpc::Result Answered(const HttpResponse& response);

/// \brief Result of a forward that was sent, or could not be sent, to the
/// backend server.
rpc::Result ToResult(const BackendResult& backend);

rpc::FenceReply ToFenceReply(const AttemptFenceReply& fence);

/// \brief The reason in the message for a refusal of the ledger or the queue.
rpc::RefusalReason ReasonOf(RunRefusal refusal);
rpc::RefusalReason ReasonOf(RefusalReason reason);

/// \brief Whether the backend server refused a request because it drains.
bool IsDrainRefusal(const HttpResponse& response);

/// \brief How the queue counts the end of a call.
FinishOutcome FinishOutcomeOf(const BackendResult& result);

/// \brief Records the end of a call in the health of the endpoint.
void RecordHealth(EndpointHealth& health,
                  const BackendResult& result,
                  std::chrono::steady_clock::time_point now);

}  // namespace comfrey

#endif  // DAEMON_OWNER_RESULT_H_
