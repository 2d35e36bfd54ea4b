#ifndef CTL_EXPLAIN_REQUEST_COMMAND_H_
#define CTL_EXPLAIN_REQUEST_COMMAND_H_

#include "ctl/command.h"

namespace comfrey {

/// \brief Prints the events of one request from the logs of daemons.
Command ExplainRequestCommand();

}  // namespace comfrey

#endif  // CTL_EXPLAIN_REQUEST_COMMAND_H_
