#include "ctl/version_differences.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace comfrey {
namespace {

// Orders contents by version, then by content hash. Daemons also use the
// content with the greater hash if versions are equal.
using VersionId = std::pair<ConfigVersion, std::uint64_t>;
using GroupsByVersion = std::map<VersionId, VersionGroup, std::greater<>>;

const TeamInForce* FindTeamInForce(const StatusReport& report,
                                   const std::string& team) {
  for (const TeamReport& candidate : report.teams) {
    if (candidate.team == team && candidate.in_force) {
      return &*candidate.in_force;
    }
  }
  return nullptr;
}

VersionNote CompareWithNewest(const TeamInForce& in_force,
                              const TeamInForce& newest) {
  if (in_force.version != newest.version) {
    return VersionNote::kOlder;
  }
  return in_force.content_hash == newest.content_hash ? VersionNote::kNewest
                                                      : VersionNote::kConflict;
}

}  // namespace

std::vector<VersionGroup> GroupVersions(
    const std::vector<StatusReport>& reports) {
  std::map<std::string, GroupsByVersion> teams;
  for (const StatusReport& report : reports) {
    for (const TeamReport& team : report.teams) {
      if (team.in_force) {
        VersionGroup& group = teams[team.team][{team.in_force->version,
                                                team.in_force->content_hash}];
        group.in_force = team.in_force;
        group.daemons.push_back(report.daemon.name);
      }
    }
  }
  std::vector<VersionGroup> groups;
  for (auto& [team, versions] : teams) {
    const TeamInForce newest = *versions.begin()->second.in_force;
    for (auto& [id, group] : versions) {
      group.team = team;
      group.note = CompareWithNewest(*group.in_force, newest);
      groups.push_back(std::move(group));
    }
    VersionGroup missing{team, std::nullopt, {}, VersionNote::kMissing};
    for (const StatusReport& report : reports) {
      if (FindTeamInForce(report, team) == nullptr) {
        missing.daemons.push_back(report.daemon.name);
      }
    }
    if (!missing.daemons.empty()) {
      groups.push_back(std::move(missing));
    }
  }
  return groups;
}

}  // namespace comfrey
