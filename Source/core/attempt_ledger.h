#ifndef CORE_ATTEMPT_LEDGER_H_
#define CORE_ATTEMPT_LEDGER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/attempt_id.h"
#include "core/http_message.h"
#include "core/key_placement.h"

namespace comfrey {

/// \brief Durations derived from `key_retention`; the sources give the reasons.
struct KeyTimes {
  std::chrono::milliseconds key_retention{std::chrono::minutes(10)};
};

/// \brief Greatest age of the configuration with which an owner runs keys.
std::chrono::milliseconds MaxConfirmationAge(const KeyTimes& times);

/// \brief Greatest age of the stamp in a forward that may still run.
std::chrono::milliseconds MaxForwardAge(const KeyTimes& times);

/// \brief How long ledger records and journal entries are kept, and how long a
/// restarted owner waits where journals are incomplete.
std::chrono::milliseconds RecordRetention(const KeyTimes& times);

/// \brief How long operators leave an endpoint in phase joining or leaving.
std::chrono::milliseconds MinKeyPhaseDuration(const KeyTimes& times);

/// \brief Time on an owner's own clock, handed out in its replies.
///
/// An ingress returns it in each non-idempotent forward, which tells the owner
/// the greatest age of the message without synchronised clocks.
struct OwnerStamp {
  /// Incarnation of the owner that gave the stamp; 0 is never valid.
  std::uint64_t incarnation = 0;
  /// Time since the start of that incarnation.
  std::chrono::microseconds uptime{0};
};

/// \brief Shared, since several callers may receive it at once.
using ResponsePtr = std::shared_ptr<const HttpResponse>;

/// \brief Hash by which a repeated key is checked to carry the same request.
std::uint64_t HashRequest(std::string_view method,
                          std::string_view path,
                          std::string_view body);

/// \brief Identity of a non-idempotent forward.
struct LedgerRequest {
  AttemptId attempt;
  /// Absent where the caller sent no key.
  std::optional<KeyId> key;
  std::uint64_t request_hash = 0;
  OwnerStamp stamp;
};

enum class AttemptState { kFenced, kQueued, kRunning, kDone, kUnknown };

enum class RunRefusal {
  kNone,
  kIncarnation,        ///< Sent for another owner incarnation.
  kStaleForward,       ///< Stamp too old.
  kFenced,             ///< Attempt or key was fenced.
  kCancelled,          ///< Displaced or expired in the queue.
  kOtherRequest,       ///< Key was used for a different request.
  kNotHome,            ///< Another endpoint is the home of the key.
  kRecovering,         ///< Ledger lost and not yet recovered.
  kUnreleased,         ///< A former home did not release the key.
  kConfigUnconfirmed,  ///< Configuration not confirmed recently.
  kLedgerFull,         ///< Byte budget used up.
  kOutcomeUnknown,     ///< Sent earlier without a complete response.
  kResponseNotKept,    ///< Ran; the response is no longer or never stored.
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
  ResponsePtr response;
};

struct LedgerRecord {
  AttemptState state = AttemptState::kFenced;
  AttemptId attempt;
  std::uint64_t request_hash = 0;
  /// False for a record whose journals disagree about the request.
  bool hash_known = true;
  ResponsePtr response;
  RunRefusal refusal = RunRefusal::kNone;
  /// For state kFenced of a key: the version on whose behalf it was fenced.
  PlacementVersion fenced_for;
  std::chrono::steady_clock::time_point expires_at;
  std::size_t bytes = 0;
};

struct LedgerLimits {
  std::size_t byte_budget = std::size_t{4} << 20;
  /// Reserved for the response of each queued or running attempt.
  std::size_t response_reserve = std::size_t{4} << 10;
};

/// \brief What ran, runs or must not run at one endpoint.
///
/// The caller serialises access. Keys and attempts are bounded by one byte
/// budget; nothing is evicted before its time.
struct AttemptLedger {
  KeyTimes times;
  LedgerLimits limits;
  std::uint64_t incarnation = 0;
  std::chrono::steady_clock::time_point started_at;
  /// Latest time seen; a caller's older time is replaced by it.
  std::chrono::steady_clock::time_point clock;
  /// Unseen attempts with a stamp up to this one are refused.
  std::chrono::microseconds max_refused_uptime{-1};
  std::map<KeyId, LedgerRecord> keys;
  std::map<AttemptId, LedgerRecord> attempts;
  std::multimap<std::chrono::steady_clock::time_point, KeyId> key_expiry;
  std::multimap<std::chrono::steady_clock::time_point, AttemptId>
      attempt_expiry;
  std::size_t bytes = 0;
  /// Part of `bytes` taken by refused and fenced attempts.
  std::size_t refused_bytes = 0;
};

AttemptLedger MakeAttemptLedger(const KeyTimes& times,
                                const LedgerLimits& limits,
                                std::uint64_t incarnation,
                                std::chrono::steady_clock::time_point now);

/// \brief The stamp to send with replies.
OwnerStamp CurrentStamp(const AttemptLedger& ledger,
                        std::chrono::steady_clock::time_point now);

/// \brief The decision where the ledger alone determines it: wrong incarnation,
/// stale forward, or an attempt or key that is known. Absent for a request that
/// may run.
///
/// `version` is the owner's current configuration version; a key that was
/// fenced on behalf of an older version may run again.
std::optional<LedgerDecision> LookUpAttempt(
    AttemptLedger& ledger,
    const LedgerRequest& request,
    const PlacementVersion& version,
    std::chrono::steady_clock::time_point now);

/// \brief Enters the attempt as queued where the result is kRun.
LedgerDecision BeginAttempt(AttemptLedger& ledger,
                            const LedgerRequest& request,
                            const PlacementVersion& version,
                            std::chrono::steady_clock::time_point now);

/// \brief Changes a queued attempt to running. The request may be sent to the
/// backend server only where this returns true.
bool StartAttempt(AttemptLedger& ledger,
                  const LedgerRequest& request,
                  std::chrono::steady_clock::time_point now);

/// \brief Stores the complete response of a running attempt.
///
/// A response that exceeds the budget is not stored; repeats of the key are
/// then refused as outcome unknown.
void FinishAttempt(AttemptLedger& ledger,
                   const LedgerRequest& request,
                   ResponsePtr response,
                   std::chrono::steady_clock::time_point now);

/// \brief Records that a running attempt got no complete response.
void MarkOutcomeUnknown(AttemptLedger& ledger,
                        const LedgerRequest& request,
                        std::chrono::steady_clock::time_point now);

/// \brief Refuses an attempt that is unseen or queued for good: a duplicate of
/// it that arrives later does not run. Returns false for one that ran.
bool RefuseAttempt(AttemptLedger& ledger,
                   const LedgerRequest& request,
                   RunRefusal reason,
                   std::chrono::steady_clock::time_point now);

struct AttemptFenceReply {
  /// kFenced: the attempt did not and will not run.
  AttemptState state = AttemptState::kUnknown;
  ResponsePtr response;
};

/// \brief Fences an attempt that is queued or unseen. Where its key is queued,
/// running or ran under another attempt, that state is reported instead.
AttemptFenceReply FenceAttempt(AttemptLedger& ledger,
                               const LedgerRequest& request,
                               std::chrono::steady_clock::time_point now);

enum class KeyFenceState {
  kFenced,   ///< Not run here, and not to run under this or an older version.
  kRan,      ///< Ran here; with the response.
  kUnknown,  ///< Running, or ran without a stored response.
  kUndecidable,  ///< Cannot tell: recovering, or no space to record the fence.
};

struct KeyFenceReply {
  KeyFenceState state = KeyFenceState::kUndecidable;
  ResponsePtr response;
  std::uint64_t request_hash = 0;
};

/// \brief Fences a key on behalf of a home under the given version.
KeyFenceReply FenceKey(AttemptLedger& ledger,
                       const KeyId& key,
                       const PlacementVersion& version,
                       std::chrono::steady_clock::time_point now);

/// \brief Enters what is known of a key from a journal or a former home.
///
/// Does not replace a record of an attempt that this incarnation accepted.
/// Returns false where the budget has no space for it.
bool MergeKeyRecord(AttemptLedger& ledger,
                    const KeyId& key,
                    const LedgerRecord& record,
                    std::chrono::steady_clock::time_point now);

/// \brief Removes the records whose time has passed; called by a timer.
void RemoveExpiredRecords(AttemptLedger& ledger,
                          std::chrono::steady_clock::time_point now);

}  // namespace comfrey

#endif  // CORE_ATTEMPT_LEDGER_H_
