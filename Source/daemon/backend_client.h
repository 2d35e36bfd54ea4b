#ifndef DAEMON_BACKEND_CLIENT_H_
#define DAEMON_BACKEND_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

#include "absl/status/status.h"
#include "config/daemon_settings.h"
#include "core/http_message.h"
#include "daemon/backend_connection_pool.h"
#include "daemon/backend_response.h"
#include "daemon/call_watchdog.h"

namespace comfrey {

/// \brief Outcome of a call to a backend server.
enum class BackendOutcome {
  kAnswered,   ///< A complete response arrived.
  kNotSent,    ///< No byte of the request left this process.
  kFailed,     ///< Sent at least in part; no complete response arrived.
  kTimedOut,   ///< As kFailed, because the deadline passed.
  kCancelled,  ///< As kFailed, because the call was cancelled.
};

/// \brief Result of one call; `error` is set unless the call was answered.
struct BackendResult {
  BackendOutcome outcome = BackendOutcome::kNotSent;
  HttpResponse response;
  absl::Status error;
  std::chrono::microseconds latency{0};
  /// Whether a reused connection ended without a response, or with one that may
  /// belong to another request. The backend server may have closed it while it
  /// was idle, so this is no evidence of a fault.
  bool connection_stale = false;
  /// Whether the call failed because the daemon had no memory left for the
  /// response, which is no fault of the backend server.
  bool over_budget = false;
};

/// \brief Parameters of one call to a backend server.
struct BackendCall {
  const HttpRequest* request = nullptr;
  /// Only idempotent requests may be sent over a reused connection.
  bool idempotent = false;
  std::chrono::steady_clock::time_point deadline;
  /// Polled during the call; the call ends once it returns true.
  std::function<bool()> cancelled;
};

/// \brief Number of connections to a backend server whose slots are unknown.
constexpr std::size_t kDefaultConnectionLimit = 16;

/// \brief What the calls to one backend server may use.
struct BackendLimits {
  /// Connections, in use and idle, that the backend server can serve: its
  /// slots.
  std::size_t connections = kDefaultConnectionLimit;
  /// Shared by the endpoints of a daemon; without it, each response has its own
  /// limit only.
  ResponseBudget* responses = nullptr;
};

/// \brief Sends requests to one endpoint over a pool of HTTP connections.
class BackendClient {
 public:
  BackendClient(const std::string& ip,
                int port,
                CallWatchdog& watchdog,
                BackendProtocol protocol = {},
                const BackendLimits& limits = {});

  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  /// \brief Changes the number of connections, in use and idle, that the
  /// backend server can serve: its slots.
  void SetConnectionLimit(std::size_t limit);

  /// \brief Sends one request and waits for the complete response. A body of
  /// more than 8 MiB fails the call.
  BackendResult Call(const BackendCall& call);

  /// \brief Sends a GET request over a connection of its own and returns the
  /// response, whose body has at most 64 KiB and which may end with the
  /// connection.
  ReceivedResponse Probe(const std::string& path,
                         std::chrono::steady_clock::time_point deadline);

 private:
  BackendResult CallOnce(const BackendCall& call, bool allow_reuse);
  // As CallOnce, over the given connection; returns whether it may be reused.
  bool Exchange(const BackendCall& call,
                HttpConnection& connection,
                bool reused,
                BackendResult& result);
  bool MayReuse(const HttpRequest& request) const;
  // Skips responses to other attempts.
  ReceivedResponse ReadOwnResponse(const BackendCall& call,
                                   WireReader& reader,
                                   bool reused) const;

  std::string peer;
  CallWatchdog& watchdog;
  BackendProtocol protocol;
  ResponseBudget* responses;
  BackendConnectionPool pool;
};

}  // namespace comfrey

#endif  // DAEMON_BACKEND_CLIENT_H_
