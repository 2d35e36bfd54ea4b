#include "daemon/daemon_pages.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "core/key_placement.h"
#include "daemon/message_conversion.h"
#include "report/burn_status.h"
#include "report/status_report.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr unsigned kFullSharePercent = 100;

ReportedMemberState ReportState(const MemberRecord& member) {
  if (IsDead(member)) {
    return ReportedMemberState::kDead;
  }
  if (IsSuspected(member)) {
    return ReportedMemberState::kSuspect;
  }
  return member.state == MemberState::kLeaving ? ReportedMemberState::kLeaving
                                               : ReportedMemberState::kAlive;
}

ReportedEndpointState ReportState(EndpointState state) {
  switch (state) {
    case EndpointState::kWarming:
      return ReportedEndpointState::kWarming;
    case EndpointState::kHealthy:
      return ReportedEndpointState::kHealthy;
    case EndpointState::kEjected:
      return ReportedEndpointState::kEjected;
    case EndpointState::kProbation:
      return ReportedEndpointState::kProbation;
  }
  return ReportedEndpointState::kUnknown;
}

std::string ReasonText(VerdictReason reason) {
  switch (reason) {
    case VerdictReason::kNone:
      return "";
    case VerdictReason::kStarted:
      return "started";
    case VerdictReason::kSlow:
      return "slower than its siblings";
    case VerdictReason::kFailing:
      return "fails more often than its siblings";
    case VerdictReason::kUnreachable:
      return "refuses connections";
    case VerdictReason::kReturning:
      return "returns after an ejection";
    case VerdictReason::kNoSiblings:
      return "no siblings to compare with";
    case VerdictReason::kUnconfirmed:
      return "no recent summaries of siblings";
  }
  return "";
}

std::string UseReason(const EndpointSnapshot& snapshot) {
  const EndpointView& view = snapshot.view;
  if (!view.owner_reachable) {
    return "its owner is not reached";
  }
  if (view.leaving) {
    return "its VM is leaving";
  }
  if (view.draining) {
    return "it is draining";
  }
  return "";
}

ReportedUse UseOf(const EndpointSnapshot& snapshot) {
  if (snapshot.ejection_honoured) {
    return ReportedUse::kEjectionHonoured;
  }
  if (!snapshot.in_use) {
    return ReportedUse::kNotInUse;
  }
  if (snapshot.view.state == EndpointState::kEjected) {
    return ReportedUse::kEjectionNotHonoured;
  }
  return snapshot.share < kFullSharePercent ? ReportedUse::kLimited
                                            : ReportedUse::kInUse;
}

EndpointReport ReportEndpoint(const EndpointSnapshot& snapshot) {
  EndpointReport report;
  report.team = snapshot.service.team;
  report.service = snapshot.service.service;
  report.endpoint = snapshot.address;
  report.owner_reachable = snapshot.view.owner_reachable;
  report.state = ReportState(snapshot.view.state);
  report.reason = ReasonText(snapshot.reason);
  report.severity = snapshot.view.severity;
  if (snapshot.latency.count() > 0) {
    report.latency = snapshot.latency;
  }
  report.draining = snapshot.view.draining;
  report.load = snapshot.view.load;
  report.limit = snapshot.view.limit;
  report.use = UseOf(snapshot);
  report.use_reason = UseReason(snapshot);
  return report;
}

ExplainedDistance DistanceOf(const EndpointView& view) {
  if (view.same_failure_domain) {
    return ExplainedDistance::kSameFailureDomain;
  }
  return view.same_region ? ExplainedDistance::kSameRegion
                          : ExplainedDistance::kOtherRegion;
}

ExplainedEndpoint ExplainEndpoint(const EndpointSnapshot& snapshot) {
  const EndpointReport report = ReportEndpoint(snapshot);
  ExplainedEndpoint explained;
  explained.endpoint = report.endpoint;
  explained.distance = DistanceOf(snapshot.view);
  explained.owner_reachable = report.owner_reachable;
  explained.state = report.state;
  explained.reason = report.reason;
  explained.draining = report.draining;
  explained.load = report.load;
  explained.limit = report.limit;
  explained.use = report.use;
  explained.use_reason = report.use_reason;
  return explained;
}

std::vector<TeamReport> ReportTeams(const ConfigStore& store) {
  std::map<std::string, TeamReport> teams;
  for (const auto& [team, subtree] : store.subtrees) {
    teams[team].team = team;
    teams[team].in_force = TeamInForce{subtree->version, subtree->content_hash,
                                       subtree->config->removed};
  }
  for (const auto& [team, rejected] : store.rejected) {
    teams[team].team = team;
    teams[team].refused = RejectedConfig{
        rejected.version, rejected.content_hash, rejected.errors};
  }
  std::vector<TeamReport> reports;
  reports.reserve(teams.size());
  for (auto& [team, report] : teams) {
    reports.push_back(std::move(report));
  }
  return reports;
}

std::string RecoveryDetail(const KeyRecovery& recovery) {
  const std::size_t missing = MissingMembers(recovery).size();
  const auto incomplete = std::count_if(
      recovery.members.begin(), recovery.members.end(), [](const auto& member) {
        return member.second.received && !member.second.complete;
      });
  return absl::StrCat(missing, " journals missing, ", incomplete,
                      " incomplete");
}

KeysReport ReportKeys(OwnedEndpoint& endpoint) {
  const std::lock_guard<std::mutex> lock(endpoint.mutex);
  KeysReport report;
  report.team = endpoint.identity.team;
  report.service = endpoint.identity.service;
  report.endpoint = endpoint.identity.endpoint.address;
  report.recovering = !IsRecovered(endpoint.keyed.recovery, Clock::now());
  if (report.recovering) {
    report.recovery_detail = RecoveryDetail(endpoint.keyed.recovery);
  }
  report.records =
      endpoint.keyed.ledger.keys.size() + endpoint.keyed.ledger.attempts.size();
  report.bytes = endpoint.keyed.ledger.bytes;
  return report;
}

std::string ProblemOf(MatchStatus status) {
  switch (status) {
    case MatchStatus::kFound:
      return "";
    case MatchStatus::kBadTarget:
      return "the target is not an absolute path; give it as in the request";
    case MatchStatus::kNoTeam:
      return "no team is served under this path; check its first segment";
    case MatchStatus::kNoRoute:
      return "no route of the team matches; check path, method and headers";
    case MatchStatus::kUnusableRoute:
      return "the published route cannot be used; see the refused entries in "
             "comfreyctl status";
  }
  return "";
}

ExplainedMatch MatchOf(MatchStatus status) {
  switch (status) {
    case MatchStatus::kFound:
      return ExplainedMatch::kFound;
    case MatchStatus::kBadTarget:
      return ExplainedMatch::kBadTarget;
    case MatchStatus::kNoTeam:
      return ExplainedMatch::kNoTeam;
    case MatchStatus::kNoRoute:
      return ExplainedMatch::kNoRoute;
    case MatchStatus::kUnusableRoute:
      return ExplainedMatch::kUnusableRoute;
  }
  return ExplainedMatch::kUnknown;
}

std::optional<ExplainedEndpoint> FindExplainedEndpoint(
    const std::vector<EndpointSnapshot>& snapshots,
    const std::string& address) {
  for (const EndpointSnapshot& snapshot : snapshots) {
    if (snapshot.address == address) {
      return ExplainEndpoint(snapshot);
    }
  }
  return std::nullopt;
}

ExplainedKey ExplainKey(const ServiceConfig& service,
                        const KeyId& key,
                        const std::vector<EndpointSnapshot>& snapshots) {
  std::vector<PlacedEndpoint> placed;
  placed.reserve(service.endpoints.size());
  for (const EndpointConfig& endpoint : service.endpoints) {
    placed.push_back({endpoint.address, KeyPhaseOf(endpoint.keys)});
  }
  const KeyPlacement placement = PlaceKey(key, placed);
  ExplainedKey explained;
  explained.home = FindExplainedEndpoint(snapshots, placement.home);
  for (const std::string& former : placement.former_homes) {
    if (auto endpoint = FindExplainedEndpoint(snapshots, former)) {
      explained.must_release.push_back(*std::move(endpoint));
    }
  }
  return explained;
}

// Orders endpoints like the endpoint selection: endpoints in use first, then by
// distance.
bool IsPreferred(const ExplainedEndpoint& a, const ExplainedEndpoint& b) {
  const auto rank = [](const ExplainedEndpoint& e) {
    const bool unused = e.use == ReportedUse::kNotInUse ||
                        e.use == ReportedUse::kEjectionHonoured;
    return std::make_pair(unused, e.distance);
  };
  return rank(a) < rank(b);
}

}  // namespace

std::string DaemonPages::Status() {
  const DaemonSettings& settings = this->sources.settings;
  StatusReport report;
  report.daemon.name = settings.name;
  report.daemon.address = settings.address;
  report.daemon.region = settings.region;
  report.daemon.failure_domain = settings.failure_domain;
  report.daemon.incarnation = this->sources.incarnation;
  report.daemon.uptime =
      duration_cast<milliseconds>(Clock::now() - this->sources.started_at);
  report.daemon.ready = this->sources.keeper.Ready();
  if (!report.daemon.ready) {
    report.daemon.not_ready_reasons = {this->sources.keeper.BootstrapReason()};
  }
  report.daemon.draining = this->sources.leaving;
  report.teams = ReportTeams(this->sources.keeper.Snapshot());
  for (const MemberRecord& member : this->sources.runner.Members()) {
    report.members.push_back({member.name, member.address, member.region,
                              member.failure_domain, member.incarnation,
                              ReportState(member)});
  }
  for (const EndpointSnapshot& snapshot : this->sources.directory.Report()) {
    report.endpoints.push_back(ReportEndpoint(snapshot));
  }
  for (const std::shared_ptr<OwnedEndpoint>& endpoint :
       this->sources.owner.Endpoints()) {
    report.keys.push_back(ReportKeys(*endpoint));
  }
  return StatusToJson(report);
}

std::string DaemonPages::Burn() {
  BurnStatus status;
  for (const auto& [team, burn] : this->sources.levels.Report()) {
    for (const RankBurn& rank : burn.ranks) {
      RankBurnStatus entry;
      entry.team = team;
      entry.rank = rank.rank;
      entry.target = rank.target;
      entry.objective = rank.objective;
      entry.worth = rank.worth;
      for (const WindowBurn& window : rank.windows) {
        entry.windows.push_back({window.length, window.counts.met,
                                 window.counts.missed, window.burn_rate});
      }
      status.ranks.push_back(std::move(entry));
    }
  }
  return BurnToJson(AggregateBurnStatus({status}));
}

std::string DaemonPages::Explain(const ExplainQuery& query) {
  const std::shared_ptr<const ConfigStore> store =
      this->sources.keeper.Current();
  const RouteMatch match = MatchRoute(
      store->routes, query.method, query.target,
      [&](absl::string_view name) -> std::optional<std::string> {
        const absl::string_view value = FindHeader(query.headers, name);
        return value.empty() ? std::nullopt
                             : std::make_optional(std::string(value));
      });
  RouteExplanation explanation;
  explanation.method = query.method;
  explanation.target = query.target;
  explanation.key = query.key;
  if (!this->sources.keeper.Ready()) {
    explanation.match = ExplainedMatch::kNotReady;
    explanation.problem = "the daemon is not ready; see comfreyctl status";
    return ExplanationToJson(explanation);
  }
  explanation.match = MatchOf(match.status);
  explanation.problem = ProblemOf(match.status);
  if (match.status != MatchStatus::kFound) {
    return ExplanationToJson(explanation);
  }
  ExplainedRoute route;
  route.team = match.team->team;
  route.version = store->subtrees.find(route.team)->second->version;
  route.route = match.route->name;
  route.rank = match.rank->name;
  route.target = match.rank->target;
  route.share = match.rank->share;
  route.service = match.service->name;
  route.repeat_safe = match.route->repeat_safe;
  route.deadline = match.route->deadline;
  route.forwarded_target = match.target;
  std::vector<EndpointSnapshot> snapshots;
  for (EndpointSnapshot& snapshot : this->sources.directory.Report()) {
    if (snapshot.service.team == route.team &&
        snapshot.service.service == route.service) {
      snapshots.push_back(std::move(snapshot));
    }
  }
  if (!query.key.empty() && !route.repeat_safe) {
    route.key = ExplainKey(*match.service,
                           {route.team, route.service, query.key}, snapshots);
  } else {
    for (const EndpointSnapshot& snapshot : snapshots) {
      route.endpoints.push_back(ExplainEndpoint(snapshot));
    }
    std::stable_sort(route.endpoints.begin(), route.endpoints.end(),
                     &IsPreferred);
  }
  explanation.route = std::move(route);
  return ExplanationToJson(explanation);
}

}  // namespace comfrey
