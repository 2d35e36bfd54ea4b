#ifndef CTL_ARGUMENTS_H_
#define CTL_ARGUMENTS_H_

#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace comfrey {

enum class OptionKind { kSwitch, kValue, kRepeatedValue };

/// \brief One option that a command takes, for example {"daemon", kValue}.
struct OptionSpec {
  std::string name;
  OptionKind kind = OptionKind::kSwitch;
};

/// \brief The arguments of one command.
struct Arguments {
  std::vector<std::string> operands;
  /// Values by option name; a switch has one empty value.
  std::map<std::string, std::vector<std::string>, std::less<>> options;
};

/// \brief Parses the arguments after the name of a command.
///
/// Options may appear before, between and after operands; "--" ends them. The
/// switch "help" is always accepted. Returns InvalidArgument for an option that
/// is unknown, lacks its value, or is a kValue that is given twice.
absl::StatusOr<Arguments> ParseArguments(const std::vector<OptionSpec>& specs,
                                         const std::vector<std::string>& args);

bool HasOption(const Arguments& arguments, absl::string_view name);

/// \brief Returns the value of an option, or `fallback` if it is not given.
std::string OptionValue(const Arguments& arguments,
                        absl::string_view name,
                        absl::string_view fallback = "");

/// \brief Returns all values of a repeated option.
std::vector<std::string> OptionValues(const Arguments& arguments,
                                      absl::string_view name);

}  // namespace comfrey

#endif  // CTL_ARGUMENTS_H_
