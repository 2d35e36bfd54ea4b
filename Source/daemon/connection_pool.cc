#include "daemon/connection_pool.h"

#include <system_error>
#include <utility>

namespace comfrey {
namespace {

// Largest number of connections that wait to be refused; each holds a file
// descriptor.
constexpr std::size_t kMaxOverLimit = 64;

thread_local ConnectionAction current_action = ConnectionAction::kServe;

}  // namespace

ConnectionPool::ConnectionPool(std::size_t limit, StartThread start_thread)
    : limit(limit), start_thread(std::move(start_thread)) {
  this->threads.push_back(
      this->start_thread([this] { this->RefuseOverLimit(); }));
}

ConnectionAction ConnectionPool::CurrentAction() {
  return current_action;
}

void ConnectionPool::enqueue(std::function<void()> connection) {
  std::unique_lock<std::mutex> lock(this->mutex);
  if (!this->HasThreadForPending()) {
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
  this->changed.notify_all();
}

// Returns whether one more connection has a thread, which is started if
// necessary.
bool ConnectionPool::HasThreadForPending() {
  if (this->active + this->pending.size() >= this->limit) {
    return false;
  }
  if (this->idle_threads > this->pending.size() ||
      this->threads.size() > this->limit) {
    return true;
  }
  try {
    this->threads.push_back(
        this->start_thread([this] { this->ServeConnections(); }));
  } catch (const std::system_error&) {
    // The system is short of threads or memory.
    return false;
  }
  return true;
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
