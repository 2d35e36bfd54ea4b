#ifndef CTL_DRAIN_COMMAND_H_
#define CTL_DRAIN_COMMAND_H_

#include "ctl/command.h"

namespace comfrey {

Command DrainCommand();
Command UndrainCommand();

}  // namespace comfrey

#endif  // CTL_DRAIN_COMMAND_H_
