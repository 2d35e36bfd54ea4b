#include "core/peer_send_budget.h"

#include <algorithm>
#include <chrono>

namespace comfrey {
namespace {

using Time = PeerProtocol::Time;

// Capacity of the send token bucket. It lets a joining daemon send and answer a
// few full messages at once. Averaged over a minute, it adds 200 B/s.
constexpr double kSendBurstBytes = 12'000;
// Replies to pings are sent regardless of the budget, so that the number of
// send tokens can become negative, down to this limit. A seed that has replied
// to a whole fleet sends less until the deficit is refilled.
constexpr double kMaxSendDeficitBytes = 50'000;

}  // namespace

void StartSendBudget(PeerProtocol& protocol, Time now) {
  protocol.send_tokens_refilled_at = now;
  protocol.send_tokens = kSendBurstBytes / 2;
}

void RefillSendTokens(PeerProtocol& protocol, Time now) {
  const std::chrono::duration<double> elapsed =
      now - protocol.send_tokens_refilled_at;
  protocol.send_tokens_refilled_at = now;
  protocol.send_tokens =
      std::min(kSendBurstBytes,
               protocol.send_tokens + elapsed.count() * kSendBytesPerSecond);
}

std::size_t AvailableSendBytes(const PeerProtocol& protocol,
                               std::size_t limit) {
  if (protocol.send_tokens <= 0) {
    return 0;
  }
  return std::min(limit, static_cast<std::size_t>(protocol.send_tokens));
}

void ConsumeSendBytes(PeerProtocol& protocol, std::size_t bytes) {
  protocol.send_tokens = std::max(
      -kMaxSendDeficitBytes, protocol.send_tokens - static_cast<double>(bytes));
}

}  // namespace comfrey
