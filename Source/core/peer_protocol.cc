#include "core/peer_protocol.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/membership.h"
#include "core/rumor_buffer.h"

namespace comfrey {
namespace {

using Time = PeerProtocol::Time;
using std::chrono::milliseconds;

// A longer time between two ticks is treated as a pause of this process.
constexpr milliseconds kPauseLimit{2000};

void ResumeAfterPause(PeerProtocol& protocol, Time now) {
  // Replies that arrived during the pause look like timeouts, and a suspicion
  // could not be refuted during the pause. Discard the open probes, and extend
  // the suspicions by the length of the pause.
  ++protocol.statistics.pauses;
  ShiftChangeTimes(protocol.membership, now - protocol.last_tick);
  protocol.probes.clear();
  protocol.next_exchange = std::min(protocol.next_exchange, now);
}

}  // namespace

PeerProtocol MakePeerProtocol(MemberRecord self,
                              PeerSettings settings,
                              ConfigAccess config,
                              Time now,
                              std::mt19937_64& rng) {
  PeerProtocol protocol;
  NormalizeStatuses(self.endpoints, self.address);
  protocol.settings = std::move(settings);
  protocol.config = std::move(config);
  protocol.membership = MakeMembership(std::move(self), now);
  protocol.started = now;
  protocol.last_tick = now;
  StartSendBudget(protocol, now);
  StartProbing(protocol, now, rng);
  StartExchanges(protocol, now, rng);
  StartPublications(protocol, now);
  AddRumor(protocol.rumors, protocol.membership.self, MergeResult::kNormal);
  return protocol;
}

std::vector<PeerAction> Tick(PeerProtocol& protocol,
                             Time now,
                             std::mt19937_64& rng) {
  if (now - protocol.last_tick > kPauseLimit) {
    ResumeAfterPause(protocol, now);
  }
  protocol.last_tick = now;
  if (protocol.membership.replaced) {
    // Another process with a newer incarnation has replaced this daemon.
    return {};
  }
  RefillSendTokens(protocol, now);
  CheckSuspicions(protocol, now);
  PublishPending(protocol, now);
  std::vector<PeerAction> actions;
  PushChanges(protocol, rng, actions);
  SendDuePings(protocol, now, rng, actions);
  SendDueExchange(protocol, now, rng, actions);
  PullConfig(protocol, now, actions);
  return actions;
}

}  // namespace comfrey
