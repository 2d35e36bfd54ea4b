#ifndef CTL_STATUS_COMMAND_H_
#define CTL_STATUS_COMMAND_H_

#include <string>
#include <vector>

#include "ctl/command.h"
#include "report/status_report.h"

namespace comfrey {

/// \brief Which members and endpoints are listed.
enum class StatusDetail {
  /// Only members that are not alive and endpoints that are unreachable,
  /// draining, not healthy or not fully in use.
  kAbnormalOnly,
  kAll,
};

/// \brief Whether a daemon is not ready without draining, a value was rejected,
/// or the versions in force differ.
bool HasProblem(const std::vector<StatusReport>& reports);

std::string RenderStatus(const std::vector<StatusReport>& reports,
                         StatusDetail detail);

Command StatusCommand();

}  // namespace comfrey

#endif  // CTL_STATUS_COMMAND_H_
