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

/// \brief State of one endpoint at its owner that decides what may run.
///
/// The caller holds one mutex per endpoint over each call, and reads both
/// clocks after it received the message that the call handles.
struct KeyedOwner {
  std::string endpoint;
  PlacementVersion version;
  std::vector<PlacedEndpoint> endpoints;
  /// Latest time at which the configuration service is known to have held no
  /// version newer than `version`; absent where not known since the last pause.
  std::optional<std::chrono::steady_clock::time_point> confirmed_at;
  PauseDetector pauses;
  KeyRecovery recovery;
  AttemptLedger ledger;
};

/// \brief Takes a newer placement into use; ignores an older one.
void AdoptPlacement(KeyedOwner& owner,
                    const PlacementVersion& version,
                    const std::vector<PlacedEndpoint>& endpoints);

/// \brief Records the clocks; a pause invalidates the confirmation.
void ObserveOwnerClocks(KeyedOwner& owner,
                        std::chrono::steady_clock::time_point now,
                        std::chrono::system_clock::time_point wall);

/// \brief Records a reply that confirms the owner's version.
///
/// `requested_at` is the owner's time before it sent the request. `age` is the
/// age of the confirmation at the peer that replied, 0 for the configuration
/// service. A reply with another version confirms nothing.
void ConfirmPlacement(KeyedOwner& owner,
                      const PlacementVersion& reported,
                      std::chrono::steady_clock::time_point requested_at,
                      std::chrono::milliseconds age,
                      std::chrono::steady_clock::time_point now,
                      std::chrono::system_clock::time_point wall);

/// \brief Age of the confirmation, for replies to peers; absent without one.
std::optional<std::chrono::milliseconds> ConfirmationAge(
    KeyedOwner& owner,
    std::chrono::steady_clock::time_point now,
    std::chrono::system_clock::time_point wall);

/// \brief Reply of a former home to a FenceKey call; absent while pending.
struct KeyRelease {
  PlacementVersion version;
  std::optional<KeyFenceReply> reply;
};

/// \brief One non-idempotent forward that the owner has not decided yet.
struct KeyedExecution {
  LedgerRequest request;
  std::map<std::string, KeyRelease> releases;
};

enum class KeyedStep {
  kRun,      ///< Entered as queued; call StartAttempt before it is sent.
  kWait,     ///< Call again after a reply or a change of the key's attempt.
  kFence,    ///< Send FenceKey to `endpoints_to_fence` under `version`.
  kRefuse,   ///< Final; see `not_run` and `reason`.
  kRespond,  ///< Final; return `response`.
};

struct KeyedAction {
  KeyedStep step = KeyedStep::kWait;
  RunRefusal reason = RunRefusal::kNone;
  /// For kRefuse: true for *not run*, false for *unknown*.
  bool not_run = false;
  ResponsePtr response;
  std::vector<std::string> endpoints_to_fence;
  PlacementVersion version;
};

/// \brief Decides the next step of a forward, with or without a key.
///
/// Each FenceKey call is entered in the daemon's journal before it is sent.
KeyedAction NextKeyedAction(KeyedOwner& owner,
                            KeyedExecution& execution,
                            std::chrono::steady_clock::time_point now,
                            std::chrono::system_clock::time_point wall);

/// \brief Enters the reply to a FenceKey call that was sent under `version`;
/// kUndecidable where the call failed.
void RecordRelease(KeyedExecution& execution,
                   const std::string& endpoint,
                   const PlacementVersion& version,
                   const KeyFenceReply& reply);

/// \brief Handles a FenceKey call from another home.
KeyFenceReply HandleFenceKey(KeyedOwner& owner,
                             const KeyId& key,
                             const PlacementVersion& version,
                             std::chrono::steady_clock::time_point now);

}  // namespace comfrey

#endif  // CORE_KEYED_EXECUTION_H_
