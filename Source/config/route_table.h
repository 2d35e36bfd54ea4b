#ifndef CONFIG_ROUTE_TABLE_H_
#define CONFIG_ROUTE_TABLE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/functional/function_ref.h"
#include "absl/strings/string_view.h"
#include "config/team_config.h"

namespace comfrey {

/// \brief A service that gets a part of a route's requests.
struct ResolvedShare {
  const ServiceConfig* service = nullptr;
  /// Relative to the sum over the route.
  int weight = 0;
};

/// \brief A route with the objects that it names.
struct ResolvedRoute {
  const RouteConfig* route = nullptr;
  const ServiceConfig* service = nullptr;
  const RankConfig* rank = nullptr;
  /// Empty if `service` gets all requests.
  std::vector<ResolvedShare> shares;
};

/// \brief The routes of one team. Keeps the configuration alive.
struct TeamRoutes {
  std::shared_ptr<const TeamConfig> config;
  /// By decoded path; per path in order of precedence.
  absl::flat_hash_map<std::string, std::vector<ResolvedRoute>> by_path;
  /// Length of the longest path in `by_path`.
  std::size_t longest_path = 0;
  /// Routes with a host, by host; per host, the longest path first.
  absl::flat_hash_map<std::string, std::vector<ResolvedRoute>> by_host;
};

/// \brief The routes of all teams, by team name. A copy shares the teams.
struct RouteTable {
  absl::flat_hash_map<std::string, std::shared_ptr<const TeamRoutes>> teams;
  /// The team that serves each host; the first by name, if several do.
  absl::flat_hash_map<std::string, std::shared_ptr<const TeamRoutes>> hosts;
};

/// \brief Builds a table from configurations that were parsed without errors.
RouteTable BuildRouteTable(
    const std::vector<std::shared_ptr<const TeamConfig>>& configs);

/// \brief Replaces or adds one team, or leaves it out if it is marked removed.
void SetTeam(RouteTable& table, std::shared_ptr<const TeamConfig> config);

/// \brief Returns a copy of the table in which one team is replaced, added or,
/// if it is marked removed, left out. The other teams are shared.
RouteTable WithTeam(const RouteTable& table,
                    std::shared_ptr<const TeamConfig> config);

enum class MatchStatus {
  kFound,
  /// The target is not an absolute path or is ambiguous; status 400.
  kBadTarget,
  /// No team has this URL prefix; status 404.
  kNoTeam,
  /// No route of the team matches path, method and headers; status 404.
  kNoRoute,
};

/// \brief The result of MatchRoute. The pointers are valid as long as the table
/// or a copy of it; they are null unless `status` is kFound.
struct RouteMatch {
  MatchStatus status = MatchStatus::kBadTarget;
  const TeamConfig* team = nullptr;
  const ServiceConfig* service = nullptr;
  const RankConfig* rank = nullptr;
  const RouteConfig* route = nullptr;
  /// Services that divide the requests; null if `service` gets all.
  const std::vector<ResolvedShare>* shares = nullptr;
  /// Path without the team prefix and the query, percent-encoded as received
  /// and with repeated slashes merged; starts with "/".
  std::string path;
  /// `path` with the query as received; the target to forward.
  std::string target;
};

/// \brief Returns the value of a header by case-insensitive name, or nothing.
using HeaderLookup =
    absl::FunctionRef<std::optional<std::string>(absl::string_view name)>;

/// \brief Finds the route of a request.
///
/// `target` is the request target as received, with the query and without any
/// decoding. A request for a host with routes is matched among these, by the
/// longest prefix of its path as received. Otherwise, the longest path prefix
/// within the team wins; for the same path, a route with
/// match_header precedes one with only a method, and that one with neither.
RouteMatch MatchRoute(const RouteTable& table,
                      absl::string_view method,
                      absl::string_view target,
                      HeaderLookup header);

/// \brief Selects the service of a request; `draw` is uniform in [0, 1).
const ServiceConfig* SelectService(const RouteMatch& match, double draw);

}  // namespace comfrey

#endif  // CONFIG_ROUTE_TABLE_H_
