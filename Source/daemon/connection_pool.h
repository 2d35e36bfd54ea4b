#ifndef DAEMON_CONNECTION_POOL_H_
#define DAEMON_CONNECTION_POOL_H_

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace comfrey {

/// \brief What the calling thread does with its connection.
enum class ConnectionAction {
  kServe,   ///< Serves requests.
  kRefuse,  ///< Replies that the limit is reached, and waits for the caller.
  kRefuseWithoutWaiting,  ///< As kRefuse, but never waits.
};

/// \brief Threads that serve caller connections, one connection a thread.
///
/// Threads are started as connections arrive, up to `limit`. A connection
/// beyond the limit is refused by one extra thread, so that the caller gets a
/// reply instead of waiting; if many wait for that thread, the thread that
/// accepts connections drops them itself.
class ConnectionPool : public httplib::TaskQueue {
 public:
  explicit ConnectionPool(std::size_t limit);

  void enqueue(std::function<void()> connection) override;
  void shutdown() override;

  /// \brief What the calling thread does with its connection.
  static ConnectionAction CurrentAction();

 private:
  void ServeConnections();
  void RefuseOverLimit();

  std::size_t limit;
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
