#ifndef CTL_EXPLAIN_REQUEST_COMMAND_H_
#define CTL_EXPLAIN_REQUEST_COMMAND_H_

#include "ctl/command.h"

namespace comfrey {

/// \brief Prints what the logs of daemons say of one request.
Command ExplainRequestCommand();

}  // namespace comfrey

#endif  // CTL_EXPLAIN_REQUEST_COMMAND_H_
