#include "core/keyed_execution.h"

#include <algorithm>
#include <utility>

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;

KeyedAction RefuseNotRun(KeyedOwner& owner,
                         const KeyedExecution& execution,
                         RunRefusal reason,
                         steady_clock::time_point now) {
  // The refusal is recorded so that a duplicate of this request cannot run
  // after the caller received the outcome "not run".
  RefuseAttempt(owner.ledger, execution.request, reason, now);
  KeyedAction action;
  action.step = KeyedStep::kRefuse;
  action.reason = reason;
  action.not_run = true;
  return action;
}

KeyedAction RefuseUnknown(RunRefusal reason) {
  KeyedAction action;
  action.step = KeyedStep::kRefuse;
  action.reason = reason;
  return action;
}

KeyedAction Respond(DeliverableResponse response) {
  KeyedAction action;
  action.step = KeyedStep::kRespond;
  action.response = std::move(response);
  return action;
}

KeyedAction ActionFor(KeyedOwner& owner,
                      const KeyedExecution& execution,
                      const LedgerDecision& decision,
                      steady_clock::time_point now) {
  KeyedAction action;
  switch (decision.action) {
    case LedgerAction::kRun:
      action.step = KeyedStep::kRun;
      return action;
    case LedgerAction::kWait:
      action.step = KeyedStep::kWait;
      return action;
    case LedgerAction::kRespond:
      return Respond(decision.response);
    case LedgerAction::kRefuseNotRun:
      return RefuseNotRun(owner, execution, decision.reason, now);
    case LedgerAction::kRefuseUnknown:
      break;
  }
  return RefuseUnknown(decision.reason);
}

// Returns the action that the replies of the former homes require, or nullopt
// if all of them fenced the key under the current version.
std::optional<KeyedAction> CollectFenceReplies(
    KeyedOwner& owner,
    KeyedExecution& execution,
    const std::vector<std::string>& former_homes,
    steady_clock::time_point now) {
  KeyedAction fence_action;
  fence_action.step = KeyedStep::kFence;
  fence_action.version = owner.version;
  bool pending = false;
  bool undecidable = false;
  for (const std::string& former : former_homes) {
    FormerHomeFence& fence = execution.former_home_fences[former];
    // A former home that received FenceKey for an older version may still run
    // the key under the current version, so FenceKey must be called again.
    if (fence.version < owner.version) {
      fence.version = owner.version;
      fence.reply.reset();
      fence_action.endpoints_to_fence.push_back(former);
      continue;
    }
    if (!fence.reply.has_value()) {
      pending = true;
      continue;
    }
    const KeyFenceReply& reply = *fence.reply;
    switch (reply.state) {
      case KeyFenceState::kFenced:
        break;
      case KeyFenceState::kRan: {
        if (reply.request_hash != execution.request.request_hash) {
          return RefuseNotRun(owner, execution, RunRefusal::kOtherRequest, now);
        }
        LedgerRecord record;
        record.state = AttemptState::kDone;
        record.request_hash = reply.request_hash;
        record.response = reply.response;
        MergeKeyRecord(owner.ledger, *execution.request.key, record, now);
        return Respond(reply.response);
      }
      case KeyFenceState::kUnknown:
        return RefuseUnknown(RunRefusal::kOutcomeUnknown);
      case KeyFenceState::kUndecidable:
        undecidable = true;
        break;
    }
  }
  if (undecidable) {
    return RefuseNotRun(owner, execution, RunRefusal::kNotFencedByFormerHome,
                        now);
  }
  if (!fence_action.endpoints_to_fence.empty()) {
    return fence_action;
  }
  if (pending) {
    return KeyedAction();
  }
  return std::nullopt;
}

}  // namespace

void AdoptPlacement(KeyedOwner& owner,
                    const PlacementVersion& version,
                    const std::vector<PlacedEndpoint>& endpoints) {
  if (owner.version < version) {
    owner.version = version;
    owner.endpoints = endpoints;
  }
}

void ObserveOwnerClocks(KeyedOwner& owner,
                        steady_clock::time_point now,
                        system_clock::time_point wall) {
  if (ObserveClocks(owner.pauses, now, wall)) {
    owner.confirmed_at.reset();
  }
}

// The age is counted from the time of the request and not of the reply, because
// the reply may be delayed. Each age is thus measured from a request to the
// configuration service, and two peers that confirm each other's version do not
// make a confirmation younger.
void ConfirmPlacement(KeyedOwner& owner,
                      const PlacementVersion& reported,
                      steady_clock::time_point requested_at,
                      milliseconds age,
                      steady_clock::time_point now,
                      system_clock::time_point wall) {
  ObserveOwnerClocks(owner, now, wall);
  if (!(reported == owner.version) || PausedSince(owner.pauses, requested_at)) {
    return;
  }
  const steady_clock::time_point confirmed_at = requested_at - age;
  if (!owner.confirmed_at.has_value() || *owner.confirmed_at < confirmed_at) {
    owner.confirmed_at = confirmed_at;
  }
}

std::optional<milliseconds> ConfirmationAge(KeyedOwner& owner,
                                            steady_clock::time_point now,
                                            system_clock::time_point wall) {
  ObserveOwnerClocks(owner, now, wall);
  if (!owner.confirmed_at.has_value()) {
    return std::nullopt;
  }
  // Rounded up, so that passing the age from peer to peer does not make the
  // confirmation younger.
  return std::chrono::ceil<milliseconds>(now - *owner.confirmed_at);
}

KeyedAction NextKeyedAction(KeyedOwner& owner,
                            KeyedExecution& execution,
                            steady_clock::time_point now,
                            system_clock::time_point wall) {
  const LedgerRequest& request = execution.request;
  const std::optional<LedgerDecision> known =
      LookUpAttempt(owner.ledger, request, owner.version, now);
  if (known.has_value()) {
    return ActionFor(owner, execution, *known, now);
  }
  if (request.key.has_value()) {
    ObserveOwnerClocks(owner, now, wall);
    if (!owner.confirmed_at.has_value() ||
        now - *owner.confirmed_at > MaxConfirmationAge(owner.ledger.times)) {
      return RefuseNotRun(owner, execution, RunRefusal::kConfigUnconfirmed,
                          now);
    }
    const KeyPlacement placement = PlaceKey(*request.key, owner.endpoints);
    if (placement.home != owner.endpoint) {
      return RefuseNotRun(owner, execution, RunRefusal::kNotHome, now);
    }
    if (!IsRecovered(owner.recovery, now)) {
      return RefuseNotRun(owner, execution, RunRefusal::kRecovering, now);
    }
    std::optional<KeyedAction> action =
        CollectFenceReplies(owner, execution, placement.former_homes, now);
    if (action.has_value()) {
      return *std::move(action);
    }
  }
  return ActionFor(owner, execution,
                   BeginAttempt(owner.ledger, request, owner.version, now),
                   now);
}

void RecordKeyFenceReply(KeyedExecution& execution,
                         const std::string& endpoint,
                         const PlacementVersion& version,
                         const KeyFenceReply& reply) {
  const auto found = execution.former_home_fences.find(endpoint);
  if (found != execution.former_home_fences.end() &&
      found->second.version == version) {
    found->second.reply = reply;
  }
}

KeyFenceReply HandleFenceKey(KeyedOwner& owner,
                             const KeyId& key,
                             const PlacementVersion& version,
                             steady_clock::time_point now) {
  if (!IsRecovered(owner.recovery, now)) {
    // A fence that was recovered from a journal does not show that the key did
    // not run here before.
    const auto found = owner.ledger.keys.find(key);
    if (found == owner.ledger.keys.end() ||
        found->second.state == AttemptState::kFenced) {
      return {KeyFenceState::kUndecidable, nullptr, 0};
    }
  }
  return FenceKey(owner.ledger, key, version, now);
}

}  // namespace comfrey
