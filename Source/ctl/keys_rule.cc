#include "ctl/keys_rule.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>

#include "absl/strings/str_cat.h"
#include "base/duration_text.h"
#include "core/attempt_ledger.h"

namespace comfrey {
namespace {

using Phase = std::optional<KeysState>;

bool HasNonIdempotentRoute(const TeamConfig& team, const std::string& service) {
  return std::any_of(team.routes.begin(), team.routes.end(),
                     [&](const RouteConfig& route) {
                       return route.service == service && !route.repeat_safe;
                     });
}

// Returns how long an endpoint must stay in phase joining or leaving, which is
// longer than the retention time of keys.
std::string FormatMinPhaseDuration(std::chrono::microseconds key_retention) {
  KeyTimes times;
  times.key_retention =
      std::chrono::ceil<std::chrono::milliseconds>(key_retention);
  return FormatDuration(MinKeyPhaseDuration(times));
}

Phase FindKeyPhase(const ServiceConfig& service, const std::string& endpoint) {
  for (const EndpointConfig& candidate : service.endpoints) {
    if (candidate.address == endpoint) {
      return candidate.keys;
    }
  }
  return std::nullopt;
}

// Checks the change of one endpoint against the keys rule. `wait` is the time,
// as text, that the endpoint must stay in phase joining or leaving.
std::optional<KeyPhaseChange> CompareEndpoint(const Phase& before,
                                              const Phase& after,
                                              const std::string& wait) {
  KeyPhaseChange change;
  if (before == after) {
    return std::nullopt;
  }
  if (!before && after == KeysState::kActive) {
    change.breaks_rule = true;
    change.cause = "a new endpoint is active at once";
    change.remedy = absl::StrCat(
        "add it with \"keys = joining\" and make it active ", wait, " later");
    return change;
  }
  if (before == KeysState::kLeaving && after == KeysState::kActive) {
    change.breaks_rule = true;
    change.cause = "a leaving endpoint becomes active";
    change.remedy =
        absl::StrCat("set \"keys = joining\" and make it active ", wait,
                     " later, since its keys may have run elsewhere");
    return change;
  }
  if (!after && before && *before != KeysState::kLeaving) {
    change.breaks_rule = true;
    change.cause = "an endpoint that is not leaving is removed";
    change.remedy =
        absl::StrCat("set \"keys = leaving\" and remove it ", wait, " later");
    return change;
  }
  if (before == KeysState::kJoining && after == KeysState::kActive) {
    change.cause = "a joining endpoint becomes active";
    change.remedy =
        absl::StrCat("make sure that it has been joining for ", wait);
    return change;
  }
  if (before == KeysState::kLeaving && !after) {
    change.cause = "a leaving endpoint is removed";
    change.remedy =
        absl::StrCat("make sure that it has been leaving for ", wait);
    return change;
  }
  return std::nullopt;
}

}  // namespace

// A service that only one version has is skipped: the other version has no
// endpoint at which its keys could run a second time. The longer retention time
// of both versions counts.
std::vector<KeyPhaseChange> CompareKeyPhases(const TeamConfig& before,
                                             const TeamConfig& after) {
  std::vector<KeyPhaseChange> changes;
  for (const ServiceConfig& service : after.services) {
    const ServiceConfig* old = FindService(before, service.name);
    if (old == nullptr || !(HasNonIdempotentRoute(before, service.name) ||
                            HasNonIdempotentRoute(after, service.name))) {
      continue;
    }
    std::set<std::string> endpoints;
    for (const ServiceConfig* side : {old, &service}) {
      for (const EndpointConfig& endpoint : side->endpoints) {
        endpoints.insert(endpoint.address);
      }
    }
    const std::string wait = FormatMinPhaseDuration(
        std::max(old->key_retention, service.key_retention));
    for (const std::string& endpoint : endpoints) {
      auto change = CompareEndpoint(FindKeyPhase(*old, endpoint),
                                    FindKeyPhase(service, endpoint), wait);
      if (change) {
        change->service = service.name;
        change->endpoint = endpoint;
        changes.push_back(*std::move(change));
      }
    }
  }
  return changes;
}

}  // namespace comfrey
