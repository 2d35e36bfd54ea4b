#include "daemon/owner_result.h"

#include <string>

#include "daemon/message_conversion.h"

namespace comfrey {
namespace {

constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

bool IsShed(const HttpResponse& response) {
  return response.status == kTooManyRequests ||
         (response.status == kUnavailable &&
          !FindHeader(response.headers, "Retry-After").empty());
}

}  // namespace

rpc::Result MakeRefusal(rpc::Outcome outcome,
                        rpc::RefusalReason reason,
                        absl::string_view detail) {
  rpc::Result result;
  result.set_outcome(outcome);
  result.set_reason(reason);
  result.set_detail(std::string(detail));
  return result;
}

rpc::Result NotRun(rpc::RefusalReason reason, absl::string_view detail) {
  return MakeRefusal(rpc::OUTCOME_NOT_RUN, reason, detail);
}

rpc::Result Unknown(rpc::RefusalReason reason, absl::string_view detail) {
  return MakeRefusal(rpc::OUTCOME_UNKNOWN, reason, detail);
}

rpc::Result Answered(const HttpResponse& response) {
  rpc::Result result;
  result.set_outcome(rpc::OUTCOME_ANSWERED);
  ToProto(response, *result.mutable_answer());
  return result;
}

rpc::RefusalReason ReasonOf(RunRefusal refusal) {
  switch (refusal) {
    case RunRefusal::kNone:
      return rpc::REFUSAL_NONE;
    case RunRefusal::kIncarnation:
      return rpc::REFUSAL_INCARNATION;
    case RunRefusal::kStaleForward:
      return rpc::REFUSAL_STALE_FORWARD;
    case RunRefusal::kFenced:
      return rpc::REFUSAL_FENCED;
    case RunRefusal::kCancelled:
      return rpc::REFUSAL_CANCELLED;
    case RunRefusal::kOtherRequest:
      return rpc::REFUSAL_OTHER_REQUEST;
    case RunRefusal::kNotHome:
      return rpc::REFUSAL_KEY_NOT_HOME;
    case RunRefusal::kRecovering:
      return rpc::REFUSAL_KEY_RECOVERING;
    case RunRefusal::kUnreleased:
      return rpc::REFUSAL_KEY_UNRELEASED;
    case RunRefusal::kConfigUnconfirmed:
      return rpc::REFUSAL_STALE_CONFIG;
    case RunRefusal::kLedgerFull:
      return rpc::REFUSAL_LEDGER_FULL;
    case RunRefusal::kOutcomeUnknown:
    case RunRefusal::kResponseNotKept:
      break;
  }
  return rpc::REFUSAL_BACKEND_FAILED;
}

rpc::RefusalReason ReasonOf(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kQueueFull:
      return rpc::REFUSAL_QUEUE_FULL;
    case RefusalReason::kLeaving:
      return rpc::REFUSAL_LEAVING;
    case RefusalReason::kUnknownRank:
      return rpc::REFUSAL_CONFIG;
    case RefusalReason::kNone:
    case RefusalReason::kDeadline:
    case RefusalReason::kDuplicateId:
      break;
  }
  return rpc::REFUSAL_DEADLINE;
}

bool IsDrainRefusal(const HttpResponse& response) {
  return response.status == kUnavailable &&
         !FindHeader(response.headers, "Draining").empty();
}

FinishOutcome FinishOutcomeOf(const BackendResult& result) {
  switch (result.outcome) {
    case BackendOutcome::kAnswered:
      return IsShed(result.response) ? FinishOutcome::kShed
                                     : FinishOutcome::kServed;
    case BackendOutcome::kCancelled:
      return FinishOutcome::kCancelled;
    case BackendOutcome::kNotSent:
    case BackendOutcome::kFailed:
    case BackendOutcome::kTimedOut:
      break;
  }
  return FinishOutcome::kFailed;
}

void RecordHealth(EndpointHealth& health,
                  const BackendResult& result,
                  std::chrono::steady_clock::time_point now) {
  Outcome outcome = Outcome::kOk;
  switch (result.outcome) {
    case BackendOutcome::kAnswered:
      if (IsDrainRefusal(result.response)) {
        return;
      }
      if (IsShed(result.response)) {
        outcome = Outcome::kShed;
      } else if (result.response.status >= kServerError) {
        outcome = Outcome::kFailed;
      }
      break;
    case BackendOutcome::kNotSent:
      outcome = Outcome::kUnreachable;
      break;
    case BackendOutcome::kFailed:
      outcome = Outcome::kFailed;
      break;
    case BackendOutcome::kTimedOut:
      outcome = Outcome::kTimedOut;
      break;
    case BackendOutcome::kCancelled:
      return;
  }
  RecordOutcome(health, outcome, result.latency, now);
}

rpc::Result ToResult(const BackendResult& backend) {
  if (backend.outcome == BackendOutcome::kAnswered) {
    rpc::Result result = Answered(backend.response);
    if (IsDrainRefusal(backend.response)) {
      result.set_reason(rpc::REFUSAL_LEAVING);
    } else if (IsShed(backend.response)) {
      result.set_reason(rpc::REFUSAL_BACKEND_SHED);
    }
    return result;
  }
  if (backend.outcome == BackendOutcome::kNotSent) {
    return NotRun(rpc::REFUSAL_BACKEND_CONNECT, backend.error.message());
  }
  return Unknown(rpc::REFUSAL_BACKEND_FAILED, backend.error.message());
}

rpc::FenceReply ToFenceReply(const AttemptFenceReply& fence) {
  rpc::FenceReply reply;
  switch (fence.state) {
    case AttemptState::kFenced:
      reply.set_state(rpc::FENCE_FENCED);
      break;
    case AttemptState::kQueued:
    case AttemptState::kRunning:
      reply.set_state(rpc::FENCE_RUNNING);
      break;
    case AttemptState::kDone:
      reply.set_state(fence.response ? rpc::FENCE_DONE : rpc::FENCE_UNKNOWN);
      break;
    case AttemptState::kUnknown:
      reply.set_state(rpc::FENCE_UNKNOWN);
      break;
  }
  if (fence.response) {
    ToProto(*fence.response, *reply.mutable_answer());
  }
  return reply;
}

}  // namespace comfrey
