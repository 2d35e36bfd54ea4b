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

struct RecoveryMember {
  bool received = false;
  bool complete = false;
};

/// \brief Progress of a restarted owner in rebuilding its ledger.
struct KeyRecovery {
  KeyTimes times;
  std::chrono::steady_clock::time_point started_at;
  /// False for an owner without an earlier incarnation that ran keys.
  bool needed = true;
  /// Whether `members` holds every daemon that may have sent to an earlier
  /// incarnation.
  bool members_known = false;
  /// Whether an entry did not fit into the ledger.
  bool overflow = false;
  std::map<std::string, RecoveryMember> members;
};

/// \brief Whether an owner started after keys may have run at its endpoint.
/// `keys_since` is the setting of the service, absent where not set.
bool NeedsRecovery(
    std::chrono::system_clock::time_point started_at,
    const std::optional<std::chrono::system_clock::time_point>& keys_since);

KeyRecovery MakeKeyRecovery(const KeyTimes& times,
                            bool needed,
                            std::chrono::steady_clock::time_point now);

/// \brief States all daemons that ran within the last RecordRetention and may
/// have sent to the endpoint, this daemon and dead ones included.
void SetExpectedMembers(KeyRecovery& recovery,
                        const std::vector<std::string>& members);

/// \brief Members whose journal is still to be requested.
std::vector<std::string> MissingMembers(const KeyRecovery& recovery);

/// \brief Enters the journal that a member sent in reply to a request of this
/// owner incarnation.
void MergeJournal(KeyRecovery& recovery,
                  AttemptLedger& ledger,
                  const std::string& member,
                  const JournalExcerpt& excerpt,
                  std::chrono::steady_clock::time_point now);

/// \brief Whether the ledger holds every key that may still be repeated.
bool IsRecovered(const KeyRecovery& recovery,
                 std::chrono::steady_clock::time_point now);

}  // namespace comfrey

#endif  // CORE_KEY_RECOVERY_H_
