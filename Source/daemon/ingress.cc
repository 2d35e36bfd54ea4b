#include "daemon/ingress.h"

#include <algorithm>
#include <optional>
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
#include "registry/registry_log.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

// Maximum number of times that one request is offered to an endpoint. Each try
// takes about a round trip within the region.
constexpr int kMaxTries = 16;
constexpr int kMaxKeyedAttempts = 3;
// After an owner has refused a request because it cannot meet the deadline, no
// other endpoint is tried if less than 1/4 of the request's total time is left.
// The other endpoints need about as long.
constexpr int kFinalTimeDivisor = 4;
// Bounds of the Retry-After time of a refused request.
constexpr std::chrono::milliseconds kMinRetryAfter{100};
constexpr std::chrono::milliseconds kMaxRetryAfter{1000};
constexpr std::size_t kMaxKeyLength = 256;

constexpr char kOrganisationHeader[] = "X-Organisation";
constexpr char kKeyHeader[] = "Idempotency-Key";

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

IngressReply RefuseUnmatched(MatchStatus status) {
  if (status == MatchStatus::kBadTarget) {
    return MakeLocalReply(CallerOutcome::kNotRun, kBadRequest,
                          "the request target is not a valid absolute path");
  }
  if (status == MatchStatus::kUnusableRoute) {
    return MakeLocalReply(CallerOutcome::kNotRun, kUnavailable,
                          "the published route cannot be used");
  }
  return MakeLocalReply(CallerOutcome::kNotRun, kNotFound,
                        status == MatchStatus::kNoTeam
                            ? "no team is served under this path"
                            : "no route matches this request");
}

RouteMatch MatchRequest(const RouteTable& table, const HttpRequest& request) {
  return MatchRoute(
      table, request.method, request.target,
      [&](absl::string_view name) -> std::optional<std::string> {
        const absl::string_view value = FindHeader(request.headers, name);
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

std::string HomeEndpointOf(const ServiceConfig& service, const KeyId& key) {
  std::vector<PlacedEndpoint> placed;
  placed.reserve(service.endpoints.size());
  for (const EndpointConfig& endpoint : service.endpoints) {
    placed.push_back({endpoint.address, KeyPhaseOf(endpoint.keys)});
  }
  return PlaceKey(key, placed).home;
}

bool HasName(const HttpHeader& header, const std::string& name) {
  return !name.empty() && absl::EqualsIgnoreCase(header.name, name);
}

// Returns how long the caller still waits according to its request header, or
// nothing without such a header.
std::optional<std::chrono::milliseconds> CallerTimeLeft(
    const HttpRequest& request,
    const HeaderNames& names) {
  std::uint32_t milliseconds = 0;
  if (names.attempt_id.empty() ||
      !absl::SimpleAtoi(FindHeader(request.headers, names.time_left),
                        &milliseconds)) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(milliseconds);
}

// Removes the caller's values of the headers that only the daemon may set, and
// sets the name of the calling service.
void ReplaceReservedHeaders(HttpRequest& request,
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

// Returns the idempotency key of a request; empty if it has none, or if the
// fleet uses no keys.
std::string KeyOf(const IngressRequest& request) {
  const std::optional<CallerLimits>& limits = request.match.team->caller_limits;
  if (limits && !limits->idempotency_keys) {
    return "";
  }
  return std::string(FindHeader(request.message.headers, kKeyHeader));
}

std::string FormatSeconds(std::chrono::microseconds time) {
  return absl::StrFormat("%.2f", std::chrono::duration<double>(time).count());
}

}  // namespace

// Progress of one request over all endpoints that were tried.
struct Ingress::Progress {
  TriedEndpoints tried;
  int tries = 0;
  /// Attempts that backend servers may have received.
  int sent = 0;
  /// Whether a retry was taken from the budget and has not been sent yet.
  bool has_unused_retry = false;
  /// The attempt from which the reply is made if no attempt is answered.
  std::optional<IngressAttempt> deciding_attempt;

  void KeepIfDeciding(IngressAttempt attempt) {
    // If an attempt may have run, the outcome of the request is unknown even if
    // later attempts did not run.
    if (!this->deciding_attempt ||
        this->deciding_attempt->outcome == CallerOutcome::kNotRun ||
        attempt.outcome == CallerOutcome::kAnswered) {
      this->deciding_attempt = std::move(attempt);
    }
  }
};

Ingress::Ingress(IngressIdentity identity,
                 const IngressDependencies& dependencies)
    : identity(std::move(identity)),
      dependencies(dependencies),
      sender(this->identity, dependencies),
      rng(std::random_device()()),
      requests(dependencies.counters.Counter("comfrey_ingress_requests_total")),
      answered(dependencies.counters.Counter("comfrey_ingress_answered_total")),
      not_run(dependencies.counters.Counter("comfrey_ingress_not_run_total")),
      unknown(dependencies.counters.Counter("comfrey_ingress_unknown_total")),
      retries(dependencies.counters.Counter("comfrey_ingress_retries_total")),
      calls_of_repeats(dependencies.counters.Counter(
          "comfrey_ingress_calls_of_repeats_total")) {}

double Ingress::RandomFraction() {
  const std::lock_guard<std::mutex> lock(this->rng_mutex);
  return std::uniform_real_distribution<double>(0, 1)(this->rng);
}

IngressReply Ingress::Handle(const HttpRequest& request,
                             const CancelCheck& cancelled) {
  this->requests.Add();
  const Clock::time_point read_at = Clock::now();
  const std::shared_ptr<const ConfigStore> store =
      this->dependencies.config.Current();
  RouteMatch match = MatchRequest(store->routes, request);
  if (match.status != MatchStatus::kFound) {
    this->not_run.Add();
    return RefuseUnmatched(match.status);
  }
  match.service = SelectService(match, this->RandomFraction());
  const std::string& team = match.team->team;
  RequestTrace trace;
  trace.id = this->TraceId(request);
  std::chrono::microseconds time_limit = match.route->deadline;
  bool of_repeat = false;
  if (const auto left = CallerTimeLeft(request, this->dependencies.headers)) {
    time_limit = std::min<std::chrono::microseconds>(time_limit, *left);
    of_repeat = this->dependencies.repeated_runs != nullptr &&
                this->dependencies.repeated_runs->MayHaveCalled(
                    trace.id, read_at + *left);
  }
  IngressRequest context{
      request,
      match,
      {team, match.service->name},
      store->subtrees.find(team)->second->version,
      std::nullopt,
      std::string(FindHeader(request.headers, kOrganisationHeader)),
      read_at,
      read_at + time_limit,
      cancelled,
      trace,
      of_repeat};
  context.message.target = match.target;
  ReplaceReservedHeaders(context.message, this->dependencies.headers,
                         this->dependencies.local_service());
  trace.Add("request_received")
      .Add("route", match.route->name)
      .Add("service", match.service->name)
      .Add("rank", match.rank->name)
      .AddBool("idempotent", match.route->repeat_safe)
      .AddBool("of_repeat", of_repeat)
      .Add("config", FormatConfigVersion(context.version))
      .AddDuration("time_left", time_limit);
  IngressReply reply = this->Forward(context);
  this->Finish(context, reply);
  return reply;
}

bool Ingress::IsIdempotent(const HttpRequest& request) const {
  const std::shared_ptr<const ConfigStore> store =
      this->dependencies.config.Current();
  const RouteMatch match = MatchRequest(store->routes, request);
  return match.status == MatchStatus::kFound && match.route->repeat_safe;
}

// Returns the id from the caller's attempt id header, or a new id that contains
// the name, the incarnation and a sequence number of this ingress.
std::string Ingress::TraceId(const HttpRequest& request) {
  const absl::string_view id =
      this->dependencies.headers.attempt_id.empty()
          ? absl::string_view()
          : FindHeader(request.headers, this->dependencies.headers.attempt_id);
  return id.empty() ? absl::StrCat(this->identity.name, "-",
                                   this->identity.incarnation, "-",
                                   this->sender.NextSequence())
                    : std::string(id);
}

// Updates the counters and service levels, and writes the request log.
void Ingress::Finish(IngressRequest& context, const IngressReply& reply) {
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
    this->dependencies.levels.AddResponse(team, rank, took);
  } else {
    this->dependencies.levels.AddMiss(team, rank);
  }
  const std::size_t offers = context.trace.events.size() - 1;
  LogEvent& event = context.trace.Add("request_finished");
  event.Add("outcome", OutcomeName(reply.outcome))
      .Add("status", reply.response.status)
      .Add("offers", static_cast<std::int64_t>(offers))
      .AddDuration("took", took);
  if (reply.outcome != CallerOutcome::kAnswered) {
    event.Add("detail", absl::StripAsciiWhitespace(reply.response.body));
  }
  this->dependencies.log.Write(context.trace, !served || offers > 1);
}

// Adds an event to the trace: the endpoint of the attempt, the state on which
// the choice was based, and the result.
void Ingress::TraceAttempt(const IngressRequest& context,
                           const IngressAttempt& attempt) {
  const ChosenEndpoint& chosen = attempt.chosen;
  LogEvent& event = context.trace.Add("request_offered");
  event.Add("endpoint", attempt.endpoint)
      .Add("instance", chosen.instance)
      .Add("mode", PlacementModeName(chosen.mode))
      .Add("distance", chosen.distance)
      .AddDuration("expected_wait", chosen.expected_wait)
      .AddDuration("knowledge_age", chosen.status_age)
      .Add("outcome", OutcomeName(attempt.outcome))
      .AddBool("sent", attempt.sent)
      .AddDuration("took", Clock::now() - attempt.started_at);
  AddRegistryBasis(event, chosen.registration, chosen.registry_age);
  if (attempt.fence) {
    event.Add("fence", rpc::FenceState_Name(*attempt.fence));
  }
  if (attempt.outcome == CallerOutcome::kAnswered) {
    event.Add("status", attempt.response->status);
  } else {
    event.Add("reason", rpc::RefusalReason_Name(attempt.reason))
        .Add("detail", attempt.detail);
  }
}

IngressReply Ingress::Forward(IngressRequest& context) {
  this->CountInBudget(context);
  if (context.match.route->repeat_safe) {
    return this->ForwardUnkeyed(context);
  }
  const std::string key = KeyOf(context);
  if (key.size() > kMaxKeyLength) {
    return MakeLocalReply(CallerOutcome::kNotRun, kBadRequest,
                          absl::StrCat("Idempotency-Key is longer than ",
                                       kMaxKeyLength, " characters"));
  }
  if (key.empty()) {
    return this->ForwardUnkeyed(context);
  }
  context.key = KeyId{context.service.team, context.service.service, key};
  return this->ForwardKeyed(context);
}

// A request that runs again makes its calls again, and these count as repeats
// of the services that they go to.
void Ingress::CountInBudget(const IngressRequest& context) {
  if (!context.of_repeat) {
    this->dependencies.budgets.CountFirstAttempt(context.service);
    return;
  }
  this->calls_of_repeats.Add();
  this->dependencies.budgets.ChargeRepeatOf(context.service);
}

// Tries one endpoint after another until the request is answered or must not be
// retried.
IngressReply Ingress::ForwardUnkeyed(IngressRequest& context) {
  const bool idempotent = context.match.route->repeat_safe;
  Progress progress;
  while (this->MayTryNextEndpoint(context, progress)) {
    const std::optional<ChosenEndpoint> chosen =
        this->dependencies.directory.Choose(
            context.service, *context.match.rank, progress.tried);
    if (!chosen) {
      break;
    }
    IngressAttempt attempt;
    attempt.endpoint = chosen->address;
    attempt.ip = chosen->ip;
    attempt.chosen = *chosen;
    if (this->dependencies.confirmation != nullptr) {
      attempt.chosen.registry_age =
          this->dependencies.confirmation->Age(Clock::now());
    }
    this->TryEndpoint(context, progress, attempt);
    this->dependencies.directory.Finish(context.service, chosen->address);
    const bool answered = attempt.outcome == CallerOutcome::kAnswered &&
                          attempt.reason == rpc::REFUSAL_NONE;
    const bool final = idempotent
                           ? answered && attempt.response->status < kServerError
                           : attempt.outcome != CallerOutcome::kNotRun;
    if (final) {
      return attempt.ToReply();
    }
    const bool too_late = IsTooLate(context, attempt);
    progress.KeepIfDeciding(std::move(attempt));
    if (too_late) {
      break;
    }
  }
  if (progress.has_unused_retry) {
    this->dependencies.budgets.ReturnRetryOf(context.service);
  }
  return this->MakeFailureReply(context, progress);
}

// Returns whether another endpoint may be tried. Takes a retry from the budget
// if the request was already sent to a backend server.
bool Ingress::MayTryNextEndpoint(const IngressRequest& context,
                                 Progress& progress) {
  const bool body_was_sent =
      context.message.stream && context.message.stream->started;
  if (++progress.tries > kMaxTries || Clock::now() >= context.deadline ||
      context.cancelled() || body_was_sent) {
    return false;
  }
  if (progress.sent == 0 || progress.has_unused_retry) {
    return true;
  }
  if (progress.sent >= context.match.route->max_attempts ||
      !this->dependencies.budgets.TakeRetryOf(
          context.service, RepeatPolicy::kSafe, AttemptOutcome::kFailed)) {
    return false;
  }
  progress.has_unused_retry = true;
  return true;
}

// Sends the attempt, unless a load query shows that it would be refused, and
// records its result.
void Ingress::TryEndpoint(const IngressRequest& context,
                          Progress& progress,
                          IngressAttempt& attempt) {
  attempt.started_at = Clock::now();
  this->sender.FillRequest(context, attempt);
  const bool spare = attempt.chosen.mode == PlacementMode::kSpareSlot;
  attempt.message.set_run_now(spare ||
                              attempt.chosen.mode == PlacementMode::kRunNow);
  attempt.message.set_spare_only(spare);
  attempt.message.set_max_wait_us(attempt.chosen.max_wait.count());
  attempt.message.set_repeat(context.of_repeat || progress.sent > 0);
  attempt.message.set_accept_suspect(attempt.chosen.mode ==
                                     PlacementMode::kAcceptSuspect);
  if (this->sender.CheckRemoteLoad(context, attempt)) {
    if (context.match.route->repeat_safe) {
      this->sender.Send(context, attempt);
    } else {
      this->sender.SendNonIdempotent(context, attempt);
    }
  }
  this->TraceAttempt(context, attempt);
  if (attempt.sent) {
    if (++progress.sent > 1) {
      this->retries.Add();
    }
    progress.has_unused_retry = false;
  }
  OfferResult& tried = progress.tried[attempt.endpoint];
  if (attempt.reason == rpc::REFUSAL_BUSY) {
    tried = OfferResult::kBusy;
  } else if (attempt.reason == rpc::REFUSAL_SUSPECT) {
    tried = OfferResult::kSuspect;
  } else if (attempt.reason == rpc::REFUSAL_QUEUE_FULL ||
             attempt.reason == rpc::REFUSAL_DEADLINE) {
    tried = OfferResult::kNoRoom;
  } else {
    tried = OfferResult::kExcluded;
  }
}

// Makes the reply to a request of which no attempt was answered.
IngressReply Ingress::MakeFailureReply(const IngressRequest& context,
                                       const Progress& progress) {
  IngressReply reply;
  if (progress.deciding_attempt) {
    IngressAttempt deciding_attempt = *progress.deciding_attempt;
    if (deciding_attempt.outcome == CallerOutcome::kUnknown &&
        Clock::now() >= context.deadline) {
      deciding_attempt.reason = rpc::REFUSAL_DEADLINE;
    }
    reply = deciding_attempt.ToReply();
  } else {
    reply = MakeLocalReply(
        CallerOutcome::kNotRun, kUnavailable,
        absl::StrCat("no endpoint of service ", context.service.service,
                     " accepts work of rank ", context.match.rank->name));
  }
  if (reply.outcome == CallerOutcome::kNotRun) {
    // A random factor between 1 and 2 prevents refused callers from retrying
    // all at the same time.
    const std::chrono::duration<double, std::micro> wait =
        this->dependencies.directory.ShortestWait(context.service,
                                                  context.match.rank->name) *
        (1 + this->RandomFraction());
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

// Returns whether the refusal shows that no other endpoint can meet the
// deadline.
bool Ingress::IsTooLate(const IngressRequest& context,
                        const IngressAttempt& attempt) {
  const Clock::time_point now = Clock::now();
  return attempt.reason == rpc::REFUSAL_DEADLINE &&
         context.deadline - now <
             (context.deadline - context.read_at) / kFinalTimeDivisor;
}

// Only the home endpoint of a key may run the request. The request is retried
// only if the owner refused it because of a wrong incarnation: the reply then
// contains a stamp of the current incarnation.
IngressReply Ingress::ForwardKeyed(IngressRequest& context) {
  const std::string home = HomeEndpointOf(*context.match.service, *context.key);
  if (home.empty()) {
    return this->MakeFailureReply(context, {});
  }
  IngressAttempt attempt;
  for (int i = 0; i < kMaxKeyedAttempts; ++i) {
    if (i > 0) {
      this->retries.Add();
    }
    attempt = IngressAttempt();
    attempt.endpoint = home;
    attempt.ip = IpOf(*context.match.service, home);
    this->sender.FillRequest(context, attempt);
    this->sender.SendNonIdempotent(context, attempt);
    if (attempt.outcome != CallerOutcome::kNotRun ||
        attempt.reason != rpc::REFUSAL_INCARNATION ||
        Clock::now() >= context.deadline || context.cancelled()) {
      break;
    }
  }
  return attempt.ToReply();
}

}  // namespace comfrey
