#ifndef CONFIG_TEAM_CONFIG_H_
#define CONFIG_TEAM_CONFIG_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "config/ini_document.h"
#include "core/outlier_verdict.h"
#include "registry/registry_revision.h"

namespace comfrey {

/// \brief Whether an endpoint may be the home of idempotency keys; the value of
/// the endpoint key `keys`.
enum class KeysState { kJoining, kActive, kLeaving };

/// \brief One backend server of a service.
///
/// `address` and `ip` are in canonical form, so equal addresses are equal
/// strings.
struct EndpointConfig {
  /// "ip:port", with an IPv6 address in brackets. Identifies the endpoint.
  std::string address;
  /// IP address without brackets.
  std::string ip;
  std::uint16_t port = 0;
  KeysState keys = KeysState::kActive;
  /// Identity of the running backend server. It changes when another backend
  /// server takes over the address; empty if not known.
  std::string instance;
  /// Start of the running backend server; the epoch if not known. A backend
  /// server may start again with the same identity.
  std::chrono::system_clock::time_point started_at;
  /// `region` and `failure_domain` are empty if only the membership record of
  /// the owner contains them.
  std::string region;
  std::string failure_domain;
  /// Whether the backend server announced that it is draining.
  bool draining = false;
  /// Maximum number of concurrent requests; 0 for the `slots` of the service.
  int slots = 0;
  /// Write of the registry that the endpoint was read from, for the log.
  RegistryRevision registration;
};

/// \brief Whether both name the same process of a backend server.
inline bool IsSameBackendServer(const EndpointConfig& a,
                                const EndpointConfig& b) {
  return a.instance == b.instance && a.started_at == b.started_at;
}

/// \brief One service; ParseTeamConfig checks the ranges.
struct ServiceConfig {
  std::string name;
  /// At least 1. An endpoint is listed in only one service of the team.
  std::vector<EndpointConfig> endpoints;
  /// Maximum number of concurrent requests per endpoint; 1 to 10000.
  int slots = 3;
  /// Minimum share of the endpoints that ejection leaves in use; 0 to 1.
  double floor = 0.7;
  /// Time for which a caller may repeat a request with the same idempotency
  /// key; 1 s to 24 h.
  std::chrono::microseconds key_retention = std::chrono::minutes(10);
  /// Time before which no request with an idempotency key was sent; years 2000
  /// to 2199.
  std::optional<std::chrono::system_clock::time_point> keys_since;
  /// Maximum number of queued requests per endpoint; 0 to 100000.
  int queue_limit = 64;
  /// Maximum number of queued requests per endpoint and rank that are expected
  /// to miss the target of the rank; 0 to 100000, unlimited if absent.
  std::optional<int> late_limit;
  /// Number of slots of each endpoint that are kept free for more urgent ranks
  /// while the queued requests of other ranks can still wait; 0 to 10000.
  int urgent_slots = 0;
  Detection detection = Detection::kBalanced;
  /// Service time that is assumed until one is measured; 100 us to 10 min.
  std::optional<std::chrono::microseconds> expected_latency;
  /// Duration of the ramp after an endpoint starts or returns from an ejection;
  /// 0 s to 1 h.
  std::chrono::microseconds warmup = std::chrono::seconds(10);
};

/// \brief One rank. Requests of a rank have the same urgency and target.
struct RankConfig {
  std::string name;
  /// 1 (most urgent) to 100; required. Ranks may have equal urgency.
  int urgency = 0;
  /// Latency target; 1 ms to 1 h; required.
  std::chrono::microseconds target{0};
  /// Share of requests that must meet the target; 0.01 to 0.999999. 1 is not
  /// allowed, because the burn rate is a quotient with the divisor
  /// 1 - objective.
  double objective = 0.99;
  /// Guaranteed share of the slots under overload; 0 to 1, and at most 1 for
  /// all ranks of the team together.
  double share = 0;
  /// Weight in the burn report; 0 to 1000000.
  int worth = 10;
};

/// \brief The part of a route's requests that one service gets.
struct ServiceShare {
  std::string service;
  /// 0 to 1000000; relative to the sum over the route.
  int weight = 0;
};

/// \brief One route. `service` and `rank` are names of objects of the same
/// team.
struct RouteConfig {
  std::string name;
  /// Whether the route was published but cannot be used. It has a host and a
  /// path, but neither service nor rank, and its requests are refused as not
  /// run.
  bool unusable = false;
  std::string service;
  std::string rank;
  /// HTTP method in upper case; empty for any method.
  std::string method;
  /// Percent-decoded path prefix after the name of the team: "/", or segments
  /// without a trailing slash; at most 128 bytes. It matches whole segments.
  std::string path = "/";
  /// If not empty, the route matches requests whose header Host has this value,
  /// compared in lower case and without a port. `path` is then a literal prefix
  /// of the whole request path and ends with a slash, and the request is
  /// forwarded with its whole path.
  std::string host;
  /// Header that must have exactly the value `header_value`; empty if the route
  /// does not depend on a header.
  std::string header_name;
  std::string header_value;
  /// Whether the request is idempotent (`repeat = safe`).
  bool repeat_safe = false;
  /// Maximum number of endpoints to which one request is sent; 1 to 10.
  int max_attempts = 3;
  /// Services between which the requests are divided; if empty, `service` gets
  /// all requests.
  std::vector<ServiceShare> split;
  /// Time limit of a request; a caller can set a shorter one; 1 ms to 1 h.
  std::chrono::microseconds deadline = std::chrono::seconds(2);
};

/// \brief Limits for the size and the duration of requests of callers.
struct CallerLimits {
  /// Maximum size of all headers of a request.
  std::size_t header_bytes = 16 << 10;
  /// Maximum size of the body of a request.
  std::size_t body_bytes = 1 << 20;
  /// Maximum time from the first byte of a request to the end of its headers.
  std::chrono::milliseconds header_timeout{5000};
  /// Maximum time without a request on an open connection.
  std::chrono::milliseconds idle_timeout{5000};
  /// Whether the header Idempotency-Key of a request is a key of the fleet.
  /// Otherwise it is forwarded like any other header.
  bool idempotency_keys = true;
};

/// \brief The configuration of one team.
struct TeamConfig {
  std::string team;
  /// 1 to 2^63 - 1.
  std::uint64_t generation = 1;
  /// Whether the team is deleted. A deleted team has no services, ranks and
  /// routes.
  bool removed = false;
  std::vector<ServiceConfig> services;
  std::vector<RankConfig> ranks;
  std::vector<RouteConfig> routes;
  /// Whether a route was published whose place is not known, so that a request
  /// without a route may be one of its requests.
  bool lacks_routes = false;
  /// Set if the source of the configuration defines limits for callers.
  std::optional<CallerLimits> caller_limits;
  /// Entries of the source that could not be read, while the others are in
  /// force.
  std::vector<IniError> entry_errors;
};

/// \brief Parses and validates a subtree; appends all errors to `errors`.
///
/// `source` is the file or path named in errors. The result is valid only if no
/// error was appended.
TeamConfig ParseTeamConfig(absl::string_view team,
                           absl::string_view source,
                           absl::string_view text,
                           std::vector<IniError>& errors);

/// \brief Returns the generation in the text of a configuration value: 1 if the
/// text has none, nothing if it is invalid.
std::optional<std::uint64_t> ReadGeneration(absl::string_view text);

/// \brief Returns whether the name is reserved, because the daemon serves its
/// own pages under "/<name>".
bool IsReservedTeamName(absl::string_view name);

/// \brief Returns the service with the name, or null.
const ServiceConfig* FindService(const TeamConfig& config,
                                 absl::string_view name);

/// \brief Returns the rank with the name, or null.
const RankConfig* FindRank(const TeamConfig& config, absl::string_view name);

}  // namespace comfrey

#endif  // CONFIG_TEAM_CONFIG_H_
