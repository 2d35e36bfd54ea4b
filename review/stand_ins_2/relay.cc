#include "relay.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <thread>

#include "http.h"

namespace review {
namespace {

constexpr std::chrono::milliseconds kConnectTimeout{1000};

}  // namespace

Relay::Relay(const std::string& ip,
             int port,
             const std::string& target_ip,
             int target_port) {
  const int listener = Listen(ip, port);
  std::thread([this, listener, target_ip, target_port] {
    for (;;) {
      const int caller = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (caller < 0) {
        continue;
      }
      const int target = Connect(target_ip, target_port, kConnectTimeout);
      if (target < 0) {
        ResetAndClose(caller);
        continue;
      }
      const int enabled = 1;
      ::setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
      auto connection = std::make_shared<Connection>();
      connection->caller = caller;
      connection->target = target;
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->connections.push_back(connection);
      }
      std::thread([connection] { Copy(*connection, true); }).detach();
      std::thread([connection] { Copy(*connection, false); }).detach();
    }
  }).detach();
}

Relay::Connection::~Connection() {
  ::close(this->caller);
  ::close(this->target);
}

int Relay::ResetConnections() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  int count = 0;
  for (const std::weak_ptr<Connection>& entry : this->connections) {
    if (const std::shared_ptr<Connection> connection = entry.lock()) {
      // Dissolving the association of a TCP socket resets its connection.
      sockaddr none{};
      none.sa_family = AF_UNSPEC;
      ::connect(connection->caller, &none, sizeof(none));
      ::connect(connection->target, &none, sizeof(none));
      ++count;
    }
  }
  this->connections.clear();
  return count;
}

// Both directions end together.
void Relay::Copy(const Connection& connection, bool forward) {
  const int from = forward ? connection.caller : connection.target;
  const int to = forward ? connection.target : connection.caller;
  char bytes[16384];
  for (;;) {
    const ssize_t count = ::recv(from, bytes, sizeof(bytes), 0);
    if (count <= 0 ||
        !SendAll(to, std::string(bytes, static_cast<std::size_t>(count)))) {
      break;
    }
  }
  ::shutdown(from, SHUT_RDWR);
  ::shutdown(to, SHUT_RDWR);
}

}  // namespace review
