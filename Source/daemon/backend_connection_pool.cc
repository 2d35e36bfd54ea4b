#include "daemon/backend_connection_pool.h"

#include <algorithm>
#include <utility>

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

// Less than the second by which the reuse of a connection stops before the idle
// timeout of the backend server, so that this side closes first.
constexpr std::chrono::milliseconds kIdleCheckPeriod{500};

}  // namespace

BackendConnectionPool::BackendConnectionPool(std::string ip,
                                             int port,
                                             std::size_t limit,
                                             TimerService& timers)
    : ip(std::move(ip)),
      port(port),
      timers(timers),
      limit(limit),
      subscription(timers.Subscribe(kIdleCheckPeriod, [this](TimePoint now) {
        this->CloseUnusable(now);
      })) {}

BackendConnectionPool::~BackendConnectionPool() {
  this->timers.Unsubscribe(this->subscription);
}

void BackendConnectionPool::SetLimit(std::size_t new_limit) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->limit = new_limit;
  this->CloseBeyondLimit();
}

std::unique_ptr<HttpConnection> BackendConnectionPool::Take() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  while (!this->idle.empty()) {
    std::unique_ptr<HttpConnection> connection = std::move(this->idle.back());
    this->idle.pop_back();
    if (Clock::now() < connection->usable_until && IsOpenAndIdle(*connection)) {
      ++this->in_use;
      return connection;
    }
  }
  return nullptr;
}

std::unique_ptr<HttpConnection> BackendConnectionPool::Open(
    TimePoint deadline,
    std::string& error) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->in_use;
    this->CloseBeyondLimit();
  }
  std::unique_ptr<HttpConnection> connection =
      OpenConnection(this->ip, this->port, deadline, error);
  if (!connection) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    --this->in_use;
  }
  return connection;
}

void BackendConnectionPool::Keep(std::unique_ptr<HttpConnection> connection) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  --this->in_use;
  if (Clock::now() < connection->usable_until &&
      this->in_use + this->idle.size() < this->limit) {
    connection->reader.ReleaseBuffer();
    this->idle.push_back(std::move(connection));
  }
}

void BackendConnectionPool::Close(std::unique_ptr<HttpConnection> connection) {
  connection.reset();
  const std::lock_guard<std::mutex> lock(this->mutex);
  --this->in_use;
}

void BackendConnectionPool::CloseUnusable(TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->idle.erase(
      std::remove_if(this->idle.begin(), this->idle.end(),
                     [now](const std::unique_ptr<HttpConnection>& connection) {
                       return now >= connection->usable_until ||
                              !IsOpenAndIdle(*connection);
                     }),
      this->idle.end());
}

void BackendConnectionPool::CloseBeyondLimit() {
  while (!this->idle.empty() &&
         this->in_use + this->idle.size() > this->limit) {
    this->idle.erase(this->idle.begin());
  }
}

}  // namespace comfrey
