#ifndef CORE_ATTEMPT_LEDGER_H_
#define CORE_ATTEMPT_LEDGER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/attempt_id.h"
#include "core/deliverable_response.h"
#include "core/key_placement.h"

namespace comfrey {

/// \brief The retention time of keys, from which the durations below derive.
struct KeyTimes {
  std::chrono::milliseconds key_retention{std::chrono::minutes(10)};
};

/// \brief Maximum age of the last configuration confirmation with which an
/// owner runs requests that have a key.
std::chrono::milliseconds MaxConfirmationAge(const KeyTimes& times);

/// \brief Maximum age of the stamp in a forwarded request that may still run.
std::chrono::milliseconds MaxForwardAge(const KeyTimes& times);

/// \brief How long ledger records and journal entries are kept, and how long a
/// restarted owner refuses keys if journals are missing or incomplete.
std::chrono::milliseconds RecordRetention(const KeyTimes& times);

/// \brief Minimum time that operators leave an endpoint in phase joining or
/// leaving.
std::chrono::milliseconds MinKeyPhaseDuration(const KeyTimes& times);

/// \brief Time on an owner's own clock, sent in its replies.
///
/// An ingress sends it back in each non-idempotent request that it forwards.
/// From it the owner computes an upper bound of the age of the message without
/// synchronised clocks.
struct OwnerStamp {
  /// Incarnation of the owner that issued the stamp; 0 is never valid.
  std::uint64_t incarnation = 0;
  /// Time since the start of that incarnation.
  std::chrono::microseconds uptime{0};
};

/// \brief Hash used to check that a repeated key comes with the same request.
std::uint64_t HashRequest(std::string_view method,
                          std::string_view path,
                          std::string_view body);

/// \brief Identity of a non-idempotent request that an ingress forwarded.
struct LedgerRequest {
  AttemptId attempt;
  /// Absent if the caller sent no key.
  std::optional<KeyId> key;
  std::uint64_t request_hash = 0;
  OwnerStamp stamp;
};

enum class AttemptState { kFenced, kQueued, kRunning, kDone, kUnknown };

enum class RunRefusal {
  kNone,
  kIncarnation,            ///< Sent for another owner incarnation.
  kStaleForward,           ///< Stamp too old.
  kFenced,                 ///< Attempt or key was fenced.
  kCancelled,              ///< Displaced or expired in the queue.
  kOtherRequest,           ///< Key was used for a different request.
  kNotHome,                ///< Another endpoint is the home of the key.
  kRecovering,             ///< Ledger lost and not yet recovered.
  kNotFencedByFormerHome,  ///< A former home did not fence the key.
  kConfigUnconfirmed,      ///< Configuration not confirmed recently.
  kLedgerFull,             ///< Byte budget used up.
  kOutcomeUnknown,         ///< Sent earlier without a complete response.
  kResponseNotKept,        ///< Ran, but its response is not stored.
};

std::string_view RunRefusalName(RunRefusal refusal);

enum class LedgerAction {
  kRun,
  kWait,  ///< An attempt for the same key is queued or running.
  kRespond,
  kRefuseNotRun,
  kRefuseUnknown,
};

struct LedgerDecision {
  LedgerAction action = LedgerAction::kRefuseUnknown;
  RunRefusal reason = RunRefusal::kNone;
  DeliverableResponse response;
};

struct LedgerRecord {
  AttemptState state = AttemptState::kFenced;
  AttemptId attempt;
  std::uint64_t request_hash = 0;
  /// False if journals reported different request hashes for the key.
  bool hash_known = true;
  DeliverableResponse response;
  RunRefusal refusal = RunRefusal::kNone;
  /// For a key in state kFenced: the placement version of the endpoint that
  /// requested the fence.
  PlacementVersion fenced_for;
  std::chrono::steady_clock::time_point expires_at;
  std::size_t bytes = 0;
};

struct LedgerLimits {
  std::size_t byte_budget = std::size_t{4} << 20;
  /// Space for the response that each queued or running attempt with a key
  /// reserves.
  std::size_t response_reserve = std::size_t{4} << 10;
};

/// \brief The attempts and keys that ran, are running or must not run at one
/// endpoint.
///
/// The caller serialises access. Keys and attempts share one byte budget. No
/// record is evicted before it expires.
struct AttemptLedger {
  KeyTimes times;
  LedgerLimits limits;
  std::uint64_t incarnation = 0;
  std::chrono::steady_clock::time_point started_at;
  /// Latest time passed by any caller. It replaces an older time that is passed
  /// later.
  std::chrono::steady_clock::time_point clock;
  /// Attempts without a record are refused if the uptime in their stamp is at
  /// most this one.
  std::chrono::microseconds max_refused_uptime{-1};
  std::map<KeyId, LedgerRecord> keys;
  std::map<AttemptId, LedgerRecord> attempts;
  std::multimap<std::chrono::steady_clock::time_point, KeyId> key_expiry;
  std::multimap<std::chrono::steady_clock::time_point, AttemptId>
      attempt_expiry;
  std::size_t bytes = 0;
  /// Part of `bytes` used by refused and fenced attempts.
  std::size_t refused_bytes = 0;
};

AttemptLedger MakeAttemptLedger(const KeyTimes& times,
                                const LedgerLimits& limits,
                                std::uint64_t incarnation,
                                std::chrono::steady_clock::time_point now);

/// \brief The stamp to send with replies.
OwnerStamp CurrentStamp(const AttemptLedger& ledger,
                        std::chrono::steady_clock::time_point now);

/// \brief Returns the decision on a request that was sent to another owner
/// incarnation, has an old stamp, or has a record for its attempt or key.
/// Absent for a request that may run.
///
/// `version` is the owner's current placement version. A key that was fenced
/// for an older version may run again.
std::optional<LedgerDecision> LookUpAttempt(
    AttemptLedger& ledger,
    const LedgerRequest& request,
    const PlacementVersion& version,
    std::chrono::steady_clock::time_point now);

/// \brief Decides on a request, and records its attempt as queued if the action
/// is kRun.
LedgerDecision BeginAttempt(AttemptLedger& ledger,
                            const LedgerRequest& request,
                            const PlacementVersion& version,
                            std::chrono::steady_clock::time_point now);

/// \brief Changes a queued attempt to running. The request may be sent to the
/// backend server only if this returns true.
bool StartAttempt(AttemptLedger& ledger,
                  const LedgerRequest& request,
                  std::chrono::steady_clock::time_point now);

/// \brief Stores the complete response of a running attempt.
///
/// A response that exceeds the budget is not stored. Later requests with the
/// key then get kRefuseUnknown with the reason kResponseNotKept.
void FinishAttempt(AttemptLedger& ledger,
                   const LedgerRequest& request,
                   DeliverableResponse response,
                   std::chrono::steady_clock::time_point now);

/// \brief Records that a running attempt received no complete response.
void MarkOutcomeUnknown(AttemptLedger& ledger,
                        const LedgerRequest& request,
                        std::chrono::steady_clock::time_point now);

/// \brief Permanently refuses an attempt that is queued or has no record, so
/// that a duplicate which arrives later does not run. Returns false if the
/// attempt is running, ran or may have run.
bool RefuseAttempt(AttemptLedger& ledger,
                   const LedgerRequest& request,
                   RunRefusal reason,
                   std::chrono::steady_clock::time_point now);

struct AttemptFenceReply {
  /// kFenced: the attempt did not and will not run.
  AttemptState state = AttemptState::kUnknown;
  DeliverableResponse response;
};

/// \brief Fences an attempt that is queued or has no record. If another attempt
/// with the same key is queued, running or ran, the state of that attempt is
/// returned instead, kRunning if it is queued.
AttemptFenceReply FenceAttempt(AttemptLedger& ledger,
                               const LedgerRequest& request,
                               std::chrono::steady_clock::time_point now);

enum class KeyFenceState {
  kFenced,   ///< Did not and will not run here under this or an older version.
  kRan,      ///< Ran here; the response is included.
  kUnknown,  ///< Running, or may have run without a stored response.
  kUndecidable,  ///< Ledger is recovering or has no space for the fence.
};

struct KeyFenceReply {
  KeyFenceState state = KeyFenceState::kUndecidable;
  DeliverableResponse response;
  std::uint64_t request_hash = 0;
};

/// \brief Fences a key at a former home, at the request of the home under the
/// given placement version.
KeyFenceReply FenceKey(AttemptLedger& ledger,
                       const KeyId& key,
                       const PlacementVersion& version,
                       std::chrono::steady_clock::time_point now);

/// \brief Adds what a journal or a former home recorded about a key.
///
/// An existing record is replaced only if it is a fence, or if its outcome is
/// unknown and the new record has the response. Returns false if the budget has
/// no space for the record.
bool MergeKeyRecord(AttemptLedger& ledger,
                    const KeyId& key,
                    const LedgerRecord& record,
                    std::chrono::steady_clock::time_point now);

/// \brief Removes expired records; called by a timer.
void RemoveExpiredRecords(AttemptLedger& ledger,
                          std::chrono::steady_clock::time_point now);

}  // namespace comfrey

#endif  // CORE_ATTEMPT_LEDGER_H_
