#include "ctl/burn_command.h"

#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "base/duration_text.h"
#include "ctl/daemon_client.h"
#include "ctl/text_table.h"

namespace comfrey {
namespace {

constexpr absl::string_view kOperation = "read the burn report";

constexpr absl::string_view kHelp =
    "Shows how fast each rank uses up the misses that its objective permits.\n"
    "\n"
    "Usage: comfreyctl burn --daemon IP:HTTP_PORT[,IP:HTTP_PORT]... "
    "[OPTION]...\n"
    "\n"
    "Each daemon counts the requests that it received from callers; the\n"
    "counts of several daemons are summed. A burn rate of 1 uses up the\n"
    "permitted misses exactly; above 1, the objective is missed. The rank\n"
    "with the largest product of worth and burn rate comes first.\n"
    "\n"
    "Options:\n"
    "  --daemon LIST       daemons, separated by commas\n"
    "  --timeout DURATION  longest time to wait for a daemon, default 5s\n"
    "  --json              print the result as JSON\n"
    "  --help              print this text\n";

std::string FormatWindow(const RankBurnStatus& rank,
                         std::chrono::seconds length) {
  for (const BurnWindow& window : rank.windows) {
    if (window.length == length) {
      return absl::StrFormat("%.2f (%d/%d)", window.burn_rate, window.missed,
                             window.met + window.missed);
    }
  }
  return "-";
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
  const auto pages =
      FetchPages(*targets, {std::string(kOperation), "/comfrey/burn", {}});
  std::vector<BurnStatus> reports;
  ExitCode code = ExitCode::kOk;
  for (std::size_t i = 0; i < pages.size(); i++) {
    if (!pages[i].ok()) {
      code = MaxExitCode(code, ReportError(pages[i].status(), output));
      continue;
    }
    auto report = BurnFromJson(*pages[i]);
    if (!report.ok()) {
      code = MaxExitCode(
          code, ReportError(UnusableReplyError(targets->daemons[i], kOperation,
                                               report.status()),
                            output));
      continue;
    }
    reports.push_back(*std::move(report));
  }
  if (reports.empty()) {
    return code;
  }
  const BurnStatus sum = AggregateBurnStatus(reports);
  if (HasOption(arguments, "json")) {
    output.out << BurnToJson(sum);
    return code;
  }
  output.out << "sum of " << reports.size() << " of " << pages.size()
             << " daemons\n"
             << RenderBurn(sum);
  return code;
}

}  // namespace

std::string RenderBurn(const BurnStatus& report) {
  if (report.ranks.empty()) {
    return "no ranks\n";
  }
  TableRows rows = {{"TEAM", "RANK", "TARGET", "OBJECTIVE", "WORTH"}};
  for (const WeightedBurnRate& window : report.weighted) {
    rows[0].push_back(
        absl::StrCat(FormatDuration(window.length), " BURN (MISSED/ALL)"));
  }
  for (const RankBurnStatus& rank : report.ranks) {
    std::vector<std::string> row = {
        rank.team, rank.rank, FormatDuration(rank.target),
        absl::StrFormat("%g%%", rank.objective * 100),
        absl::StrFormat("%g", rank.worth)};
    for (const WeightedBurnRate& window : report.weighted) {
      row.push_back(FormatWindow(rank, window.length));
    }
    rows.push_back(std::move(row));
  }
  std::vector<std::string> total = {"all", "weighted by worth", "", "", ""};
  for (const WeightedBurnRate& window : report.weighted) {
    total.push_back(absl::StrFormat("%.2f", window.burn_rate));
  }
  rows.push_back(std::move(total));
  return RenderTable(rows, "");
}

Command BurnCommand() {
  return {"burn", "show the service level of each rank", kHelp, DaemonOptions(),
          &Run};
}

}  // namespace comfrey
