#ifndef DAEMON_INGRESS_REPLY_H_
#define DAEMON_INGRESS_REPLY_H_

#include <string>

#include "absl/strings/string_view.h"
#include "core/deliverable_response.h"
#include "core/http_message.h"
#include "peer.pb.h"

namespace comfrey {

/// \brief Outcome of a request, as reported to its caller.
enum class CallerOutcome {
  kAnswered,  ///< The response is from the backend server.
  kNotRun,    ///< The request did not run and will not run.
  kUnknown,   ///< The request may have run.
};

/// \brief Reply to a caller. If no backend server answered, `response` is a
/// local reply of the ingress that states the cause.
struct IngressReply {
  CallerOutcome outcome = CallerOutcome::kNotRun;
  HttpResponse response;
};

/// \brief Returns the name of an outcome, for example "not run".
absl::string_view OutcomeName(CallerOutcome outcome);

/// \brief Returns the HTTP status for a request that ended without a response
/// from a backend server.
int HttpStatusOf(CallerOutcome outcome, rpc::RefusalReason reason);

/// \brief Makes a local reply, for a request that no backend server answered.
IngressReply MakeLocalReply(CallerOutcome outcome,
                            int status,
                            const std::string& text);

}  // namespace comfrey

#endif  // DAEMON_INGRESS_REPLY_H_
