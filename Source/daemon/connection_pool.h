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

/// \brief Threads that serve caller connections, one connection a thread.
///
/// Threads are started as connections arrive, up to `limit`. A connection
/// beyond the limit is served by one extra thread, which marks its request as
/// over the limit, so that the caller gets a reply instead of waiting.
class ConnectionPool : public httplib::TaskQueue {
 public:
  explicit ConnectionPool(std::size_t limit);

  void enqueue(std::function<void()> connection) override;
  void shutdown() override;

  /// \brief Whether the calling thread serves connections beyond the limit.
  static bool OverLimit();

 private:
  void Serve();
  void ServeOverLimit();

  std::size_t limit;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::function<void()>> waiting;
  std::deque<std::function<void()>> over_limit;
  std::vector<std::thread> threads;
  std::size_t idle = 0;
  std::size_t serving = 0;
  bool stopping = false;
};

}  // namespace comfrey

#endif  // DAEMON_CONNECTION_POOL_H_
