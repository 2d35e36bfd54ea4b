#include "ctl/explain_command.h"

#include <algorithm>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "base/duration_text.h"
#include "ctl/daemon_client.h"
#include "ctl/text_table.h"

namespace comfrey {
namespace {

constexpr absl::string_view kOperation = "explain the request";

constexpr absl::string_view kHelp =
    "Shows the route and the endpoints that a request to a daemon would use,\n"
    "without sending it.\n"
    "\n"
    "Usage: comfreyctl explain --daemon IP:HTTP_PORT METHOD PATH [OPTION]...\n"
    "\n"
    "PATH is the request target with the prefix of the team, for example\n"
    "/salon/visits. The exit code is 1 if the request would not run: no\n"
    "route matches, no endpoint is in use, the home of the key is draining,\n"
    "or the home or an endpoint that must release the key cannot be reached.\n"
    "\n"
    "Options:\n"
    "  --daemon IP:HTTP_PORT    the daemon that would receive the request\n"
    "  --header \"Name: value\"   a header of the request; may be repeated\n"
    "  --key KEY                the idempotency key of the request\n"
    "  --timeout DURATION       longest time to wait, default 5s\n"
    "  --json                   print the result as JSON\n"
    "  --help                   print this text\n";

bool AcceptsRequests(const ExplainedEndpoint& endpoint) {
  return endpoint.owner_reachable && !endpoint.draining &&
         (endpoint.use == ReportedUse::kInUse ||
          endpoint.use == ReportedUse::kLimited ||
          endpoint.use == ReportedUse::kEjectionNotHonoured);
}

std::string WithReason(absl::string_view word, const std::string& reason) {
  return reason.empty() ? std::string(word)
                        : absl::StrCat(word, " (", reason, ")");
}

std::vector<std::string> EndpointRow(const std::string& heading,
                                     const ExplainedEndpoint& endpoint) {
  return {heading,
          endpoint.endpoint,
          std::string(FormatDistance(endpoint.distance)),
          endpoint.owner_reachable ? "reachable" : "UNREACHABLE",
          WithReason(absl::StrCat(FormatEndpointState(endpoint.state),
                                  endpoint.draining ? ", draining" : ""),
                     endpoint.reason),
          absl::StrCat(endpoint.load, "/", endpoint.limit),
          WithReason(FormatUse(endpoint.use), endpoint.use_reason)};
}

std::string RenderEndpoints(const ExplainedRoute& route) {
  TableRows rows = {
      {"", "ENDPOINT", "DISTANCE", "OWNER", "STATE", "LOAD", "USE"}};
  if (!route.key) {
    for (const ExplainedEndpoint& endpoint : route.endpoints) {
      rows.push_back(EndpointRow(absl::StrCat(rows.size()), endpoint));
    }
    return absl::StrCat(
        "endpoints in order of preference:\n",
        rows.size() > 1 ? RenderTable(rows, "  ") : std::string("  none\n"));
  }
  if (!route.key->home) {
    return "the key has no home: all endpoints of the service are leaving; "
           "add an endpoint with \"keys = joining\"\n";
  }
  rows.push_back(EndpointRow("home", *route.key->home));
  for (const ExplainedEndpoint& endpoint : route.key->must_release) {
    rows.push_back(EndpointRow("must release", endpoint));
  }
  return absl::StrCat("endpoints of the key:\n", RenderTable(rows, "  "));
}

absl::Status CheckUsage(const Arguments& arguments) {
  if (arguments.operands.size() != 2) {
    return absl::InvalidArgumentError(
        "name the method and the path of the request, for example POST "
        "/salon/visits");
  }
  const std::string& method = arguments.operands[0];
  if (method.empty() ||
      !std::all_of(method.begin(), method.end(), absl::ascii_isupper)) {
    return absl::InvalidArgumentError(
        absl::StrCat("\"", method,
                     "\" is not a method; write it in upper case, before the "
                     "path"));
  }
  if (arguments.operands[1].empty() || arguments.operands[1][0] != '/') {
    return absl::InvalidArgumentError(
        absl::StrCat("\"", arguments.operands[1],
                     "\" is not a path; start it with \"/\" and the team"));
  }
  for (const std::string& header : OptionValues(arguments, "header")) {
    const std::size_t colon = header.find(':');
    if (colon == std::string::npos || colon == 0) {
      return absl::InvalidArgumentError(absl::StrCat(
          "--header \"", header,
          "\" is not a header; write \"Name: value\" in quotation marks"));
    }
  }
  return absl::OkStatus();
}

PageRequest MakeRequest(const Arguments& arguments) {
  PageRequest request{
      std::string(kOperation),
      "/comfrey/explain",
      {{"method", arguments.operands[0]}, {"target", arguments.operands[1]}}};
  for (const std::string& header : OptionValues(arguments, "header")) {
    request.parameters.emplace_back("header", header);
  }
  if (HasOption(arguments, "key")) {
    request.parameters.emplace_back("key", OptionValue(arguments, "key"));
  }
  return request;
}

ExitCode Run(const Arguments& arguments, const CommandOutput& output) {
  const absl::Status usage = CheckUsage(arguments);
  if (!usage.ok()) {
    return ReportError(usage, output);
  }
  const auto targets = ParseSingleDaemonTarget(arguments);
  if (!targets.ok()) {
    return ReportError(targets.status(), output);
  }
  const SocketAddress& daemon = targets->daemons[0];
  const auto page = FetchPage(daemon, MakeRequest(arguments), targets->timeout);
  if (!page.ok()) {
    return ReportError(page.status(), output);
  }
  const auto explanation = ExplanationFromJson(*page);
  if (!explanation.ok()) {
    return ReportError(
        UnusableReplyError(daemon, kOperation, explanation.status()), output);
  }
  output.out << (HasOption(arguments, "json")
                     ? ExplanationToJson(*explanation)
                     : RenderExplanation(*explanation));
  return HasProblem(*explanation) ? ExitCode::kProblem : ExitCode::kOk;
}

}  // namespace

bool HasProblem(const RouteExplanation& explanation) {
  if (explanation.match != ExplainedMatch::kFound || !explanation.route) {
    return true;
  }
  const ExplainedRoute& route = *explanation.route;
  if (!route.key) {
    return std::none_of(route.endpoints.begin(), route.endpoints.end(),
                        &AcceptsRequests);
  }
  // Ejection is not checked, since an ejected endpoint still runs the keys
  // whose home it is. A draining endpoint can still release a key.
  return !route.key->home || !route.key->home->owner_reachable ||
         route.key->home->draining ||
         std::any_of(
             route.key->must_release.begin(), route.key->must_release.end(),
             [](const ExplainedEndpoint& e) { return !e.owner_reachable; });
}

std::string RenderExplanation(const RouteExplanation& explanation) {
  std::string text =
      absl::StrCat(explanation.method, " ", explanation.target,
                   explanation.key.empty()
                       ? ""
                       : absl::StrCat(" with key \"", explanation.key, "\""),
                   "\n");
  if (explanation.match != ExplainedMatch::kFound || !explanation.route) {
    absl::StrAppend(&text, "no match (",
                    FormatExplainedMatch(explanation.match),
                    "): ", explanation.problem, "\n");
    return ReplaceControlCharacters(text);
  }
  const ExplainedRoute& route = *explanation.route;
  absl::StrAppend(
      &text, "team:     ", route.team, ", version ",
      FormatConfigVersion(route.version), "\n", "route:    ", route.route,
      ", forwarded as ", route.forwarded_target, "\n", "rank:     ", route.rank,
      ", target ", FormatDuration(route.target), ", guaranteed share ",
      absl::StrFormat("%g%%", route.share * 100), "\n",
      "service:  ", route.service, "\n", "repeat:   ",
      route.repeat_safe ? "safe: may be sent again"
                        : "never: runs at most once",
      "\n", "deadline: ", FormatDuration(route.deadline), "\n");
  if (!explanation.key.empty() && !route.key) {
    text += "the key has no effect, since the route is idempotent\n";
  }
  return ReplaceControlCharacters(text + RenderEndpoints(route));
}

Command ExplainCommand() {
  std::vector<OptionSpec> options = DaemonOptions();
  options.push_back({"header", OptionKind::kRepeatedValue});
  options.push_back({"key", OptionKind::kValue});
  return {"explain",
          "show the route and the endpoints that a request would use", kHelp,
          std::move(options), &Run};
}

}  // namespace comfrey
