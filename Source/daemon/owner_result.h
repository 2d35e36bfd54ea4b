#ifndef DAEMON_OWNER_RESULT_H_
#define DAEMON_OWNER_RESULT_H_

#include <chrono>

#include "absl/strings/string_view.h"
#include "core/admission_queue.h"
#include "core/attempt_ledger.h"
#include "core/endpoint_health.h"
#include "core/failure_suspicion.h"
#include "core/http_message.h"
#include "daemon/backend_client.h"
#include "peer.pb.h"

namespace comfrey {

/// \brief What the end of a call says about the request and its endpoint.
enum class BackendReplyClass {
  kOk,
  kServerError,
  kShed,             ///< Refused because of load; it did not run.
  kNotExecuted,      ///< Marked as not executed, for whatever reason.
  kOtherInstance,    ///< Another backend server has the address.
  kDraining,         ///< Refused because the backend server leaves.
  kUnmarkedRefusal,  ///< A refusal that does not say whether it ran.
  kNotSent,
  kFailed,
  kTimedOut,
  kCancelled,
};

/// \brief Names a reply, for example "server error".
const char* BackendReplyClassName(BackendReplyClass reply);

/// \brief Classifies the end of a call.
BackendReplyClass ClassifyReply(const BackendResult& result,
                                const HeaderNames& names);

/// \brief Results of a forward that no backend server answered.
rpc::Result MakeResult(rpc::Outcome outcome,
                       rpc::RefusalReason reason,
                       absl::string_view detail);
rpc::Result MakeNotRunResult(rpc::RefusalReason reason,
                             absl::string_view detail);
rpc::Result MakeUnknownResult(rpc::RefusalReason reason,
                              absl::string_view detail);

/// \brief Result of a forward that was answered.
rpc::Result MakeAnsweredResult(const HttpResponse& response);

/// \brief Result of a forward that was sent, or could not be sent, to the
/// backend server.
rpc::Result ToResult(const BackendResult& backend, BackendReplyClass reply);

rpc::FenceReply ToFenceReply(const AttemptFenceReply& fence);

/// \brief The reason in the message for a refusal of the ledger or the queue.
rpc::RefusalReason ReasonOf(RunRefusal refusal);
rpc::RefusalReason ReasonOf(RefusalReason reason);

/// \brief How the queue counts the end of a call.
FinishOutcome FinishOutcomeOf(BackendReplyClass reply);

/// \brief Records the end of a call in the health of the endpoint.
void RecordHealth(EndpointHealth& health,
                  BackendReplyClass reply,
                  std::chrono::microseconds latency,
                  std::chrono::steady_clock::time_point now);

/// \brief Records the end of a call in the suspicion of the endpoint.
void RecordSuspicion(FailureSuspicion& suspicion,
                     const SuspicionPolicy& policy,
                     BackendReplyClass reply,
                     std::chrono::steady_clock::time_point now);

}  // namespace comfrey

#endif  // DAEMON_OWNER_RESULT_H_
