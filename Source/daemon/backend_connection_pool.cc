#include "daemon/backend_connection_pool.h"

#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

// Less than the second by which the reuse of a connection stops before the idle
// timeout of the backend server, so that this side closes first.
constexpr std::chrono::milliseconds kIdleCheckPeriod{500};

// Returns a connected socket, or -1 with the cause in `error`.
int Connect(const std::string& ip,
            int port,
            Clock::time_point deadline,
            std::string& error) {
  addrinfo hints{};
  hints.ai_socktype = SOCK_STREAM;
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
  addrinfo* address = nullptr;
  if (::getaddrinfo(ip.c_str(), std::to_string(port).c_str(), &hints,
                    &address) != 0) {
    error = "the endpoint address is not an IP address";
    return -1;
  }
  const std::unique_ptr<addrinfo, decltype(&::freeaddrinfo)> owner(
      address, &::freeaddrinfo);
  const int socket = ::socket(address->ai_family,
                              SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket < 0) {
    error = std::strerror(errno);
    return -1;
  }
  const int enabled = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  int code = 0;
  if (::connect(socket, address->ai_addr, address->ai_addrlen) != 0) {
    code = errno;
    if (code == EINPROGRESS) {
      socklen_t length = sizeof(code);
      if (!WaitForSocket(socket, POLLOUT, deadline)) {
        code = ETIMEDOUT;
      } else if (::getsockopt(socket, SOL_SOCKET, SO_ERROR, &code, &length) !=
                 0) {
        code = errno;
      }
    }
  }
  if (code != 0) {
    error = std::strerror(code);
    ::close(socket);
    return -1;
  }
  return socket;
}

}  // namespace

BackendConnection::~BackendConnection() {
  ::close(this->socket);
}

bool IsOpenAndIdle(const BackendConnection& connection) {
  return !connection.reader.HasBufferedBytes() &&
         !WaitForSocket(connection.socket, POLLIN, Clock::time_point{});
}

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

std::unique_ptr<BackendConnection> BackendConnectionPool::Take() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  while (!this->idle.empty()) {
    std::unique_ptr<BackendConnection> connection =
        std::move(this->idle.back());
    this->idle.pop_back();
    if (Clock::now() < connection->usable_until && IsOpenAndIdle(*connection)) {
      ++this->in_use;
      return connection;
    }
  }
  return nullptr;
}

std::unique_ptr<BackendConnection> BackendConnectionPool::Open(
    TimePoint deadline,
    std::string& error) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++this->in_use;
    this->CloseBeyondLimit();
  }
  const int socket = Connect(this->ip, this->port, deadline, error);
  if (socket < 0) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    --this->in_use;
    return nullptr;
  }
  return std::make_unique<BackendConnection>(socket);
}

void BackendConnectionPool::Keep(
    std::unique_ptr<BackendConnection> connection) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  --this->in_use;
  if (Clock::now() < connection->usable_until &&
      this->in_use + this->idle.size() < this->limit) {
    connection->reader.ReleaseBuffer();
    this->idle.push_back(std::move(connection));
  }
}

void BackendConnectionPool::Close(
    std::unique_ptr<BackendConnection> connection) {
  connection.reset();
  const std::lock_guard<std::mutex> lock(this->mutex);
  --this->in_use;
}

void BackendConnectionPool::CloseUnusable(TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->idle.erase(
      std::remove_if(
          this->idle.begin(), this->idle.end(),
          [now](const std::unique_ptr<BackendConnection>& connection) {
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
