#include "core/attempt_journal.h"

#include <algorithm>

namespace comfrey {
namespace {

using std::chrono::steady_clock;

// Estimated size of an entry and its map node without strings, in bytes.
constexpr std::size_t kEntryOverhead = 320;

std::size_t EntrySize(const JournalEntry& entry) {
  const std::size_t size = kEntryOverhead + 2 * entry.endpoint.size() +
                           2 * entry.attempt.ingress.size() +
                           entry.key.team.size() + entry.key.service.size() +
                           entry.key.key.size();
  return size + SizeOf(entry.response);
}

template <typename Id>
void RemoveExpiredEntries(AttemptJournal& journal,
                          std::map<Id, JournalEntry>& entries) {
  for (auto it = entries.begin(); it != entries.end();) {
    if (it->second.expires_at < journal.clock) {
      journal.bytes -= it->second.bytes;
      it = entries.erase(it);
    } else {
      ++it;
    }
  }
}

template <typename Id>
bool Insert(AttemptJournal& journal,
            std::map<Id, JournalEntry>& entries,
            const Id& id,
            JournalEntry entry,
            steady_clock::time_point now) {
  journal.clock = std::max(journal.clock, now);
  entry.bytes = EntrySize(entry);
  entry.expires_at = journal.clock + RecordRetention(journal.times);
  const auto found = entries.find(id);
  std::size_t replaced = found == entries.end() ? 0 : found->second.bytes;
  if (journal.bytes - replaced + entry.bytes > journal.byte_budget) {
    // The search for expired entries visits all entries, so it runs only when
    // the budget would be exceeded.
    RemoveExpiredEntries(journal, entries);
    const auto kept = entries.find(id);
    replaced = kept == entries.end() ? 0 : kept->second.bytes;
    if (journal.bytes - replaced + entry.bytes > journal.byte_budget) {
      return false;
    }
  }
  journal.bytes += entry.bytes - replaced;
  entries[id] = std::move(entry);
  return true;
}

}  // namespace

AttemptJournal MakeAttemptJournal(const KeyTimes& times,
                                  std::size_t byte_budget,
                                  steady_clock::time_point now) {
  AttemptJournal journal;
  journal.times = times;
  journal.byte_budget = byte_budget;
  journal.started_at = now;
  journal.clock = now;
  return journal;
}

bool RecordAttempt(AttemptJournal& journal,
                   const std::string& endpoint,
                   const LedgerRequest& request,
                   steady_clock::time_point now) {
  if (!request.key.has_value()) {
    return true;
  }
  JournalEntry entry;
  entry.kind = JournalKind::kAttempt;
  entry.endpoint = endpoint;
  entry.key = *request.key;
  entry.attempt = request.attempt;
  entry.request_hash = request.request_hash;
  entry.owner_incarnation = request.stamp.incarnation;
  return Insert(journal, journal.attempts, request.attempt, std::move(entry),
                now);
}

// The former home of a key stores the fence only in memory. Without the journal
// entry, an owner that restarts with an older configuration would lose the
// fence and run requests with this key again.
bool RecordKeyFence(AttemptJournal& journal,
                    const std::string& endpoint,
                    const KeyId& key,
                    const PlacementVersion& version,
                    steady_clock::time_point now) {
  JournalEntry entry;
  entry.kind = JournalKind::kKeyFence;
  entry.endpoint = endpoint;
  entry.key = key;
  entry.fenced_for = version;
  const std::pair<std::string, KeyId> id(endpoint, key);
  const auto found = journal.fences.find(id);
  if (found != journal.fences.end()) {
    entry.fenced_for = std::max(version, found->second.fenced_for);
  }
  return Insert(journal, journal.fences, id, std::move(entry), now);
}

void RecordOutcome(AttemptJournal& journal,
                   const AttemptId& attempt,
                   JournalOutcome outcome,
                   DeliverableResponse response,
                   steady_clock::time_point now) {
  journal.clock = std::max(journal.clock, now);
  const auto found = journal.attempts.find(attempt);
  if (found == journal.attempts.end()) {
    return;
  }
  JournalEntry& entry = found->second;
  if (outcome == JournalOutcome::kNotRun) {
    journal.bytes -= entry.bytes;
    journal.attempts.erase(found);
    return;
  }
  if (outcome != JournalOutcome::kAnswered) {
    return;
  }
  journal.bytes -= entry.bytes;
  entry.response = std::move(response);
  // Half of the budget is reserved for attempts without a response, because a
  // keyed request is refused if its attempt cannot be recorded.
  if (journal.bytes + EntrySize(entry) > journal.byte_budget / 2) {
    entry.response = nullptr;
  }
  entry.bytes = EntrySize(entry);
  journal.bytes += entry.bytes;
}

JournalExcerpt ReadJournal(AttemptJournal& journal,
                           const std::string& endpoint,
                           std::uint64_t owner_incarnation,
                           steady_clock::time_point now) {
  journal.clock = std::max(journal.clock, now);
  RemoveExpiredEntries(journal, journal.attempts);
  RemoveExpiredEntries(journal, journal.fences);
  JournalExcerpt excerpt;
  excerpt.complete =
      journal.clock - journal.started_at >= RecordRetention(journal.times);
  for (const auto& [id, entry] : journal.attempts) {
    // The requesting incarnation has the records of attempts that were sent to
    // it. It must not record an attempt that it refused as unknown.
    if (entry.endpoint == endpoint &&
        entry.owner_incarnation != owner_incarnation) {
      excerpt.entries.push_back(entry);
    }
  }
  for (const auto& [id, entry] : journal.fences) {
    if (entry.endpoint == endpoint) {
      excerpt.entries.push_back(entry);
    }
  }
  return excerpt;
}

// The owner limits the time between the stamp and the arrival of the forwarded
// request. This function limits the time between reading the request and
// receiving the stamp. If the process pauses after this check until the stamp
// is too old, the owner refuses the request.
bool IsStampUsable(const KeyTimes& times,
                   const PauseDetector& pauses,
                   steady_clock::time_point read_at,
                   steady_clock::time_point stamp_received_at,
                   steady_clock::time_point now) {
  if (stamp_received_at <= read_at) {
    return true;
  }
  return !PausedSince(pauses, read_at) && now - read_at <= MaxForwardAge(times);
}

// The other half of the owner's limit is left for the forwarded request to
// arrive.
bool IsStampFresh(const KeyTimes& times,
                  steady_clock::time_point received_at,
                  steady_clock::time_point now) {
  return now - received_at <= MaxForwardAge(times) / 2;
}

}  // namespace comfrey
