#ifndef CORE_PEER_PUSH_H_
#define CORE_PEER_PUSH_H_

#include <cstddef>
#include <random>
#include <string>
#include <vector>

#include "core/membership.h"
#include "core/peer_message.h"
#include "core/peer_state.h"

namespace comfrey {

/// \brief Pushes changed records and announces changed configuration to the
/// neighbours.
void PushChanges(PeerProtocol& protocol,
                 std::mt19937_64& rng,
                 std::vector<PeerAction>& actions);

/// \brief Returns the held records of the named members that together fit into
/// `limit` bytes.
std::vector<MemberRecord> RecordsWithin(const Membership& membership,
                                        const std::vector<std::string>& names,
                                        std::size_t limit);

PushReply OnPush(PeerProtocol& protocol,
                 const PushRequest& request,
                 PeerProtocol::Time now);
std::vector<PeerAction> OnPushReply(PeerProtocol& protocol,
                                    const std::string& address,
                                    const PushReply& reply);

}  // namespace comfrey

#endif  // CORE_PEER_PUSH_H_
