#include "core/peer_rumors.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "core/membership.h"
#include "core/peer_exchange.h"
#include "core/peer_send_budget.h"
#include "core/rumor_buffer.h"

namespace comfrey {
namespace {

using Time = PeerProtocol::Time;

// With fewer send tokens than this, only urgent rumors are attached to pings.
// An exchange transfers each record once, while a rumor is transferred several
// times. When a whole fleet starts, rumors would otherwise leave no budget for
// exchanges.
constexpr double kExchangeReserveBytes = 6000;
constexpr std::size_t kMaxPingRumorBytes = 1000;

// With more pending rumors than this, a refutation is not urgent. When all
// refutations were urgent, those of 100 members after a partition used up the
// send budget, and the views took 77 s to converge.
constexpr std::size_t kRumorBacklogLimit = 20;

}  // namespace

bool Merge(PeerProtocol& protocol,
           const MemberRecord& record,
           RecordSource source,
           Time now) {
  const MemberRecord* held = FindMember(protocol.membership, record.name);
  const bool was_dead = held != nullptr && IsDead(*held);
  // `MergeRecord` treats the death of a member without a claim as a suspicion.
  // Such a death is not passed on: each receiver would ping the member itself,
  // and after a partition there are many such deaths.
  const bool unconfirmed =
      held != nullptr && IsDead(record) && !HasClaim(*held);
  MergeResult result = MergeRecord(protocol.membership, record, now);
  if (result == MergeResult::kRefuted) {
    result = protocol.rumors.rumors.size() > kRumorBacklogLimit
                 ? MergeResult::kNormal
                 : MergeResult::kUrgent;
  }
  if (result == MergeResult::kIgnored) {
    return false;
  }
  if (result == MergeResult::kDuplicate) {
    CountDuplicate(protocol.rumors, record.name);
    return false;
  }
  if (record.name == protocol.membership.self) {
    ++protocol.statistics.refutations;
  }
  // A record that was received in an exchange is not sent as a rumor unless it
  // is urgent, since the other members also receive it in exchanges. A partial
  // record is of use only to its receiver.
  if ((source == RecordSource::kRumor || result == MergeResult::kUrgent) &&
      !IsPartialRecord(record) && !unconfirmed) {
    AddRumor(protocol.rumors, record.name, result);
  }
  if (result == MergeResult::kUrgent) {
    protocol.records_to_push.insert(record.name);
  }
  if (was_dead && IsLive(record)) {
    ScheduleExchange(protocol, record.address, now + kExchangeRetry);
  }
  return true;
}

void AttachRumors(PeerProtocol& protocol, std::vector<MemberRecord>& rumors) {
  // If many urgent rumors are pending and few send tokens are left, leave the
  // records to exchanges, which transfer each record only once.
  const auto urgent = std::count_if(
      protocol.rumors.rumors.begin(), protocol.rumors.rumors.end(),
      [](const auto& r) { return r.second.urgency == MergeResult::kUrgent; });
  if (protocol.send_tokens<kExchangeReserveBytes&& static_cast<std::size_t>(
          urgent)> kRumorBacklogLimit) {
    return;
  }
  std::vector<MemberRecord> taken = TakeRumors(
      protocol.rumors, protocol.membership,
      protocol.send_tokens < kExchangeReserveBytes ? MergeResult::kUrgent
                                                   : MergeResult::kBackground,
      AvailableSendBytes(protocol, kMaxPingRumorBytes));
  for (MemberRecord& record : taken) {
    const bool present = std::any_of(
        rumors.begin(), rumors.end(),
        [&](const MemberRecord& r) { return r.name == record.name; });
    if (!present) {
      rumors.push_back(std::move(record));
    }
  }
}

void SpreadUrgently(PeerProtocol& protocol, const std::string& name) {
  AddRumor(protocol.rumors, name, MergeResult::kUrgent);
  protocol.records_to_push.insert(name);
}

}  // namespace comfrey
