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
    "Prints the events of one request from daemon logs, in order of time.\n"
    "\n"
    "Usage: comfreyctl explain-request ID FILE...\n"
    "\n"
    "ID is the attempt id of the request. FILE is the log of a daemon.\n"
    "Lines that are not events are counted and left out.\n"
    "The exit code is 1 if no event names the request.\n"
    "\n"
    "Options:\n"
    "  --help  print this text\n";

// One event of the request, with its fields as text.
struct LoggedEvent {
  std::string time;
  std::string daemon;
  std::string event;
  std::string details;
};

// Events of the request, and the number of lines that are not events.
struct MatchingEvents {
  std::vector<LoggedEvent> events;
  std::size_t malformed_lines = 0;
};

std::string ToText(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Removes a field from the event and returns its text, or "" if it is missing.
std::string ExtractField(json& event, const char* field) {
  const auto found = event.find(field);
  if (found == event.end()) {
    return "";
  }
  std::string text = ToText(*found);
  event.erase(found);
  return text;
}

LoggedEvent ToLoggedEvent(json event) {
  LoggedEvent logged_event;
  logged_event.time = ExtractField(event, "time");
  logged_event.daemon = ExtractField(event, "daemon");
  logged_event.event = ExtractField(event, "event");
  event.erase("request");
  for (const auto& [name, value] : event.items()) {
    absl::StrAppend(&logged_event.details,
                    logged_event.details.empty() ? "" : ", ", name, "=",
                    ToText(value));
  }
  return logged_event;
}

void ReadLog(std::istream& input,
             const std::string& id,
             MatchingEvents& matches) {
  for (std::string text; std::getline(input, text);) {
    json event = json::parse(text, nullptr, false);
    if (!event.is_object() || !event.contains("event")) {
      matches.malformed_lines += text.empty() ? 0 : 1;
      continue;
    }
    const auto request = event.find("request");
    if (request != event.end() && ToText(*request) == id) {
      matches.events.push_back(ToLoggedEvent(std::move(event)));
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
  MatchingEvents matches;
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
    ReadLog(file, id, matches);
  }
  // Events of different VMs may be out of order by the difference of the
  // clocks. The sort is stable, so that events of one daemon with equal times
  // keep their order.
  std::stable_sort(matches.events.begin(), matches.events.end(),
                   [](const LoggedEvent& a, const LoggedEvent& b) {
                     return a.time < b.time;
                   });
  if (matches.malformed_lines > 0) {
    output.err << "comfreyctl: " << matches.malformed_lines
               << " lines are no events and were left out\n";
  }
  if (matches.events.empty()) {
    output.err << "comfreyctl: no event names the request "
               << ReplaceControlCharacters(id) << "\n";
    return ExitCode::kProblem;
  }
  TableRows rows = {{"TIME", "DAEMON", "EVENT", "DETAILS"}};
  for (LoggedEvent& logged_event : matches.events) {
    rows.push_back(
        {std::move(logged_event.time), std::move(logged_event.daemon),
         std::move(logged_event.event), std::move(logged_event.details)});
  }
  output.out << RenderTable(rows, "");
  return code;
}

}  // namespace

Command ExplainRequestCommand() {
  return {"explain-request",
          "print the events of one request from daemon logs",
          kHelp,
          {},
          &Run};
}

}  // namespace comfrey
