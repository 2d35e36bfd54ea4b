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

/// \brief Thread pool for tasks that block. Threads are started as tasks
/// arrive, and run until the pool stops.
///
/// If all `limit` threads are busy, tasks wait in a queue. The pool does not
/// bound this queue, since the submitters bound their own queues.
class WorkerPool {
 public:
  explicit WorkerPool(std::size_t limit);
  ~WorkerPool();

  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  void Submit(std::function<void()> task);

  /// \brief Finishes all submitted tasks and joins the threads.
  void Stop();

 private:
  void StartThread();
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
