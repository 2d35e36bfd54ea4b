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
  /// Also used for a name that only a newer release knows.
  kUnknown,
  kFound,
  /// The target is not an absolute path or is ambiguous; HTTP status 400.
  kBadTarget,
  /// No team has this URL prefix; HTTP status 404.
  kNoTeam,
  /// No route of the team matches path, method and headers; HTTP status 404.
  kNoRoute,
  /// The daemon is not ready or is draining; HTTP status 503.
  kNotReady,
  /// The route was published, but cannot be used; HTTP status 503.
  kUnusableRoute,
};

/// \brief Location of an endpoint relative to the reporting daemon.
enum class ExplainedDistance {
  kUnknown,
  kSameFailureDomain,
  kSameRegion,
  kOtherRegion,
};

/// \brief An endpoint that may run a request or must release its key.
struct ExplainedEndpoint {
  /// "ip:port"; IPv6 in brackets.
  std::string endpoint;
  ExplainedDistance distance = ExplainedDistance::kUnknown;
  bool owner_reachable = false;
  ReportedEndpointState state = ReportedEndpointState::kUnknown;
  /// Reason for the state, as text; may be empty.
  std::string reason;
  bool draining = false;
  /// Number of running and queued requests.
  std::uint32_t load = 0;
  /// Number of requests that may run at the same time.
  std::uint32_t limit = 0;
  ReportedUse use = ReportedUse::kUnknown;
  /// Reason for the use, as text; may be empty.
  std::string use_reason;
};

/// \brief Endpoints that are involved in a request with an idempotency key.
struct ExplainedKey {
  /// The endpoint that runs the request; absent if no endpoint of the service
  /// may run requests with keys.
  std::optional<ExplainedEndpoint> home;
  /// Endpoints that must release the key before the home runs the request.
  std::vector<ExplainedEndpoint> must_release;
};

/// \brief The route that a request matches, with its rank, service and
/// endpoints.
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
  /// Request target as it is forwarded, without the team prefix.
  std::string forwarded_target;
  /// Present if the request has a key and the route is not idempotent.
  std::optional<ExplainedKey> key;
  /// Endpoints in order of preference; empty if `key` is present.
  std::vector<ExplainedEndpoint> endpoints;
};

/// \brief How a daemon would route a request, served under /comfrey/explain.
struct RouteExplanation {
  std::string method;
  std::string target;
  /// Empty for a request without a key.
  std::string key;
  ExplainedMatch match = ExplainedMatch::kUnknown;
  /// Cause and remedy if no route matches, as text; empty if `match` is kFound.
  std::string problem;
  /// Present if `match` is kFound.
  std::optional<ExplainedRoute> route;
};

/// \brief Returns the name of a value, as used in JSON and in tables.
absl::string_view FormatExplainedMatch(ExplainedMatch match);
absl::string_view FormatDistance(ExplainedDistance distance);

/// \brief Renders an explanation as JSON, with the conventions of StatusToJson.
std::string ExplanationToJson(const RouteExplanation& explanation);

/// \brief Parses an explanation; returns the same errors as StatusFromJson.
absl::StatusOr<RouteExplanation> ExplanationFromJson(absl::string_view json);

}  // namespace comfrey

#endif  // REPORT_ROUTE_EXPLANATION_H_
