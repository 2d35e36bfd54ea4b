#include "core/key_recovery.h"

#include <algorithm>

namespace comfrey {

using std::chrono::steady_clock;
using std::chrono::system_clock;

bool NeedsRecovery(system_clock::time_point started_at,
                   const std::optional<system_clock::time_point>& keys_since) {
  return !keys_since.has_value() || started_at > *keys_since;
}

KeyRecovery MakeKeyRecovery(const KeyTimes& times,
                            bool needed,
                            steady_clock::time_point now) {
  KeyRecovery recovery;
  recovery.times = times;
  recovery.needed = needed;
  recovery.started_at = now;
  return recovery;
}

// A daemon that forwards requests with a key to itself must include itself in
// the members. Its journal was lost together with the ledger, so the recovery
// must not count as complete without the entries of that journal.
void SetExpectedMembers(KeyRecovery& recovery,
                        const std::vector<std::string>& members) {
  for (const std::string& member : members) {
    recovery.members.try_emplace(member);
  }
  recovery.members_known = true;
}

std::vector<std::string> MissingMembers(const KeyRecovery& recovery) {
  std::vector<std::string> missing;
  for (const auto& [name, member] : recovery.members) {
    if (!member.received) {
      missing.push_back(name);
    }
  }
  return missing;
}

void MergeJournal(KeyRecovery& recovery,
                  AttemptLedger& ledger,
                  const std::string& member,
                  const JournalExcerpt& excerpt,
                  steady_clock::time_point now) {
  for (const JournalEntry& entry : excerpt.entries) {
    LedgerRecord record;
    record.attempt = entry.attempt;
    record.request_hash = entry.request_hash;
    if (entry.kind == JournalKind::kKeyFence) {
      record.state = AttemptState::kFenced;
      record.refusal = RunRefusal::kFenced;
      record.fenced_for = entry.fenced_for;
    } else if (entry.response) {
      record.state = AttemptState::kDone;
      record.response = entry.response;
    } else {
      record.state = AttemptState::kUnknown;
    }
    if (!MergeKeyRecord(ledger, entry.key, record, now)) {
      recovery.overflow = true;
    }
  }
  RecoveryMember& state = recovery.members[member];
  state.received = true;
  state.complete = state.complete || excerpt.complete;
}

bool IsRecovered(const KeyRecovery& recovery, steady_clock::time_point now) {
  if (!recovery.needed ||
      now - recovery.started_at >= RecordRetention(recovery.times)) {
    return true;
  }
  return recovery.members_known && !recovery.overflow &&
         std::all_of(recovery.members.begin(), recovery.members.end(),
                     [](const auto& member) {
                       return member.second.received && member.second.complete;
                     });
}

}  // namespace comfrey
