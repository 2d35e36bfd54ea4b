#ifndef CTL_VERSION_DIFFERENCES_H_
#define CTL_VERSION_DIFFERENCES_H_

#include <optional>
#include <string>
#include <vector>

#include "report/status_report.h"

namespace comfrey {

/// \brief How a version compares with the newest one of the team.
enum class VersionNote {
  kNewest,
  kOlder,
  /// Same version as the newest one, but other content, whose hash is lower.
  kConflict,
  /// The daemon has no configuration of the team.
  kMissing,
};

/// \brief One version of a team and the daemons that have it in force.
struct VersionGroup {
  std::string team;
  /// Absent if `note` is kMissing.
  std::optional<TeamInForce> in_force;
  std::vector<std::string> daemons;
  VersionNote note = VersionNote::kNewest;
};

/// \brief Groups the daemons by team and version in force.
///
/// For each team, the newest version comes first. Daemons without a
/// configuration of the team come last.
std::vector<VersionGroup> GroupVersions(
    const std::vector<StatusReport>& reports);

}  // namespace comfrey

#endif  // CTL_VERSION_DIFFERENCES_H_
