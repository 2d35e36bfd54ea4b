#ifndef CTL_BURN_COMMAND_H_
#define CTL_BURN_COMMAND_H_

#include <string>

#include "ctl/command.h"
#include "report/burn_status.h"

namespace comfrey {

std::string RenderBurn(const BurnStatus& report);

Command BurnCommand();

}  // namespace comfrey

#endif  // CTL_BURN_COMMAND_H_
