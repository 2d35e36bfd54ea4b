#include "ctl/status_command.h"

#include <algorithm>
#include <map>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "absl/time/time.h"
#include "ctl/daemon_client.h"
#include "ctl/text_table.h"
#include "ctl/version_differences.h"
#include "nlohmann/json.hpp"

namespace comfrey {
namespace {

// Maximum number of daemon names listed per version. The others are only
// counted.
constexpr std::size_t kMaxListedDaemons = 8;
constexpr absl::string_view kOperation = "read the status";

constexpr absl::string_view kHelp =
    "Shows the state of daemons and compares their versions in force.\n"
    "\n"
    "Usage: comfreyctl status --daemon IP:HTTP_PORT[,IP:HTTP_PORT]... "
    "[OPTION]...\n"
    "\n"
    "Members that are not alive and endpoints that are not healthy and in\n"
    "use are listed; all others are counted. The exit code is 1 if a daemon\n"
    "is not ready, a value was refused, or versions in force differ.\n"
    "\n"
    "Options:\n"
    "  --daemon LIST       daemons, separated by commas\n"
    "  --all               list all members and endpoints\n"
    "  --timeout DURATION  longest time to wait for a daemon, default 5s\n"
    "  --json              print the result as JSON\n"
    "  --help              print this text\n";

std::string ListDaemons(const std::vector<std::string>& names) {
  if (names.size() <= kMaxListedDaemons) {
    return absl::StrJoin(names, ", ");
  }
  return absl::StrCat(
      absl::StrJoin(names.begin(), names.begin() + kMaxListedDaemons, ", "),
      " and ", names.size() - kMaxListedDaemons, " more");
}

std::string FormatNote(const VersionGroup& group) {
  switch (group.note) {
    case VersionNote::kNewest:
      return group.in_force->removed ? "removed" : "";
    case VersionNote::kOlder:
      return "OLDER";
    case VersionNote::kConflict:
      return "OTHER CONTENT";
    case VersionNote::kMissing:
      return "MISSING";
  }
  return "";
}

std::string RenderVersions(const std::vector<VersionGroup>& groups) {
  if (groups.empty()) {
    return "no configuration in force\n";
  }
  TableRows rows = {{"TEAM", "VERSION", "CONTENT", "DAEMONS", "NOTE"}};
  for (const VersionGroup& group : groups) {
    rows.push_back(
        {group.team,
         group.in_force ? FormatConfigVersion(group.in_force->version) : "-",
         group.in_force ? absl::StrCat(absl::Hex(group.in_force->content_hash,
                                                 absl::kZeroPad16))
                        : "-",
         ListDaemons(group.daemons), FormatNote(group)});
  }
  return RenderTable(rows, "");
}

// Names the version of which nothing is in force, or of which only the listed
// entries are not.
std::string RenderRejectedConfig(const TeamReport& team) {
  const bool partial =
      team.in_force && team.in_force->version == team.refused->version;
  std::string text =
      partial
          ? absl::StrCat("  refused: entries of team ", team.team, ", version ",
                         FormatConfigVersion(team.refused->version),
                         "; its other entries are in force\n")
          : absl::StrCat(
                "  refused: team ", team.team, ", version ",
                FormatConfigVersion(team.refused->version), "; in force is ",
                team.in_force ? FormatConfigVersion(team.in_force->version)
                              : "none",
                "\n");
  for (const IniError& error : team.refused->errors) {
    absl::StrAppend(&text, "    ", FormatIniError(error), "\n");
  }
  return text;
}

std::string RenderMembers(const StatusReport& report, StatusDetail detail) {
  std::map<ReportedMemberState, std::size_t> counts;
  TableRows rows = {{"MEMBER", "ADDRESS", "FAILURE DOMAIN", "STATE"}};
  for (const MemberReport& member : report.members) {
    counts[member.state]++;
    if (detail == StatusDetail::kAll ||
        member.state != ReportedMemberState::kAlive) {
      rows.push_back({member.name, member.address, member.failure_domain,
                      std::string(FormatMemberState(member.state))});
    }
  }
  std::vector<std::string> words;
  words.reserve(counts.size());
  for (const auto& [state, count] : counts) {
    words.push_back(absl::StrCat(count, " ", FormatMemberState(state)));
  }
  std::string text = absl::StrCat(
      "  members: ", words.empty() ? "none" : absl::StrJoin(words, ", "), "\n");
  if (rows.size() > 1) {
    text += RenderTable(rows, "    ");
  }
  return text;
}

bool IsNormal(const EndpointReport& endpoint) {
  return endpoint.owner_reachable && !endpoint.draining &&
         endpoint.state == ReportedEndpointState::kHealthy &&
         endpoint.use == ReportedUse::kInUse;
}

std::string FormatLatency(const EndpointReport& endpoint) {
  return endpoint.latency
             ? absl::FormatDuration(absl::FromChrono(*endpoint.latency))
             : "-";
}

std::string WithReason(absl::string_view word, const std::string& reason) {
  return reason.empty() ? std::string(word)
                        : absl::StrCat(word, " (", reason, ")");
}

std::string RenderEndpoints(const StatusReport& report, StatusDetail detail) {
  TableRows rows = {{"ENDPOINT", "TEAM", "SERVICE", "OWNER", "STATE",
                     "SEVERITY", "LATENCY", "LOAD", "USE"}};
  std::size_t normal = 0;
  for (const EndpointReport& endpoint : report.endpoints) {
    normal += IsNormal(endpoint) ? 1 : 0;
    if (detail == StatusDetail::kAbnormalOnly && IsNormal(endpoint)) {
      continue;
    }
    rows.push_back(
        {endpoint.endpoint, endpoint.team, endpoint.service,
         endpoint.owner_reachable ? "reachable" : "UNREACHABLE",
         WithReason(absl::StrCat(FormatEndpointState(endpoint.state),
                                 endpoint.draining ? ", draining" : ""),
                    endpoint.reason),
         absl::StrCat(endpoint.severity), FormatLatency(endpoint),
         absl::StrCat(endpoint.load, "/", endpoint.limit),
         WithReason(FormatUse(endpoint.use), endpoint.use_reason)});
  }
  std::string text =
      absl::StrCat("  endpoints: ", report.endpoints.size(), ", of which ",
                   normal, " healthy and in use\n");
  if (rows.size() > 1) {
    text += RenderTable(rows, "    ");
  }
  return text;
}

std::string RenderKeys(const StatusReport& report) {
  if (report.keys.empty()) {
    return "";
  }
  TableRows rows = {
      {"ENDPOINT", "TEAM", "SERVICE", "STATE", "RECORDS", "BYTES"}};
  for (const KeysReport& keys : report.keys) {
    rows.push_back({keys.endpoint, keys.team, keys.service,
                    WithReason(keys.recovering ? "RECOVERING" : "ready",
                               keys.recovery_detail),
                    absl::StrCat(keys.records), absl::StrCat(keys.bytes)});
  }
  return absl::StrCat("  keys of own endpoints:\n", RenderTable(rows, "    "));
}

std::string RenderDaemon(const StatusReport& report, StatusDetail detail) {
  const DaemonReport& daemon = report.daemon;
  const absl::Duration uptime =
      absl::Trunc(absl::FromChrono(daemon.uptime), absl::Seconds(1));
  std::string text = absl::StrFormat(
      "\ndaemon %s at %s, region %s, failure domain %s\n"
      "  %s%s, up %s, incarnation %d\n",
      daemon.name, daemon.address, daemon.region, daemon.failure_domain,
      daemon.ready ? "ready" : "NOT READY", daemon.draining ? ", draining" : "",
      absl::FormatDuration(uptime), daemon.incarnation);
  for (const std::string& reason : daemon.not_ready_reasons) {
    absl::StrAppend(&text, "  not ready: ", reason, "\n");
  }
  for (const TeamReport& team : report.teams) {
    if (team.refused) {
      text += RenderRejectedConfig(team);
    }
  }
  return absl::StrCat(text, RenderMembers(report, detail),
                      RenderEndpoints(report, detail), RenderKeys(report));
}

bool HasProblem(const StatusReport& report) {
  return (!report.daemon.ready && !report.daemon.draining) ||
         std::any_of(report.teams.begin(), report.teams.end(),
                     [](const TeamReport& t) { return t.refused.has_value(); });
}

// Reports of the daemons that responded, and the errors of the others.
struct StatusResults {
  std::vector<StatusReport> reports;
  struct Failure {
    std::string daemon;
    absl::Status status;
  };
  std::vector<Failure> failures;
};

StatusResults FetchStatus(const DaemonTargets& targets) {
  const auto pages =
      FetchPages(targets, {std::string(kOperation), "/comfrey/status", {}});
  StatusResults results;
  for (std::size_t i = 0; i < pages.size(); i++) {
    const SocketAddress& daemon = targets.daemons[i];
    absl::Status status = pages[i].status();
    if (status.ok()) {
      auto report = StatusFromJson(*pages[i]);
      if (report.ok()) {
        results.reports.push_back(*std::move(report));
        continue;
      }
      status = UnusableReplyError(daemon, kOperation, report.status());
    }
    results.failures.push_back({FormatSocketAddress(daemon), status});
  }
  return results;
}

std::string ResultsToJson(const StatusResults& results) {
  using Json = nlohmann::ordered_json;
  Json daemons = Json::array();
  for (const StatusReport& report : results.reports) {
    daemons.push_back(Json::parse(StatusToJson(report)));
  }
  Json failures = Json::array();
  for (const auto& failure : results.failures) {
    failures.push_back({{"daemon", failure.daemon},
                        {"error", std::string(failure.status.message())}});
  }
  const auto groups = GroupVersions(results.reports);
  const bool differ = std::any_of(
      groups.begin(), groups.end(),
      [](const VersionGroup& g) { return g.note != VersionNote::kNewest; });
  return Json{{"daemons", std::move(daemons)},
              {"failures", std::move(failures)},
              {"versions_differ", differ}}
             .dump(2, ' ', false, Json::error_handler_t::replace) +
         "\n";
}

ExitCode Run(const Arguments& arguments, const CommandOutput& output) {
  if (!arguments.operands.empty()) {
    return ReportError(absl::InvalidArgumentError(absl::StrCat(
                           "unexpected argument \"", arguments.operands[0],
                           "\"; name daemons with --daemon")),
                       output);
  }
  const auto targets = ParseDaemonTargets(arguments);
  if (!targets.ok()) {
    return ReportError(targets.status(), output);
  }
  const StatusResults results = FetchStatus(*targets);
  if (HasOption(arguments, "json")) {
    output.out << ResultsToJson(results);
  } else if (!results.reports.empty()) {
    output.out << RenderStatus(results.reports,
                               HasOption(arguments, "all")
                                   ? StatusDetail::kAll
                                   : StatusDetail::kAbnormalOnly);
  }
  ExitCode code =
      HasProblem(results.reports) ? ExitCode::kProblem : ExitCode::kOk;
  for (const auto& failure : results.failures) {
    code = MaxExitCode(code, ReportError(failure.status, output));
  }
  return code;
}

}  // namespace

bool HasProblem(const std::vector<StatusReport>& reports) {
  const auto groups = GroupVersions(reports);
  return std::any_of(
             reports.begin(), reports.end(),
             [](const StatusReport& report) { return HasProblem(report); }) ||
         std::any_of(groups.begin(), groups.end(), [](const VersionGroup& g) {
           return g.note != VersionNote::kNewest;
         });
}

std::string RenderStatus(const std::vector<StatusReport>& reports,
                         StatusDetail detail) {
  std::string text = RenderVersions(GroupVersions(reports));
  for (const StatusReport& report : reports) {
    text += RenderDaemon(report, detail);
  }
  return ReplaceControlCharacters(text);
}

Command StatusCommand() {
  std::vector<OptionSpec> options = DaemonOptions();
  options.push_back({"all", OptionKind::kSwitch});
  return {"status", "show daemons and their versions in force", kHelp,
          std::move(options), &Run};
}

}  // namespace comfrey
