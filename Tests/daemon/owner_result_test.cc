#include "daemon/owner_result.h"

#include <string>
#include <vector>

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

HeaderNames MarkedNames() {
  HeaderNames names;
  names.not_executed = "X-Not-Run";
  names.expected_instance = "X-Instance";
  return names;
}

BackendResult Answer(int status, std::vector<HttpHeader> headers = {}) {
  BackendResult result;
  result.outcome = BackendOutcome::kAnswered;
  result.response.status = status;
  result.response.headers = std::move(headers);
  return result;
}

// Checks invariant I3: a request counts as not run only if its refusal is
// marked or comes from another backend server. Otherwise a request that ran
// could be reported as not run.
TEST_CASE("a refusal counts as not run only if it is marked") {
  struct Case {
    std::string name;
    BackendResult result;
    BackendReplyClass reply;
    rpc::Outcome outcome;
  };
  std::vector<Case> cases = {
      {"ok", Answer(200), BackendReplyClass::kOk, rpc::OUTCOME_ANSWERED},
      {"error", Answer(500), BackendReplyClass::kServerError,
       rpc::OUTCOME_ANSWERED},
      {"marked 503", Answer(503, {{"X-Not-Run", "1"}}),
       BackendReplyClass::kNotExecuted, rpc::OUTCOME_NOT_RUN},
      {"marked 429", Answer(429, {{"x-not-run", "1"}}),
       BackendReplyClass::kNotExecuted, rpc::OUTCOME_NOT_RUN},
      {"503", Answer(503), BackendReplyClass::kUnmarkedRefusal,
       rpc::OUTCOME_UNKNOWN},
      {"503 with Retry-After", Answer(503, {{"Retry-After", "1"}}),
       BackendReplyClass::kUnmarkedRefusal, rpc::OUTCOME_UNKNOWN},
      {"429", Answer(429), BackendReplyClass::kUnmarkedRefusal,
       rpc::OUTCOME_UNKNOWN},
      {"408", Answer(408), BackendReplyClass::kUnmarkedRefusal,
       rpc::OUTCOME_UNKNOWN},
      {"421", Answer(421), BackendReplyClass::kOtherInstance,
       rpc::OUTCOME_NOT_RUN},
      {"503 with Draining", Answer(503, {{"Draining", "true"}}),
       BackendReplyClass::kUnmarkedRefusal, rpc::OUTCOME_UNKNOWN},
      {"504", Answer(504), BackendReplyClass::kServerError,
       rpc::OUTCOME_ANSWERED},
  };
  for (Case& c : cases) {
    INFO(c.name);
    const BackendReplyClass reply = ClassifyReply(c.result, MarkedNames());
    CHECK(reply == c.reply);
    const DeliverableResponse response =
        TakeDeliverable(c.result, reply, MarkedNames());
    CHECK(bool(response) == (c.outcome == rpc::OUTCOME_ANSWERED));
    const rpc::Result result = ToResult(c.result, reply, response);
    CHECK(result.outcome() == c.outcome);
    CHECK(result.sent_to_backend());
  }
}

// Guards against 'not run' for a request that was sent on a connection which
// ended at its reuse, and against taking the end for a fault.
TEST_CASE("a stale connection leaves the outcome unknown") {
  BackendResult result;
  result.outcome = BackendOutcome::kFailed;
  result.connection_stale = true;
  const BackendReplyClass reply = ClassifyReply(result, MarkedNames());
  CHECK(reply == BackendReplyClass::kStaleConnection);
  CHECK(FinishOutcomeOf(reply) == FinishOutcome::kCancelled);
  CHECK(ToResult(result, reply, nullptr).outcome() == rpc::OUTCOME_UNKNOWN);
  CHECK(ToResult(result, reply, nullptr).sent_to_backend());
}

// Checks the classification of replies from backend servers that do not mark
// refusals.
TEST_CASE("without marks, Retry-After indicates shedding") {
  const HeaderNames names;
  CHECK(ClassifyReply(Answer(503, {{"Retry-After", "1"}}), names) ==
        BackendReplyClass::kShed);
  CHECK(ClassifyReply(Answer(503), names) == BackendReplyClass::kServerError);
  CHECK(ClassifyReply(Answer(503, {{"Draining", "true"}}), names) ==
        BackendReplyClass::kDraining);
  CHECK(ClassifyReply(Answer(421), names) == BackendReplyClass::kOk);
}

// Guards against counting a request that was not sent as a retry, and against
// treating load or a cancellation by the caller as a fault.
TEST_CASE("only faults make an endpoint suspect") {
  const SuspicionPolicy policy;
  const auto now =
      std::chrono::steady_clock::time_point(std::chrono::seconds(9));
  const auto is_suspect = [&](BackendReplyClass reply) {
    FailureSuspicion suspicion;
    RecordSuspicion(suspicion, policy, reply, now);
    return IsSuspect(suspicion, policy, now);
  };
  for (const BackendReplyClass fault :
       {BackendReplyClass::kServerError, BackendReplyClass::kFailed,
        BackendReplyClass::kTimedOut, BackendReplyClass::kNotSent,
        BackendReplyClass::kUnmarkedRefusal}) {
    CHECK(is_suspect(fault));
  }
  for (const BackendReplyClass other :
       {BackendReplyClass::kOk, BackendReplyClass::kShed,
        BackendReplyClass::kNotExecuted, BackendReplyClass::kOtherInstance,
        BackendReplyClass::kDraining, BackendReplyClass::kCancelled}) {
    CHECK_FALSE(is_suspect(other));
  }
  BackendResult not_sent;
  CHECK_FALSE(ToResult(not_sent, BackendReplyClass::kNotSent, nullptr)
                  .sent_to_backend());
}

}  // namespace
}  // namespace comfrey
