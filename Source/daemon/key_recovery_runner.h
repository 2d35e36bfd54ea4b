#ifndef DAEMON_KEY_RECOVERY_RUNNER_H_
#define DAEMON_KEY_RECOVERY_RUNNER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/peer_message.h"
#include "daemon/channel_pool.h"
#include "daemon/key_journal.h"
#include "daemon/owner_service.h"

namespace comfrey {

/// \brief What recovery needs of membership.
struct RecoveryMembership {
  /// All members of which this daemon knows, dead ones included, or nothing
  /// while the view may be incomplete.
  std::function<std::vector<MemberRecord>()> members;
  /// Own name.
  std::string own_name;
};

/// \brief Rebuilds the ledgers of this owner from the journals of all daemons.
class KeyRecoveryRunner {
 public:
  KeyRecoveryRunner(OwnerService& owner,
                    KeyJournal& journal,
                    ChannelPool& channels,
                    int peer_port,
                    RecoveryMembership membership);

  /// \brief Asks each member whose journal is missing once; blocks.
  void ReadMissingJournals();

 private:
  void RecoverEndpoint(OwnedEndpoint& endpoint,
                       const std::vector<MemberRecord>& members);
  bool ReadJournalOf(const MemberRecord& member,
                     const rpc::RecoverKeysRequest& request,
                     rpc::RecoverKeysReply& reply);

  OwnerService& owner;
  KeyJournal& journal;
  ChannelPool& channels;
  int peer_port;
  RecoveryMembership membership;
};

}  // namespace comfrey

#endif  // DAEMON_KEY_RECOVERY_RUNNER_H_
