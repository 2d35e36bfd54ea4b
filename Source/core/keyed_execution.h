#ifndef CORE_KEYED_EXECUTION_H_
#define CORE_KEYED_EXECUTION_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/attempt_ledger.h"
#include "core/key_placement.h"
#include "core/key_recovery.h"
#include "core/pause_detector.h"

namespace comfrey {

/// \brief State with which the owner of an endpoint decides whether a
/// non-idempotent request may run there.
///
/// The caller must hold the mutex of the endpoint during each call, and must
/// read both clocks after it received the message that it handles.
struct KeyedOwner {
  std::string endpoint;
  PlacementVersion version;
  std::vector<PlacedEndpoint> endpoints;
  /// Latest time at which the configuration service is known to have held no
  /// version newer than `version`. Absent if there was no confirmation since
  /// the last pause.
  std::optional<std::chrono::steady_clock::time_point> confirmed_at;
  PauseDetector pauses;
  KeyRecovery recovery;
  AttemptLedger ledger;
};

/// \brief Replaces the placement by a newer one; ignores an older one.
void AdoptPlacement(KeyedOwner& owner,
                    const PlacementVersion& version,
                    const std::vector<PlacedEndpoint>& endpoints);

/// \brief Passes both clocks to the pause detector. A pause invalidates the
/// confirmation of the configuration.
void ObserveOwnerClocks(KeyedOwner& owner,
                        std::chrono::steady_clock::time_point now,
                        std::chrono::system_clock::time_point wall);

/// \brief Records a reply that may confirm the owner's version.
///
/// `requested_at` is the owner's time before it sent the request. `age` is the
/// age of the confirmation at the peer that replied, or 0 for a reply of the
/// configuration service. A reply with another version is ignored.
void ConfirmPlacement(KeyedOwner& owner,
                      const PlacementVersion& reported,
                      std::chrono::steady_clock::time_point requested_at,
                      std::chrono::milliseconds age,
                      std::chrono::steady_clock::time_point now,
                      std::chrono::system_clock::time_point wall);

/// \brief Age of the confirmation, sent in replies to peers; absent if there is
/// no confirmation.
std::optional<std::chrono::milliseconds> ConfirmationAge(
    KeyedOwner& owner,
    std::chrono::steady_clock::time_point now,
    std::chrono::system_clock::time_point wall);

/// \brief A FenceKey call to a former home and its reply.
struct FormerHomeFence {
  PlacementVersion version;
  /// Absent while the call is pending.
  std::optional<KeyFenceReply> reply;
};

/// \brief A non-idempotent forwarded request that the owner has not yet
/// accepted, answered or refused.
struct KeyedExecution {
  LedgerRequest request;
  /// By endpoint of the former home.
  std::map<std::string, FormerHomeFence> former_home_fences;
};

enum class KeyedStep {
  kRun,      ///< Recorded as queued; call StartAttempt before it is sent.
  kWait,     ///< Decide again after a FenceKey reply or a change of the record.
  kFence,    ///< Send FenceKey with `version` to `endpoints_to_fence`.
  kRefuse,   ///< Final; see `not_run` and `reason`.
  kRespond,  ///< Final; return `response`.
};

struct KeyedAction {
  KeyedStep step = KeyedStep::kWait;
  RunRefusal reason = RunRefusal::kNone;
  /// For kRefuse: true if the request did not and will not run, false if that
  /// is unknown.
  bool not_run = false;
  DeliverableResponse response;
  std::vector<std::string> endpoints_to_fence;
  PlacementVersion version;
};

/// \brief Decides the next step of a non-idempotent request, with or without a
/// key.
///
/// For kFence, the caller records each FenceKey call in the journal of the
/// daemon before it sends the call.
KeyedAction NextKeyedAction(KeyedOwner& owner,
                            KeyedExecution& execution,
                            std::chrono::steady_clock::time_point now,
                            std::chrono::system_clock::time_point wall);

/// \brief Records the reply to a FenceKey call that was sent with `version`.
/// The caller passes kUndecidable if the call failed.
void RecordKeyFenceReply(KeyedExecution& execution,
                         const std::string& endpoint,
                         const PlacementVersion& version,
                         const KeyFenceReply& reply);

/// \brief Handles a FenceKey call from the home of the key.
KeyFenceReply HandleFenceKey(KeyedOwner& owner,
                             const KeyId& key,
                             const PlacementVersion& version,
                             std::chrono::steady_clock::time_point now);

}  // namespace comfrey

#endif  // CORE_KEYED_EXECUTION_H_
