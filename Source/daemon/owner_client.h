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
#include "daemon/peer_call.h"
#include "peer.pb.h"

namespace comfrey {

/// \brief A stamp of an owner with the time at which this daemon received it.
struct ReceivedStamp {
  OwnerStamp stamp;
  std::chrono::steady_clock::time_point received_at;
};

/// \brief Result of a call for a stamp; `stamp` is valid if the owner replied.
struct StampCallResult {
  PeerCallEnd end = PeerCallEnd::kFailed;
  ReceivedStamp stamp;
};

/// \brief Result of a load query; `reply` is valid if the owner replied.
struct LoadCallResult {
  PeerCallEnd end = PeerCallEnd::kFailed;
  rpc::LoadReply reply;
};

/// \brief Makes calls to the owners of endpoints; thread-safe.
class OwnerClient {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  OwnerClient(ChannelPool& channels,
              int peer_port,
              RefusalMeaning meaning = RefusalMeaning::kNone);

  /// \brief Sends one attempt, whose body is read from `body` unless it is
  /// null. If the owner or the path to it failed, the next call uses a new
  /// connection.
  ForwardCallResult Forward(const std::string& ip,
                            const rpc::ForwardRequest& request,
                            BodyStream* body,
                            const ForwardLimits& limits);

  /// \brief Returns the newest stamp of the owner, or nothing if none is known.
  std::optional<ReceivedStamp> StampOf(const std::string& ip);

  /// \brief Requests a new stamp from the owner, for at most `timeout`.
  StampCallResult RefreshStamp(const std::string& ip,
                               TimePoint deadline,
                               std::chrono::microseconds timeout,
                               const CancelCheck& cancelled);

  /// \brief Requests a new stamp from each of the owners at the same time.
  /// Returns when each replied, or nothing for an owner whose call failed or
  /// was cancelled, in the order of `ips`.
  std::vector<std::optional<TimePoint>> RefreshStamps(
      const std::vector<std::string>& ips,
      TimePoint deadline,
      const CancelCheck& cancelled);

  /// \brief Queries the load of an endpoint from its owner, for at most
  /// `timeout`. Stores the stamp from the reply.
  LoadCallResult QueryLoad(const std::string& ip,
                           const rpc::LoadRequest& request,
                           TimePoint deadline,
                           std::chrono::microseconds timeout,
                           const CancelCheck& cancelled);

  /// \brief Fences an attempt; returns FENCE_UNSPECIFIED if the owner cannot be
  /// reached or the call is cancelled, and FENCE_UNKNOWN if its reply cannot be
  /// read.
  rpc::FenceReply FenceAttempt(const std::string& ip,
                               const rpc::FenceAttemptRequest& request,
                               TimePoint deadline,
                               const CancelCheck& cancelled);

  /// \brief Fences a key at a former home; returns kUndecidable if its owner
  /// cannot be reached.
  KeyFenceReply FenceKey(const FenceKeyCall& call);

 private:
  std::string AddressOf(const std::string& ip) const;
  void StoreStamp(const std::string& ip, const rpc::OwnerStamp& stamp);

  ChannelPool& channels;
  int peer_port;
  RefusalMeaning meaning;
  std::mutex mutex;
  std::map<std::string, ReceivedStamp> stamps;
};

}  // namespace comfrey

#endif  // DAEMON_OWNER_CLIENT_H_
