#ifndef DAEMON_OWNER_RESULT_H_
#define DAEMON_OWNER_RESULT_H_

#include <chrono>

#include "absl/strings/string_view.h"
#include "core/admission_queue.h"
#include "core/attempt_ledger.h"
#include "core/deliverable_response.h"
#include "core/endpoint_health.h"
#include "core/failure_suspicion.h"
#include "core/http_message.h"
#include "daemon/backend_client.h"
#include "peer.pb.h"

namespace comfrey {

/// \brief Classification of the result of a backend call.
enum class BackendReplyClass {
  kOk,
  kServerError,
  kShed,             ///< Refused because of load; it did not run.
  kNotExecuted,      ///< Marked as not executed, for any reason.
  kOtherInstance,    ///< Refused by another backend server at the address.
  kDraining,         ///< Refused because the backend server is draining.
  kUnmarkedRefusal,  ///< Refused; the response does not say whether it ran.
  kNotSent,
  kFailed,
  kStaleConnection,  ///< A reused connection ended without a response.
  kTimedOut,
  kCancelled,
};

/// \brief Returns the name of a class, for example "server error".
const char* BackendReplyClassName(BackendReplyClass reply);

/// \brief Classifies the result of a call.
BackendReplyClass ClassifyReply(const BackendResult& result,
                                const HeaderNames& names);

/// \brief Makes the result of a forwarded request that no backend server
/// answered.
rpc::Result MakeResult(rpc::Outcome outcome,
                       rpc::RefusalReason reason,
                       absl::string_view detail);
rpc::Result MakeNotRunResult(rpc::RefusalReason reason,
                             absl::string_view detail);
rpc::Result MakeUnknownResult(rpc::RefusalReason reason,
                              absl::string_view detail);

/// \brief Makes the result of a forwarded request that was answered.
rpc::Result MakeAnsweredResult(const DeliverableResponse& response);

/// \brief Takes the response out of a backend call for its caller and the
/// record of its attempt; none if the call did not end with one for them.
DeliverableResponse TakeDeliverable(BackendResult& backend,
                                    BackendReplyClass reply,
                                    const HeaderNames& names);

/// \brief Makes the result of a forwarded request from its backend call and
/// the deliverable response of that call.
rpc::Result ToResult(const BackendResult& backend,
                     BackendReplyClass reply,
                     const DeliverableResponse& response);

rpc::FenceReply ToFenceReply(const AttemptFenceReply& fence);

/// \brief Converts a refusal of the ledger or the queue to its reason in
/// peer.proto.
rpc::RefusalReason ReasonOf(RunRefusal refusal);
rpc::RefusalReason ReasonOf(RefusalReason reason);

/// \brief Returns the outcome that the admission queue records for a call.
FinishOutcome FinishOutcomeOf(BackendReplyClass reply);

/// \brief Records the result of a call in the health of the endpoint.
void RecordHealth(EndpointHealth& health,
                  BackendReplyClass reply,
                  std::chrono::microseconds latency,
                  std::chrono::steady_clock::time_point now);

/// \brief Records the result of a call in the failure suspicion of the
/// endpoint.
void RecordSuspicion(FailureSuspicion& suspicion,
                     const SuspicionPolicy& policy,
                     BackendReplyClass reply,
                     std::chrono::steady_clock::time_point now);

}  // namespace comfrey

#endif  // DAEMON_OWNER_RESULT_H_
