#include "ctl/explain_request_command.h"

#include <algorithm>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "ctl/text_table.h"
#include "nlohmann/json.hpp"

namespace comfrey {
namespace {

using nlohmann::json;

constexpr absl::string_view kHelp =
    "Prints what the logs of daemons say of one request, in order of time.\n"
    "\n"
    "Usage: comfreyctl explain-request ID FILE...\n"
    "\n"
    "ID is the attempt id of the request. FILE is the log of a daemon.\n"
    "Lines that are no events are counted and left out.\n"
    "The exit code is 1 if no event names the request.\n"
    "\n"
    "Options:\n"
    "  --help  print this text\n";

// One event of the request.
struct Line {
  std::string time;
  std::string daemon;
  std::string event;
  std::string details;
};

struct LogContent {
  std::vector<Line> lines;
  std::size_t malformed = 0;
};

std::string TextOf(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string TakeText(json& event, const char* field) {
  const auto found = event.find(field);
  if (found == event.end()) {
    return "";
  }
  std::string text = TextOf(*found);
  event.erase(found);
  return text;
}

Line ToLine(json event) {
  Line line;
  line.time = TakeText(event, "time");
  line.daemon = TakeText(event, "daemon");
  line.event = TakeText(event, "event");
  event.erase("request");
  for (const auto& [name, value] : event.items()) {
    absl::StrAppend(&line.details, line.details.empty() ? "" : ", ", name, "=",
                    TextOf(value));
  }
  return line;
}

void ReadLog(std::istream& input, const std::string& id, LogContent& content) {
  for (std::string text; std::getline(input, text);) {
    json event = json::parse(text, nullptr, false);
    if (!event.is_object() || !event.contains("event")) {
      content.malformed += text.empty() ? 0 : 1;
      continue;
    }
    const auto request = event.find("request");
    if (request != event.end() && TextOf(*request) == id) {
      content.lines.push_back(ToLine(std::move(event)));
    }
  }
}

ExitCode Run(const Arguments& arguments, const CommandOutput& output) {
  if (arguments.operands.size() < 2) {
    return ReportError(absl::InvalidArgumentError(
                           "give the id of a request and the logs of daemons"),
                       output);
  }
  const std::string& id = arguments.operands.front();
  LogContent content;
  ExitCode code = ExitCode::kOk;
  for (std::size_t i = 1; i < arguments.operands.size(); ++i) {
    std::ifstream file(arguments.operands[i], std::ios::binary);
    if (!file) {
      code = ReportError(absl::NotFoundError(absl::StrCat(
                             "read the log ", arguments.operands[i],
                             ": the file cannot be opened")),
                         output);
      continue;
    }
    ReadLog(file, id, content);
  }
  // Times of different VMs differ by the difference of their clocks; events of
  // one daemon keep their order.
  std::stable_sort(
      content.lines.begin(), content.lines.end(),
      [](const Line& a, const Line& b) { return a.time < b.time; });
  if (content.malformed > 0) {
    output.err << "comfreyctl: " << content.malformed
               << " lines are no events and were left out\n";
  }
  if (content.lines.empty()) {
    output.err << "comfreyctl: no event names the request " << PlainText(id)
               << "\n";
    return ExitCode::kProblem;
  }
  TextRows rows = {{"TIME", "DAEMON", "EVENT", "DETAILS"}};
  for (Line& line : content.lines) {
    rows.push_back({std::move(line.time), std::move(line.daemon),
                    std::move(line.event), std::move(line.details)});
  }
  output.out << RenderTable(rows, "");
  return code;
}

}  // namespace

Command ExplainRequestCommand() {
  return {
      "explain-request", "print what logs say of one request", kHelp, {}, &Run};
}

}  // namespace comfrey
