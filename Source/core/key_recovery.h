#ifndef CORE_KEY_RECOVERY_H_
#define CORE_KEY_RECOVERY_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/attempt_journal.h"
#include "core/attempt_ledger.h"

namespace comfrey {

/// \brief State of the journal of one member that an owner requests.
struct RecoveryMember {
  bool received = false;
  /// Whether the journal covers the last RecordRetention.
  bool complete = false;
};

/// \brief Progress of a restarted owner in rebuilding its ledger from the
/// journals of the members.
struct KeyRecovery {
  KeyTimes times;
  std::chrono::steady_clock::time_point started_at;
  /// False if no earlier incarnation of the owner ran keys.
  bool needed = true;
  /// Whether `members` holds every daemon that may have sent requests to an
  /// earlier incarnation.
  bool members_known = false;
  /// Whether the ledger had no space for an entry.
  bool overflow = false;
  std::map<std::string, RecoveryMember> members;
};

/// \brief Whether keys may have run at the endpoint before its owner started.
///
/// `keys_since` is the setting of the service; absent if not set.
bool NeedsRecovery(
    std::chrono::system_clock::time_point started_at,
    const std::optional<std::chrono::system_clock::time_point>& keys_since);

KeyRecovery MakeKeyRecovery(const KeyTimes& times,
                            bool needed,
                            std::chrono::steady_clock::time_point now);

/// \brief Adds the members whose journals are needed.
///
/// `members` must hold all daemons that ran within the last RecordRetention and
/// may have sent requests to the endpoint, including this daemon and dead ones.
void SetExpectedMembers(KeyRecovery& recovery,
                        const std::vector<std::string>& members);

/// \brief Members whose journal was not yet received.
std::vector<std::string> MissingMembers(const KeyRecovery& recovery);

/// \brief Adds the entries of a journal to the ledger. The member must have
/// sent it in reply to a request of this owner incarnation.
void MergeJournal(KeyRecovery& recovery,
                  AttemptLedger& ledger,
                  const std::string& member,
                  const JournalExcerpt& excerpt,
                  std::chrono::steady_clock::time_point now);

/// \brief Whether the ledger holds every key that a caller may still repeat.
bool IsRecovered(const KeyRecovery& recovery,
                 std::chrono::steady_clock::time_point now);

}  // namespace comfrey

#endif  // CORE_KEY_RECOVERY_H_
