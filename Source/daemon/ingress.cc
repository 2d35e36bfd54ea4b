#include "daemon/ingress.h"

#include <algorithm>
#include <optional>
#include <set>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "config/route_table.h"
#include "core/key_placement.h"
#include "daemon/message_conversion.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kMaxAttempts = 3;
// After the deadline, an attempt with a lost reply is fenced for this time, so
// that the caller can be told for certain that it did not run.
constexpr std::chrono::milliseconds kFenceGrace{500};
constexpr std::chrono::milliseconds kFencePollPeriod{20};
constexpr std::size_t kMaxKeyLength = 256;

constexpr char kOrganisationHeader[] = "X-Organisation";
constexpr char kKeyHeader[] = "Idempotency-Key";

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnprocessable = 422;
constexpr int kServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

IngressReply RefuseUnmatched(MatchStatus status) {
  if (status == MatchStatus::kBadTarget) {
    return OwnReply(CallerOutcome::kNotRun, kBadRequest,
                    "the request target is not a valid absolute path");
  }
  return OwnReply(CallerOutcome::kNotRun, kNotFound,
                  status == MatchStatus::kNoTeam
                      ? "no team is served under this path"
                      : "no route matches this request");
}

RouteMatch MatchRequest(const RouteTable& table, const HttpRequest& request) {
  return Match(table, request.method, request.target,
               [&](absl::string_view name) -> std::optional<std::string> {
                 const absl::string_view value =
                     FindHeader(request.headers, name);
                 return value.empty() ? std::nullopt
                                      : std::make_optional(std::string(value));
               });
}

std::string IpOf(const ServiceConfig& service, const std::string& address) {
  const auto found = std::find_if(
      service.endpoints.begin(), service.endpoints.end(),
      [&](const EndpointConfig& e) { return e.address == address; });
  return found == service.endpoints.end() ? "" : found->ip;
}

std::string HomeOf(const ServiceConfig& service, const KeyId& key) {
  std::vector<PlacedEndpoint> placed;
  placed.reserve(service.endpoints.size());
  for (const EndpointConfig& endpoint : service.endpoints) {
    placed.push_back({endpoint.address, PhaseOf(endpoint.keys)});
  }
  return PlaceKey(key, placed).home;
}

int StatusOf(CallerOutcome outcome, rpc::RefusalReason reason) {
  if (reason == rpc::REFUSAL_DEADLINE) {
    return kGatewayTimeout;
  }
  if (reason == rpc::REFUSAL_OTHER_REQUEST) {
    return kUnprocessable;
  }
  return outcome == CallerOutcome::kNotRun ? kUnavailable : kBadGateway;
}

}  // namespace

// One request of a caller.
struct Ingress::Context {
  HttpRequest request;
  const RouteMatch& match;
  ServiceId service;
  ConfigVersion version;
  std::optional<KeyId> key;
  std::string organisation;
  Clock::time_point read_at;
  Clock::time_point deadline;
};

// One attempt to run it, and what became of the attempt.
struct Ingress::Attempt {
  std::string endpoint;
  std::string ip;
  rpc::ForwardRequest message;
  CallerOutcome outcome = CallerOutcome::kNotRun;
  rpc::RefusalReason reason = rpc::REFUSAL_NONE;
  HttpResponse response;
  std::string detail;
  /// Whether "not run" is known from a fence rather than a refusal.
  bool fenced = false;

  void Set(CallerOutcome next, rpc::RefusalReason why, std::string text) {
    this->outcome = next;
    this->reason = why;
    this->detail = std::move(text);
  }

  IngressReply ToReply() {
    if (this->outcome == CallerOutcome::kAnswered) {
      return {this->outcome, std::move(this->response)};
    }
    return OwnReply(this->outcome, StatusOf(this->outcome, this->reason),
                    this->detail);
  }
};

IngressReply OwnReply(CallerOutcome outcome,
                      int status,
                      const std::string& text) {
  IngressReply reply;
  reply.outcome = outcome;
  reply.response.status = status;
  reply.response.headers = {
      {"Comfrey-Outcome",
       outcome == CallerOutcome::kNotRun ? "not-run" : "unknown"},
      {"Content-Type", "text/plain"}};
  if (status == kUnavailable) {
    reply.response.headers.push_back({"Retry-After", "1"});
  }
  reply.response.body = text + "\n";
  return reply;
}

Ingress::Ingress(IngressIdentity identity, const IngressParts& parts)
    : identity(std::move(identity)),
      parts(parts),
      requests(parts.counters.Counter("comfrey_ingress_requests_total")),
      answered(parts.counters.Counter("comfrey_ingress_answered_total")),
      not_run(parts.counters.Counter("comfrey_ingress_not_run_total")),
      unknown(parts.counters.Counter("comfrey_ingress_unknown_total")),
      retries(parts.counters.Counter("comfrey_ingress_retries_total")),
      fences(parts.counters.Counter("comfrey_ingress_fences_total")),
      path_failures(
          parts.counters.Counter("comfrey_ingress_path_failures_total")) {}

IngressReply Ingress::Handle(const HttpRequest& request) {
  this->requests.Add();
  const Clock::time_point read_at = Clock::now();
  const std::shared_ptr<const ConfigStore> store = this->parts.config.Current();
  const RouteMatch match = MatchRequest(store->routes, request);
  if (match.status != MatchStatus::kFound) {
    this->not_run.Add();
    return RefuseUnmatched(match.status);
  }
  const std::string& team = match.team->team;
  Context context{request,
                  match,
                  {team, match.service->name},
                  store->subtrees.find(team)->second->version,
                  std::nullopt,
                  std::string(FindHeader(request.headers, kOrganisationHeader)),
                  read_at,
                  read_at + match.route->deadline};
  context.request.target = match.target;
  IngressReply reply = this->Forward(context);
  switch (reply.outcome) {
    case CallerOutcome::kAnswered:
      this->answered.Add();
      break;
    case CallerOutcome::kNotRun:
      this->not_run.Add();
      break;
    case CallerOutcome::kUnknown:
      this->unknown.Add();
      break;
  }
  if (reply.outcome == CallerOutcome::kAnswered &&
      reply.response.status < kServerError) {
    this->parts.levels.AddResponse(
        team, match.rank->name,
        std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() -
                                                              read_at));
  } else {
    this->parts.levels.AddMiss(team, match.rank->name);
  }
  return reply;
}

IngressReply Ingress::Forward(Context& context) {
  this->parts.directory.CountFirstAttempt(context.service);
  if (context.match.route->repeat_safe) {
    return this->ForwardIdempotent(context);
  }
  const std::string key(FindHeader(context.request.headers, kKeyHeader));
  if (key.size() > kMaxKeyLength) {
    return OwnReply(CallerOutcome::kNotRun, kBadRequest,
                    absl::StrCat("Idempotency-Key is longer than ",
                                 kMaxKeyLength, " characters"));
  }
  if (!key.empty()) {
    context.key = KeyId{context.service.team, context.service.service, key};
  }
  return this->ForwardNonIdempotent(context);
}

IngressReply Ingress::ForwardIdempotent(Context& context) {
  std::set<std::string> tried;
  std::optional<Attempt> best;
  for (int i = 0; i < kMaxAttempts && Clock::now() < context.deadline; ++i) {
    const std::optional<std::string> endpoint = this->parts.directory.Choose(
        context.service, context.match.rank->name, tried, true);
    if (!endpoint) {
      break;
    }
    if (best &&
        !this->parts.directory.TakeRetryOf(
            context.service, RepeatPolicy::kSafe,
            best->outcome == CallerOutcome::kNotRun ? AttemptEnd::kRefused
                                                    : AttemptEnd::kUnknown)) {
      break;
    }
    if (best) {
      this->retries.Add();
    }
    tried.insert(*endpoint);
    Attempt attempt;
    attempt.endpoint = *endpoint;
    this->SendIdempotent(context, attempt);
    if (attempt.outcome == CallerOutcome::kAnswered &&
        attempt.reason == rpc::REFUSAL_NONE) {
      return attempt.ToReply();
    }
    // An attempt that may have run makes the outcome unknown, whatever
    // becomes of the others.
    if (!best || best->outcome == CallerOutcome::kNotRun ||
        attempt.outcome == CallerOutcome::kAnswered) {
      best = std::move(attempt);
    }
  }
  if (!best) {
    return OwnReply(
        CallerOutcome::kNotRun, kUnavailable,
        absl::StrCat("no endpoint of service ", context.service.service,
                     " accepts work of rank ", context.match.rank->name));
  }
  return best->ToReply();
}

IngressReply Ingress::ForwardNonIdempotent(Context& context) {
  std::set<std::string> tried;
  std::optional<Attempt> last;
  for (int i = 0; i < kMaxAttempts && Clock::now() < context.deadline; ++i) {
    std::optional<std::string> endpoint;
    if (context.key) {
      endpoint = HomeOf(*context.match.service, *context.key);
    } else {
      endpoint = this->parts.directory.Choose(
          context.service, context.match.rank->name, tried, false);
    }
    if (!endpoint || endpoint->empty()) {
      break;
    }
    if (last) {
      // Only the home may run a key; it is asked again only where the refusal
      // was about the incarnation, of which the reply has brought a new stamp.
      if (context.key && last->reason != rpc::REFUSAL_INCARNATION) {
        break;
      }
      if (!this->parts.directory.TakeRetryOf(
              context.service, RepeatPolicy::kNever,
              last->fenced ? AttemptEnd::kFenced : AttemptEnd::kRefused)) {
        break;
      }
      this->retries.Add();
    }
    tried.insert(*endpoint);
    Attempt attempt;
    attempt.endpoint = *endpoint;
    this->SendNonIdempotent(context, attempt);
    if (attempt.outcome != CallerOutcome::kNotRun) {
      return attempt.ToReply();
    }
    last = std::move(attempt);
  }
  if (!last) {
    return OwnReply(
        CallerOutcome::kNotRun, kUnavailable,
        absl::StrCat("no endpoint of service ", context.service.service,
                     " accepts work of rank ", context.match.rank->name));
  }
  return last->ToReply();
}

void Ingress::FillMessage(const Context& context, Attempt& attempt) {
  attempt.ip = IpOf(*context.match.service, attempt.endpoint);
  rpc::ForwardRequest& message = attempt.message;
  ToProto(AttemptId{this->identity.name, this->identity.incarnation,
                    this->next_sequence++},
          *message.mutable_attempt());
  message.set_endpoint(attempt.endpoint);
  message.set_team(context.service.team);
  message.set_service(context.service.service);
  message.mutable_config_version()->set_generation(context.version.generation);
  message.mutable_config_version()->set_revision(context.version.revision);
  message.set_rank(context.match.rank->name);
  message.set_organisation(context.organisation);
  message.set_repeatable(context.match.route->repeat_safe);
  if (context.key) {
    message.set_idempotency_key(context.key->key);
  }
  RequestToProto(context.request, message);
  this->parts.directory.AddSiblings(context.service, message);
}

void Ingress::SendIdempotent(const Context& context, Attempt& attempt) {
  this->FillMessage(context, attempt);
  this->Send(context, attempt);
}

// Gets a stamp that may be sent with the request; false if there is none.
bool Ingress::PrepareStamp(const Context& context, Attempt& attempt) {
  std::optional<ReceivedStamp> stamp =
      this->parts.owners.StampOf(attempt.ip, context.deadline);
  const std::chrono::microseconds retention =
      context.match.service->key_retention;
  if (stamp && !this->parts.journal.MaySend(retention, context.read_at,
                                            stamp->received_at)) {
    stamp.reset();
  }
  if (!stamp) {
    return false;
  }
  ToProto(stamp->stamp, *attempt.message.mutable_stamp());
  attempt.message.set_owner_incarnation(stamp->stamp.incarnation);
  return true;
}

void Ingress::SendNonIdempotent(const Context& context, Attempt& attempt) {
  this->FillMessage(context, attempt);
  if (!this->PrepareStamp(context, attempt)) {
    const auto now = Clock::now();
    this->parts.directory.RecordFailure(attempt.ip, PathFailure::kTransport,
                                        now, now);
    attempt.Set(
        CallerOutcome::kNotRun, rpc::REFUSAL_NONE,
        absl::StrCat("the owner of ", attempt.endpoint, " is not reached"));
    return;
  }
  const LedgerRequest ledger_request = LedgerRequestFromProto(attempt.message);
  if (context.key && !this->parts.journal.EnterAttempt(
                         attempt.endpoint, ledger_request, Clock::now())) {
    attempt.Set(CallerOutcome::kNotRun, rpc::REFUSAL_LEDGER_FULL,
                "the journal of keyed attempts is full");
    return;
  }
  this->Send(context, attempt);
  if (attempt.outcome == CallerOutcome::kUnknown &&
      attempt.reason == rpc::REFUSAL_INCARNATION) {
    // The attempt was sent once, and it reached another incarnation than the
    // one that it was meant for; so it ran at neither.
    attempt.outcome = CallerOutcome::kNotRun;
  }
  if (context.key) {
    const bool responded = attempt.outcome == CallerOutcome::kAnswered;
    this->parts.journal.EnterOutcome(
        ledger_request.attempt,
        responded                                   ? JournalOutcome::kResponded
        : attempt.outcome == CallerOutcome::kNotRun ? JournalOutcome::kNotRun
                                                    : JournalOutcome::kUnknown,
        responded ? std::make_shared<const HttpResponse>(attempt.response)
                  : nullptr,
        Clock::now());
  }
}

// Sends the attempt once and sets its outcome.
void Ingress::Send(const Context& context, Attempt& attempt) {
  const Clock::time_point sent_at = Clock::now();
  attempt.message.set_time_left_us(
      std::chrono::duration_cast<std::chrono::microseconds>(context.deadline -
                                                            sent_at)
          .count());
  const ForwardCallResult call = this->parts.owners.Forward(
      attempt.ip, attempt.message,
      {context.deadline, this->parts.directory.AcceptTimeoutOf(attempt.ip)});
  const Clock::time_point now = Clock::now();
  if (call.accepted || call.transport == ForwardTransport::kReplied) {
    this->parts.directory.RecordAccepted(attempt.ip, sent_at,
                                         sent_at + call.accept_time);
  } else {
    this->path_failures.Add();
    this->parts.directory.RecordFailure(
        attempt.ip,
        call.transport == ForwardTransport::kNotAccepted
            ? PathFailure::kAcceptTimeout
            : PathFailure::kTransport,
        sent_at, now);
  }
  if (call.transport == ForwardTransport::kReplied) {
    this->parts.directory.RecordReply(context.service, context.match.rank->name,
                                      call.result, now);
    attempt.reason = call.result.reason();
    attempt.detail = call.result.detail();
    switch (call.result.outcome()) {
      case rpc::OUTCOME_ANSWERED:
        attempt.outcome = CallerOutcome::kAnswered;
        attempt.response = FromProto(call.result.answer());
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
  if (call.transport == ForwardTransport::kNotSent) {
    attempt.Set(CallerOutcome::kNotRun, rpc::REFUSAL_NONE, error);
    return;
  }
  attempt.Set(CallerOutcome::kUnknown, rpc::REFUSAL_NONE, error);
  if (!context.match.route->repeat_safe) {
    this->FenceAfterFailure(context, attempt);
  }
}

// Finds out over a new connection what became of an attempt whose reply was
// lost, and prevents it from running if it has not started.
void Ingress::FenceAfterFailure(const Context& context, Attempt& attempt) {
  this->fences.Add();
  rpc::FenceAttemptRequest request;
  *request.mutable_attempt() = attempt.message.attempt();
  request.set_endpoint(attempt.endpoint);
  request.set_idempotency_key(attempt.message.idempotency_key());
  request.set_owner_incarnation(attempt.message.owner_incarnation());
  request.set_team(context.service.team);
  request.set_service(context.service.service);
  request.set_request_hash(
      LedgerRequestFromProto(attempt.message).request_hash);
  *request.mutable_stamp() = attempt.message.stamp();
  const Clock::time_point give_up =
      std::max(context.deadline, Clock::now()) + kFenceGrace;
  while (Clock::now() < give_up) {
    const rpc::FenceReply reply =
        this->parts.owners.FenceAttempt(attempt.ip, request, give_up);
    switch (reply.state()) {
      case rpc::FENCE_FENCED:
        attempt.outcome = CallerOutcome::kNotRun;
        attempt.fenced = true;
        return;
      case rpc::FENCE_DONE:
        attempt.outcome = CallerOutcome::kAnswered;
        attempt.response = FromProto(reply.answer());
        return;
      case rpc::FENCE_RUNNING:
      case rpc::FENCE_UNSPECIFIED:
        std::this_thread::sleep_for(kFencePollPeriod);
        break;
      default:
        return;
    }
  }
}

}  // namespace comfrey
