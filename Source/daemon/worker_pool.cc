#include "daemon/worker_pool.h"

#include <utility>

namespace comfrey {

WorkerPool::WorkerPool(std::size_t limit) : limit(limit) {}

WorkerPool::~WorkerPool() {
  this->Stop();
}

void WorkerPool::Run(std::function<void()> work) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->waiting.push_back(std::move(work));
  if (this->idle < this->waiting.size() && this->threads.size() < this->limit) {
    this->threads.emplace_back([this] { this->Serve(); });
  }
  this->changed.notify_one();
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

void WorkerPool::Serve() {
  std::unique_lock<std::mutex> lock(this->mutex);
  for (;;) {
    ++this->idle;
    this->changed.wait(
        lock, [this] { return this->stopping || !this->waiting.empty(); });
    --this->idle;
    if (this->waiting.empty()) {
      return;
    }
    const std::function<void()> work = std::move(this->waiting.front());
    this->waiting.pop_front();
    lock.unlock();
    work();
    lock.lock();
  }
}

}  // namespace comfrey
