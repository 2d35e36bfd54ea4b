#ifndef DAEMON_INGRESS_REPLY_H_
#define DAEMON_INGRESS_REPLY_H_

#include <string>

#include "absl/strings/string_view.h"
#include "core/http_message.h"
#include "peer.pb.h"

namespace comfrey {

/// \brief What a caller is told of its request.
enum class CallerOutcome {
  kAnswered,  ///< The response is the one of the backend server.
  kNotRun,    ///< The request did not run and will not run.
  kUnknown,   ///< The request may have run.
};

/// \brief Reply to a caller. Without an answer of a backend server, `response`
/// is written by the ingress and explains the cause.
struct IngressReply {
  CallerOutcome outcome = CallerOutcome::kNotRun;
  HttpResponse response;
};

/// \brief Names an outcome, for example "not run".
absl::string_view OutcomeName(CallerOutcome outcome);

/// \brief HTTP status of a request that ended without a response of its backend
/// server.
int HttpStatusOf(CallerOutcome outcome, rpc::RefusalReason reason);

/// \brief Builds the reply to a request that no backend server answered.
IngressReply MakeLocalReply(CallerOutcome outcome,
                            int status,
                            const std::string& text);

}  // namespace comfrey

#endif  // DAEMON_INGRESS_REPLY_H_
