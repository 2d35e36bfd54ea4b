#include "report/route_explanation.h"

#include "report/json_archive.h"
#include "report/json_structs.h"

namespace comfrey {

template <>
struct EnumNames<ExplainedMatch> {
  static constexpr std::array<absl::string_view, 7> kNames = {
      "unknown",  "found",     "bad_target",    "no_team",
      "no_route", "not_ready", "unusable_route"};
};

template <>
struct EnumNames<ExplainedDistance> {
  static constexpr std::array<absl::string_view, 4> kNames = {
      "unknown", "same_failure_domain", "same_region", "other_region"};
};

template <typename Archive>
void DescribeFields(Archive& archive, ExplainedEndpoint& endpoint) {
  archive.Field("endpoint", endpoint.endpoint);
  archive.Field("distance", endpoint.distance);
  archive.Field("owner_reachable", endpoint.owner_reachable);
  archive.Field("state", endpoint.state);
  archive.Field("reason", endpoint.reason);
  archive.Field("draining", endpoint.draining);
  archive.Field("load", endpoint.load);
  archive.Field("limit", endpoint.limit);
  archive.Field("use", endpoint.use);
  archive.Field("use_reason", endpoint.use_reason);
}

template <typename Archive>
void DescribeFields(Archive& archive, ExplainedKey& key) {
  archive.Field("home", key.home);
  archive.Field("must_release", key.must_release);
}

template <typename Archive>
void DescribeFields(Archive& archive, ExplainedRoute& route) {
  archive.Field("team", route.team);
  archive.Field("version", route.version);
  archive.Field("route", route.route);
  archive.Field("rank", route.rank);
  archive.Field("target", route.target);
  archive.Field("share", route.share);
  archive.Field("service", route.service);
  archive.Field("repeat_safe", route.repeat_safe);
  archive.Field("deadline", route.deadline);
  archive.Field("forwarded_target", route.forwarded_target);
  archive.Field("key", route.key);
  archive.Field("endpoints", route.endpoints);
}

template <typename Archive>
void DescribeFields(Archive& archive, RouteExplanation& explanation) {
  archive.Field("method", explanation.method);
  archive.Field("target", explanation.target);
  archive.Field("key", explanation.key);
  archive.Field("match", explanation.match);
  archive.Field("problem", explanation.problem);
  archive.Field("route", explanation.route);
}

absl::string_view FormatExplainedMatch(ExplainedMatch match) {
  return EnumToName(match);
}

absl::string_view FormatDistance(ExplainedDistance distance) {
  return EnumToName(distance);
}

std::string ExplanationToJson(const RouteExplanation& explanation) {
  return ToJsonText(explanation);
}

absl::StatusOr<RouteExplanation> ExplanationFromJson(absl::string_view json) {
  return FromJsonText<RouteExplanation>(json);
}

}  // namespace comfrey
