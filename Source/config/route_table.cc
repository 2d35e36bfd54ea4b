#include "config/route_table.h"

#include <algorithm>
#include <map>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "config/request_path.h"

namespace comfrey {
namespace {

// Returns the precedence of a route among routes with the same path; a greater
// number takes precedence.
int Specificity(const RouteConfig& route) {
  return (route.header_name.empty() ? 0 : 2) + (route.method.empty() ? 0 : 1);
}

std::shared_ptr<const TeamRoutes> BuildTeamRoutes(
    std::shared_ptr<const TeamConfig> config) {
  auto routes = std::make_shared<TeamRoutes>();
  routes->config = std::move(config);
  absl::flat_hash_map<absl::string_view, const ServiceConfig*> services;
  for (const ServiceConfig& service : routes->config->services) {
    services.emplace(service.name, &service);
  }
  absl::flat_hash_map<absl::string_view, const RankConfig*> ranks;
  for (const RankConfig& rank : routes->config->ranks) {
    ranks.emplace(rank.name, &rank);
  }
  for (const RouteConfig& route : routes->config->routes) {
    if (route.unusable) {
      routes->by_host[route.host].push_back({&route, nullptr, nullptr, {}});
      continue;
    }
    const auto service = services.find(route.service);
    const auto rank = ranks.find(route.rank);
    if (service == services.end() || rank == ranks.end()) {
      continue;
    }
    ResolvedRoute resolved{&route, service->second, rank->second, {}};
    for (const ServiceShare& share : route.split) {
      const auto share_service = services.find(share.service);
      if (share_service != services.end()) {
        resolved.shares.push_back({share_service->second, share.weight});
      }
    }
    if (!route.host.empty()) {
      routes->by_host[route.host].push_back(std::move(resolved));
      continue;
    }
    routes->by_path[route.path].push_back(std::move(resolved));
    routes->longest_path = std::max(routes->longest_path, route.path.size());
  }
  for (auto& [path, candidates] : routes->by_path) {
    // A stable sort keeps routes of equal specificity in the order in which the
    // configuration lists them.
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const ResolvedRoute& a, const ResolvedRoute& b) {
                       return Specificity(*a.route) > Specificity(*b.route);
                     });
    candidates.shrink_to_fit();
  }
  for (auto& [host, candidates] : routes->by_host) {
    std::stable_sort(
        candidates.begin(), candidates.end(),
        [](const ResolvedRoute& a, const ResolvedRoute& b) {
          return std::make_pair(a.route->path.size(), Specificity(*a.route)) >
                 std::make_pair(b.route->path.size(), Specificity(*b.route));
        });
  }
  return routes;
}

// Assigns each host to a team. The teams are visited in the order of their
// names, so that all daemons select the same team for a host that several teams
// list.
void AssignHosts(RouteTable& table) {
  table.hosts.clear();
  std::map<absl::string_view, std::shared_ptr<const TeamRoutes>> by_name;
  for (const auto& [name, routes] : table.teams) {
    if (!routes->by_host.empty()) {
      by_name.emplace(name, routes);
    }
  }
  for (const auto& [name, routes] : by_name) {
    for (const auto& [host, candidates] : routes->by_host) {
      table.hosts.emplace(host, routes);
    }
  }
}

// Returns the host in lower case and without its port.
std::string NormalizeHost(absl::string_view host) {
  return absl::AsciiStrToLower(host.substr(0, host.find(':')));
}

// Returns whether a request meets the conditions of a route other than host and
// path.
bool MatchesConditions(const RouteConfig& route,
                       absl::string_view method,
                       HeaderLookup header) {
  if (!route.method.empty() && route.method != method) {
    return false;
  }
  if (route.header_name.empty()) {
    return true;
  }
  const std::optional<std::string> value = header(route.header_name);
  return value && *value == route.header_value;
}

// Returns the route with the longest matching path prefix, or null.
const ResolvedRoute* FindRoute(const TeamRoutes& routes,
                               absl::string_view path,
                               absl::string_view method,
                               HeaderLookup header) {
  // Only prefixes of whole segments that are not longer than the longest route
  // are looked up. A long request path therefore does not cost more look-ups.
  absl::string_view prefix = path;
  while (true) {
    if (prefix.size() <= routes.longest_path) {
      const auto found = routes.by_path.find(prefix.empty() ? "/" : prefix);
      if (found != routes.by_path.end()) {
        for (const ResolvedRoute& candidate : found->second) {
          if (MatchesConditions(*candidate.route, method, header)) {
            return &candidate;
          }
        }
      }
    }
    if (prefix.empty()) {
      return nullptr;
    }
    prefix = prefix.substr(0, prefix.rfind('/'));
  }
}

}  // namespace

RouteTable BuildRouteTable(
    const std::vector<std::shared_ptr<const TeamConfig>>& configs) {
  RouteTable table;
  for (const auto& config : configs) {
    SetTeam(table, config);
  }
  return table;
}

void SetTeam(RouteTable& table, std::shared_ptr<const TeamConfig> config) {
  const std::string team = config->team;
  const auto known = table.teams.find(team);
  const bool had_hosts =
      known != table.teams.end() && !known->second->by_host.empty();
  if (config->removed) {
    table.teams.erase(team);
  } else {
    table.teams[team] = BuildTeamRoutes(std::move(config));
  }
  const auto now = table.teams.find(team);
  const bool has_hosts =
      now != table.teams.end() && !now->second->by_host.empty();
  if (had_hosts || has_hosts) {
    AssignHosts(table);
  }
  table.lacks_routes = std::any_of(
      table.teams.begin(), table.teams.end(),
      [](const auto& entry) { return entry.second->config->lacks_routes; });
}

RouteTable WithTeam(const RouteTable& table,
                    std::shared_ptr<const TeamConfig> config) {
  RouteTable copy = table;
  SetTeam(copy, std::move(config));
  return copy;
}

namespace {

// Matches a request for a host that has its own routes.
RouteMatch MatchHost(const TeamRoutes& routes,
                     const std::string& host,
                     absl::string_view method,
                     absl::string_view target,
                     HeaderLookup header) {
  RouteMatch match;
  if (target.empty() || target.front() != '/') {
    return match;
  }
  const absl::string_view path = target.substr(0, target.find('?'));
  match.status = MatchStatus::kNoRoute;
  for (const ResolvedRoute& candidate : routes.by_host.at(host)) {
    if (!absl::StartsWith(path, candidate.route->path) ||
        !MatchesConditions(*candidate.route, method, header)) {
      continue;
    }
    if (candidate.route->unusable) {
      match.status = MatchStatus::kUnusableRoute;
      return match;
    }
    match.status = MatchStatus::kFound;
    match.team = routes.config.get();
    match.service = candidate.service;
    match.rank = candidate.rank;
    match.route = candidate.route;
    match.shares = candidate.shares.empty() ? nullptr : &candidate.shares;
    match.path = std::string(path);
    match.target = std::string(target);
    return match;
  }
  return match;
}

// Finds the route of a request among the routes whose place is known.
RouteMatch FindMatch(const RouteTable& table,
                     absl::string_view method,
                     absl::string_view target,
                     HeaderLookup header) {
  RouteMatch match;
  if (!table.hosts.empty()) {
    const std::string host = NormalizeHost(header("Host").value_or(""));
    const auto found = table.hosts.find(host);
    if (found != table.hosts.end()) {
      return MatchHost(*found->second, host, method, target, header);
    }
  }
  const std::size_t query_start = target.find('?');
  const absl::string_view query = query_start == absl::string_view::npos
                                      ? absl::string_view()
                                      : target.substr(query_start);
  const auto path = ReadRequestPath(target.substr(0, query_start));
  const bool bad_query = std::any_of(
      query.begin(), query.end(),
      [](unsigned char c) { return c <= 0x20 || c == 0x7f || c == '#'; });
  if (!path || bad_query) {
    return match;
  }
  const std::size_t decoded_end = path->decoded.find('/', 1);
  const auto team = table.teams.find(
      absl::string_view(path->decoded)
          .substr(1)
          .substr(0, decoded_end == std::string::npos ? decoded_end
                                                      : decoded_end - 1));
  if (team == table.teams.end()) {
    match.status = MatchStatus::kNoTeam;
    return match;
  }
  const absl::string_view rest =
      decoded_end == std::string::npos
          ? absl::string_view("/")
          : absl::string_view(path->decoded).substr(decoded_end);
  const ResolvedRoute* found = FindRoute(*team->second, rest, method, header);
  if (found == nullptr) {
    match.status = MatchStatus::kNoRoute;
    return match;
  }
  const std::size_t encoded_end = path->encoded.find('/', 1);
  match.status = MatchStatus::kFound;
  match.team = team->second->config.get();
  match.service = found->service;
  match.rank = found->rank;
  match.route = found->route;
  match.shares = found->shares.empty() ? nullptr : &found->shares;
  match.path = encoded_end == std::string::npos
                   ? "/"
                   : path->encoded.substr(encoded_end);
  match.target = absl::StrCat(match.path, query);
  return match;
}

}  // namespace

const ServiceConfig* SelectService(const RouteMatch& match, double draw) {
  if (match.shares == nullptr) {
    return match.service;
  }
  double total = 0;
  for (const ResolvedShare& share : *match.shares) {
    total += share.weight;
  }
  double left = draw * total;
  for (const ResolvedShare& share : *match.shares) {
    left -= share.weight;
    if (left < 0) {
      return share.service;
    }
  }
  return match.shares->back().service;
}

RouteMatch MatchRoute(const RouteTable& table,
                      absl::string_view method,
                      absl::string_view target,
                      HeaderLookup header) {
  RouteMatch match = FindMatch(table, method, target, header);
  if (table.lacks_routes && (match.status == MatchStatus::kNoTeam ||
                             match.status == MatchStatus::kNoRoute)) {
    match.status = MatchStatus::kUnusableRoute;
  }
  return match;
}

}  // namespace comfrey
