#ifndef CORE_PEER_RUMORS_H_
#define CORE_PEER_RUMORS_H_

#include <cstdint>
#include <vector>

#include "core/peer_message.h"
#include "core/peer_state.h"

namespace comfrey {

/// \brief Kind of message in which a record was received.
enum class RecordSource : std::uint8_t { kRumor, kExchange };

/// \brief Merges a received record and queues it for the other members.
/// Returns whether it changed the view.
bool Merge(PeerProtocol& protocol,
           const MemberRecord& record,
           RecordSource source,
           PeerProtocol::Time now);

/// \brief Adds queued rumors that `rumors` does not contain yet, within the
/// send budget.
void AttachRumors(PeerProtocol& protocol, std::vector<MemberRecord>& rumors);

/// \brief Queues a record for rumors, and for the pushes of the next tick.
void SpreadUrgently(PeerProtocol& protocol, const std::string& name);

}  // namespace comfrey

#endif  // CORE_PEER_RUMORS_H_
