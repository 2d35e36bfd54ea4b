#ifndef CTL_COMMAND_LINE_H_
#define CTL_COMMAND_LINE_H_

#include <string>
#include <vector>

#include "ctl/command.h"

namespace comfrey {

/// \brief All commands, in the order of the overview.
const std::vector<Command>& Commands();

/// \brief Runs comfreyctl with the arguments after the program name.
ExitCode RunCommandLine(const std::vector<std::string>& args,
                        const CommandOutput& output);

}  // namespace comfrey

#endif  // CTL_COMMAND_LINE_H_
