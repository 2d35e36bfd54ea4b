#ifndef CORE_ATTEMPT_JOURNAL_H_
#define CORE_ATTEMPT_JOURNAL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "core/attempt_ledger.h"
#include "core/pause_detector.h"

namespace comfrey {

enum class JournalKind {
  kAttempt,   ///< A keyed forward that this ingress sent.
  kKeyFence,  ///< A FenceKey call that the owner of this daemon sent.
};

/// \brief One message of this daemon that changed the ledger of another owner.
struct JournalEntry {
  JournalKind kind = JournalKind::kAttempt;
  std::string endpoint;
  KeyId key;
  AttemptId attempt;
  std::uint64_t request_hash = 0;
  /// Incarnation that the forward was sent to.
  std::uint64_t owner_incarnation = 0;
  /// For kKeyFence: the version on whose behalf the key was fenced.
  PlacementVersion fenced_for;
  /// Absent where no complete response was received.
  ResponsePtr response;
  std::chrono::steady_clock::time_point expires_at;
  std::size_t bytes = 0;
};

enum class JournalOutcome { kNotRun, kResponded, kUnknown };

/// \brief What a restarted owner needs in order to rebuild its ledger.
///
/// The caller serialises access. Entries are kept for RecordRetention.
struct AttemptJournal {
  KeyTimes times;
  std::size_t byte_budget = std::size_t{4} << 20;
  std::chrono::steady_clock::time_point started_at;
  std::chrono::steady_clock::time_point clock;
  std::map<AttemptId, JournalEntry> attempts;
  std::map<std::pair<std::string, KeyId>, JournalEntry> fences;
  std::size_t bytes = 0;
};

AttemptJournal MakeAttemptJournal(const KeyTimes& times,
                                  std::size_t byte_budget,
                                  std::chrono::steady_clock::time_point now);

/// \brief Enters a keyed attempt; called before it is sent.
///
/// Returns false where the budget is used up: the attempt must not be sent.
bool RecordAttempt(AttemptJournal& journal,
                   const std::string& endpoint,
                   const LedgerRequest& request,
                   std::chrono::steady_clock::time_point now);

/// \brief Enters a FenceKey call; called before it is sent. False as above.
bool RecordKeyFence(AttemptJournal& journal,
                    const std::string& endpoint,
                    const KeyId& key,
                    const PlacementVersion& version,
                    std::chrono::steady_clock::time_point now);

/// \brief Enters the final outcome of an attempt. An attempt that was refused
/// as not run or fenced is removed.
void RecordOutcome(AttemptJournal& journal,
                   const AttemptId& attempt,
                   JournalOutcome outcome,
                   ResponsePtr response,
                   std::chrono::steady_clock::time_point now);

struct JournalExcerpt {
  /// Whether this daemon has run for RecordRetention.
  bool complete = false;
  std::vector<JournalEntry> entries;
};

/// \brief The entries for an endpoint whose owner restarted as the given
/// incarnation. Attempts sent to that incarnation itself are left out.
JournalExcerpt ReadJournal(AttemptJournal& journal,
                           const std::string& endpoint,
                           std::uint64_t owner_incarnation,
                           std::chrono::steady_clock::time_point now);

/// \brief Whether a stamp is recent enough that its owner accepts a forward
/// which is sent with it now.
bool IsStampFresh(const KeyTimes& times,
                  std::chrono::steady_clock::time_point received_at,
                  std::chrono::steady_clock::time_point now);

/// \brief Whether a non-idempotent request that the ingress read at `read_at`
/// may be sent with a stamp that arrived at `stamp_received_at`.
///
/// Where it returns false, the request is refused as not run. `pauses` must
/// have observed the clocks at `now`.
bool IsStampUsable(const KeyTimes& times,
                   const PauseDetector& pauses,
                   std::chrono::steady_clock::time_point read_at,
                   std::chrono::steady_clock::time_point stamp_received_at,
                   std::chrono::steady_clock::time_point now);

}  // namespace comfrey

#endif  // CORE_ATTEMPT_JOURNAL_H_
