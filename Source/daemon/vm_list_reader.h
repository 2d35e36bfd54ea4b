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

/// \brief Reads the VM list of the platform and notifies the daemons of VMs
/// that are leaving.
///
/// Only readers of the configuration service read the list, so that the number
/// of calls does not grow with the fleet.
class VmListReader {
 public:
  VmListReader(ConfigServiceClient client,
               ChannelPool& channels,
               int peer_port,
               CounterRegistry& counters,
               std::function<bool()> is_reader);

  /// \brief Reads the list and notifies daemons, if this daemon is a reader;
  /// blocks.
  void ReadOnce();

 private:
  void NotifyDaemon(const VmEntry& vm);

  ConfigServiceClient client;
  ChannelPool& channels;
  int peer_port;
  std::function<bool()> is_reader;
  Metric& reads;
  Metric& failed_reads;
  /// Whether the last read succeeded.
  bool available = true;
  /// For each leaving VM by address, the time when its daemon was last
  /// notified.
  std::map<std::string, std::chrono::steady_clock::time_point> notified_at;
};

}  // namespace comfrey

#endif  // DAEMON_VM_LIST_READER_H_
