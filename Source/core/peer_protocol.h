#ifndef CORE_PEER_PROTOCOL_H_
#define CORE_PEER_PROTOCOL_H_

#include <random>
#include <vector>

#include "core/peer_config.h"       // IWYU pragma: export
#include "core/peer_exchange.h"     // IWYU pragma: export
#include "core/peer_probing.h"      // IWYU pragma: export
#include "core/peer_publication.h"  // IWYU pragma: export
#include "core/peer_push.h"         // IWYU pragma: export
#include "core/peer_send_budget.h"  // IWYU pragma: export
#include "core/peer_state.h"        // IWYU pragma: export

namespace comfrey {

/// \brief Creates the state of a daemon that starts now; `self` contains its
/// incarnation.
PeerProtocol MakePeerProtocol(MemberRecord self,
                              PeerSettings settings,
                              ConfigAccess config,
                              PeerProtocol::Time now,
                              std::mt19937_64& rng);

/// \brief Performs all work that is due; call it about every 100 ms.
std::vector<PeerAction> Tick(PeerProtocol& protocol,
                             PeerProtocol::Time now,
                             std::mt19937_64& rng);

}  // namespace comfrey

#endif  // CORE_PEER_PROTOCOL_H_
