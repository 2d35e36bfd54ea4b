#ifndef CTL_EXPLAIN_COMMAND_H_
#define CTL_EXPLAIN_COMMAND_H_

#include <string>

#include "ctl/command.h"
#include "report/route_explanation.h"

namespace comfrey {

/// \brief Whether the request would not run.
///
/// It would not run if no route matches, no endpoint is in use, the home of the
/// key is draining, or the home or an endpoint that must release the key cannot
/// be reached.
bool HasProblem(const RouteExplanation& explanation);

std::string RenderExplanation(const RouteExplanation& explanation);

Command ExplainCommand();

}  // namespace comfrey

#endif  // CTL_EXPLAIN_COMMAND_H_
