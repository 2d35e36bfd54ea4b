#ifndef CORE_PEER_CONFIG_H_
#define CORE_PEER_CONFIG_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/peer_message.h"
#include "core/peer_state.h"

namespace comfrey {

/// \brief Announces a team's configuration that this daemon read from the
/// configuration service and that took effect.
void OnLocalConfigChange(PeerProtocol& protocol, const std::string& team);

/// \brief Records that this daemon reached the configuration service.
void OnConfigContact(PeerProtocol& protocol, PeerProtocol::Time now);

/// \brief Records the age of a contact with the configuration service that
/// another daemon reported; a negative age means that it knows of none.
void UpdateConfigContact(PeerProtocol& protocol,
                         std::chrono::microseconds age,
                         PeerProtocol::Time now);

/// \brief Returns the time since the newest known contact with the
/// configuration service, or -1 us if none is known.
std::chrono::microseconds ConfigAge(const PeerProtocol& protocol,
                                    PeerProtocol::Time now);

/// \brief Records the configuration digest of a member that answered a ping.
void ConfirmConfig(PeerProtocol& protocol,
                   const std::string& peer,
                   std::uint64_t digest);

/// \brief Returns whether too few members have reported the same configuration
/// digest as this daemon's since its start.
bool NeedsConfigConfirmation(const PeerProtocol& protocol);

/// \brief Schedules a pull from a member that reported a different
/// configuration digest.
void ScheduleConfigPull(PeerProtocol& protocol,
                        const std::string& peer,
                        std::uint64_t digest,
                        PeerProtocol::Time now);

/// \brief Performs the scheduled pull if it is due.
void PullConfig(PeerProtocol& protocol,
                PeerProtocol::Time now,
                std::vector<PeerAction>& actions);

void ApplyToStore(PeerProtocol& protocol, const SubtreeValue& subtree);

/// \brief Adds the values that the requester lacks to the reply, and requests
/// those that this daemon lacks.
void CompareSubtrees(const PeerProtocol& protocol,
                     const ExchangeRequest& request,
                     ExchangeReply& reply);

/// \brief Applies pushed values, and returns the versions that this daemon
/// holds of the announced teams whose values it requests.
std::vector<AnnouncedVersion> ReceiveSubtrees(
    PeerProtocol& protocol,
    const std::vector<SubtreeValue>& subtrees,
    PeerProtocol::Time now);

/// \brief Returns the values of the wanted teams, up to the size limit of a
/// message.
std::vector<SubtreeValue> LookUpSubtrees(
    const PeerProtocol& protocol,
    const std::vector<AnnouncedVersion>& wanted);

}  // namespace comfrey

#endif  // CORE_PEER_CONFIG_H_
