#ifndef DAEMON_WORKER_POOL_H_
#define DAEMON_WORKER_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace comfrey {

/// \brief Threads for work that blocks, started as work arrives and then kept.
///
/// Work beyond the limit waits; its sources bound it by their own queues.
class WorkerPool {
 public:
  explicit WorkerPool(std::size_t limit);
  ~WorkerPool();

  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  void Submit(std::function<void()> task);

  /// \brief Finishes all work and ends the threads.
  void Stop();

 private:
  void RunTasks();

  std::size_t limit;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::function<void()>> pending;
  std::vector<std::thread> threads;
  std::size_t idle_threads = 0;
  bool stopping = false;
};

}  // namespace comfrey

#endif  // DAEMON_WORKER_POOL_H_
