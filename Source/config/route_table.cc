#include "config/route_table.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "config/request_path.h"

namespace comfrey {
namespace {

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
    const auto service = services.find(route.service);
    const auto rank = ranks.find(route.rank);
    if (service == services.end() || rank == ranks.end()) {
      continue;
    }
    routes->by_path[route.path].push_back(
        {&route, service->second, rank->second});
    routes->longest_path = std::max(routes->longest_path, route.path.size());
  }
  for (auto& [path, candidates] : routes->by_path) {
    // Stable, so that routes of equal specificity keep the order of the value.
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const ResolvedRoute& a, const ResolvedRoute& b) {
                       return Specificity(*a.route) > Specificity(*b.route);
                     });
    candidates.shrink_to_fit();
  }
  return routes;
}

bool Matches(const RouteConfig& route,
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

const ResolvedRoute* FindRoute(const TeamRoutes& routes,
                               absl::string_view path,
                               absl::string_view method,
                               HeaderLookup header) {
  // Only whole segments are compared, and no prefix longer than the longest
  // route, so a request with many segments costs no more look-ups.
  absl::string_view prefix = path;
  while (true) {
    if (prefix.size() <= routes.longest_path) {
      const auto found = routes.by_path.find(prefix.empty() ? "/" : prefix);
      if (found != routes.by_path.end()) {
        for (const ResolvedRoute& candidate : found->second) {
          if (Matches(*candidate.route, method, header)) {
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
  if (config->removed) {
    table.teams.erase(team);
    return;
  }
  table.teams[team] = BuildTeamRoutes(std::move(config));
}

RouteTable WithTeam(const RouteTable& table,
                    std::shared_ptr<const TeamConfig> config) {
  RouteTable copy = table;
  SetTeam(copy, std::move(config));
  return copy;
}

RouteMatch Match(const RouteTable& table,
                 absl::string_view method,
                 absl::string_view target,
                 HeaderLookup header) {
  RouteMatch match;
  const std::size_t question = target.find('?');
  const absl::string_view query = question == absl::string_view::npos
                                      ? absl::string_view()
                                      : target.substr(question);
  const auto path = ReadRequestPath(target.substr(0, question));
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
  match.path = encoded_end == std::string::npos
                   ? "/"
                   : path->encoded.substr(encoded_end);
  match.target = absl::StrCat(match.path, query);
  return match;
}

}  // namespace comfrey
