#include "core/peer_push.h"

#include <algorithm>
#include <utility>

#include "core/neighbour_selection.h"
#include "core/peer_config.h"
#include "core/peer_rumors.h"
#include "core/peer_send_budget.h"

namespace comfrey {
namespace {

using Time = PeerProtocol::Time;

constexpr std::size_t kMaxPushRumorBytes = 2000;
// Number of neighbours to which a changed record is pushed. With three random
// neighbours per member, pushes reach about 95% of the fleet, and rumors on
// pings reach the rest. Pushes to all 8 neighbours would take almost three
// times the bytes.
constexpr std::size_t kPushFanOut = 3;

// Returns the changed records and announcements. Records that do not fit are
// sent only as rumors.
PushRequest TakeChanges(PeerProtocol& protocol) {
  PushRequest request;
  request.sender = protocol.membership.self;
  const std::size_t limit =
      AvailableSendBytes(protocol, kMaxPushRumorBytes * kPushFanOut) /
      kPushFanOut;
  request.rumors = RecordsWithin(
      protocol.membership,
      {protocol.records_to_push.begin(), protocol.records_to_push.end()},
      limit);
  for (const std::string& team : protocol.teams_to_announce) {
    if (auto subtree = protocol.config.look_up(team)) {
      subtree->value.clear();
      request.subtrees.push_back(std::move(*subtree));
    }
  }
  protocol.records_to_push.clear();
  protocol.teams_to_announce.clear();
  return request;
}

}  // namespace

void PushChanges(PeerProtocol& protocol,
                 std::mt19937_64& rng,
                 std::vector<PeerAction>& actions) {
  if (protocol.records_to_push.empty() && protocol.teams_to_announce.empty()) {
    return;
  }
  if (protocol.neighbours_revision != protocol.membership.live_revision) {
    protocol.neighbours = SelectNeighbours(protocol.membership);
    protocol.neighbours_revision = protocol.membership.live_revision;
  }
  PushRequest request = TakeChanges(protocol);
  if (request.rumors.empty() && request.subtrees.empty()) {
    return;
  }
  std::vector<std::string> targets = protocol.neighbours;
  std::shuffle(targets.begin(), targets.end(), rng);
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const MemberRecord* target = FindMember(protocol.membership, targets[i]);
    if (i == kPushFanOut) {
      request.rumors.clear();
    }
    if (target == nullptr ||
        (request.rumors.empty() && request.subtrees.empty())) {
      continue;
    }
    ConsumeSendTokens(protocol, request);
    actions.emplace_back(SendPush{target->address, request});
  }
}

std::vector<MemberRecord> RecordsWithin(const Membership& membership,
                                        const std::vector<std::string>& names,
                                        std::size_t limit) {
  std::vector<MemberRecord> records;
  std::size_t bytes = 0;
  for (const std::string& name : names) {
    const MemberRecord* record = FindMember(membership, name);
    if (record != nullptr && bytes + EncodedSize(*record) <= limit) {
      bytes += EncodedSize(*record);
      records.push_back(*record);
    }
  }
  return records;
}

PushReply OnPush(PeerProtocol& protocol, const PushRequest& request, Time now) {
  for (const MemberRecord& record : request.rumors) {
    Merge(protocol, record, RecordSource::kRumor, now);
  }
  PushReply reply;
  reply.subtrees = ReceiveSubtrees(protocol, request.subtrees, now);
  return reply;
}

std::vector<PeerAction> OnPushReply(PeerProtocol& protocol,
                                    const std::string& address,
                                    const PushReply& reply) {
  std::vector<PeerAction> actions;
  SendPush push;
  push.address = address;
  push.request.sender = protocol.membership.self;
  push.request.subtrees = LookUpSubtrees(protocol, reply.subtrees);
  if (!push.request.subtrees.empty()) {
    actions.emplace_back(std::move(push));
  }
  return actions;
}

}  // namespace comfrey
