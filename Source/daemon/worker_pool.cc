#include "daemon/worker_pool.h"

#include <system_error>
#include <utility>

namespace comfrey {

WorkerPool::WorkerPool(std::size_t limit) : limit(limit) {}

WorkerPool::~WorkerPool() {
  this->Stop();
}

void WorkerPool::Submit(std::function<void()> task) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->pending.push_back(std::move(task));
  if (this->idle_threads < this->pending.size() &&
      this->threads.size() < this->limit) {
    this->StartThread();
  }
  this->changed.notify_one();
}

// A task for which no thread can be started waits for another thread. Without
// any thread, the task is dropped and the error is passed on.
void WorkerPool::StartThread() {
  try {
    this->threads.emplace_back([this] { this->RunTasks(); });
  } catch (const std::system_error&) {
    if (this->threads.empty()) {
      this->pending.pop_back();
      throw;
    }
  }
}

void WorkerPool::Stop() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  this->threads.clear();
}

void WorkerPool::RunTasks() {
  std::unique_lock<std::mutex> lock(this->mutex);
  for (;;) {
    ++this->idle_threads;
    this->changed.wait(
        lock, [this] { return this->stopping || !this->pending.empty(); });
    --this->idle_threads;
    if (this->pending.empty()) {
      return;
    }
    const std::function<void()> task = std::move(this->pending.front());
    this->pending.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

}  // namespace comfrey
