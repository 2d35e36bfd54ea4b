#ifndef CTL_COMMAND_H_
#define CTL_COMMAND_H_

#include <ostream>
#include <vector>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "ctl/arguments.h"

namespace comfrey {

/// \brief Exit codes of comfreyctl, the same for all commands.
///
/// If several apply, the greatest one is returned.
enum class ExitCode {
  kOk = 0,
  /// The command ran and found a problem, or a daemon refused it.
  kProblem = 1,
  kBadUsage = 2,
  /// At least one daemon did not respond.
  kUnreachable = 3,
};

ExitCode MaxExitCode(ExitCode a, ExitCode b);

/// \brief Streams for the result and for the errors of a command.
struct CommandOutput {
  std::ostream& out;
  std::ostream& err;
};

/// \brief One command of comfreyctl.
struct Command {
  absl::string_view name;
  absl::string_view summary;
  /// Synopsis, description and options; --help prints the exit codes after it.
  absl::string_view help;
  std::vector<OptionSpec> options;
  ExitCode (*run)(const Arguments& arguments, const CommandOutput& output);
};

/// \brief Maps InvalidArgument to kBadUsage, Unavailable to kUnreachable and
/// other errors to kProblem.
ExitCode ExitCodeOf(const absl::Status& status);

/// \brief Writes the error and returns its exit code.
ExitCode ReportError(const absl::Status& status, const CommandOutput& output);

}  // namespace comfrey

#endif  // CTL_COMMAND_H_
