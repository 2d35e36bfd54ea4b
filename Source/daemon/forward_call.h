#ifndef DAEMON_FORWARD_CALL_H_
#define DAEMON_FORWARD_CALL_H_

#include <chrono>
#include <functional>
#include <memory>

#include "absl/status/status.h"
#include "daemon/channel_pool.h"
#include "peer.grpc.pb.h"

namespace comfrey {

/// \brief What became of a Forward call at the transport level.
enum class TransportOutcome {
  kNotSent,      ///< No connection; no byte of the request left the process.
  kReplied,      ///< `result` holds the reply of the owner.
  kNotAccepted,  ///< No sign of the owner within the accept timeout.
  kFailed,       ///< The call failed after it may have reached the owner.
  kTimedOut,     ///< The owner accepted but did not reply by the deadline.
  kCancelled,    ///< The owner accepted, then the caller left.
};

/// \brief Result of a Forward call; `error` is set unless it was replied.
struct ForwardCallResult {
  TransportOutcome transport = TransportOutcome::kFailed;
  rpc::Result result;
  absl::Status error;
  bool accepted = false;
  std::chrono::microseconds accept_time{0};
};

/// \brief Time limits of a Forward call.
struct ForwardLimits {
  std::chrono::steady_clock::time_point deadline;
  std::chrono::microseconds accept_timeout{0};
  /// Whether the caller has left; the call is then cancelled.
  std::function<bool()> cancelled = [] { return false; };
};

/// \brief Sends one attempt to the owner and waits for the result.
ForwardCallResult ForwardOnce(PeerChannel& owner,
                              const rpc::ForwardRequest& request,
                              const ForwardLimits& limits);

/// \brief Converts a deadline; gRPC takes deadlines as system time.
std::chrono::system_clock::time_point ToSystemTime(
    std::chrono::steady_clock::time_point time);

}  // namespace comfrey

#endif  // DAEMON_FORWARD_CALL_H_
