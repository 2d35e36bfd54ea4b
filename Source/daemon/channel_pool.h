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

/// \brief gRPC channels to other daemons, by "ip:port".
///
/// The number of channels is bounded; the one unused for longest is closed.
class ChannelPool {
 public:
  explicit ChannelPool(std::size_t limit);

  /// \brief Must not run on a thread of gRPC.
  ~ChannelPool();

  ChannelPool(const ChannelPool&) = delete;
  ChannelPool& operator=(const ChannelPool&) = delete;

  /// \brief Keeps a channel to this daemon's own server open until the pool is
  /// destroyed. Call it once, after the server has started.
  void OpenSelfChannel(const std::string& address);

  /// \brief Returns the channel; holders keep a dropped channel open.
  std::shared_ptr<PeerChannel> Get(const std::string& address);

  /// \brief Drops the channel if it still is the pooled one, so that the next
  /// Get opens a new connection.
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
