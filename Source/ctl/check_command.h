#ifndef CTL_CHECK_COMMAND_H_
#define CTL_CHECK_COMMAND_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "config/ini_document.h"
#include "ctl/command.h"
#include "ctl/keys_rule.h"

namespace comfrey {

/// \brief The result of checking one file.
struct FileCheckResult {
  std::string file;
  std::vector<IniError> errors;
  /// Changes relative to the older file, if one was given.
  std::vector<KeyPhaseChange> keys_changes;
  /// The generation is lower than that of the older file, so that daemons
  /// ignore the value.
  bool lower_generation = false;
};

/// \brief Whether the file has an error or a change that forbids publishing it.
bool HasProblem(const FileCheckResult& check);

std::string RenderChecks(const std::vector<FileCheckResult>& checks);
std::string ChecksToJson(const std::vector<FileCheckResult>& checks);

Command CheckCommand();

}  // namespace comfrey

#endif  // CTL_CHECK_COMMAND_H_
