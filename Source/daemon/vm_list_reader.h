#ifndef DAEMON_VM_LIST_READER_H_
#define DAEMON_VM_LIST_READER_H_

#include <chrono>
#include <functional>
#include <map>
#include <string>

#include "base/counters.h"
#include "daemon/channel_pool.h"
#include "daemon/config_service_client.h"

namespace comfrey {

/// \brief Reads the platform's VM list and tells the daemons of leaving VMs.
///
/// Only readers of the configuration service read it, so that the number of
/// calls does not grow with the fleet.
class VmListReader {
 public:
  VmListReader(ConfigServiceClient client,
               ChannelPool& channels,
               int peer_port,
               CounterRegistry& counters,
               std::function<bool()> is_reader);

  /// \brief Reads the list once, if this daemon is a reader; blocks.
  void ReadOnce();

 private:
  void NotifyDaemon(const VmEntry& vm);

  ConfigServiceClient client;
  ChannelPool& channels;
  int peer_port;
  std::function<bool()> is_reader;
  Metric& reads;
  /// When a daemon was last told that its VM is leaving.
  std::map<std::string, std::chrono::steady_clock::time_point> notified_at;
};

}  // namespace comfrey

#endif  // DAEMON_VM_LIST_READER_H_
