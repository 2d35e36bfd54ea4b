#include "daemon/ingress.h"

#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "config/route_table.h"
#include "daemon/forward_call.h"
#include "daemon/message_conversion.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kAcceptTimeout{250};

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;

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

}  // namespace

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
  reply.response.body = text + "\n";
  return reply;
}

Ingress::Ingress(IngressIdentity identity,
                 const ConfigHolder& config,
                 ChannelPool& channels,
                 CounterRegistry& counters)
    : identity(std::move(identity)),
      config(config),
      channels(channels),
      requests(counters.Counter("comfrey_ingress_requests_total")),
      not_run(counters.Counter("comfrey_ingress_not_run_total")),
      unknown(counters.Counter("comfrey_ingress_unknown_total")) {}

IngressReply Ingress::Handle(const HttpRequest& request) {
  this->requests.Add();
  const std::shared_ptr<const RouteTable> table = this->config.Current();
  const RouteMatch match = MatchRequest(*table, request);
  IngressReply reply = match.status == MatchStatus::kFound
                           ? this->Forward(request, match)
                           : RefuseUnmatched(match.status);
  if (reply.outcome == CallerOutcome::kNotRun) {
    this->not_run.Add();
  }
  if (reply.outcome == CallerOutcome::kUnknown) {
    this->unknown.Add();
  }
  return reply;
}

IngressReply Ingress::Forward(const HttpRequest& request,
                              const RouteMatch& match) {
  const Clock::time_point deadline = Clock::now() + match.route->deadline;
  const std::uint64_t sequence = this->next_sequence++;
  const std::vector<EndpointConfig>& endpoints = match.service->endpoints;
  const EndpointConfig& endpoint = endpoints[sequence % endpoints.size()];

  HttpRequest forwarded = request;
  forwarded.target = match.target;
  rpc::ForwardRequest message;
  ToProto({this->identity.name, this->identity.incarnation, sequence},
          *message.mutable_attempt());
  message.set_endpoint(endpoint.address);
  message.set_team(match.team->team);
  message.set_service(match.service->name);
  message.set_rank(match.rank->name);
  message.set_repeatable(match.route->repeat_safe);
  message.set_time_left_us(
      std::chrono::duration_cast<std::chrono::microseconds>(deadline -
                                                            Clock::now())
          .count());
  RequestToProto(forwarded, message);

  const std::shared_ptr<PeerChannel> owner = this->channels.Get(
      absl::StrCat(endpoint.ip, ":", this->identity.peer_port));
  const ForwardCallResult call =
      ForwardOnce(*owner, message, {deadline, kAcceptTimeout});
  if (call.transport == ForwardTransport::kNotSent) {
    this->channels.Drop(owner);
    return OwnReply(CallerOutcome::kNotRun, kUnavailable,
                    std::string(call.error.message()));
  }
  if (call.transport != ForwardTransport::kReplied) {
    this->channels.Drop(owner);
    return OwnReply(CallerOutcome::kUnknown, kBadGateway,
                    std::string(call.error.message()));
  }
  if (call.result.outcome() == rpc::OUTCOME_ANSWERED) {
    return {CallerOutcome::kAnswered, FromProto(call.result.answer())};
  }
  return call.result.outcome() == rpc::OUTCOME_NOT_RUN
             ? OwnReply(CallerOutcome::kNotRun, kUnavailable,
                        call.result.detail())
             : OwnReply(CallerOutcome::kUnknown, kBadGateway,
                        call.result.detail());
}

}  // namespace comfrey
