#ifndef DAEMON_FORWARD_CALL_H_
#define DAEMON_FORWARD_CALL_H_

#include <chrono>
#include <functional>
#include <memory>

#include "absl/status/status.h"
#include "core/http_message.h"
#include "daemon/channel_pool.h"
#include "peer.grpc.pb.h"

namespace comfrey {

/// \brief Outcome of a Forward call at the transport level.
enum class TransportOutcome {
  kNotSent,      ///< No connection; no byte of the request was sent.
  kReplied,      ///< `result` holds the reply of the owner.
  kNotAccepted,  ///< The owner did not accept within the accept timeout.
  kUnreadable,   ///< One end could not read the message of the other.
  kFailed,       ///< The call failed after it may have reached the owner.
  kTimedOut,     ///< The owner accepted but did not reply by the deadline.
  kCancelled,    ///< Cancelled after the call may have reached the owner.
};

/// \brief Result of a Forward call; `error` is set unless a reply arrived.
struct ForwardCallResult {
  TransportOutcome transport = TransportOutcome::kFailed;
  rpc::Result result;
  absl::Status error;
  bool accepted = false;
  /// Whether the request was cancelled before the call ended.
  bool cancelled = false;
  /// Whether the end of the call shows that the owner or the path to it failed.
  /// If the call ended because of its own request (a deadline, a cancellation,
  /// a body that cannot be read), it says nothing about them.
  bool path_failed = false;
  std::chrono::microseconds accept_time{0};
};

/// \brief Returns whether a request is cancelled, for example because its
/// caller has disconnected.
using CancelCheck = std::function<bool()>;

/// \brief Longest time until a call notices that its request is cancelled.
constexpr std::chrono::milliseconds kCancelPollPeriod{50};

/// \brief Time limits of a Forward call.
struct ForwardLimits {
  std::chrono::steady_clock::time_point deadline;
  std::chrono::microseconds accept_timeout{0};
  CancelCheck cancelled = [] { return false; };
};

/// \brief Sends one attempt to the owner and waits for the result. If `body` is
/// not null, the request has no body of its own, and parts of `body` are read
/// and sent once the owner asks for them.
ForwardCallResult ForwardOnce(PeerChannel& owner,
                              const rpc::ForwardRequest& request,
                              BodyStream* body,
                              const ForwardLimits& limits);

/// \brief Converts a deadline to system time, which gRPC requires.
std::chrono::system_clock::time_point ToSystemTime(
    std::chrono::steady_clock::time_point time);

}  // namespace comfrey

#endif  // DAEMON_FORWARD_CALL_H_
