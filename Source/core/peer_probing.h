#ifndef CORE_PEER_PROBING_H_
#define CORE_PEER_PROBING_H_

#include <cstdint>
#include <random>
#include <vector>

#include "core/peer_message.h"
#include "core/peer_state.h"

namespace comfrey {

/// \brief Schedules the first pings.
void StartProbing(PeerProtocol& protocol,
                  PeerProtocol::Time now,
                  std::mt19937_64& rng);

/// \brief Declares suspects dead whose suspicion has timed out, and selects the
/// suspects to ping.
void CheckSuspicions(PeerProtocol& protocol, PeerProtocol::Time now);

/// \brief Sends the pings that are due to suspects, to the next member of the
/// round, to a dead member and to a seed.
void SendDuePings(PeerProtocol& protocol,
                  PeerProtocol::Time now,
                  std::mt19937_64& rng,
                  std::vector<PeerAction>& actions);

PingReply OnPing(PeerProtocol& protocol,
                 const PingRequest& request,
                 PeerProtocol::Time now,
                 std::mt19937_64& rng);
void OnPingReply(PeerProtocol& protocol,
                 std::uint64_t probe,
                 const PingReply& reply,
                 PeerProtocol::Time now);
std::vector<PeerAction> OnPingTimeout(PeerProtocol& protocol,
                                      std::uint64_t probe,
                                      PeerProtocol::Time now,
                                      std::mt19937_64& rng);

/// \brief Returns the ping to send to the target on behalf of the requester.
///
/// The caller sends the result to the requester and also passes a reply to
/// `OnPingReply`. A timeout needs no call of `OnPingTimeout`.
SendPing OnPingThrough(PeerProtocol& protocol,
                       const PingThroughRequest& request,
                       PeerProtocol::Time now);
void OnPingThroughReply(PeerProtocol& protocol,
                        std::uint64_t probe,
                        const PingThroughReply& reply,
                        PeerProtocol::Time now);
void OnPingThroughTimeout(PeerProtocol& protocol,
                          std::uint64_t probe,
                          PeerProtocol::Time now);

}  // namespace comfrey

#endif  // CORE_PEER_PROBING_H_
