#include "daemon/ingress.h"

#include <algorithm>
#include <optional>
#include <thread>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "config/route_table.h"
#include "core/attempt_journal.h"
#include "core/key_placement.h"
#include "daemon/message_conversion.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

// Owners that are asked on behalf of one request; each question takes about a
// round trip within the region.
constexpr int kMaxAsks = 16;
constexpr int kMaxKeyedAttempts = 3;
// An owner that refuses a request because of its deadline has the last word
// when less than this part of the time is left: the others need about as long.
constexpr int kLastPartOfTime = 4;
// A question for the load takes a round trip more than the request itself, so
// it is asked only if that is at most this part of the target.
constexpr int kTargetPerQuestion = 16;
// How long an attempt with a lost reply is fenced, so that the caller can be
// told for certain that it did not run. An owner that cannot be reached for
// this long has failed, and the caller is told that the outcome is unknown.
constexpr std::chrono::milliseconds kFenceTime{1000};
constexpr std::chrono::milliseconds kFenceGrace{100};
constexpr std::chrono::milliseconds kFencePollPeriod{50};
// Bounds of the time after which a refused caller may come back.
constexpr std::chrono::milliseconds kMinRetryAfter{100};
constexpr std::chrono::milliseconds kMaxRetryAfter{1000};
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

KeyTimes MakeKeyTimes(std::chrono::microseconds retention) {
  KeyTimes times;
  times.key_retention =
      std::chrono::duration_cast<std::chrono::milliseconds>(retention);
  return times;
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
  if (reason == rpc::REFUSAL_OTHER_REQUEST) {
    return kUnprocessable;
  }
  if (outcome == CallerOutcome::kNotRun) {
    return kUnavailable;
  }
  return reason == rpc::REFUSAL_DEADLINE ? kGatewayTimeout : kBadGateway;
}

bool HasName(const HttpHeader& header, const std::string& name) {
  return !name.empty() && absl::EqualsIgnoreCase(header.name, name);
}

// Time that the caller says it still waits, or nothing.
std::optional<std::chrono::milliseconds> TimeLeft(const HttpRequest& request,
                                                  const HeaderNames& names) {
  std::uint32_t milliseconds = 0;
  if (names.attempt_id.empty() ||
      !absl::SimpleAtoi(FindHeader(request.headers, names.time_left),
                        &milliseconds)) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(milliseconds);
}

// Sets the headers that callers must not choose themselves.
void SetOwnHeaders(HttpRequest& request,
                   const HeaderNames& names,
                   const std::string& local_service) {
  request.headers.erase(
      std::remove_if(request.headers.begin(), request.headers.end(),
                     [&](const HttpHeader& header) {
                       return HasName(header, names.caller_service) ||
                              HasName(header, names.expected_instance);
                     }),
      request.headers.end());
  if (!names.caller_service.empty() && !local_service.empty()) {
    request.headers.push_back({names.caller_service, local_service});
  }
}

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

std::string FormatSeconds(std::chrono::microseconds time) {
  return absl::StrFormat("%.2f", std::chrono::duration<double>(time).count());
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
  const CancelCheck& cancelled;
  RequestTrace& trace;
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
  /// Whether a backend server may have received the request.
  bool sent = false;
  ChosenEndpoint chosen;
  Clock::time_point offered_at;

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

// What one request has met so far.
struct Ingress::Progress {
  AskedEndpoints asked;
  int asks = 0;
  /// Attempts that backend servers may have received.
  int sent = 0;
  /// A retry of the budget was taken and not yet sent.
  bool holds_retry = false;
  /// The attempt that decides the reply if no other one is answered.
  std::optional<Attempt> best;

  void Keep(Attempt attempt) {
    // An attempt that may have run makes the outcome unknown, whatever becomes
    // of the others.
    if (!this->best || this->best->outcome == CallerOutcome::kNotRun ||
        attempt.outcome == CallerOutcome::kAnswered) {
      this->best = std::move(attempt);
    }
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
      rng(std::random_device()()),
      requests(parts.counters.Counter("comfrey_ingress_requests_total")),
      answered(parts.counters.Counter("comfrey_ingress_answered_total")),
      not_run(parts.counters.Counter("comfrey_ingress_not_run_total")),
      unknown(parts.counters.Counter("comfrey_ingress_unknown_total")),
      retries(parts.counters.Counter("comfrey_ingress_retries_total")),
      fences(parts.counters.Counter("comfrey_ingress_fences_total")),
      path_failures(
          parts.counters.Counter("comfrey_ingress_path_failures_total")) {}

double Ingress::Draw() {
  const std::lock_guard<std::mutex> lock(this->draw_mutex);
  return std::uniform_real_distribution<double>(0, 1)(this->rng);
}

IngressReply Ingress::Handle(const HttpRequest& request,
                             const CancelCheck& cancelled) {
  this->requests.Add();
  const Clock::time_point read_at = Clock::now();
  const std::shared_ptr<const ConfigStore> store = this->parts.config.Current();
  RouteMatch match = MatchRequest(store->routes, request);
  if (match.status != MatchStatus::kFound) {
    this->not_run.Add();
    return RefuseUnmatched(match.status);
  }
  match.service = SelectService(match, this->Draw());
  const std::string& team = match.team->team;
  RequestTrace trace;
  trace.id = this->TraceId(request);
  std::chrono::microseconds patience = match.route->deadline;
  if (const auto left = TimeLeft(request, this->parts.headers)) {
    patience = std::min<std::chrono::microseconds>(patience, *left);
  }
  Context context{request,
                  match,
                  {team, match.service->name},
                  store->subtrees.find(team)->second->version,
                  std::nullopt,
                  std::string(FindHeader(request.headers, kOrganisationHeader)),
                  read_at,
                  read_at + patience,
                  cancelled,
                  trace};
  context.request.target = match.target;
  SetOwnHeaders(context.request, this->parts.headers,
                this->parts.local_service());
  trace.Add("request_received")
      .Add("route", match.route->name)
      .Add("service", match.service->name)
      .Add("rank", match.rank->name)
      .AddFlag("idempotent", match.route->repeat_safe)
      .Add("config", FormatConfigVersion(context.version))
      .AddTime("time_left", patience);
  IngressReply reply = this->Forward(context);
  this->Finish(context, reply);
  return reply;
}

// The id that the caller gave its attempt, or one that is unique here.
std::string Ingress::TraceId(const HttpRequest& request) {
  const absl::string_view id =
      this->parts.headers.attempt_id.empty()
          ? absl::string_view()
          : FindHeader(request.headers, this->parts.headers.attempt_id);
  return id.empty() ? absl::StrCat(this->identity.name, "-",
                                   this->identity.incarnation, "-",
                                   this->next_sequence.load())
                    : std::string(id);
}

// Counts and logs the end of a request.
void Ingress::Finish(Context& context, const IngressReply& reply) {
  const std::string& team = context.service.team;
  const std::string& rank = context.match.rank->name;
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
  const auto took = std::chrono::duration_cast<std::chrono::microseconds>(
      Clock::now() - context.read_at);
  const bool served = reply.outcome == CallerOutcome::kAnswered &&
                      reply.response.status < kServerError;
  if (served) {
    this->parts.levels.AddResponse(team, rank, took);
  } else {
    this->parts.levels.AddMiss(team, rank);
  }
  const std::size_t offers = context.trace.events.size() - 1;
  LogEvent& event = context.trace.Add("request_finished");
  event.Add("outcome", OutcomeName(reply.outcome))
      .Add("status", reply.response.status)
      .Add("offers", static_cast<std::int64_t>(offers))
      .AddTime("took", took);
  if (reply.outcome != CallerOutcome::kAnswered) {
    event.Add("detail", absl::StripAsciiWhitespace(reply.response.body));
  }
  this->parts.log.Write(context.trace, !served || offers > 1);
}

// Logs where the request was offered, on which knowledge, and with what result.
void Ingress::TraceOffer(const Context& context, const Attempt& attempt) {
  const ChosenEndpoint& chosen = attempt.chosen;
  LogEvent& event = context.trace.Add("request_offered");
  event.Add("endpoint", attempt.endpoint)
      .Add("instance", chosen.instance)
      .Add("mode", PlacementModeName(chosen.mode))
      .Add("distance", chosen.distance)
      .AddTime("expected_wait", chosen.expected_wait)
      .AddTime("knowledge_age", chosen.knowledge_age)
      .Add("outcome", OutcomeName(attempt.outcome))
      .AddFlag("sent", attempt.sent)
      .AddTime("took", Clock::now() - attempt.offered_at);
  if (attempt.outcome == CallerOutcome::kAnswered) {
    event.Add("status", attempt.response.status);
  } else {
    event.Add("reason", rpc::RefusalReason_Name(attempt.reason))
        .Add("detail", attempt.detail);
  }
}

IngressReply Ingress::Forward(Context& context) {
  this->parts.directory.CountFirstAttempt(context.service);
  if (context.match.route->repeat_safe) {
    return this->ForwardPlaced(context);
  }
  const std::string key(FindHeader(context.request.headers, kKeyHeader));
  if (key.size() > kMaxKeyLength) {
    return OwnReply(CallerOutcome::kNotRun, kBadRequest,
                    absl::StrCat("Idempotency-Key is longer than ",
                                 kMaxKeyLength, " characters"));
  }
  if (key.empty()) {
    return this->ForwardPlaced(context);
  }
  context.key = KeyId{context.service.team, context.service.service, key};
  return this->ForwardKeyed(context);
}

// Offers the request to one endpoint after the other, until it is answered or
// must not be sent again.
IngressReply Ingress::ForwardPlaced(Context& context) {
  const bool idempotent = context.match.route->repeat_safe;
  Progress progress;
  while (this->MayOffer(context, progress)) {
    const std::optional<ChosenEndpoint> chosen = this->parts.directory.Choose(
        context.service, *context.match.rank, progress.asked);
    if (!chosen) {
      break;
    }
    Attempt attempt;
    attempt.endpoint = chosen->address;
    attempt.ip = chosen->ip;
    attempt.chosen = *chosen;
    this->Offer(context, progress, attempt);
    this->parts.directory.Finish(context.service, chosen->address);
    const bool answered = attempt.outcome == CallerOutcome::kAnswered &&
                          attempt.reason == rpc::REFUSAL_NONE;
    const bool final = idempotent
                           ? answered && attempt.response.status < kServerError
                           : attempt.outcome != CallerOutcome::kNotRun;
    if (final) {
      return attempt.ToReply();
    }
    const bool too_late = IsTooLate(context, attempt);
    progress.Keep(std::move(attempt));
    if (too_late) {
      break;
    }
  }
  if (progress.holds_retry) {
    this->parts.directory.ReturnRetryOf(context.service);
  }
  return this->GiveUp(context, progress);
}

// Whether the request may be offered once more.
bool Ingress::MayOffer(const Context& context, Progress& progress) {
  if (++progress.asks > kMaxAsks || Clock::now() >= context.deadline ||
      context.cancelled()) {
    return false;
  }
  if (progress.sent == 0 || progress.holds_retry) {
    return true;
  }
  if (progress.sent >= context.match.route->max_attempts ||
      !this->parts.directory.TakeRetryOf(context.service, RepeatPolicy::kSafe,
                                         AttemptEnd::kFailed)) {
    return false;
  }
  progress.holds_retry = true;
  return true;
}

// Sends the attempt and records what became of it.
void Ingress::Offer(const Context& context,
                    Progress& progress,
                    Attempt& attempt) {
  attempt.offered_at = Clock::now();
  this->FillMessage(context, attempt);
  const bool spare = attempt.chosen.mode == PlacementMode::kSpare;
  attempt.message.set_run_now(spare ||
                              attempt.chosen.mode == PlacementMode::kRunNow);
  attempt.message.set_spare_only(spare);
  attempt.message.set_max_wait_us(attempt.chosen.longest_wait.count());
  attempt.message.set_accept_suspect(attempt.chosen.mode ==
                                     PlacementMode::kForce);
  if (this->MayTravel(context, attempt)) {
    if (context.match.route->repeat_safe) {
      this->Send(context, attempt);
    } else {
      this->SendNonIdempotent(context, attempt);
    }
  }
  this->TraceOffer(context, attempt);
  if (attempt.sent) {
    if (++progress.sent > 1) {
      this->retries.Add();
    }
    progress.holds_retry = false;
  }
  AskResult& asked = progress.asked[attempt.endpoint];
  if (attempt.reason == rpc::REFUSAL_BUSY) {
    asked = AskResult::kBusy;
  } else if (attempt.reason == rpc::REFUSAL_SUSPECT) {
    asked = AskResult::kSuspect;
  } else {
    asked = AskResult::kExcluded;
  }
}

// Asks for the load of an endpoint in another region before a body travels
// there, since most of such endpoints refuse in an overload and links between
// regions are billed. If the request is not worth sending, sets the outcome of
// the attempt.
bool Ingress::MayTravel(const Context& context, Attempt& attempt) {
  if (!attempt.chosen.remote || context.request.body.empty() ||
      attempt.chosen.round_trip >
          context.match.rank->target / kTargetPerQuestion) {
    return true;
  }
  rpc::LoadRequest request;
  request.set_endpoint(attempt.endpoint);
  request.set_team(context.service.team);
  request.set_service(context.service.service);
  request.set_rank(context.match.rank->name);
  request.set_organisation(context.organisation);
  const Clock::time_point sent_at = Clock::now();
  const std::optional<rpc::LoadReply> reply = this->parts.owners.AskLoad(
      attempt.ip, request, context.deadline,
      this->parts.directory.AcceptTimeoutOf(attempt.ip));
  const Clock::time_point now = Clock::now();
  if (!reply) {
    this->NoteUnreached(attempt, sent_at, now);
    return false;
  }
  this->parts.directory.RecordAccepted(attempt.ip, sent_at, now);
  if (!reply->has_status()) {
    attempt.Set(
        CallerOutcome::kNotRun, rpc::REFUSAL_NOT_OWNER,
        absl::StrCat("the owner does not know endpoint ", attempt.endpoint));
    return false;
  }
  rpc::Result result;
  *result.mutable_status() = reply->status();
  this->parts.directory.RecordReply(context.service, context.match.rank->name,
                                    result, now);
  const EndpointLoad load = {
      reply->status().load(), reply->status().limit(),
      std::chrono::microseconds(reply->status().expected_wait_us()),
      reply->status().suspect_for_us() > 0};
  if (MayTravelTo(load, attempt.chosen.mode, attempt.chosen.longest_wait)) {
    return true;
  }
  attempt.Set(
      CallerOutcome::kNotRun,
      load.suspect ? rpc::REFUSAL_SUSPECT : rpc::REFUSAL_BUSY,
      absl::StrCat(attempt.endpoint,
                   load.suspect ? " probably fails" : ": no slot to spare"));
  return false;
}

// Records that the owner of the endpoint was not reached, so that nothing was
// sent to it.
void Ingress::NoteUnreached(Attempt& attempt,
                            Clock::time_point sent_at,
                            Clock::time_point now) {
  this->parts.directory.RecordFailure(attempt.ip, PathFailure::kTransport,
                                      sent_at, now);
  attempt.Set(
      CallerOutcome::kNotRun, rpc::REFUSAL_NONE,
      absl::StrCat("the owner of ", attempt.endpoint, " is not reached"));
}

// The reply where no attempt was answered.
IngressReply Ingress::GiveUp(const Context& context, const Progress& progress) {
  IngressReply reply;
  if (progress.best) {
    Attempt best = *progress.best;
    if (best.outcome == CallerOutcome::kUnknown &&
        Clock::now() >= context.deadline) {
      best.reason = rpc::REFUSAL_DEADLINE;
    }
    reply = best.ToReply();
  } else {
    reply = OwnReply(
        CallerOutcome::kNotRun, kUnavailable,
        absl::StrCat("no endpoint of service ", context.service.service,
                     " accepts work of rank ", context.match.rank->name));
  }
  if (reply.outcome == CallerOutcome::kNotRun) {
    // Spread, so that the refused callers do not come back at once.
    const std::chrono::duration<double, std::micro> wait =
        this->parts.directory.ShortestWait(context.service,
                                           context.match.rank->name) *
        (1 + this->Draw());
    const auto retry_after = std::clamp<std::chrono::microseconds>(
        std::chrono::duration_cast<std::chrono::microseconds>(wait),
        kMinRetryAfter, kMaxRetryAfter);
    for (HttpHeader& header : reply.response.headers) {
      if (header.name == "Retry-After") {
        header.value = FormatSeconds(retry_after);
      }
    }
  }
  return reply;
}

// Whether no endpoint can serve the request in time any more.
bool Ingress::IsTooLate(const Context& context, const Attempt& attempt) {
  const Clock::time_point now = Clock::now();
  return attempt.reason == rpc::REFUSAL_DEADLINE &&
         context.deadline - now <
             (context.deadline - context.read_at) / kLastPartOfTime;
}

// Only the home of a key may run it; it is asked again only where the refusal
// was about the incarnation, of which the reply has brought a new stamp.
IngressReply Ingress::ForwardKeyed(Context& context) {
  const std::string home = HomeOf(*context.match.service, *context.key);
  if (home.empty()) {
    return this->GiveUp(context, {});
  }
  Attempt attempt;
  for (int i = 0; i < kMaxKeyedAttempts; ++i) {
    if (i > 0) {
      this->retries.Add();
    }
    attempt = Attempt();
    attempt.endpoint = home;
    attempt.ip = IpOf(*context.match.service, home);
    this->FillMessage(context, attempt);
    this->SendNonIdempotent(context, attempt);
    if (attempt.outcome != CallerOutcome::kNotRun ||
        attempt.reason != rpc::REFUSAL_INCARNATION ||
        Clock::now() >= context.deadline) {
      break;
    }
  }
  return attempt.ToReply();
}

void Ingress::FillMessage(const Context& context, Attempt& attempt) {
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
  const std::string& expected = this->parts.headers.expected_instance;
  if (!expected.empty() && !attempt.chosen.instance.empty()) {
    rpc::Header& header = *message.add_headers();
    header.set_name(expected);
    header.set_value(attempt.chosen.instance);
  }
  this->parts.directory.AddSiblings(context.service, message);
}

// Gets a stamp that may be sent with the request; false if there is none.
bool Ingress::PrepareStamp(const Context& context, Attempt& attempt) {
  std::optional<ReceivedStamp> stamp = this->parts.owners.StampOf(attempt.ip);
  const std::chrono::microseconds retention =
      context.match.service->key_retention;
  const auto usable = [&] {
    return stamp &&
           IsStampFresh(MakeKeyTimes(retention), stamp->received_at,
                        Clock::now()) &&
           this->parts.journal.MaySend(retention, context.read_at,
                                       stamp->received_at);
  };
  if (!usable()) {
    stamp = this->parts.owners.RefreshStamp(
        attempt.ip, context.deadline,
        this->parts.directory.AcceptTimeoutOf(attempt.ip));
  }
  if (!usable()) {
    return false;
  }
  ToProto(stamp->stamp, *attempt.message.mutable_stamp());
  attempt.message.set_owner_incarnation(stamp->stamp.incarnation);
  return true;
}

void Ingress::SendNonIdempotent(const Context& context, Attempt& attempt) {
  if (!this->PrepareStamp(context, attempt)) {
    const auto now = Clock::now();
    this->NoteUnreached(attempt, now, now);
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
  // The attempt was sent once. If it reached another incarnation than the one
  // that it was meant for, it ran at neither; and without a key, no other
  // attempt can have run it before its stamp became too old.
  const bool refused_unseen =
      attempt.reason == rpc::REFUSAL_INCARNATION ||
      (attempt.reason == rpc::REFUSAL_STALE_FORWARD && !context.key);
  if (attempt.outcome == CallerOutcome::kUnknown && refused_unseen) {
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
  attempt.message.set_age_us(
      std::chrono::duration_cast<std::chrono::microseconds>(sent_at -
                                                            context.read_at)
          .count());
  const ForwardCallResult call = this->parts.owners.Forward(
      attempt.ip, attempt.message,
      {context.deadline, this->parts.directory.AcceptTimeoutOf(attempt.ip),
       context.cancelled});
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
    attempt.sent = call.result.sent_to_backend();
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
  attempt.sent = true;
  if (!context.match.route->repeat_safe &&
      call.transport != ForwardTransport::kCancelled) {
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
  const Clock::time_point now = Clock::now();
  Clock::time_point give_up = std::max<Clock::time_point>(
      std::min<Clock::time_point>(context.deadline, now + kFenceTime),
      now + kFenceGrace);
  while (Clock::now() < give_up) {
    const rpc::FenceReply reply =
        this->parts.owners.FenceAttempt(attempt.ip, request, give_up);
    switch (reply.state()) {
      case rpc::FENCE_FENCED:
        attempt.outcome = CallerOutcome::kNotRun;
        attempt.sent = false;
        return;
      case rpc::FENCE_DONE:
        attempt.outcome = CallerOutcome::kAnswered;
        attempt.response = FromProto(reply.answer());
        return;
      case rpc::FENCE_RUNNING:
        // The owner is reached, so its result is worth waiting for.
        give_up = std::max(give_up, context.deadline);
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
