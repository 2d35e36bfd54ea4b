#include "daemon/ingress_attempt.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "core/attempt_journal.h"
#include "daemon/message_conversion.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

// A load query adds a round trip to the time of the request. It is sent only if
// the round trip takes at most 1/16 of the rank's latency target.
constexpr int kTargetPerLoadQuery = 16;
// How long the ingress tries to fence an attempt whose reply was lost. If it
// succeeds, the response can state that the request did not run. An owner that
// cannot be reached for this long is taken to have failed, and the outcome is
// unknown.
constexpr std::chrono::milliseconds kFenceTimeout{1000};
// Fencing is tried for at least this long, even if the deadline is sooner.
constexpr std::chrono::milliseconds kMinFenceTimeout{100};
constexpr std::chrono::milliseconds kFencePollPeriod{50};

KeyTimes MakeKeyTimes(std::chrono::microseconds retention) {
  KeyTimes times;
  times.key_retention =
      std::chrono::duration_cast<std::chrono::milliseconds>(retention);
  return times;
}

}  // namespace

void IngressAttempt::SetOutcome(CallerOutcome new_outcome,
                                rpc::RefusalReason new_reason,
                                std::string new_detail) {
  this->outcome = new_outcome;
  this->reason = new_reason;
  this->detail = std::move(new_detail);
}

IngressReply IngressAttempt::ToReply() {
  if (this->outcome == CallerOutcome::kAnswered) {
    return {this->outcome, this->response.Take()};
  }
  return MakeLocalReply(
      this->outcome, HttpStatusOf(this->outcome, this->reason), this->detail);
}

AttemptSender::AttemptSender(const IngressIdentity& identity,
                             const IngressDependencies& dependencies)
    : identity(identity),
      dependencies(dependencies),
      fences(dependencies.counters.Counter("comfrey_ingress_fences_total")),
      path_failures(
          dependencies.counters.Counter("comfrey_ingress_path_failures_total")),
      unreadable(dependencies.counters.Counter(
          "comfrey_ingress_unreadable_messages_total")) {}

// The load is queried only before a request with a body is sent to another
// region. In an overload most remote endpoints refuse the request, and links
// between regions are billed by volume.
bool AttemptSender::CheckRemoteLoad(const IngressRequest& request,
                                    IngressAttempt& attempt) {
  if (!attempt.chosen.remote || !HasBody(request.message) ||
      attempt.chosen.round_trip >
          request.match.rank->target / kTargetPerLoadQuery) {
    return true;
  }
  rpc::LoadRequest load_request;
  load_request.set_endpoint(attempt.endpoint);
  load_request.set_team(request.service.team);
  load_request.set_service(request.service.service);
  load_request.set_rank(request.match.rank->name);
  load_request.set_organisation(request.organisation);
  const Clock::time_point sent_at = Clock::now();
  const LoadCallResult call = this->dependencies.owners.QueryLoad(
      attempt.ip, load_request, request.deadline,
      this->dependencies.directory.AcceptTimeoutOf(attempt.ip),
      request.cancelled);
  if (call.end != PeerCallEnd::kReplied) {
    this->RecordNoReply(request, attempt, call.end, sent_at);
    return false;
  }
  const Clock::time_point now = Clock::now();
  this->dependencies.directory.RecordAccepted(attempt.ip, sent_at, now);
  if (!call.reply.has_status()) {
    attempt.SetOutcome(
        CallerOutcome::kNotRun, rpc::REFUSAL_NOT_OWNER,
        absl::StrCat("the owner does not know endpoint ", attempt.endpoint));
    return false;
  }
  rpc::Result result;
  *result.mutable_status() = call.reply.status();
  this->dependencies.directory.RecordReply(
      request.service, request.match.rank->name, result, now);
  const EndpointLoad load = {
      call.reply.status().load(), call.reply.status().limit(),
      std::chrono::microseconds(call.reply.status().expected_wait_us()),
      call.reply.status().suspect_for_us() > 0};
  if (AcceptsRemoteRequest(load, attempt.chosen.mode,
                           attempt.chosen.max_wait)) {
    return true;
  }
  attempt.SetOutcome(
      CallerOutcome::kNotRun,
      load.suspect ? rpc::REFUSAL_SUSPECT : rpc::REFUSAL_BUSY,
      absl::StrCat(attempt.endpoint, load.suspect ? " is suspected of failing"
                                                  : ": no spare slot"));
  return false;
}

// Records the end of a call to the owner that was made before the request was
// sent and that brought no reply. Sets the outcome of the attempt: nothing was
// sent, so it did not run.
void AttemptSender::RecordNoReply(const IngressRequest& request,
                                  IngressAttempt& attempt,
                                  PeerCallEnd end,
                                  Clock::time_point sent_at) {
  EndpointDirectory& directory = this->dependencies.directory;
  attempt.SetOutcome(CallerOutcome::kNotRun, rpc::REFUSAL_NONE,
                     "the request was cancelled before it was sent");
  if (request.cancelled()) {
    directory.RequestPathCheck(attempt.ip);
    return;
  }
  switch (end) {
    case PeerCallEnd::kUnreadable:
      this->unreadable.Add();
      directory.RecordAccepted(attempt.ip, sent_at, Clock::now());
      attempt.detail = absl::StrCat("a call to the owner of ", attempt.endpoint,
                                    " was not read, or its reply cannot be "
                                    "read");
      return;
    case PeerCallEnd::kExpired:
      directory.RequestPathCheck(attempt.ip);
      attempt.reason = rpc::REFUSAL_DEADLINE;
      attempt.detail = absl::StrCat("the deadline passed before the owner of ",
                                    attempt.endpoint, " replied");
      return;
    case PeerCallEnd::kReplied:
    case PeerCallEnd::kFailed:
      break;
  }
  directory.RecordFailure(attempt.ip, PathFailure::kTransport, sent_at,
                          Clock::now());
  attempt.detail =
      absl::StrCat("the owner of ", attempt.endpoint, " cannot be reached");
}

void AttemptSender::FillRequest(const IngressRequest& request,
                                IngressAttempt& attempt) {
  rpc::ForwardRequest& message = attempt.message;
  ToProto(AttemptId{this->identity.name, this->identity.incarnation,
                    this->next_sequence++},
          *message.mutable_attempt());
  message.set_endpoint(attempt.endpoint);
  message.set_team(request.service.team);
  message.set_service(request.service.service);
  message.mutable_config_version()->set_generation(request.version.generation);
  message.mutable_config_version()->set_revision(request.version.revision);
  message.set_rank(request.match.rank->name);
  message.set_organisation(request.organisation);
  message.set_repeatable(request.match.route->repeat_safe);
  if (request.key) {
    message.set_idempotency_key(request.key->key);
  }
  RequestToProto(request.message, message);
  if (request.message.stream && request.message.stream->length) {
    message.set_body_length(*request.message.stream->length);
  }
  const std::string& expected = this->dependencies.headers.expected_instance;
  if (!expected.empty() && !attempt.chosen.instance.empty()) {
    rpc::Header& header = *message.add_headers();
    header.set_name(expected);
    header.set_value(attempt.chosen.instance);
  }
  this->dependencies.directory.AddSiblingSummaries(request.service, message);
}

// Adds a stamp of the owner to the message, and requests a new stamp if the
// stored one is too old. If there is no usable stamp, returns false and sets
// the outcome of the attempt.
bool AttemptSender::AttachFreshStamp(const IngressRequest& request,
                                     IngressAttempt& attempt) {
  std::optional<ReceivedStamp> stamp =
      this->dependencies.owners.StampOf(attempt.ip);
  const std::chrono::microseconds retention =
      request.match.service->key_retention;
  const auto usable = [&] {
    return stamp &&
           IsStampFresh(MakeKeyTimes(retention), stamp->received_at,
                        Clock::now()) &&
           this->dependencies.journal.MaySendWithStamp(
               retention, request.read_at, stamp->received_at);
  };
  if (!usable()) {
    const Clock::time_point sent_at = Clock::now();
    const StampCallResult call = this->dependencies.owners.RefreshStamp(
        attempt.ip, request.deadline,
        this->dependencies.directory.AcceptTimeoutOf(attempt.ip),
        request.cancelled);
    if (call.end != PeerCallEnd::kReplied) {
      this->RecordNoReply(request, attempt, call.end, sent_at);
      return false;
    }
    stamp = call.stamp;
  }
  // A new stamp is of no use to a request that was read too long ago, or before
  // this process paused. That is no fault of the owner.
  if (!usable()) {
    attempt.SetOutcome(CallerOutcome::kNotRun, rpc::REFUSAL_STALE_FORWARD,
                       "the request was read too long ago for a new stamp");
    return false;
  }
  ToProto(stamp->stamp, *attempt.message.mutable_stamp());
  attempt.message.set_owner_incarnation(stamp->stamp.incarnation);
  return true;
}

void AttemptSender::SendNonIdempotent(const IngressRequest& request,
                                      IngressAttempt& attempt) {
  if (!this->AttachFreshStamp(request, attempt)) {
    return;
  }
  const LedgerRequest ledger_request = LedgerRequestFromProto(attempt.message);
  if (request.key && !this->dependencies.journal.RecordKeyedAttempt(
                         attempt.endpoint, ledger_request, Clock::now())) {
    attempt.SetOutcome(CallerOutcome::kNotRun, rpc::REFUSAL_LEDGER_FULL,
                       "the journal of keyed attempts is full");
    return;
  }
  this->Send(request, attempt);
  // The attempt was sent only once. If it was refused by a different
  // incarnation than the intended one, it ran at neither. If it was refused
  // because its stamp is too old and it has no key, no other attempt can have
  // run the request earlier.
  const bool never_ran =
      attempt.reason == rpc::REFUSAL_INCARNATION ||
      (attempt.reason == rpc::REFUSAL_STALE_FORWARD && !request.key);
  if (attempt.outcome == CallerOutcome::kUnknown && never_ran) {
    attempt.outcome = CallerOutcome::kNotRun;
  }
  if (request.key) {
    const bool answered = attempt.outcome == CallerOutcome::kAnswered;
    this->dependencies.journal.RecordAttemptOutcome(
        ledger_request.attempt,
        answered                                    ? JournalOutcome::kAnswered
        : attempt.outcome == CallerOutcome::kNotRun ? JournalOutcome::kNotRun
                                                    : JournalOutcome::kUnknown,
        attempt.response, Clock::now());
  }
}

void AttemptSender::Send(const IngressRequest& request,
                         IngressAttempt& attempt) {
  const Clock::time_point sent_at = Clock::now();
  attempt.message.set_time_left_us(
      std::chrono::duration_cast<std::chrono::microseconds>(request.deadline -
                                                            sent_at)
          .count());
  attempt.message.set_age_us(
      std::chrono::duration_cast<std::chrono::microseconds>(sent_at -
                                                            request.read_at)
          .count());
  ForwardCallResult call = this->dependencies.owners.Forward(
      attempt.ip, attempt.message, request.message.stream.get(),
      {request.deadline,
       this->dependencies.directory.AcceptTimeoutOf(attempt.ip),
       request.cancelled});
  this->RecordPath(attempt, call, sent_at);
  if (call.transport == TransportOutcome::kReplied) {
    this->dependencies.directory.RecordReply(
        request.service, request.match.rank->name, call.result, Clock::now());
    attempt.reason = call.result.reason();
    attempt.sent = call.result.sent_to_backend();
    attempt.detail = call.result.detail();
    switch (call.result.outcome()) {
      case rpc::OUTCOME_ANSWERED:
        this->SetResponse(*call.result.mutable_answer(), attempt);
        return;
      case rpc::OUTCOME_NOT_RUN:
        attempt.outcome = CallerOutcome::kNotRun;
        return;
      default:
        attempt.outcome = CallerOutcome::kUnknown;
        return;
    }
  }
  const std::string error(call.error.message());
  if (call.transport == TransportOutcome::kNotSent) {
    attempt.SetOutcome(CallerOutcome::kNotRun, rpc::REFUSAL_NONE, error);
    return;
  }
  attempt.SetOutcome(CallerOutcome::kUnknown, rpc::REFUSAL_NONE, error);
  attempt.sent = true;
  if (!request.match.route->repeat_safe &&
      call.transport != TransportOutcome::kCancelled) {
    this->FenceAfterFailure(request, attempt);
  }
}

// Records what the end of a Forward call says about the path to the owner. If
// it says nothing, the path is checked: a connection may have become silent
// while no request waited long enough to notice it.
void AttemptSender::RecordPath(const IngressAttempt& attempt,
                               const ForwardCallResult& call,
                               Clock::time_point sent_at) {
  EndpointDirectory& directory = this->dependencies.directory;
  const bool unreadable = call.transport == TransportOutcome::kUnreadable;
  const bool replied = call.transport == TransportOutcome::kReplied;
  if (unreadable) {
    this->unreadable.Add();
  }
  if (call.accepted || unreadable || replied) {
    directory.RecordAccepted(attempt.ip, sent_at, sent_at + call.accept_time);
  } else if (call.path_failed) {
    this->path_failures.Add();
    directory.RecordFailure(attempt.ip,
                            call.transport == TransportOutcome::kNotAccepted
                                ? PathFailure::kAcceptTimeout
                                : PathFailure::kTransport,
                            sent_at, Clock::now());
  }
  if (!call.path_failed && !unreadable && !replied) {
    directory.RequestPathCheck(attempt.ip);
  }
}

// Sets the outcome of an attempt to a response of its backend server.
void AttemptSender::SetResponse(rpc::Answer& answer, IngressAttempt& attempt) {
  if (!HoldsResponse(answer)) {
    this->unreadable.Add();
    attempt.SetOutcome(CallerOutcome::kUnknown, rpc::REFUSAL_BACKEND_FAILED,
                       absl::StrCat("the owner passed on a malformed response "
                                    "with status ",
                                    answer.status()));
    return;
  }
  const int status = answer.status();
  attempt.response =
      TakeResponse(answer, RefusalMeaningOf(this->dependencies.headers));
  if (attempt.response) {
    attempt.outcome = CallerOutcome::kAnswered;
    return;
  }
  attempt.SetOutcome(CallerOutcome::kUnknown, rpc::REFUSAL_BACKEND_FAILED,
                     absl::StrCat("the owner passed on an unmarked refusal "
                                  "with status ",
                                  status));
}

// Queries the outcome of an attempt whose reply was lost, over a new
// connection, and prevents the attempt from running if it has not started. The
// outcome remains unknown if the request is cancelled before.
void AttemptSender::FenceAfterFailure(const IngressRequest& request,
                                      IngressAttempt& attempt) {
  this->fences.Add();
  rpc::FenceAttemptRequest fence;
  *fence.mutable_attempt() = attempt.message.attempt();
  fence.set_endpoint(attempt.endpoint);
  fence.set_idempotency_key(attempt.message.idempotency_key());
  fence.set_owner_incarnation(attempt.message.owner_incarnation());
  fence.set_team(request.service.team);
  fence.set_service(request.service.service);
  fence.set_request_hash(LedgerRequestFromProto(attempt.message).request_hash);
  *fence.mutable_stamp() = attempt.message.stamp();
  const Clock::time_point now = Clock::now();
  Clock::time_point fence_deadline = std::max<Clock::time_point>(
      std::min<Clock::time_point>(request.deadline, now + kFenceTimeout),
      now + kMinFenceTimeout);
  while (Clock::now() < fence_deadline && !request.cancelled()) {
    rpc::FenceReply reply = this->dependencies.owners.FenceAttempt(
        attempt.ip, fence, fence_deadline, request.cancelled);
    attempt.fence = reply.state();
    switch (reply.state()) {
      case rpc::FENCE_FENCED:
        attempt.outcome = CallerOutcome::kNotRun;
        attempt.sent = false;
        return;
      case rpc::FENCE_DONE:
        this->SetResponse(*reply.mutable_answer(), attempt);
        return;
      case rpc::FENCE_RUNNING:
        // The owner is reachable, so wait for the result until the deadline.
        fence_deadline = std::max(fence_deadline, request.deadline);
        [[fallthrough]];
      case rpc::FENCE_UNSPECIFIED:
        std::this_thread::sleep_for(kFencePollPeriod);
        break;
      default:
        return;
    }
  }
}

}  // namespace comfrey
