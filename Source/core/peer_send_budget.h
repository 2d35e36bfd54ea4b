#ifndef CORE_PEER_SEND_BUDGET_H_
#define CORE_PEER_SEND_BUDGET_H_

#include <cstddef>

#include "core/peer_message.h"
#include "core/peer_state.h"

namespace comfrey {

/// \brief Bytes per second that a daemon may send for membership.
///
/// A daemon receives as many on average. The sum stays below the budget of
/// 7 KB/s for sent and received bytes with a reserve.
constexpr std::size_t kSendBytesPerSecond = 2500;

/// \brief Fills half of the send tokens of a daemon that starts now.
void StartSendBudget(PeerProtocol& protocol, PeerProtocol::Time now);

void RefillSendTokens(PeerProtocol& protocol, PeerProtocol::Time now);

/// \brief Returns how many bytes may be sent now, at most `limit`.
std::size_t AvailableSendBytes(const PeerProtocol& protocol, std::size_t limit);

/// \brief Subtracts the bytes of a sent message from the send tokens.
void ConsumeSendBytes(PeerProtocol& protocol, std::size_t bytes);

/// \brief Subtracts the size of a sent message from the send tokens.
///
/// Call this before configuration is added to the message. Configuration does
/// not count towards the budget, because its volume depends on the changes by
/// operators and not on the protocol.
template <typename Message>
void ConsumeSendTokens(PeerProtocol& protocol, const Message& message) {
  ConsumeSendBytes(protocol, EncodedSize(message) + kFramingBytes);
}

}  // namespace comfrey

#endif  // CORE_PEER_SEND_BUDGET_H_
