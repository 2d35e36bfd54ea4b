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
  kAttempt,   ///< A keyed request that this ingress forwarded.
  kKeyFence,  ///< A FenceKey call that this daemon sent as an owner.
};

/// \brief A message of this daemon that may have changed the ledger of another
/// owner.
struct JournalEntry {
  JournalKind kind = JournalKind::kAttempt;
  std::string endpoint;
  KeyId key;
  AttemptId attempt;
  std::uint64_t request_hash = 0;
  /// For kAttempt: the incarnation of the owner that the request was sent to.
  std::uint64_t owner_incarnation = 0;
  /// For kKeyFence: the placement version for which the key was fenced.
  PlacementVersion fenced_for;
  /// Null if no complete response was received or stored.
  DeliverableResponse response;
  std::chrono::steady_clock::time_point expires_at;
  std::size_t bytes = 0;
};

enum class JournalOutcome { kNotRun, kAnswered, kUnknown };

/// \brief Journal of the messages that other owners need to rebuild their
/// ledgers after a restart.
///
/// Not thread-safe; the caller must serialise access. Entries are kept for
/// RecordRetention.
struct AttemptJournal {
  KeyTimes times;
  std::size_t byte_budget = std::size_t{4} << 20;
  std::chrono::steady_clock::time_point started_at;
  /// Latest time that was passed to a function of the journal.
  std::chrono::steady_clock::time_point clock;
  std::map<AttemptId, JournalEntry> attempts;
  std::map<std::pair<std::string, KeyId>, JournalEntry> fences;
  /// Total size of all entries.
  std::size_t bytes = 0;
};

AttemptJournal MakeAttemptJournal(const KeyTimes& times,
                                  std::size_t byte_budget,
                                  std::chrono::steady_clock::time_point now);

/// \brief Records a keyed attempt; call it before the attempt is sent. Attempts
/// without a key are not recorded.
///
/// Returns false if the byte budget is exhausted. The attempt must not be sent
/// then.
bool RecordAttempt(AttemptJournal& journal,
                   const std::string& endpoint,
                   const LedgerRequest& request,
                   std::chrono::steady_clock::time_point now);

/// \brief Records a FenceKey call; call it before the message is sent.
///
/// Returns false if the byte budget is exhausted. The message must not be sent
/// then.
bool RecordKeyFence(AttemptJournal& journal,
                    const std::string& endpoint,
                    const KeyId& key,
                    const PlacementVersion& version,
                    std::chrono::steady_clock::time_point now);

/// \brief Records the final outcome of an attempt. With kNotRun, which includes
/// fenced attempts, the entry is removed.
void RecordOutcome(AttemptJournal& journal,
                   const AttemptId& attempt,
                   JournalOutcome outcome,
                   DeliverableResponse response,
                   std::chrono::steady_clock::time_point now);

struct JournalExcerpt {
  /// Whether this daemon has run for RecordRetention, so that no entry is
  /// missing.
  bool complete = false;
  std::vector<JournalEntry> entries;
};

/// \brief Returns the entries for an endpoint whose owner restarted as
/// `owner_incarnation`, except attempts that were sent to this incarnation.
JournalExcerpt ReadJournal(AttemptJournal& journal,
                           const std::string& endpoint,
                           std::uint64_t owner_incarnation,
                           std::chrono::steady_clock::time_point now);

/// \brief Returns whether a stamp is recent enough for its owner to accept a
/// request that is forwarded with it now.
bool IsStampFresh(const KeyTimes& times,
                  std::chrono::steady_clock::time_point received_at,
                  std::chrono::steady_clock::time_point now);

/// \brief Returns whether a non-idempotent request that the ingress read at
/// `read_at` may be sent with a stamp that was received at `stamp_received_at`.
///
/// If not, the request must be refused as not run. `pauses` must have observed
/// the clocks at `now`.
bool IsStampUsable(const KeyTimes& times,
                   const PauseDetector& pauses,
                   std::chrono::steady_clock::time_point read_at,
                   std::chrono::steady_clock::time_point stamp_received_at,
                   std::chrono::steady_clock::time_point now);

}  // namespace comfrey

#endif  // CORE_ATTEMPT_JOURNAL_H_
