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
  explicit ChannelPool(std::size_t limit) : limit(limit) {}

  /// \brief Returns the channel; holders keep a dropped channel open.
  std::shared_ptr<PeerChannel> Get(const std::string& address);

  /// \brief Drops the channel if it still is the pooled one, so that the next
  /// Get opens a new connection.
  void Drop(const std::shared_ptr<PeerChannel>& channel);

 private:
  struct Entry {
    std::shared_ptr<PeerChannel> channel;
    std::chrono::steady_clock::time_point last_use;
  };

  void EvictOldest();

  std::size_t limit;
  std::mutex mutex;
  std::map<std::string, Entry> entries;
};

}  // namespace comfrey

#endif  // DAEMON_CHANNEL_POOL_H_
