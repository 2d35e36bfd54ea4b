#include "ctl/check_command.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <system_error>

#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"
#include "config/config_store.h"
#include "config/daemon_settings.h"
#include "config/team_config.h"
#include "ctl/text_table.h"
#include "nlohmann/json.hpp"

namespace comfrey {
namespace {

namespace fs = std::filesystem;

constexpr absl::string_view kHelp =
    "Checks configuration files with the validation of the daemon.\n"
    "\n"
    "Usage: comfreyctl check [FILE|DIR]... [--settings FILE] [--json]\n"
    "       comfreyctl check FILE --against OLDFILE [--json]\n"
    "\n"
    "FILE is the value of one team and is named TEAM.ini. For DIR, all files\n"
    "in it with the extension .ini are checked. All errors are printed, each\n"
    "with file, line, section, key, value, cause and remedy.\n"
    "\n"
    "Options:\n"
    "  --settings FILE    also check the settings file of a daemon\n"
    "  --against OLDFILE  compare with the value in force: report endpoints\n"
    "                     that change in a way that breaks the keys rule\n"
    "                     (joining, active, leaving), and a generation that\n"
    "                     is lower than before\n"
    "  --json             print the result as JSON\n"
    "  --help             print this text\n";

// Reads a file. A failure is added to the errors of the file and is not
// reported as bad usage.
std::optional<std::string> ReadText(const std::string& path,
                                    std::vector<IniError>& errors) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (fs::is_directory(path) || !file || !(text << file.rdbuf())) {
    AddIniError(errors, {path, 0, "", "", "", "the file is empty or unreadable",
                         "check the path, the permissions and the content"});
    return std::nullopt;
  }
  return text.str();
}

std::optional<TeamConfig> ReadTeamFile(const std::string& path,
                                       absl::string_view team,
                                       std::vector<IniError>& errors) {
  const std::optional<std::string> text = ReadText(path, errors);
  if (!text) {
    return std::nullopt;
  }
  // The daemon rejects a value above this size without parsing it.
  if (text->size() > kMaxValueBytes) {
    AddIniError(errors, {path, 0, "", "", "",
                         absl::StrCat("the value has ", text->size(),
                                      " bytes, more than ", kMaxValueBytes),
                         "split the team, or remove comments"});
    return std::nullopt;
  }
  TeamConfig config = ParseTeamConfig(team, path, *text, errors);
  if (!errors.empty()) {
    return std::nullopt;
  }
  return config;
}

std::string TeamNameFromPath(const std::string& path) {
  return fs::path(path).stem().string();
}

FileCheckResult CheckTeamFile(const std::string& path,
                              const std::string& old_path) {
  FileCheckResult check{path, {}, {}, false};
  const std::string team = TeamNameFromPath(path);
  const std::optional<TeamConfig> after =
      ReadTeamFile(path, team, check.errors);
  if (old_path.empty()) {
    return check;
  }
  // Errors of the old file are also reported, because the files are not
  // compared if the old one is invalid.
  std::vector<IniError> old_errors;
  const std::optional<TeamConfig> before =
      ReadTeamFile(old_path, team, old_errors);
  check.errors.insert(check.errors.end(), old_errors.begin(), old_errors.end());
  if (before && after) {
    check.keys_changes = CompareKeyPhases(*before, *after);
    check.lower_generation = after->generation < before->generation;
  }
  return check;
}

FileCheckResult CheckSettingsFile(const std::string& path) {
  FileCheckResult check{path, {}, {}, false};
  const std::optional<std::string> text = ReadText(path, check.errors);
  if (text) {
    ParseDaemonSettings(path, *text, check.errors);
  }
  return check;
}

// Returns the operand if it is a file, or the sorted .ini files of a directory.
absl::StatusOr<std::vector<std::string>> ListFiles(const std::string& operand) {
  std::error_code error;
  if (!fs::is_directory(operand, error)) {
    if (fs::path(operand).extension() != ".ini") {
      return absl::InvalidArgumentError(absl::StrCat(
          "the file \"", operand,
          "\" is not named after a team; name it TEAM.ini, or check the "
          "settings of a daemon with --settings"));
    }
    return std::vector<std::string>{operand};
  }
  std::vector<std::string> files;
  for (fs::directory_iterator item(operand, error), end; !error && item != end;
       item.increment(error)) {
    if (item->path().extension() == ".ini") {
      files.push_back(item->path().string());
    }
  }
  if (error || files.empty()) {
    return absl::FailedPreconditionError(absl::StrCat(
        "the directory \"", operand, "\" ",
        error ? error.message() : std::string("has no file TEAM.ini"),
        "; check the path"));
  }
  std::sort(files.begin(), files.end());
  return files;
}

absl::Status CheckUsage(const Arguments& arguments) {
  if (arguments.operands.empty() && !HasOption(arguments, "settings")) {
    return absl::InvalidArgumentError(
        "nothing to check; name a file TEAM.ini, a directory or --settings "
        "FILE");
  }
  std::error_code error;
  if (HasOption(arguments, "against") &&
      (arguments.operands.size() != 1 ||
       fs::is_directory(arguments.operands[0], error))) {
    return absl::InvalidArgumentError(
        "--against compares one file; name exactly one file TEAM.ini");
  }
  return absl::OkStatus();
}

ExitCode Run(const Arguments& arguments, const CommandOutput& output) {
  const absl::Status usage = CheckUsage(arguments);
  if (!usage.ok()) {
    return ReportError(usage, output);
  }
  ExitCode code = ExitCode::kOk;
  std::vector<FileCheckResult> checks;
  for (const std::string& operand : arguments.operands) {
    const auto files = ListFiles(operand);
    if (!files.ok()) {
      code = MaxExitCode(code, ReportError(files.status(), output));
      continue;
    }
    for (const std::string& file : *files) {
      checks.push_back(CheckTeamFile(file, OptionValue(arguments, "against")));
    }
  }
  if (HasOption(arguments, "settings")) {
    checks.push_back(CheckSettingsFile(OptionValue(arguments, "settings")));
  }
  output.out << (HasOption(arguments, "json") ? ChecksToJson(checks)
                                              : RenderChecks(checks));
  const bool problem = std::any_of(checks.begin(), checks.end(), HasProblem);
  return MaxExitCode(code, problem ? ExitCode::kProblem : ExitCode::kOk);
}

}  // namespace

bool HasProblem(const FileCheckResult& check) {
  return !check.errors.empty() || check.lower_generation ||
         std::any_of(check.keys_changes.begin(), check.keys_changes.end(),
                     [](const KeyPhaseChange& c) { return c.breaks_rule; });
}

std::string RenderChecks(const std::vector<FileCheckResult>& checks) {
  std::string text;
  for (const FileCheckResult& check : checks) {
    for (const IniError& error : check.errors) {
      absl::StrAppend(&text, "error: ", FormatIniError(error), "\n");
    }
    if (check.lower_generation) {
      absl::StrAppend(&text, "warning: ", check.file,
                      ": the generation is lower than in the old file, so "
                      "daemons ignore the value; keep or raise it\n");
    }
    for (const KeyPhaseChange& change : check.keys_changes) {
      absl::StrAppend(
          &text, change.breaks_rule ? "warning: " : "note: ", check.file,
          ": service ", change.service, ", endpoint ", change.endpoint, ": ",
          change.cause, "; ", change.remedy, "\n");
    }
    if (!HasProblem(check)) {
      absl::StrAppend(&text, check.file, ": ok\n");
    }
  }
  return ReplaceControlCharacters(text);
}

std::string ChecksToJson(const std::vector<FileCheckResult>& checks) {
  using Json = nlohmann::ordered_json;
  Json files = Json::array();
  for (const FileCheckResult& check : checks) {
    Json errors = Json::array();
    for (const IniError& error : check.errors) {
      errors.push_back({{"source", error.source},
                        {"line", error.line},
                        {"section", error.section},
                        {"key", error.key},
                        {"value", error.value},
                        {"cause", error.cause},
                        {"remedy", error.remedy}});
    }
    Json changes = Json::array();
    for (const KeyPhaseChange& change : check.keys_changes) {
      changes.push_back({{"service", change.service},
                         {"endpoint", change.endpoint},
                         {"breaks_rule", change.breaks_rule},
                         {"cause", change.cause},
                         {"remedy", change.remedy}});
    }
    files.push_back({{"file", check.file},
                     {"ok", !HasProblem(check)},
                     {"errors", std::move(errors)},
                     {"keys_changes", std::move(changes)},
                     {"lower_generation", check.lower_generation}});
  }
  return Json{{"files", std::move(files)}}.dump(
             2, ' ', false, Json::error_handler_t::replace) +
         "\n";
}

Command CheckCommand() {
  return {"check",
          "check configuration and settings files",
          kHelp,
          {{"settings", OptionKind::kValue},
           {"against", OptionKind::kValue},
           {"json", OptionKind::kSwitch}},
          &Run};
}

}  // namespace comfrey
