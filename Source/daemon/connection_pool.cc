#include "daemon/connection_pool.h"

#include <utility>

namespace comfrey {
namespace {

// Largest number of connections that wait to be refused; each holds a file
// descriptor.
constexpr std::size_t kMaxOverLimit = 64;

thread_local ConnectionAction current_action = ConnectionAction::kServe;

}  // namespace

ConnectionPool::ConnectionPool(std::size_t limit) : limit(limit) {
  this->threads.emplace_back([this] { this->RefuseOverLimit(); });
}

ConnectionAction ConnectionPool::CurrentAction() {
  return current_action;
}

void ConnectionPool::enqueue(std::function<void()> connection) {
  std::unique_lock<std::mutex> lock(this->mutex);
  if (this->active + this->pending.size() >= this->limit) {
    if (this->over_limit.size() >= kMaxOverLimit) {
      lock.unlock();
      current_action = ConnectionAction::kRefuseWithoutWaiting;
      connection();
      return;
    }
    this->over_limit.push_back(std::move(connection));
    this->changed.notify_all();
    return;
  }
  this->pending.push_back(std::move(connection));
  if (this->idle_threads < this->pending.size() &&
      this->threads.size() <= this->limit) {
    this->threads.emplace_back([this] { this->ServeConnections(); });
  }
  this->changed.notify_all();
}

void ConnectionPool::shutdown() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }
  for (std::thread& thread : this->threads) {
    thread.join();
  }
}

void ConnectionPool::ServeConnections() {
  std::unique_lock<std::mutex> lock(this->mutex);
  for (;;) {
    ++this->idle_threads;
    this->changed.wait(
        lock, [this] { return this->stopping || !this->pending.empty(); });
    --this->idle_threads;
    if (this->pending.empty()) {
      return;
    }
    const std::function<void()> connection = std::move(this->pending.front());
    this->pending.pop_front();
    ++this->active;
    lock.unlock();
    connection();
    lock.lock();
    --this->active;
  }
}

void ConnectionPool::RefuseOverLimit() {
  current_action = ConnectionAction::kRefuse;
  std::unique_lock<std::mutex> lock(this->mutex);
  for (;;) {
    this->changed.wait(
        lock, [this] { return this->stopping || !this->over_limit.empty(); });
    if (this->over_limit.empty()) {
      return;
    }
    const std::function<void()> connection =
        std::move(this->over_limit.front());
    this->over_limit.pop_front();
    lock.unlock();
    connection();
    lock.lock();
  }
}

}  // namespace comfrey
