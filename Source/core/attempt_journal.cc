#include "core/attempt_journal.h"

#include <algorithm>

namespace comfrey {
namespace {

using std::chrono::steady_clock;

constexpr std::size_t kEntryOverhead = 320;

std::size_t EntrySize(const JournalEntry& entry) {
  std::size_t size = kEntryOverhead + 2 * entry.endpoint.size() +
                     2 * entry.attempt.ingress.size() + entry.key.team.size() +
                     entry.key.service.size() + entry.key.key.size();
  if (entry.response != nullptr) {
    size += sizeof(HttpResponse) + entry.response->body.size();
    for (const HttpHeader& header : entry.response->headers) {
      size += sizeof(HttpHeader) + header.name.size() + header.value.size();
    }
  }
  return size;
}

template <typename Id>
void Expire(AttemptJournal& journal, std::map<Id, JournalEntry>& entries) {
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
    // Entries are searched for expired ones only where space is short.
    Expire(journal, entries);
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

// The ledger of a former home holds the fence only in memory. If it restarts
// with an older configuration and without the fence, it runs the key again.
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
                   ResponsePtr response,
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
  if (outcome != JournalOutcome::kResponded) {
    return;
  }
  journal.bytes -= entry.bytes;
  entry.response = std::move(response);
  // Responses leave half of the budget to attempts: without space for its
  // attempt, a keyed request is refused.
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
  Expire(journal, journal.attempts);
  Expire(journal, journal.fences);
  JournalExcerpt excerpt;
  excerpt.complete =
      journal.clock - journal.started_at >= RecordRetention(journal.times);
  for (const auto& [id, entry] : journal.attempts) {
    // The incarnation that asks holds the records of its own attempts; one
    // that it refused must not be entered as unknown.
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

// The owner bounds the time between the stamp and the arrival of the forward;
// this bounds the time between reading the request and the stamp. A process
// that pauses after this check sends a forward whose stamp is too old.
bool StampUsable(const KeyTimes& times,
                 const PauseDetector& pauses,
                 steady_clock::time_point read_at,
                 steady_clock::time_point stamp_received_at,
                 steady_clock::time_point now) {
  if (stamp_received_at <= read_at) {
    return true;
  }
  return !PausedSince(pauses, read_at) && now - read_at <= MaxForwardAge(times);
}

// Half of the limit of the owner is left for the forward to arrive.
bool IsStampFresh(const KeyTimes& times,
                  steady_clock::time_point received_at,
                  steady_clock::time_point now) {
  return now - received_at <= MaxForwardAge(times) / 2;
}

}  // namespace comfrey
