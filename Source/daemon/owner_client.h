#ifndef DAEMON_OWNER_CLIENT_H_
#define DAEMON_OWNER_CLIENT_H_

#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "core/attempt_ledger.h"
#include "daemon/channel_pool.h"
#include "daemon/forward_call.h"
#include "daemon/owner_service.h"
#include "peer.pb.h"

namespace comfrey {

/// \brief A stamp of an owner and when it arrived here.
struct ReceivedStamp {
  OwnerStamp stamp;
  std::chrono::steady_clock::time_point received_at;
};

/// \brief Calls from this daemon to the owners of endpoints; thread-safe.
class OwnerClient {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  OwnerClient(ChannelPool& channels, int peer_port);

  /// \brief Sends one attempt. After a silent or failed connection, the next
  /// call uses a new one.
  ForwardCallResult Forward(const std::string& ip,
                            const rpc::ForwardRequest& request,
                            const ForwardLimits& limits);

  /// \brief The newest stamp of the owner, if one is known.
  std::optional<ReceivedStamp> StampOf(const std::string& ip);

  /// \brief Asks the owner for a new stamp, for at most `timeout`.
  std::optional<ReceivedStamp> RefreshStamp(const std::string& ip,
                                            TimePoint deadline,
                                            std::chrono::microseconds timeout);

  /// \brief Asks the owner for the load of an endpoint, for at most `timeout`;
  /// nothing if it is not reached. The reply brings a new stamp.
  std::optional<rpc::LoadReply> QueryLoad(const std::string& ip,
                                          const rpc::LoadRequest& request,
                                          TimePoint deadline,
                                          std::chrono::microseconds timeout);

  /// \brief Fences an attempt; FENCE_UNSPECIFIED if the owner is not reached.
  rpc::FenceReply FenceAttempt(const std::string& ip,
                               const rpc::FenceAttemptRequest& request,
                               TimePoint deadline);

  /// \brief Fences a key at a former home; kUndecidable if it is not reached.
  KeyFenceReply FenceKey(const FenceKeyCall& call);

 private:
  std::string AddressOf(const std::string& ip) const;
  void StoreStamp(const std::string& ip, const rpc::OwnerStamp& stamp);

  ChannelPool& channels;
  int peer_port;
  std::mutex mutex;
  std::map<std::string, ReceivedStamp> stamps;
};

}  // namespace comfrey

#endif  // DAEMON_OWNER_CLIENT_H_
