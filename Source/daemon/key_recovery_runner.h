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

/// \brief The information from membership that recovery needs.
struct RecoveryMembership {
  /// Returns all members that this daemon knows, including dead ones, or an
  /// empty list while its view may be incomplete.
  std::function<std::vector<MemberRecord>()> members;
  /// Name of this daemon.
  std::string own_name;
};

/// \brief Rebuilds the ledgers of this owner from the journals of all daemons
/// after a restart.
class KeyRecoveryRunner {
 public:
  KeyRecoveryRunner(OwnerService& owner,
                    KeyJournal& journal,
                    ChannelPool& channels,
                    int peer_port,
                    RefusalMeaning meaning,
                    RecoveryMembership membership);

  /// \brief Requests each missing journal once from its member; blocks.
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
  RefusalMeaning meaning;
  RecoveryMembership membership;
};

}  // namespace comfrey

#endif  // DAEMON_KEY_RECOVERY_RUNNER_H_
