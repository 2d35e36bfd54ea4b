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

/// \brief A service that gets a share of the requests of a route.
struct ResolvedShare {
  const ServiceConfig* service = nullptr;
  /// Relative to the sum of the weights of the route.
  int weight = 0;
};

/// \brief A route with the objects to which its names refer; an unusable route
/// refers to none.
struct ResolvedRoute {
  const RouteConfig* route = nullptr;
  const ServiceConfig* service = nullptr;
  const RankConfig* rank = nullptr;
  /// Empty if `service` gets all requests.
  std::vector<ResolvedShare> shares;
};

/// \brief The routes of one team.
struct TeamRoutes {
  /// Owns the objects to which the routes point.
  std::shared_ptr<const TeamConfig> config;
  /// Routes without a host, by decoded path; for each path in order of
  /// precedence.
  absl::flat_hash_map<std::string, std::vector<ResolvedRoute>> by_path;
  /// Length of the longest path in `by_path`.
  std::size_t longest_path = 0;
  /// Routes with a host, by host; for each host, the longest path first.
  absl::flat_hash_map<std::string, std::vector<ResolvedRoute>> by_host;
};

/// \brief The routes of all teams. A copy shares the routes of the teams.
struct RouteTable {
  /// By team name.
  absl::flat_hash_map<std::string, std::shared_ptr<const TeamRoutes>> teams;
  /// By host. If several teams have routes for a host, the team whose name
  /// sorts first serves it.
  absl::flat_hash_map<std::string, std::shared_ptr<const TeamRoutes>> hosts;
  /// Whether a team lacks routes whose place is not known.
  bool lacks_routes = false;
};

/// \brief Builds a table from configurations that were parsed without errors.
RouteTable BuildRouteTable(
    const std::vector<std::shared_ptr<const TeamConfig>>& configs);

/// \brief Adds or replaces one team, or removes it if it is marked as removed.
void SetTeam(RouteTable& table, std::shared_ptr<const TeamConfig> config);

/// \brief Returns a copy of the table to which SetTeam was applied. The copy
/// shares the routes of the other teams.
RouteTable WithTeam(const RouteTable& table,
                    std::shared_ptr<const TeamConfig> config);

/// \brief Whether a route was found, or why not.
enum class MatchStatus {
  kFound,
  /// The target is not an absolute path or is ambiguous; answered with the HTTP
  /// status 400.
  kBadTarget,
  /// The first segment of the path is not the name of a team; answered with the
  /// HTTP status 404.
  kNoTeam,
  /// No route of the team matches path, method and headers; answered with the
  /// HTTP status 404.
  kNoRoute,
  /// The route of the request was published, but cannot be used; answered with
  /// the HTTP status 503. Also used if no route matches while the place of such
  /// a route is not known.
  kUnusableRoute,
};

/// \brief The result of MatchRoute. The pointers are valid as long as the table
/// or a copy of it; they are null unless `status` is kFound.
struct RouteMatch {
  MatchStatus status = MatchStatus::kBadTarget;
  const TeamConfig* team = nullptr;
  const ServiceConfig* service = nullptr;
  const RankConfig* rank = nullptr;
  const RouteConfig* route = nullptr;
  /// Services between which the requests are divided; null if `service` gets
  /// all requests.
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
/// decoding. If there are routes for the host of the request, only these are
/// compared, and the route with the longest prefix of the path as received is
/// selected. Otherwise, the route of the team with the longest path prefix is
/// selected. Among routes with the same path, routes with a match_header
/// precede routes with only a method, and these precede routes with neither.
RouteMatch MatchRoute(const RouteTable& table,
                      absl::string_view method,
                      absl::string_view target,
                      HeaderLookup header);

/// \brief Selects the service of a request by weight. `draw` is a random number
/// that is uniformly distributed over [0, 1).
const ServiceConfig* SelectService(const RouteMatch& match, double draw);

}  // namespace comfrey

#endif  // CONFIG_ROUTE_TABLE_H_
