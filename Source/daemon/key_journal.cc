#include "daemon/key_journal.h"

#include <algorithm>
#include <utility>

#include "daemon/message_conversion.h"

namespace comfrey {
namespace {

// Part of the memory limit of 32 MB for a daemon.
constexpr std::size_t kJournalByteBudget = std::size_t{4} << 20;

}  // namespace

KeyJournal::KeyJournal(TimePoint started_at)
    : started_at(started_at),
      journal(MakeAttemptJournal(KeyTimes(), kJournalByteBudget, started_at)) {}

void KeyJournal::ApplyConfig(const ConfigStore& store) {
  std::chrono::microseconds longest{0};
  for (const auto& [team, subtree] : store.subtrees) {
    for (const ServiceConfig& service : subtree->config->services) {
      longest = std::max(longest, service.key_retention);
    }
  }
  if (longest.count() == 0) {
    return;
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->journal.times.key_retention =
      std::chrono::duration_cast<std::chrono::milliseconds>(longest);
}

bool KeyJournal::RecordKeyedAttempt(const std::string& endpoint,
                                    const LedgerRequest& request,
                                    TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return RecordAttempt(this->journal, endpoint, request, now);
}

bool KeyJournal::RecordKeyFenceCall(const std::string& endpoint,
                                    const KeyId& key,
                                    const PlacementVersion& version,
                                    TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return RecordKeyFence(this->journal, endpoint, key, version, now);
}

void KeyJournal::RecordAttemptOutcome(const AttemptId& attempt,
                                      JournalOutcome outcome,
                                      DeliverableResponse response,
                                      TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  RecordOutcome(this->journal, attempt, outcome, std::move(response), now);
}

rpc::RecoverKeysReply KeyJournal::Read(const rpc::RecoverKeysRequest& request,
                                       TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const JournalExcerpt excerpt = ReadJournal(this->journal, request.endpoint(),
                                             request.owner_incarnation(), now);
  rpc::RecoverKeysReply reply;
  reply.set_complete(excerpt.complete);
  reply.set_uptime_us(std::chrono::duration_cast<std::chrono::microseconds>(
                          now - this->started_at)
                          .count());
  for (const JournalEntry& entry : excerpt.entries) {
    ToProto(entry, *reply.add_entries());
  }
  return reply;
}

void KeyJournal::ObserveTime() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  ObserveClocks(this->pauses, std::chrono::steady_clock::now(),
                std::chrono::system_clock::now());
}

bool KeyJournal::MaySendWithStamp(std::chrono::microseconds retention,
                                  TimePoint read_at,
                                  TimePoint stamp_received_at) {
  KeyTimes times;
  times.key_retention =
      std::chrono::duration_cast<std::chrono::milliseconds>(retention);
  const std::lock_guard<std::mutex> lock(this->mutex);
  const TimePoint now = std::chrono::steady_clock::now();
  ObserveClocks(this->pauses, now, std::chrono::system_clock::now());
  return IsStampUsable(times, this->pauses, read_at, stamp_received_at, now);
}

}  // namespace comfrey
