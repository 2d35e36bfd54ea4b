#include "ctl/command.h"

#include <algorithm>

namespace comfrey {

ExitCode MaxExitCode(ExitCode a, ExitCode b) {
  return std::max(a, b);
}

ExitCode ExitCodeOf(const absl::Status& status) {
  switch (status.code()) {
    case absl::StatusCode::kOk:
      return ExitCode::kOk;
    case absl::StatusCode::kInvalidArgument:
      return ExitCode::kBadUsage;
    case absl::StatusCode::kUnavailable:
      return ExitCode::kUnreachable;
    default:
      return ExitCode::kProblem;
  }
}

ExitCode ReportError(const absl::Status& status, const CommandOutput& output) {
  output.err << "comfreyctl: " << status.message() << "\n";
  return ExitCodeOf(status);
}

}  // namespace comfrey
