#ifndef DAEMON_BACKEND_CONNECTION_POOL_H_
#define DAEMON_BACKEND_CONNECTION_POOL_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/timer_service.h"
#include "daemon/http_connection.h"

namespace comfrey {

/// \brief The connections to one backend server, at most `limit` of them.
///
/// A backend server may serve each connection on a thread of its own, also
/// while the connection is idle, and have no more threads than slots. Idle
/// connections are therefore closed before a new connection would exceed the
/// limit, and when the time ends in which they may be reused. Only connections
/// in use may exceed the limit.
class BackendConnectionPool {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  BackendConnectionPool(std::string ip,
                        int port,
                        std::size_t limit,
                        TimerService& timers);
  ~BackendConnectionPool();

  BackendConnectionPool(const BackendConnectionPool&) = delete;
  BackendConnectionPool& operator=(const BackendConnectionPool&) = delete;

  /// \brief Changes the limit and closes the idle connections beyond it.
  void SetLimit(std::size_t limit);

  /// \brief Takes an idle connection; returns null if none can be reused.
  std::unique_ptr<HttpConnection> Take();

  /// \brief Opens a connection; returns null with the cause in `error` if that
  /// fails.
  std::unique_ptr<HttpConnection> Open(TimePoint deadline, std::string& error);

  /// \brief Keeps a connection that was taken or opened for reuse until its
  /// `usable_until`.
  void Keep(std::unique_ptr<HttpConnection> connection);

  /// \brief Closes a connection that was taken or opened.
  void Close(std::unique_ptr<HttpConnection> connection);

 private:
  void CloseUnusable(TimePoint now);
  // Closes the idle connections that were kept first. The caller must hold the
  // mutex.
  void CloseBeyondLimit();

  std::string ip;
  int port;
  TimerService& timers;
  std::mutex mutex;
  std::size_t limit;
  std::size_t in_use = 0;
  std::vector<std::unique_ptr<HttpConnection>> idle;
  TimerService::SubscriptionId subscription;
};

}  // namespace comfrey

#endif  // DAEMON_BACKEND_CONNECTION_POOL_H_
