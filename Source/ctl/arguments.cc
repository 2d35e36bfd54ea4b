#include "ctl/arguments.h"

#include <getopt.h>

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

namespace comfrey {
namespace {

// getopt_long returns kFirstOption + i for option i of the table. These values
// are above those of all single-character options.
constexpr int kFirstOption = 256;
// getopt_long returns this value for an operand, because the option string
// begins with "-".
constexpr int kOperand = 1;

absl::Status UsageError(absl::string_view cause) {
  return absl::InvalidArgumentError(
      absl::StrCat(cause, "; see --help for the options of the command"));
}

std::string UnknownOption(char* const* argv) {
  return optopt > 0 && optopt < kFirstOption
             ? std::string({'-', static_cast<char>(optopt)})
             : std::string(argv[optind - 1]);
}

}  // namespace

// getopt_long is used instead of gflags, which the daemon uses. gflags has one
// table of flags for the whole program, keeps only the last value of a repeated
// flag, and exits the process with code 1 if a flag is unknown. getopt_long has
// none of these limits.
absl::StatusOr<Arguments> ParseArguments(const std::vector<OptionSpec>& specs,
                                         const std::vector<std::string>& args) {
  std::vector<OptionSpec> known = specs;
  known.push_back({"help", OptionKind::kSwitch});
  std::vector<option> table;
  table.reserve(known.size() + 1);
  for (const OptionSpec& spec : known) {
    table.push_back(
        {spec.name.c_str(),
         spec.kind == OptionKind::kSwitch ? no_argument : required_argument,
         nullptr, kFirstOption + static_cast<int>(table.size())});
  }
  table.push_back({nullptr, 0, nullptr, 0});
  std::vector<std::string> texts = {"comfreyctl"};
  texts.insert(texts.end(), args.begin(), args.end());
  std::vector<char*> argv;
  argv.reserve(texts.size() + 1);
  for (std::string& text : texts) {
    argv.push_back(text.data());
  }
  argv.push_back(nullptr);
  const int argc = static_cast<int>(texts.size());

  Arguments arguments;
  optind = 0;
  opterr = 0;
  int result = 0;
  while ((result = getopt_long(argc, argv.data(), "-:", table.data(),
                               nullptr)) != -1) {
    if (result == kOperand) {
      arguments.operands.emplace_back(optarg);
      continue;
    }
    if (result == ':') {
      return UsageError(absl::StrCat(argv[optind - 1], " needs a value"));
    }
    if (result < kFirstOption) {
      return UsageError(absl::StrCat("option ", UnknownOption(argv.data()),
                                     " is unknown, ambiguous or takes no "
                                     "value"));
    }
    const OptionSpec& spec = known[result - kFirstOption];
    std::vector<std::string>& values = arguments.options[spec.name];
    if (!values.empty() && spec.kind == OptionKind::kValue) {
      return UsageError(absl::StrCat("--", spec.name, " is given twice"));
    }
    values.emplace_back(optarg == nullptr ? "" : optarg);
  }
  for (int i = optind; i < argc; i++) {
    arguments.operands.emplace_back(argv[i]);
  }
  return arguments;
}

bool HasOption(const Arguments& arguments, absl::string_view name) {
  return arguments.options.find(name) != arguments.options.end();
}

std::string OptionValue(const Arguments& arguments,
                        absl::string_view name,
                        absl::string_view fallback) {
  const auto found = arguments.options.find(name);
  return found == arguments.options.end() ? std::string(fallback)
                                          : found->second.back();
}

std::vector<std::string> OptionValues(const Arguments& arguments,
                                      absl::string_view name) {
  const auto found = arguments.options.find(name);
  return found == arguments.options.end() ? std::vector<std::string>()
                                          : found->second;
}

}  // namespace comfrey
