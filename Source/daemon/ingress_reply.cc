#include "daemon/ingress_reply.h"

namespace comfrey {
namespace {

constexpr int kUnprocessable = 422;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

}  // namespace

absl::string_view OutcomeName(CallerOutcome outcome) {
  switch (outcome) {
    case CallerOutcome::kAnswered:
      return "answered";
    case CallerOutcome::kNotRun:
      return "not run";
    case CallerOutcome::kUnknown:
      break;
  }
  return "unknown";
}

int HttpStatusOf(CallerOutcome outcome, rpc::RefusalReason reason) {
  if (reason == rpc::REFUSAL_OTHER_REQUEST) {
    return kUnprocessable;
  }
  if (outcome == CallerOutcome::kNotRun) {
    return kUnavailable;
  }
  return reason == rpc::REFUSAL_DEADLINE ? kGatewayTimeout : kBadGateway;
}

IngressReply MakeLocalReply(CallerOutcome outcome,
                            int status,
                            const std::string& text) {
  IngressReply reply;
  reply.outcome = outcome;
  reply.response.status = status;
  reply.response.headers = {
      {kOutcomeHeader,
       outcome == CallerOutcome::kNotRun ? "not-run" : "unknown"},
      {"Content-Type", "text/plain"}};
  if (status == kUnavailable) {
    reply.response.headers.push_back({"Retry-After", "1"});
  }
  reply.response.body = text + "\n";
  return reply;
}

}  // namespace comfrey
