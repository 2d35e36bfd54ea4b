#include "registry/registry_view.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"

namespace comfrey {
namespace {

using TimePoint = std::chrono::steady_clock::time_point;

// Share of the slots that is guaranteed to each rank when requests of more
// urgent ranks overload an endpoint.
constexpr double kGuaranteedRankShare = 0.05;
// Maximum sum of the guaranteed shares.
constexpr double kMaxTotalRankShare = 0.5;
constexpr int kMaxUrgency = 100;
// About as many requests as an endpoint has slots. Under a lasting overload,
// further late requests would wait without being run in time.
constexpr int kLateLimit = 4;
// One slot is enough for the calls that backend servers make, because these
// calls take only a small part of the time of other requests.
constexpr int kUrgentSlots = 1;
// Callers do not repeat requests without an idempotency key. The records of
// their attempts must only be kept until neither a delayed forwarded request
// nor a fence call after a lost reply can arrive.
constexpr std::chrono::seconds kAttemptRetention{24};

// Returns whether a missing registration stays in use. Registrations expire
// while the registry is unavailable, and the backend servers that still run
// register again after the outage.
bool MayReregister(const RegistryView& view, TimePoint now) {
  return view.reconnected_at &&
         now - *view.reconnected_at < kReregistrationTime;
}

RegistrationStatement StatementOf(const KnownRegistration& known) {
  RegistrationStatement statement;
  statement.written = known.revision;
  if (known.missing_since) {
    statement.removed = known.removed;
  }
  statement.started_at = known.endpoint.started_at;
  statement.sequence = known.endpoint.sequence;
  statement.draining = known.endpoint.draining;
  return statement;
}

// Returns what is known of a registration, in use or not.
std::optional<RegistrationStatement> FindStatement(
    const RegistryView& view,
    const std::string& instance) {
  const auto known = view.registrations.find(instance);
  if (known != view.registrations.end()) {
    return StatementOf(known->second);
  }
  const auto removed = view.removed.find(instance);
  if (removed != view.removed.end()) {
    return removed->second.statement;
  }
  return std::nullopt;
}

using KnownIterator = std::map<std::string, KnownRegistration>::iterator;

// Takes a registration out of use; returns the next one.
KnownIterator EraseRegistration(RegistryView& view,
                                KnownIterator known,
                                TimePoint now) {
  RegistrationStatement statement = StatementOf(known->second);
  statement.removed = known->second.removed;
  view.removed[known->first] = {statement, now};
  return view.registrations.erase(known);
}

void ForgetRemovals(RegistryView& view, TimePoint now) {
  for (auto it = view.removed.begin(); it != view.removed.end();) {
    it = now - it->second.at > kRemovalMemory ? view.removed.erase(it)
                                              : std::next(it);
  }
}

// Makes the known registrations comparable with a registry that went back
// without naming a later era. Whatever it lists is used.
void ForgetRevisions(RegistryView& view) {
  for (auto& [instance, known] : view.registrations) {
    known.revision.revision = 0;
    known.removed.revision = 0;
  }
  view.removed.clear();
}

// Removes a registration, or marks it as missing shortly after an outage of the
// registry. Returns whether it was removed.
bool RemoveRegistration(RegistryView& view,
                        const std::string& instance,
                        const RegistryRevision& removed,
                        TimePoint now) {
  const auto known = view.registrations.find(instance);
  if (known == view.registrations.end()) {
    return false;
  }
  known->second.removed = removed;
  if (MayReregister(view, now)) {
    if (!known->second.missing_since) {
      known->second.missing_since = now;
      view.ignored.push_back({instance, IgnoredAction::kHeldBack,
                              "may_register_again", known->second.revision,
                              removed});
    }
    return false;
  }
  EraseRegistration(view, known, now);
  return true;
}

bool EqualEndpoints(const RegisteredEndpoint& a, const RegisteredEndpoint& b) {
  return std::tie(a.service, a.address.ip, a.address.port, a.failure_domain,
                  a.slots, a.draining, a.started_at) ==
         std::tie(b.service, b.address.ip, b.address.port, b.failure_domain,
                  b.slots, b.draining, b.started_at);
}

// Applies one change; returns whether an endpoint in use changed.
bool ApplyRegistration(RegistryView& view,
                       const RegistrationChange& change,
                       TimePoint now) {
  const std::optional<RegistrationStatement> statement =
      FindStatement(view, change.instance);
  const ChangeOrder order =
      statement ? CompareChange(*statement, change) : ChangeOrder::kNewer;
  if (order != ChangeOrder::kNewer) {
    view.ignored.push_back(
        {change.instance, IgnoredAction::kDropped, ChangeOrderName(order),
         statement->removed.value_or(statement->written), change.revision});
    return false;
  }
  if (!change.endpoint) {
    return RemoveRegistration(view, change.instance, change.revision, now);
  }
  const auto known = view.registrations.find(change.instance);
  const bool changed =
      known == view.registrations.end() ||
      !EqualEndpoints(known->second.endpoint, *change.endpoint);
  view.registrations[change.instance] = {*change.endpoint, change.revision,
                                         change.created_revision, std::nullopt,
                                         RegistryRevision()};
  view.removed.erase(change.instance);
  return changed;
}

// Removes the registrations that a complete update does not list; returns
// whether any was removed.
bool RemoveUnlisted(RegistryView& view,
                    const RegistryUpdate& update,
                    TimePoint now) {
  std::set<std::string> listed;
  for (const RegistrationChange& change : update.registrations) {
    listed.insert(change.instance);
  }
  std::vector<std::string> unlisted;
  for (const auto& [instance, known] : view.registrations) {
    if (listed.count(instance) == 0) {
      unlisted.push_back(instance);
    }
  }
  bool changed = false;
  for (const std::string& instance : unlisted) {
    changed |= RemoveRegistration(view, instance, update.revision, now);
  }
  return changed;
}

// Returns the name of the rank for the priority and target of a route.
std::string RankName(const PublishedRoute& route) {
  return absl::StrCat("priority", route.priority, "-", route.target.count(),
                      "ms");
}

std::vector<RankConfig> BuildRanks(const PublishedConfig& config) {
  std::map<std::string, RankConfig> ranks;
  for (const PublishedRoute& route : config.routes) {
    if (!route.problem.empty()) {
      continue;
    }
    RankConfig rank;
    rank.name = RankName(route);
    rank.urgency = std::clamp(route.priority + 1, 1, kMaxUrgency);
    rank.target = route.target;
    ranks.emplace(rank.name, rank);
  }
  std::vector<RankConfig> result;
  for (auto& [name, rank] : ranks) {
    rank.share =
        std::min(kGuaranteedRankShare,
                 kMaxTotalRankShare / static_cast<double>(ranks.size()));
    result.push_back(std::move(rank));
  }
  return result;
}

using RegistrationEntry = std::pair<const std::string, KnownRegistration>;

bool HasService(const PublishedConfig& config, const std::string& name) {
  return std::any_of(
      config.services.begin(), config.services.end(),
      [&](const PublishedService& service) { return service.name == name; });
}

// Returns the registration in use for each address. If several registrations
// have the same address, this is the one of the backend server that started
// last. A registration whose service is not published names no endpoint and
// hides none: another writer may have left it.
std::map<std::string, const RegistrationEntry*> FindLatestRegistrations(
    const RegistryView& view) {
  std::map<std::string, const RegistrationEntry*> latest;
  for (const RegistrationEntry& entry : view.registrations) {
    if (!HasService(*view.config, entry.second.endpoint.service)) {
      continue;
    }
    const RegistrationEntry*& registration =
        latest[FormatSocketAddress(entry.second.endpoint.address)];
    const auto start_order = [](const RegistrationEntry& e) {
      return std::make_tuple(e.second.endpoint.started_at,
                             e.second.revision.era, e.second.created_revision);
    };
    if (registration == nullptr ||
        start_order(*registration) < start_order(entry)) {
      registration = &entry;
    }
  }
  return latest;
}

EndpointConfig BuildEndpoint(const std::string& address,
                             const RegistrationEntry& registration,
                             const RegistryServiceSettings& settings) {
  const RegisteredEndpoint& registered = registration.second.endpoint;
  EndpointConfig endpoint;
  endpoint.address = address;
  endpoint.ip = registered.address.ip;
  endpoint.port = registered.address.port;
  endpoint.instance = registration.first;
  endpoint.started_at = registered.started_at;
  endpoint.failure_domain = registered.failure_domain;
  const auto region = settings.regions.find(registered.failure_domain);
  endpoint.region = region == settings.regions.end() ? "" : region->second;
  endpoint.draining = registered.draining;
  endpoint.registration = registration.second.revision;
  endpoint.slots = registered.slots;
  return endpoint;
}

RouteConfig BuildRoute(const PublishedRoute& published) {
  RouteConfig route;
  route.name = published.name;
  route.host = published.host;
  route.path = published.prefix;
  if (!published.problem.empty()) {
    route.unusable = true;
    return route;
  }
  route.service = published.services.front().service;
  route.rank = RankName(published);
  route.repeat_safe = published.idempotent;
  route.max_attempts = published.max_attempts;
  route.deadline = published.timeout;
  if (published.services.size() > 1) {
    route.split = published.services;
  }
  return route;
}

std::vector<IniError> BuildEntryErrors(const RegistryView& view) {
  constexpr char kSource[] = "published configuration";
  std::vector<IniError> errors;
  if (!view.config_problem.empty()) {
    AddIniError(errors,
                {kSource, 0, "", "", "", view.config_problem,
                 "the version in force stays in use; publish a valid one"});
  }
  for (const EntryProblem& problem : view.config->problems) {
    AddIniError(errors, {kSource, 0, problem.entry, "", "", problem.cause,
                         problem.effect});
  }
  return errors;
}

// Replaces the configuration in use; returns whether it was newer.
bool ApplyConfig(RegistryView& view, const RegistryUpdate& update) {
  bool changed = false;
  if (update.config &&
      (!view.config || view.config->version < update.config->version)) {
    std::optional<CallerLimits> limits = update.config->limits;
    if (!limits && view.config) {
      limits = view.config->limits;
    }
    view.config = update.config;
    view.config->limits = limits.value_or(CallerLimits());
    changed = true;
  } else if (update.config && update.config->version < view.config->version) {
    view.ignored.push_back({"configuration",
                            IgnoredAction::kDropped,
                            "older_version",
                            {view.revision.era, view.config->version},
                            {update.revision.era, update.config->version}});
  }
  if (update.config || !update.config_problem.empty()) {
    changed |= view.config_problem != update.config_problem;
    view.config_problem = update.config_problem;
  }
  return changed;
}

// A response that does not name the era counts as one of the known era.
void AdoptEra(const RegistryView& view, RegistryUpdate& update) {
  if (update.revision.era == 0) {
    update.revision.era = view.revision.era;
  }
  for (RegistrationChange& change : update.registrations) {
    change.revision.era = update.revision.era;
  }
}

}  // namespace

// Outages are told from failed reads by the caller: a watch may be cut at any
// time, and a registry that limits the rate of calls is not down. Each of them
// would otherwise keep removed registrations in use, again and again.
void RecordOutage(RegistryView& view) {
  view.outage = true;
}

bool NeedsListing(const RegistryView& view, const RegistryUpdate& update) {
  switch (CompareHistory(view.revision, update.revision)) {
    case HistoryOrder::kSame:
      return false;
    case HistoryOrder::kEarlierEra:
      return true;
    case HistoryOrder::kRestored:
      break;
  }
  return !update.complete;
}

bool IsRestored(const RegistryView& view, const RegistryUpdate& update) {
  const bool first = view.revision.revision == 0;
  const bool went_back =
      update.complete && update.revision.revision < view.revision.revision;
  return !first &&
         (went_back || CompareHistory(view.revision, update.revision) ==
                           HistoryOrder::kRestored);
}

bool ApplyRegistryUpdate(RegistryView& view,
                         RegistryUpdate update,
                         TimePoint now) {
  view.ignored.clear();
  if (NeedsListing(view, update)) {
    view.ignored.push_back({"update", IgnoredAction::kDropped, "other_era",
                            view.revision, update.revision});
    return false;
  }
  AdoptEra(view, update);
  const bool restored = IsRestored(view, update);
  if (restored && update.revision.era == view.revision.era) {
    ForgetRevisions(view);
  }
  if (view.outage || restored) {
    view.outage = false;
    view.reconnected_at = now;
  }
  ForgetRemovals(view, now);
  bool changed = ApplyConfig(view, update);
  for (const RegistrationChange& change : update.registrations) {
    changed |= ApplyRegistration(view, change, now);
  }
  if (update.complete) {
    changed |= RemoveUnlisted(view, update, now);
  }
  view.revision = update.revision;
  return changed;
}

std::optional<std::chrono::milliseconds> TimeUntilRemoval(
    const RegistryView& view,
    TimePoint now) {
  const bool missing = std::any_of(
      view.registrations.begin(), view.registrations.end(),
      [](const auto& entry) { return entry.second.missing_since.has_value(); });
  if (!missing || !view.reconnected_at) {
    return std::nullopt;
  }
  return std::chrono::ceil<std::chrono::milliseconds>(
      *view.reconnected_at + kReregistrationTime - now);
}

bool RemoveMissingRegistrations(RegistryView& view, TimePoint now) {
  bool dropped = false;
  if (view.outage) {
    return dropped;
  }
  for (auto it = view.registrations.begin(); it != view.registrations.end();) {
    if (it->second.missing_since && !MayReregister(view, now)) {
      it = EraseRegistration(view, it, now);
      dropped = true;
    } else {
      ++it;
    }
  }
  return dropped;
}

std::optional<TeamConfig> BuildRegistryTeam(
    const RegistryView& view,
    const RegistryServiceSettings& settings) {
  if (!view.config) {
    return std::nullopt;
  }
  TeamConfig team;
  team.team = kRegistryTeam;
  team.generation = std::max<std::uint64_t>(view.config->version, 1);
  team.ranks = BuildRanks(*view.config);
  team.lacks_routes = view.config->lacks_routes;
  team.entry_errors = BuildEntryErrors(view);
  team.caller_limits = view.config->limits.value_or(CallerLimits());
  // An owner runs a key only while its configuration is confirmed by the
  // configuration service or its peers. With a registry there is neither, and
  // each request with the header would be refused.
  team.caller_limits->idempotency_keys = false;
  std::map<std::string, std::vector<EndpointConfig>> endpoints;
  for (const auto& [address, registration] : FindLatestRegistrations(view)) {
    endpoints[registration->second.endpoint.service].push_back(
        BuildEndpoint(address, *registration, settings));
  }
  for (const PublishedService& published : view.config->services) {
    ServiceConfig service;
    service.name = published.name;
    service.endpoints = std::move(endpoints[published.name]);
    service.floor = settings.floor;
    service.late_limit = kLateLimit;
    service.urgent_slots = kUrgentSlots;
    service.key_retention = kAttemptRetention;
    service.warmup = std::chrono::seconds(0);
    team.services.push_back(std::move(service));
  }
  for (const PublishedRoute& route : view.config->routes) {
    team.routes.push_back(BuildRoute(route));
  }
  return team;
}

}  // namespace comfrey
