#ifndef REPORT_STATUS_REPORT_H_
#define REPORT_STATUS_REPORT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "config/config_version.h"
#include "config/ini_document.h"

namespace comfrey {

/// \brief State of a member in the view of the reporting daemon.
///
/// kUnknown is also used for a name that only a newer release knows.
enum class ReportedMemberState { kUnknown, kAlive, kSuspect, kLeaving, kDead };

/// \brief Verdict on an endpoint; kUnknown if its owner has published none.
enum class ReportedEndpointState {
  kUnknown,
  kWarming,
  kHealthy,
  kEjected,
  kProbation,
};

/// \brief Whether the reporting daemon sends requests to an endpoint.
enum class ReportedUse {
  kUnknown,
  /// Receives requests at its full share.
  kInUse,
  /// Receives a limited share of requests, while warming or in probation.
  kLimited,
  /// Receives no requests, because the daemon honours its ejection.
  kEjectionHonoured,
  /// Ejected by its owner, but receives requests, because the ejection would
  /// violate the floor of the service.
  kEjectionNotHonoured,
  /// Receives no requests for another reason: unreachable, leaving or draining.
  kNotInUse,
};

/// \brief The reporting daemon itself.
struct DaemonReport {
  std::string name;
  /// IP address.
  std::string address;
  std::string region;
  std::string failure_domain;
  std::uint64_t incarnation = 0;
  std::chrono::milliseconds uptime{0};
  bool ready = false;
  /// Reasons why the daemon is not ready; empty if it is ready.
  std::vector<std::string> not_ready_reasons;
  bool draining = false;
};

/// \brief The configuration of a team that is in force.
struct TeamInForce {
  ConfigVersion version;
  /// 64-bit xxHash of the value.
  std::uint64_t content_hash = 0;
  /// Whether the configuration marks the team as removed.
  bool removed = false;
};

/// \brief The newest value of a team that the daemon rejected.
struct RejectedConfig {
  ConfigVersion version;
  std::uint64_t content_hash = 0;
  std::vector<IniError> errors;
};

struct TeamReport {
  std::string team;
  /// Absent if the daemon has rejected every value so far.
  std::optional<TeamInForce> in_force;
  std::optional<RejectedConfig> refused;
};

struct MemberReport {
  std::string name;
  std::string address;
  std::string region;
  std::string failure_domain;
  std::uint64_t incarnation = 0;
  ReportedMemberState state = ReportedMemberState::kUnknown;
};

/// \brief One endpoint as the reporting daemon sees it.
struct EndpointReport {
  std::string team;
  std::string service;
  /// "ip:port"; IPv6 in brackets.
  std::string endpoint;
  bool owner_reachable = false;
  ReportedEndpointState state = ReportedEndpointState::kUnknown;
  /// Reason for the state, as text; may be empty.
  std::string reason;
  /// Priority of the ejection if the floor does not permit all ejections; a
  /// higher value is worse.
  std::uint32_t severity = 0;
  /// Median service time of recent requests; absent without requests.
  std::optional<std::chrono::microseconds> latency;
  bool draining = false;
  /// Number of running and queued requests.
  std::uint32_t load = 0;
  /// Number of requests that may run at the same time.
  std::uint32_t limit = 0;
  ReportedUse use = ReportedUse::kUnknown;
  /// Reason for the use, as text; may be empty.
  std::string use_reason;
};

/// \brief Keys of an endpoint that the reporting daemon owns.
struct KeysReport {
  std::string team;
  std::string service;
  std::string endpoint;
  /// Whether key recovery is in progress. The owner then refuses keys that it
  /// has not run itself.
  bool recovering = false;
  /// What the recovery waits for, as text; may be empty.
  std::string recovery_detail;
  std::uint64_t records = 0;
  std::uint64_t bytes = 0;
};

/// \brief State of one daemon, served under /comfrey/status.
struct StatusReport {
  DaemonReport daemon;
  std::vector<TeamReport> teams;
  std::vector<MemberReport> members;
  std::vector<EndpointReport> endpoints;
  std::vector<KeysReport> keys;
};

/// \brief Returns the name of a state, as used in JSON and in tables.
absl::string_view FormatMemberState(ReportedMemberState state);
absl::string_view FormatEndpointState(ReportedEndpointState state);
absl::string_view FormatUse(ReportedUse use);

/// \brief Renders a report as JSON.
///
/// JSON keys of durations end with the unit, for example "latency_us". Hashes
/// and incarnations are strings, since many JSON readers round numbers above
/// 2^53. Invalid UTF-8 is replaced by U+FFFD.
std::string StatusToJson(const StatusReport& report);

/// \brief Parses a report; returns InvalidArgument that names the first field
/// that is missing or has a wrong type. Unknown fields are ignored.
absl::StatusOr<StatusReport> StatusFromJson(absl::string_view json);

}  // namespace comfrey

#endif  // REPORT_STATUS_REPORT_H_
