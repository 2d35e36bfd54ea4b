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

// How long an endpoint stays in a phase, which is longer than the retention.
std::string PhaseText(std::chrono::microseconds key_retention) {
  KeyTimes times;
  times.key_retention =
      std::chrono::ceil<std::chrono::milliseconds>(key_retention);
  return FormatDuration(MinKeyPhaseDuration(times));
}

Phase PhaseOf(const ServiceConfig& service, const std::string& endpoint) {
  for (const EndpointConfig& candidate : service.endpoints) {
    if (candidate.address == endpoint) {
      return candidate.keys;
    }
  }
  return std::nullopt;
}

// Judges one endpoint; `retention` is the longer one of both versions.
std::optional<KeysChange> CompareEndpoint(const Phase& before,
                                          const Phase& after,
                                          const std::string& wait) {
  KeysChange change;
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

// A service that is new or removed as a whole has no second home for its keys
// in the other version.
std::vector<KeysChange> CompareKeys(const TeamConfig& before,
                                    const TeamConfig& after) {
  std::vector<KeysChange> changes;
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
    const std::string wait =
        PhaseText(std::max(old->key_retention, service.key_retention));
    for (const std::string& endpoint : endpoints) {
      auto change = CompareEndpoint(PhaseOf(*old, endpoint),
                                    PhaseOf(service, endpoint), wait);
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
