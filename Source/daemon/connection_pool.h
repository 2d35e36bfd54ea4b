#ifndef DAEMON_CONNECTION_POOL_H_
#define DAEMON_CONNECTION_POOL_H_

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace comfrey {

/// \brief What a thread of the pool does with a connection.
enum class ConnectionAction {
  /// Serves requests.
  kServe,
  /// Replies that the limit is reached, and waits briefly until the caller
  /// closes the connection.
  kRefuse,
  /// Replies that the limit is reached, and closes the connection at once.
  kRefuseWithoutWaiting,
};

/// \brief Thread pool for the connections of callers; each connection has its
/// own thread.
///
/// Threads are started as connections arrive, up to `limit`. One additional
/// thread refuses the connections beyond the limit, so that a caller gets a
/// reply instead of waiting. If too many connections wait for that thread, the
/// thread that accepts connections refuses further ones itself. A connection
/// for which no thread can be started is refused like one beyond the limit.
class ConnectionPool : public httplib::TaskQueue {
 public:
  /// Starts a thread; throws std::system_error if that fails.
  using StartThread = std::function<std::thread(std::function<void()> run)>;

  explicit ConnectionPool(
      std::size_t limit,
      StartThread start_thread = [](std::function<void()> run) {
        return std::thread(std::move(run));
      });

  void enqueue(std::function<void()> connection) override;
  void shutdown() override;

  /// \brief Returns what the calling thread does with its connection.
  static ConnectionAction CurrentAction();

 private:
  bool HasThreadForPending();
  void ServeConnections();
  void RefuseOverLimit();

  std::size_t limit;
  StartThread start_thread;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::function<void()>> pending;
  std::deque<std::function<void()>> over_limit;
  std::vector<std::thread> threads;
  std::size_t idle_threads = 0;
  std::size_t active = 0;
  bool stopping = false;
};

}  // namespace comfrey

#endif  // DAEMON_CONNECTION_POOL_H_
