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

namespace comfrey {

/// \brief Whether an endpoint may be the home of idempotency keys.
enum class KeysState { kJoining, kActive, kLeaving };

/// \brief One backend server of a service.
///
/// Both forms are canonical, so equal addresses are equal strings.
struct EndpointConfig {
  /// "ip:port"; IPv6 in brackets. Identifies the endpoint.
  std::string address;
  /// IP number without brackets.
  std::string ip;
  std::uint16_t port = 0;
  KeysState keys = KeysState::kActive;
  /// Identity of the running backend server, which changes when another one
  /// takes over the address; empty if it is not known.
  std::string instance;
  /// Empty if they are known from the owner's membership record only.
  std::string region;
  std::string failure_domain;
  /// The backend server has announced that it leaves.
  bool draining = false;
  /// Concurrent requests; 0 for the slots of the service.
  int slots = 0;
};

/// \brief One service; ranges are checked by ParseTeamConfig.
struct ServiceConfig {
  std::string name;
  /// At least 1, each listed in one service of the team only.
  std::vector<EndpointConfig> endpoints;
  /// Concurrent requests per endpoint; 1 to 10000.
  int slots = 3;
  /// Share of the endpoints that ejection leaves in use; 0 to 1.
  double floor = 0.7;
  /// How long a key may be repeated; 1 s to 24 h.
  std::chrono::microseconds key_retention = std::chrono::minutes(10);
  /// No keyed request was sent before this time; years 2000 to 2199.
  std::optional<std::chrono::system_clock::time_point> keys_since;
  /// Queued requests per endpoint; 0 to 100000.
  int queue_limit = 64;
  /// Of these, requests of a rank that will miss its target; 0 to 100000, and
  /// all if absent.
  std::optional<int> late_limit;
  /// Slots of each endpoint that work leaves free for more urgent ranks while
  /// it can wait; 0 to 10000.
  int urgent_slots = 0;
  Detection detection = Detection::kBalanced;
  /// Hint for a cold start; 100 us to 10 min.
  std::optional<std::chrono::microseconds> expected_latency;
  /// Ramp after start or return; 0 s to 1 h.
  std::chrono::microseconds warmup = std::chrono::seconds(10);
};

/// \brief One rank of work.
struct RankConfig {
  std::string name;
  /// 1 (most urgent) to 100; required. Ranks may have equal urgency.
  int urgency = 0;
  /// 1 ms to 1 h; required.
  std::chrono::microseconds target{0};
  /// Share of requests that must meet the target; 0.01 to 0.999999. 1 is
  /// excluded, since the burn rate divides by 1 - objective.
  double objective = 0.99;
  /// Guaranteed share of slots under overload; 0 to 1, at most 1 in total.
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

/// \brief One route. `service` and `rank` name objects of the same team.
struct RouteConfig {
  std::string name;
  std::string service;
  std::string rank;
  /// Upper-case letters; empty for any method.
  std::string method;
  /// Percent-decoded path prefix within the team: "/" or segments without a
  /// trailing slash; at most 128 bytes. It matches whole segments.
  std::string path = "/";
  /// If set, the route matches requests with this header Host, in lower case
  /// and without a port; `path` is then a literal prefix of the whole request
  /// path, ends with a slash, and nothing is stripped.
  std::string host;
  /// Header that must be present with exactly `header_value`; empty for none.
  std::string header_name;
  std::string header_value;
  /// Whether the request is idempotent (`repeat = safe`).
  bool repeat_safe = false;
  /// Endpoints to which one request may be sent; 1 to 10.
  int max_attempts = 3;
  /// Divides the requests between services; empty: all go to `service`.
  std::vector<ServiceShare> split;
  /// 1 ms to 1 h.
  std::chrono::microseconds deadline = std::chrono::seconds(2);
};

/// \brief What callers may send, and how long they may take.
struct CallerLimits {
  /// Bytes of all headers, and of the body, of a request.
  std::size_t header_bytes = 16 << 10;
  std::size_t body_bytes = 1 << 20;
  /// From the first byte of a request to the end of its headers.
  std::chrono::milliseconds header_timeout{5000};
  /// Without a request on an open connection.
  std::chrono::milliseconds idle_timeout{5000};
};

/// \brief The subtree of one team.
struct TeamConfig {
  std::string team;
  /// 1 to 2^63 - 1.
  std::uint64_t generation = 1;
  /// The team is deleted; it then has no services, ranks and routes.
  bool removed = false;
  std::vector<ServiceConfig> services;
  std::vector<RankConfig> ranks;
  std::vector<RouteConfig> routes;
  /// Set where the source of the configuration states limits for callers.
  std::optional<CallerLimits> caller_limits;
};

/// \brief Parses and validates a subtree; appends all errors to `errors`.
///
/// `source` names the file or path in errors. The result must be used only if
/// no error was added.
TeamConfig ParseTeamConfig(absl::string_view team,
                           absl::string_view source,
                           absl::string_view text,
                           std::vector<IniError>& errors);

/// \brief Returns the generation that a value states, 1 if it states none, or
/// nothing if it is invalid.
std::optional<std::uint64_t> ReadGeneration(absl::string_view text);

/// \brief Whether the daemon serves its own pages under "/<name>", so that no
/// team may have the name.
bool IsReservedTeamName(absl::string_view name);

const ServiceConfig* FindService(const TeamConfig& config,
                                 absl::string_view name);
const RankConfig* FindRank(const TeamConfig& config, absl::string_view name);

}  // namespace comfrey

#endif  // CONFIG_TEAM_CONFIG_H_
