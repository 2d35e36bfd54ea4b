#ifndef DAEMON_CHANNEL_POOL_H_
#define DAEMON_CHANNEL_POOL_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "peer.grpc.pb.h"

namespace comfrey {

/// \brief One gRPC channel to another daemon.
struct PeerChannel {
  std::string address;
  std::shared_ptr<grpc::Channel> channel;
  std::unique_ptr<rpc::Peer::Stub> stub;
};

/// \brief Pool of gRPC channels to other daemons, by the address "ip:port".
///
/// Holds at most `limit` channels; beyond that, the least recently used one is
/// removed.
class ChannelPool {
 public:
  explicit ChannelPool(std::size_t limit);

  /// \brief Must not be called on a gRPC thread.
  ~ChannelPool();

  ChannelPool(const ChannelPool&) = delete;
  ChannelPool& operator=(const ChannelPool&) = delete;

  /// \brief Opens a channel to this daemon's own server and keeps it until the
  /// pool is destroyed. Call this once, after the server has started.
  void OpenSelfChannel(const std::string& address);

  /// \brief Returns the channel to an address and opens it if necessary. A
  /// removed channel stays open until its last holder releases it.
  std::shared_ptr<PeerChannel> Get(const std::string& address);

  /// \brief Removes the channel if it is still in the pool, so that the next
  /// call of Get opens a new connection.
  void Remove(const std::shared_ptr<PeerChannel>& channel);

 private:
  struct Entry {
    std::shared_ptr<PeerChannel> channel;
    std::chrono::steady_clock::time_point last_use;
  };

  struct SelfCall;

  void EvictLeastRecentlyUsed();

  std::size_t limit;
  std::unique_ptr<SelfCall> self_call;
  std::mutex mutex;
  std::map<std::string, Entry> entries;
};

}  // namespace comfrey

#endif  // DAEMON_CHANNEL_POOL_H_
