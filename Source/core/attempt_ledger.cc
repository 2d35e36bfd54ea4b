#include "core/attempt_ledger.h"

#include <algorithm>
#include <type_traits>
#include <utility>

#include "xxhash.h"

namespace comfrey {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Estimated size of the map nodes, the expiry entry and the allocation overhead
// of one record.
constexpr std::size_t kRecordOverhead = 320;

std::size_t IdentitySize(const KeyId& key) {
  return key.team.size() + key.service.size() + key.key.size();
}

std::size_t IdentitySize(const AttemptId& attempt) {
  return attempt.ingress.size();
}

// The identity is stored twice: in the record map and in the expiry index.
template <typename Id>
std::size_t BaseSize(const Id& id) {
  return kRecordOverhead + 2 * IdentitySize(id);
}

std::size_t BaseSize(const LedgerRequest& request) {
  return request.key.has_value() ? BaseSize(*request.key)
                                 : BaseSize(request.attempt);
}

template <typename Id>
bool InsertRecord(AttemptLedger& ledger,
                  std::map<Id, LedgerRecord>& records,
                  const Id& id,
                  LedgerRecord record,
                  std::size_t reserve) {
  record.bytes = BaseSize(id) + SizeOf(record.response) + reserve;
  if (ledger.bytes + record.bytes > ledger.limits.byte_budget) {
    return false;
  }
  ledger.bytes += record.bytes;
  records[id] = std::move(record);
  return true;
}

template <typename Id>
void EraseRecord(AttemptLedger& ledger,
                 std::map<Id, LedgerRecord>& records,
                 const Id& id) {
  const auto found = records.find(id);
  if (found == records.end()) {
    return;
  }
  ledger.bytes -= found->second.bytes;
  if constexpr (std::is_same_v<Id, AttemptId>) {
    if (found->second.state == AttemptState::kFenced) {
      ledger.refused_bytes -= found->second.bytes;
    }
  }
  records.erase(found);
}

template <typename Id>
void RemoveExpired(AttemptLedger& ledger,
                   std::map<Id, LedgerRecord>& records,
                   std::multimap<steady_clock::time_point, Id>& expiry) {
  while (!expiry.empty() && expiry.begin()->first < ledger.clock) {
    const Id id = expiry.begin()->second;
    expiry.erase(expiry.begin());
    const auto found = records.find(id);
    // A record that was replaced or whose retention was extended has another,
    // later expiry entry.
    if (found != records.end() && found->second.expires_at < ledger.clock) {
      EraseRecord(ledger, records, id);
    }
  }
}

// A thread may read the clock before another thread and lock the ledger after
// it. With its older time it would accept an expired stamp as recent, so the
// latest time is used.
void AdvanceClock(AttemptLedger& ledger, steady_clock::time_point now) {
  ledger.clock = std::max(ledger.clock, now);
  RemoveExpired(ledger, ledger.keys, ledger.key_expiry);
  RemoveExpired(ledger, ledger.attempts, ledger.attempt_expiry);
}

microseconds StampAge(const AttemptLedger& ledger, const OwnerStamp& stamp) {
  return duration_cast<microseconds>(ledger.clock - ledger.started_at) -
         stamp.uptime;
}

void ScheduleKeyExpiry(AttemptLedger& ledger,
                       const KeyId& key,
                       LedgerRecord& record,
                       milliseconds retention) {
  record.expires_at = ledger.clock + retention;
  ledger.key_expiry.emplace(record.expires_at, key);
}

void ScheduleAttemptExpiry(AttemptLedger& ledger,
                           const AttemptId& attempt,
                           LedgerRecord& record,
                           milliseconds retention) {
  record.expires_at = ledger.clock + retention;
  ledger.attempt_expiry.emplace(record.expires_at, attempt);
}

LedgerDecision DecisionFor(const LedgerRecord& record) {
  switch (record.state) {
    case AttemptState::kFenced:
      return {LedgerAction::kRefuseNotRun, record.refusal, nullptr};
    case AttemptState::kQueued:
    case AttemptState::kRunning:
      return {LedgerAction::kWait, RunRefusal::kNone, nullptr};
    case AttemptState::kDone:
      if (record.response) {
        return {LedgerAction::kRespond, RunRefusal::kNone, record.response};
      }
      return {LedgerAction::kRefuseUnknown, RunRefusal::kResponseNotKept,
              nullptr};
    case AttemptState::kUnknown:
      break;
  }
  return {LedgerAction::kRefuseUnknown, RunRefusal::kOutcomeUnknown, nullptr};
}

// Returns the record of an attempt that was accepted, or nullptr. A request
// with a key has its record under the key, and the record must belong to this
// attempt; a request without one has its record under the attempt id.
LedgerRecord* FindAcceptedRecord(AttemptLedger& ledger,
                                 const LedgerRequest& request) {
  if (request.key.has_value()) {
    const auto found = ledger.keys.find(*request.key);
    return found != ledger.keys.end() &&
                   found->second.state != AttemptState::kFenced &&
                   found->second.attempt == request.attempt
               ? &found->second
               : nullptr;
  }
  const auto found = ledger.attempts.find(request.attempt);
  return found != ledger.attempts.end() &&
                 found->second.state != AttemptState::kFenced
             ? &found->second
             : nullptr;
}

// Returns the record of an accepted attempt in the given state, or nullptr.
LedgerRecord* FindRecordInState(AttemptLedger& ledger,
                                const LedgerRequest& request,
                                AttemptState state) {
  LedgerRecord* record = FindAcceptedRecord(ledger, request);
  return record != nullptr && record->state == state ? record : nullptr;
}

void ScheduleRecordExpiry(AttemptLedger& ledger,
                          const LedgerRequest& request,
                          LedgerRecord& record) {
  const milliseconds retention = RecordRetention(ledger.times);
  if (request.key.has_value()) {
    ScheduleKeyExpiry(ledger, *request.key, record, retention);
  } else {
    ScheduleAttemptExpiry(ledger, request.attempt, record, retention);
  }
}

}  // namespace

// An owner with an old configuration may still run a key under a superseded
// version for this long after a newer version was published.
milliseconds MaxConfirmationAge(const KeyTimes& times) {
  return times.key_retention / 4;
}

milliseconds MaxForwardAge(const KeyTimes& times) {
  return times.key_retention / 8;
}

// A caller may repeat a key until key_retention after it first sent the key.
// The ingress may use a stamp that it received up to one MaxForwardAge after it
// read the repeated request. The forwarded request may arrive up to another
// MaxForwardAge later. If records were kept for key_retention only, the record
// would already be removed at that time.
milliseconds RecordRetention(const KeyTimes& times) {
  return times.key_retention + 2 * MaxForwardAge(times);
}

// An owner with an old configuration decides to run a key at the latest one
// MaxConfirmationAge after the phase began. The phase then lasts until no
// repeat of that key can arrive. The next phase is therefore safe even if that
// owner pauses between the decision and the execution.
milliseconds MinKeyPhaseDuration(const KeyTimes& times) {
  return MaxConfirmationAge(times) + RecordRetention(times);
}

std::uint64_t HashRequest(std::string_view method,
                          std::string_view path,
                          std::string_view body) {
  std::uint64_t hash = 0;
  for (const std::string_view field : {method, path, body}) {
    hash = XXH64(field.data(), field.size(), hash);
  }
  return hash;
}

std::string_view RunRefusalName(RunRefusal refusal) {
  switch (refusal) {
    case RunRefusal::kNone:
      return "none";
    case RunRefusal::kIncarnation:
      return "sent for another owner incarnation";
    case RunRefusal::kStaleForward:
      return "owner stamp too old";
    case RunRefusal::kFenced:
      return "fenced";
    case RunRefusal::kCancelled:
      return "removed from the queue";
    case RunRefusal::kOtherRequest:
      return "key was used for a different request";
    case RunRefusal::kNotHome:
      return "not the home of the key";
    case RunRefusal::kRecovering:
      return "ledger not recovered";
    case RunRefusal::kNotFencedByFormerHome:
      return "key not released by a former home";
    case RunRefusal::kConfigUnconfirmed:
      return "configuration not confirmed";
    case RunRefusal::kLedgerFull:
      return "ledger full";
    case RunRefusal::kOutcomeUnknown:
      return "outcome unknown";
    case RunRefusal::kResponseNotKept:
      return "response not kept";
  }
  return "invalid";
}

AttemptLedger MakeAttemptLedger(const KeyTimes& times,
                                const LedgerLimits& limits,
                                std::uint64_t incarnation,
                                steady_clock::time_point now) {
  AttemptLedger ledger;
  ledger.times = times;
  ledger.limits = limits;
  ledger.incarnation = incarnation;
  ledger.started_at = now;
  ledger.clock = now;
  return ledger;
}

OwnerStamp CurrentStamp(const AttemptLedger& ledger,
                        steady_clock::time_point now) {
  return {ledger.incarnation,
          duration_cast<microseconds>(std::max(now, ledger.clock) -
                                      ledger.started_at)};
}

std::optional<LedgerDecision> LookUpAttempt(AttemptLedger& ledger,
                                            const LedgerRequest& request,
                                            const PlacementVersion& version,
                                            steady_clock::time_point now) {
  AdvanceClock(ledger, now);
  if (request.stamp.incarnation != ledger.incarnation) {
    // A duplicate may have reached the incarnation in the stamp, so the outcome
    // is unknown. No incarnation runs an attempt whose stamp has incarnation 0.
    return LedgerDecision{request.stamp.incarnation == 0
                              ? LedgerAction::kRefuseNotRun
                              : LedgerAction::kRefuseUnknown,
                          RunRefusal::kIncarnation, nullptr};
  }
  const auto attempt = ledger.attempts.find(request.attempt);
  if (attempt != ledger.attempts.end()) {
    return DecisionFor(attempt->second);
  }
  if (request.key.has_value()) {
    const auto key = ledger.keys.find(*request.key);
    if (key != ledger.keys.end()) {
      const LedgerRecord& record = key->second;
      if (record.state == AttemptState::kFenced) {
        if (!(record.fenced_for < version)) {
          return DecisionFor(record);
        }
      } else if (record.hash_known &&
                 record.request_hash != request.request_hash) {
        return LedgerDecision{LedgerAction::kRefuseNotRun,
                              RunRefusal::kOtherRequest, nullptr};
      } else {
        return DecisionFor(record);
      }
    }
  }
  const microseconds age = StampAge(ledger, request.stamp);
  if (age > MaxForwardAge(ledger.times) || age < microseconds(0) ||
      request.stamp.uptime <= ledger.max_refused_uptime) {
    // If the attempt had run, its record would be kept for RecordRetention.
    // Within that time a missing record shows that it did not run.
    return LedgerDecision{age < RecordRetention(ledger.times)
                              ? LedgerAction::kRefuseNotRun
                              : LedgerAction::kRefuseUnknown,
                          RunRefusal::kStaleForward, nullptr};
  }
  return std::nullopt;
}

LedgerDecision BeginAttempt(AttemptLedger& ledger,
                            const LedgerRequest& request,
                            const PlacementVersion& version,
                            steady_clock::time_point now) {
  const std::optional<LedgerDecision> known =
      LookUpAttempt(ledger, request, version, now);
  if (known.has_value()) {
    return *known;
  }
  LedgerRecord record;
  record.state = AttemptState::kQueued;
  record.attempt = request.attempt;
  record.request_hash = request.request_hash;
  record.expires_at = steady_clock::time_point::max();
  bool recorded = false;
  if (request.key.has_value()) {
    // The fence that the new record replaces is restored if the budget has no
    // space for the record.
    const auto fence = ledger.keys.find(*request.key);
    std::optional<LedgerRecord> replaced;
    if (fence != ledger.keys.end()) {
      replaced = fence->second;
      EraseRecord(ledger, ledger.keys, *request.key);
    }
    recorded = InsertRecord(ledger, ledger.keys, *request.key,
                            std::move(record), ledger.limits.response_reserve);
    if (!recorded && replaced.has_value()) {
      ledger.bytes += replaced->bytes;
      ledger.keys[*request.key] = *replaced;
    }
  } else {
    recorded = InsertRecord(ledger, ledger.attempts, request.attempt,
                            std::move(record), 0);
  }
  if (!recorded) {
    RefuseAttempt(ledger, request, RunRefusal::kLedgerFull, now);
    return {LedgerAction::kRefuseNotRun, RunRefusal::kLedgerFull, nullptr};
  }
  return {LedgerAction::kRun, RunRefusal::kNone, nullptr};
}

bool StartAttempt(AttemptLedger& ledger,
                  const LedgerRequest& request,
                  steady_clock::time_point now) {
  AdvanceClock(ledger, now);
  LedgerRecord* record =
      FindRecordInState(ledger, request, AttemptState::kQueued);
  if (record == nullptr) {
    return false;
  }
  record->state = AttemptState::kRunning;
  return true;
}

void FinishAttempt(AttemptLedger& ledger,
                   const LedgerRequest& request,
                   DeliverableResponse response,
                   steady_clock::time_point now) {
  AdvanceClock(ledger, now);
  LedgerRecord* record =
      FindRecordInState(ledger, request, AttemptState::kRunning);
  if (record == nullptr) {
    return;
  }
  const std::size_t base = BaseSize(request);
  // Without a key, a stored response is used only if the reply to the ingress
  // was lost. Such responses are therefore limited to half of the budget, and
  // the rest is left to keys.
  const std::size_t budget = request.key.has_value()
                                 ? ledger.limits.byte_budget
                                 : ledger.limits.byte_budget / 2;
  ledger.bytes -= record->bytes;
  record->bytes = base + SizeOf(response);
  if (ledger.bytes + record->bytes > budget) {
    record->bytes = base;
    response = nullptr;
  }
  ledger.bytes += record->bytes;
  record->state = AttemptState::kDone;
  record->response = std::move(response);
  ScheduleRecordExpiry(ledger, request, *record);
}

void MarkOutcomeUnknown(AttemptLedger& ledger,
                        const LedgerRequest& request,
                        steady_clock::time_point now) {
  AdvanceClock(ledger, now);
  LedgerRecord* record =
      FindRecordInState(ledger, request, AttemptState::kRunning);
  if (record == nullptr) {
    return;
  }
  const std::size_t base = BaseSize(request);
  ledger.bytes -= record->bytes - base;
  record->bytes = base;
  record->state = AttemptState::kUnknown;
  ScheduleRecordExpiry(ledger, request, *record);
}

bool RefuseAttempt(AttemptLedger& ledger,
                   const LedgerRequest& request,
                   RunRefusal reason,
                   steady_clock::time_point now) {
  AdvanceClock(ledger, now);
  if (request.stamp.incarnation != ledger.incarnation) {
    return request.stamp.incarnation == 0;
  }
  LedgerRecord* accepted = FindAcceptedRecord(ledger, request);
  if (accepted != nullptr) {
    if (accepted->state != AttemptState::kQueued) {
      return false;
    }
    if (request.key.has_value()) {
      EraseRecord(ledger, ledger.keys, *request.key);
    } else {
      EraseRecord(ledger, ledger.attempts, request.attempt);
    }
  }
  if (ledger.attempts.count(request.attempt) > 0) {
    return true;
  }
  LedgerRecord record;
  record.state = AttemptState::kFenced;
  record.attempt = request.attempt;
  record.refusal = reason;
  const std::size_t size = BaseSize(request.attempt);
  // Refused attempts are limited to a quarter of the budget, so that many of
  // them do not use up the space for new keys.
  if (ledger.refused_bytes + size <= ledger.limits.byte_budget / 4 &&
      InsertRecord(ledger, ledger.attempts, request.attempt, std::move(record),
                   0)) {
    ledger.refused_bytes += size;
    // After this time, a duplicate of the attempt is refused because its stamp
    // is too old.
    ScheduleAttemptExpiry(ledger, request.attempt,
                          ledger.attempts[request.attempt],
                          MaxForwardAge(ledger.times));
  } else {
    // Without space for the record, all attempts that have no record and whose
    // stamp is not newer are refused, so that a duplicate of this one cannot
    // run.
    ledger.max_refused_uptime =
        std::max(ledger.max_refused_uptime, request.stamp.uptime);
  }
  return true;
}

AttemptFenceReply FenceAttempt(AttemptLedger& ledger,
                               const LedgerRequest& request,
                               steady_clock::time_point now) {
  AdvanceClock(ledger, now);
  if (request.stamp.incarnation != ledger.incarnation) {
    return {request.stamp.incarnation == 0 ? AttemptState::kFenced
                                           : AttemptState::kUnknown,
            nullptr};
  }
  const LedgerRecord* known = nullptr;
  const auto attempt = ledger.attempts.find(request.attempt);
  if (attempt != ledger.attempts.end()) {
    known = &attempt->second;
  } else if (request.key.has_value()) {
    const auto key = ledger.keys.find(*request.key);
    // If the key was used for a different request, this attempt cannot run, and
    // the response of that request must not be returned.
    if (key != ledger.keys.end() &&
        (!key->second.hash_known ||
         key->second.request_hash == request.request_hash)) {
      known = &key->second;
    }
  }
  if (known != nullptr) {
    switch (known->state) {
      case AttemptState::kFenced:
        break;
      case AttemptState::kQueued:
        if (known->attempt == request.attempt) {
          break;
        }
        return {AttemptState::kRunning, nullptr};
      case AttemptState::kRunning:
        return {AttemptState::kRunning, nullptr};
      case AttemptState::kDone:
        return {AttemptState::kDone, known->response};
      case AttemptState::kUnknown:
        return {AttemptState::kUnknown, nullptr};
    }
  } else if (StampAge(ledger, request.stamp) >= RecordRetention(ledger.times)) {
    return {AttemptState::kUnknown, nullptr};
  }
  if (!RefuseAttempt(ledger, request, RunRefusal::kFenced, now)) {
    return {AttemptState::kUnknown, nullptr};
  }
  return {AttemptState::kFenced, nullptr};
}

KeyFenceReply FenceKey(AttemptLedger& ledger,
                       const KeyId& key,
                       const PlacementVersion& version,
                       steady_clock::time_point now) {
  AdvanceClock(ledger, now);
  const auto found = ledger.keys.find(key);
  if (found != ledger.keys.end()) {
    LedgerRecord& record = found->second;
    switch (record.state) {
      case AttemptState::kFenced:
        record.fenced_for = std::max(record.fenced_for, version);
        ScheduleKeyExpiry(ledger, key, record, RecordRetention(ledger.times));
        return {KeyFenceState::kFenced, nullptr, 0};
      case AttemptState::kRunning:
      case AttemptState::kUnknown:
        return {KeyFenceState::kUnknown, nullptr, record.request_hash};
      case AttemptState::kDone:
        return {record.response ? KeyFenceState::kRan : KeyFenceState::kUnknown,
                record.response, record.request_hash};
      case AttemptState::kQueued: {
        LedgerRequest queued;
        queued.attempt = record.attempt;
        queued.key = key;
        queued.stamp = CurrentStamp(ledger, now);
        RefuseAttempt(ledger, queued, RunRefusal::kFenced, now);
        break;
      }
    }
  }
  LedgerRecord fence;
  fence.state = AttemptState::kFenced;
  fence.refusal = RunRefusal::kFenced;
  fence.fenced_for = version;
  if (!InsertRecord(ledger, ledger.keys, key, std::move(fence), 0)) {
    return {KeyFenceState::kUndecidable, nullptr, 0};
  }
  ScheduleKeyExpiry(ledger, key, ledger.keys[key],
                    RecordRetention(ledger.times));
  return {KeyFenceState::kFenced, nullptr, 0};
}

bool MergeKeyRecord(AttemptLedger& ledger,
                    const KeyId& key,
                    const LedgerRecord& record,
                    steady_clock::time_point now) {
  AdvanceClock(ledger, now);
  LedgerRecord entry = record;
  const auto found = ledger.keys.find(key);
  if (found != ledger.keys.end()) {
    LedgerRecord& present = found->second;
    if (present.state == AttemptState::kFenced) {
      if (entry.state == AttemptState::kFenced) {
        present.fenced_for = std::max(present.fenced_for, entry.fenced_for);
        ScheduleKeyExpiry(ledger, key, present, RecordRetention(ledger.times));
        return true;
      }
    } else if (present.state == AttemptState::kUnknown &&
               entry.state != AttemptState::kFenced) {
      if (entry.state == AttemptState::kUnknown) {
        // If the hashes differ, only one of the two requests ran under the key,
        // and the journals do not show which one.
        present.hash_known = present.hash_known && entry.hash_known &&
                             present.request_hash == entry.request_hash;
        ScheduleKeyExpiry(ledger, key, present, RecordRetention(ledger.times));
        return true;
      }
    } else {
      return true;
    }
    const LedgerRecord replaced = present;
    EraseRecord(ledger, ledger.keys, key);
    if (!InsertRecord(ledger, ledger.keys, key, std::move(entry), 0)) {
      ledger.bytes += replaced.bytes;
      ledger.keys[key] = replaced;
      return false;
    }
  } else if (!InsertRecord(ledger, ledger.keys, key, std::move(entry), 0)) {
    return false;
  }
  ScheduleKeyExpiry(ledger, key, ledger.keys[key],
                    RecordRetention(ledger.times));
  return true;
}

void RemoveExpiredRecords(AttemptLedger& ledger, steady_clock::time_point now) {
  AdvanceClock(ledger, now);
}

}  // namespace comfrey
