#include "daemon/connection_pool.h"

#include <utility>

namespace comfrey {
namespace {

// Connections that wait to be refused; each holds a file descriptor.
constexpr std::size_t kMaxOverLimit = 64;

thread_local ConnectionTreatment treatment = ConnectionTreatment::kServe;

}  // namespace

ConnectionPool::ConnectionPool(std::size_t limit) : limit(limit) {
  this->threads.emplace_back([this] { this->ServeOverLimit(); });
}

ConnectionTreatment ConnectionPool::Treatment() {
  return treatment;
}

void ConnectionPool::enqueue(std::function<void()> connection) {
  std::unique_lock<std::mutex> lock(this->mutex);
  if (this->serving + this->waiting.size() >= this->limit) {
    if (this->over_limit.size() >= kMaxOverLimit) {
      lock.unlock();
      treatment = ConnectionTreatment::kDrop;
      connection();
      return;
    }
    this->over_limit.push_back(std::move(connection));
    this->changed.notify_all();
    return;
  }
  this->waiting.push_back(std::move(connection));
  if (this->idle < this->waiting.size() &&
      this->threads.size() <= this->limit) {
    this->threads.emplace_back([this] { this->Serve(); });
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

void ConnectionPool::Serve() {
  std::unique_lock<std::mutex> lock(this->mutex);
  for (;;) {
    ++this->idle;
    this->changed.wait(
        lock, [this] { return this->stopping || !this->waiting.empty(); });
    --this->idle;
    if (this->waiting.empty()) {
      return;
    }
    const std::function<void()> connection = std::move(this->waiting.front());
    this->waiting.pop_front();
    ++this->serving;
    lock.unlock();
    connection();
    lock.lock();
    --this->serving;
  }
}

void ConnectionPool::ServeOverLimit() {
  treatment = ConnectionTreatment::kRefuse;
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
