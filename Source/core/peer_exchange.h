#ifndef CORE_PEER_EXCHANGE_H_
#define CORE_PEER_EXCHANGE_H_

#include <chrono>
#include <random>
#include <string>
#include <vector>

#include "core/peer_message.h"
#include "core/peer_state.h"

namespace comfrey {

/// \brief Period of the exchanges while records remain to be exchanged.
constexpr std::chrono::milliseconds kExchangeRetry{2000};

/// \brief Schedules the first exchange.
void StartExchanges(PeerProtocol& protocol,
                    PeerProtocol::Time now,
                    std::mt19937_64& rng);

/// \brief Schedules an exchange with a member no later than at the given time.
void ScheduleExchange(PeerProtocol& protocol,
                      const std::string& address,
                      PeerProtocol::Time at);

/// \brief Starts the next exchange if it is due.
void SendDueExchange(PeerProtocol& protocol,
                     PeerProtocol::Time now,
                     std::mt19937_64& rng,
                     std::vector<PeerAction>& actions);

ExchangeReply OnExchange(PeerProtocol& protocol,
                         const ExchangeRequest& request,
                         PeerProtocol::Time now,
                         std::mt19937_64& rng);
std::vector<PeerAction> OnExchangeReply(PeerProtocol& protocol,
                                        const std::string& address,
                                        const ExchangeReply& reply,
                                        PeerProtocol::Time now);

}  // namespace comfrey

#endif  // CORE_PEER_EXCHANGE_H_
