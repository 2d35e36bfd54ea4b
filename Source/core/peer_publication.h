#ifndef CORE_PEER_PUBLICATION_H_
#define CORE_PEER_PUBLICATION_H_

#include <vector>

#include "core/peer_message.h"
#include "core/peer_state.h"

namespace comfrey {

/// \brief Fills the publication tokens of a daemon that starts now.
void StartPublications(PeerProtocol& protocol, PeerProtocol::Time now);

/// \brief Brings statuses into the form and order in which they are published.
void NormalizeStatuses(std::vector<EndpointStatus>& statuses,
                       const std::string& address);

/// \brief Publishes the pending statuses if the rate limits permit it.
void PublishPending(PeerProtocol& protocol, PeerProtocol::Time now);

/// \brief Sets the statuses of all endpoints of this daemon; call it after each
/// change.
///
/// A change of a verdict or of draining is published immediately. Other changes
/// are published if they are large enough, within the rate limits.
void OnLocalStatusChange(PeerProtocol& protocol,
                         std::vector<EndpointStatus> statuses,
                         PeerProtocol::Time now);

/// \brief Publishes immediately that this daemon is leaving.
void BeginLeaving(PeerProtocol& protocol, PeerProtocol::Time now);

}  // namespace comfrey

#endif  // CORE_PEER_PUBLICATION_H_
