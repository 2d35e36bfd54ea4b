#include "report/status_report.h"

#include "report/json_archive.h"
#include "report/json_structs.h"

namespace comfrey {

template <>
struct EnumNames<ReportedMemberState> {
  static constexpr std::array<absl::string_view, 5> kNames = {
      "unknown", "alive", "suspect", "leaving", "dead"};
};

template <typename Archive>
void DescribeFields(Archive& archive, DaemonReport& daemon) {
  archive.Field("name", daemon.name);
  archive.Field("address", daemon.address);
  archive.Field("region", daemon.region);
  archive.Field("failure_domain", daemon.failure_domain);
  archive.Field("incarnation", QuotedUint64{daemon.incarnation});
  archive.Field("uptime", daemon.uptime);
  archive.Field("ready", daemon.ready);
  archive.Field("not_ready_reasons", daemon.not_ready_reasons);
  archive.Field("draining", daemon.draining);
}

template <typename Archive>
void DescribeFields(Archive& archive, IniError& error) {
  archive.Field("source", error.source);
  archive.Field("line", error.line);
  archive.Field("section", error.section);
  archive.Field("key", error.key);
  archive.Field("value", error.value);
  archive.Field("cause", error.cause);
  archive.Field("remedy", error.remedy);
}

template <typename Archive>
void DescribeFields(Archive& archive, TeamInForce& in_force) {
  archive.Field("version", in_force.version);
  archive.Field("content_hash", QuotedUint64{in_force.content_hash, 16});
  archive.Field("removed", in_force.removed);
}

template <typename Archive>
void DescribeFields(Archive& archive, RejectedConfig& rejected) {
  archive.Field("version", rejected.version);
  archive.Field("content_hash", QuotedUint64{rejected.content_hash, 16});
  archive.Field("errors", rejected.errors);
}

template <typename Archive>
void DescribeFields(Archive& archive, TeamReport& team) {
  archive.Field("team", team.team);
  archive.Field("in_force", team.in_force);
  archive.Field("refused", team.refused);
}

template <typename Archive>
void DescribeFields(Archive& archive, MemberReport& member) {
  archive.Field("name", member.name);
  archive.Field("address", member.address);
  archive.Field("region", member.region);
  archive.Field("failure_domain", member.failure_domain);
  archive.Field("incarnation", QuotedUint64{member.incarnation});
  archive.Field("state", member.state);
}

template <typename Archive>
void DescribeFields(Archive& archive, EndpointReport& endpoint) {
  archive.Field("team", endpoint.team);
  archive.Field("service", endpoint.service);
  archive.Field("endpoint", endpoint.endpoint);
  archive.Field("owner_reachable", endpoint.owner_reachable);
  archive.Field("state", endpoint.state);
  archive.Field("reason", endpoint.reason);
  archive.Field("severity", endpoint.severity);
  archive.Field("latency", endpoint.latency);
  archive.Field("draining", endpoint.draining);
  archive.Field("load", endpoint.load);
  archive.Field("limit", endpoint.limit);
  archive.Field("use", endpoint.use);
  archive.Field("use_reason", endpoint.use_reason);
}

template <typename Archive>
void DescribeFields(Archive& archive, KeysReport& keys) {
  archive.Field("team", keys.team);
  archive.Field("service", keys.service);
  archive.Field("endpoint", keys.endpoint);
  archive.Field("recovering", keys.recovering);
  archive.Field("recovery_detail", keys.recovery_detail);
  archive.Field("records", keys.records);
  archive.Field("bytes", keys.bytes);
}

template <typename Archive>
void DescribeFields(Archive& archive, StatusReport& report) {
  archive.Field("daemon", report.daemon);
  archive.Field("teams", report.teams);
  archive.Field("members", report.members);
  archive.Field("endpoints", report.endpoints);
  archive.Field("keys", report.keys);
}

absl::string_view FormatMemberState(ReportedMemberState state) {
  return EnumToName(state);
}

absl::string_view FormatEndpointState(ReportedEndpointState state) {
  return EnumToName(state);
}

absl::string_view FormatUse(ReportedUse use) {
  return EnumToName(use);
}

std::string StatusToJson(const StatusReport& report) {
  return ToJsonText(report);
}

absl::StatusOr<StatusReport> StatusFromJson(absl::string_view json) {
  return FromJsonText<StatusReport>(json);
}

}  // namespace comfrey
