#ifndef DAEMON_HTTP_GET_CLIENT_H_
#define DAEMON_HTTP_GET_CLIENT_H_

#include <chrono>
#include <memory>
#include <mutex>
#include <string>

#include "absl/status/statusor.h"
#include "core/http_message.h"
#include "daemon/backend_response.h"
#include "daemon/http_connection.h"

namespace comfrey {

/// \brief Sends GET requests to one server, over a connection that is kept
/// between calls.
///
/// A call ends at its deadline, whatever the server sends until then.
class HttpGetClient {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// \brief A response that exceeds the limits, or whose end they do not allow,
  /// is an error. A connection is given up after `connect_timeout`.
  HttpGetClient(std::string ip,
                int port,
                const ResponseLimits& limits,
                std::chrono::microseconds connect_timeout);

  HttpGetClient(const HttpGetClient&) = delete;
  HttpGetClient& operator=(const HttpGetClient&) = delete;

  /// \brief Returns the response, whatever its status. Only one thread may call
  /// it at a time.
  ///
  /// Errors: DeadlineExceeded if no complete response arrived by the deadline,
  /// Cancelled after Stop(), DataLoss if the response is not valid or exceeds
  /// the limits, otherwise Unavailable.
  absl::StatusOr<HttpResponse> Get(const std::string& target,
                                   TimePoint deadline);

  /// \brief Ends the call in progress on another thread, if any, with an error.
  void Abandon();

  /// \brief Ends the call in progress on another thread, and all later calls.
  void Stop();

  /// \brief Address of the server.
  const std::string& Peer() const { return this->peer; }

 private:
  // Opens a connection unless the kept one can be used.
  absl::Status Connect(TimePoint deadline);
  absl::StatusOr<HttpResponse> Exchange(const std::string& target,
                                        TimePoint deadline,
                                        bool& reusable);
  void CloseConnection();
  bool IsStopped();

  std::string ip;
  int port;
  std::string peer;
  ResponseLimits limits;
  std::chrono::microseconds connect_timeout;
  /// Guards `stopped`, and `connection` against a change while another thread
  /// ends its call.
  std::mutex mutex;
  bool stopped = false;
  std::unique_ptr<HttpConnection> connection;
};

}  // namespace comfrey

#endif  // DAEMON_HTTP_GET_CLIENT_H_
