#include "ctl/counters_command.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "ctl/daemon_client.h"
#include "ctl/text_table.h"
#include "nlohmann/json.hpp"

namespace comfrey {
namespace {

constexpr absl::string_view kOperation = "read the counters";

constexpr absl::string_view kHelp =
    "Shows the counters and gauges of daemons.\n"
    "\n"
    "Usage: comfreyctl counters [PREFIX] --daemon IP:HTTP_PORT"
    "[,IP:HTTP_PORT]... [OPTION]...\n"
    "\n"
    "With PREFIX, only counters whose name begins with it are shown; the exit\n"
    "code is 1 if there is none.\n"
    "\n"
    "Options:\n"
    "  --daemon LIST       daemons, separated by commas\n"
    "  --timeout DURATION  longest time to wait for a daemon, default 5s\n"
    "  --json              print the result as JSON\n"
    "  --help              print this text\n";

// Parses a quoted label value at the start of `rest` and removes it from
// `rest`.
std::optional<std::string> ConsumeQuotedValue(absl::string_view& rest) {
  if (!absl::ConsumePrefix(&rest, "\"")) {
    return std::nullopt;
  }
  std::string value;
  while (!rest.empty()) {
    char c = rest[0];
    rest.remove_prefix(1);
    if (c == '"') {
      return value;
    }
    if (c == '\\') {
      if (rest.empty()) {
        return std::nullopt;
      }
      c = rest[0] == 'n' ? '\n' : rest[0];
      rest.remove_prefix(1);
    }
    value += c;
  }
  return std::nullopt;
}

// Parses labels in the form {name="value",...} at the start of `rest` and
// removes them from `rest`. Returns false if they are malformed, and true if
// there are none.
bool ConsumeLabels(absl::string_view& rest, std::vector<Label>& labels) {
  if (!absl::ConsumePrefix(&rest, "{")) {
    return true;
  }
  while (!absl::ConsumePrefix(&rest, "}")) {
    if (!labels.empty() && !absl::ConsumePrefix(&rest, ",")) {
      return false;
    }
    const std::size_t equals = rest.find('=');
    if (equals == absl::string_view::npos) {
      return false;
    }
    Label label;
    label.name = std::string(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    std::optional<std::string> value = ConsumeQuotedValue(rest);
    if (!value) {
      return false;
    }
    label.value = *std::move(value);
    labels.push_back(std::move(label));
  }
  return true;
}

std::optional<MetricSample> ParseSample(absl::string_view line) {
  const std::size_t end = line.find_first_of("{ ");
  if (end == absl::string_view::npos || end == 0) {
    return std::nullopt;
  }
  MetricSample sample;
  sample.name = std::string(line.substr(0, end));
  line.remove_prefix(end);
  if (!ConsumeLabels(line, sample.labels) ||
      !absl::SimpleAtoi(line, &sample.value)) {
    return std::nullopt;
  }
  return sample;
}

std::string FormatSample(const MetricSample& sample) {
  std::string text = sample.name;
  for (const Label& label : sample.labels) {
    absl::StrAppend(&text, &label == &sample.labels[0] ? "{" : ",", label.name,
                    "=\"", label.value, "\"");
  }
  return sample.labels.empty() ? text : text + "}";
}

ExitCode Run(const Arguments& arguments, const CommandOutput& output) {
  if (arguments.operands.size() > 1) {
    return ReportError(
        absl::InvalidArgumentError(
            "several prefixes are given; give one, or none for all counters"),
        output);
  }
  const auto targets = ParseDaemonTargets(arguments);
  if (!targets.ok()) {
    return ReportError(targets.status(), output);
  }
  const std::string prefix =
      arguments.operands.empty() ? "" : arguments.operands[0];
  const auto pages =
      FetchPages(*targets, {std::string(kOperation), "/comfrey/metrics", {}});
  std::vector<DaemonCounters> daemons;
  bool found = false;
  ExitCode code = ExitCode::kOk;
  for (std::size_t i = 0; i < pages.size(); i++) {
    if (!pages[i].ok()) {
      code = MaxExitCode(code, ReportError(pages[i].status(), output));
      continue;
    }
    auto samples = ParseCounters(*pages[i]);
    if (!samples.ok()) {
      code = MaxExitCode(
          code, ReportError(UnusableReplyError(targets->daemons[i], kOperation,
                                               samples.status()),
                            output));
      continue;
    }
    samples->erase(std::remove_if(samples->begin(), samples->end(),
                                  [&](const MetricSample& sample) {
                                    return !absl::StartsWith(sample.name,
                                                             prefix);
                                  }),
                   samples->end());
    found = found || !samples->empty();
    daemons.push_back(
        {FormatSocketAddress(targets->daemons[i]), *std::move(samples)});
  }
  output.out << (HasOption(arguments, "json") ? CountersToJson(daemons)
                                              : RenderCounters(daemons));
  if (!daemons.empty() && !found) {
    code =
        MaxExitCode(code, ReportError(absl::NotFoundError(absl::StrCat(
                                          "no counter begins with \"", prefix,
                                          "\"; leave out the prefix to see "
                                          "all")),
                                      output));
  }
  return code;
}

}  // namespace

absl::StatusOr<std::vector<MetricSample>> ParseCounters(
    absl::string_view text) {
  std::vector<MetricSample> samples;
  std::set<std::string, std::less<>> gauges;
  for (absl::string_view line : absl::StrSplit(text, '\n')) {
    if (absl::ConsumePrefix(&line, "# TYPE ")) {
      if (absl::ConsumeSuffix(&line, " gauge")) {
        gauges.insert(std::string(line));
      }
      continue;
    }
    if (line.empty() || line[0] == '#') {
      continue;
    }
    std::optional<MetricSample> sample = ParseSample(line);
    if (!sample) {
      return absl::InvalidArgumentError(absl::StrCat(
          "the line \"", line.substr(0, 80), "\" is not a counter"));
    }
    sample->kind = gauges.find(sample->name) == gauges.end()
                       ? MetricKind::kCounter
                       : MetricKind::kGauge;
    samples.push_back(*std::move(sample));
  }
  return samples;
}

std::string RenderCounters(const std::vector<DaemonCounters>& daemons) {
  TableRows rows;
  for (const DaemonCounters& daemon : daemons) {
    for (const MetricSample& sample : daemon.samples) {
      std::vector<std::string> row = {FormatSample(sample),
                                      absl::StrCat(sample.value)};
      if (daemons.size() > 1) {
        row.insert(row.begin(), daemon.daemon);
      }
      rows.push_back(std::move(row));
    }
  }
  return RenderTable(rows, "");
}

std::string CountersToJson(const std::vector<DaemonCounters>& daemons) {
  using Json = nlohmann::ordered_json;
  Json counters = Json::array();
  for (const DaemonCounters& daemon : daemons) {
    for (const MetricSample& sample : daemon.samples) {
      Json labels = Json::object();
      for (const Label& label : sample.labels) {
        labels[label.name] = label.value;
      }
      counters.push_back(
          {{"daemon", daemon.daemon},
           {"name", sample.name},
           {"labels", std::move(labels)},
           {"kind", sample.kind == MetricKind::kGauge ? "gauge" : "counter"},
           {"value", sample.value}});
    }
  }
  return Json{{"counters", std::move(counters)}}.dump(
             2, ' ', false, Json::error_handler_t::replace) +
         "\n";
}

Command CountersCommand() {
  return {"counters", "show counters and gauges", kHelp, DaemonOptions(), &Run};
}

}  // namespace comfrey
