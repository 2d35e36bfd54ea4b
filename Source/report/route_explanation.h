#ifndef REPORT_ROUTE_EXPLANATION_H_
#define REPORT_ROUTE_EXPLANATION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "config/config_version.h"
#include "report/status_report.h"

namespace comfrey {

/// \brief Whether a request matches a route, and if not, why.
enum class ExplainedMatch {
  /// Also stands for a word of a newer release.
  kUnknown,
  kFound,
  /// The target is not an absolute path or is ambiguous; status 400.
  kBadTarget,
  /// No team has this URL prefix; status 404.
  kNoTeam,
  /// No route of the team matches path, method and headers; status 404.
  kNoRoute,
  /// The daemon is not ready or is draining; status 503.
  kNotReady,
};

/// \brief Distance of an endpoint from the explaining daemon.
enum class ExplainedDistance {
  kUnknown,
  kSameFailureDomain,
  kSameRegion,
  kOtherRegion,
};

/// \brief One endpoint that a request may meet.
struct ExplainedEndpoint {
  /// "ip:port"; IPv6 in brackets.
  std::string endpoint;
  ExplainedDistance distance = ExplainedDistance::kUnknown;
  bool owner_reachable = false;
  ReportedEndpointState state = ReportedEndpointState::kUnknown;
  /// Reason for the state, in words; may be empty.
  std::string reason;
  bool draining = false;
  /// Requests running and queued.
  std::uint32_t load = 0;
  std::uint32_t limit = 0;
  ReportedUse use = ReportedUse::kUnknown;
  /// Why the endpoint is used or not, in words; may be empty.
  std::string use_reason;
};

/// \brief Where a keyed request runs.
struct ExplainedKey {
  /// Absent if no endpoint of the service may run keys.
  std::optional<ExplainedEndpoint> home;
  /// Endpoints that must release the key before the home runs it.
  std::vector<ExplainedEndpoint> must_release;
};

/// \brief The route that a request matches, with the objects that it names.
struct ExplainedRoute {
  std::string team;
  ConfigVersion version;
  std::string route;
  std::string rank;
  std::chrono::microseconds target{0};
  /// Guaranteed share of slots under overload; 0 to 1.
  double share = 0;
  std::string service;
  /// Whether the request is idempotent (`repeat = safe`).
  bool repeat_safe = false;
  std::chrono::microseconds deadline{0};
  /// Target that is forwarded, without the team prefix.
  std::string forwarded_target;
  /// Present if the request has a key and the route is not idempotent.
  std::optional<ExplainedKey> key;
  /// Endpoints in order of preference; empty if `key` is present.
  std::vector<ExplainedEndpoint> endpoints;
};

/// \brief What a request would meet, served under /comfrey/explain.
struct RouteExplanation {
  std::string method;
  std::string target;
  /// Empty for a request without a key.
  std::string key;
  ExplainedMatch match = ExplainedMatch::kUnknown;
  /// Why nothing matches and the remedy, in words; empty if `match` is kFound.
  std::string problem;
  /// Present if `match` is kFound.
  std::optional<ExplainedRoute> route;
};

/// \brief The word for a value, as used in JSON and in tables.
absl::string_view FormatExplainedMatch(ExplainedMatch match);
absl::string_view FormatDistance(ExplainedDistance distance);

/// \brief Renders an explanation as JSON, by the rules of StatusToJson.
std::string ExplanationToJson(const RouteExplanation& explanation);

/// \brief Reads an explanation; fails like StatusFromJson.
absl::StatusOr<RouteExplanation> ExplanationFromJson(absl::string_view json);

}  // namespace comfrey

#endif  // REPORT_ROUTE_EXPLANATION_H_
