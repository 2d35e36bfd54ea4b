#include "ctl/command_line.h"

#include <algorithm>

#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "ctl/burn_command.h"
#include "ctl/check_command.h"
#include "ctl/counters_command.h"
#include "ctl/drain_command.h"
#include "ctl/explain_command.h"
#include "ctl/explain_request_command.h"
#include "ctl/status_command.h"

namespace comfrey {
namespace {

constexpr absl::string_view kExitCodes =
    "\n"
    "Exit codes:\n"
    "  0  ok\n"
    "  1  a problem was found, or a daemon refused the command\n"
    "  2  bad usage\n"
    "  3  a daemon did not respond\n";

std::string FormatOverview() {
  std::string text =
      "comfreyctl checks configuration and operates comfreyd daemons.\n"
      "\n"
      "Usage: comfreyctl COMMAND [ARGUMENT]... [OPTION]...\n"
      "\n"
      "Commands:\n";
  for (const Command& command : Commands()) {
    absl::StrAppendFormat(&text, "  %-9s %s\n", command.name, command.summary);
  }
  absl::StrAppend(&text,
                  "\nRun \"comfreyctl COMMAND --help\" for the options of a "
                  "command.\n",
                  kExitCodes);
  return text;
}

const Command* FindCommand(absl::string_view name) {
  const std::vector<Command>& commands = Commands();
  const auto found =
      std::find_if(commands.begin(), commands.end(),
                   [&](const Command& c) { return c.name == name; });
  return found == commands.end() ? nullptr : &*found;
}

}  // namespace

const std::vector<Command>& Commands() {
  static const auto& commands = *new std::vector<Command>{
      CheckCommand(),   StatusCommand(),  DrainCommand(),
      UndrainCommand(), ExplainCommand(), ExplainRequestCommand(),
      BurnCommand(),    CountersCommand()};
  return commands;
}

ExitCode RunCommandLine(const std::vector<std::string>& args,
                        const CommandOutput& output) {
  if (args.empty()) {
    output.err << FormatOverview();
    return ExitCode::kBadUsage;
  }
  if (args[0] == "--help" || args[0] == "help") {
    output.out << FormatOverview();
    return ExitCode::kOk;
  }
  const Command* command = FindCommand(args[0]);
  if (command == nullptr) {
    return ReportError(
        absl::InvalidArgumentError(absl::StrCat(
            "unknown command \"", args[0],
            "\"; run \"comfreyctl --help\" for the list of commands")),
        output);
  }
  const absl::StatusOr<Arguments> arguments =
      ParseArguments(command->options, {args.begin() + 1, args.end()});
  if (!arguments.ok()) {
    return ReportError(arguments.status(), output);
  }
  if (HasOption(*arguments, "help")) {
    output.out << command->help << kExitCodes;
    return ExitCode::kOk;
  }
  return command->run(*arguments, output);
}

}  // namespace comfrey
