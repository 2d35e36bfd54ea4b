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
      std::thread([connection] { Copy(connection, true); }).detach();
      std::thread([connection] { Copy(connection, false); }).detach();
    }
  }).detach();
}

int Relay::ResetConnections() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  int count = 0;
  for (const std::shared_ptr<Connection>& connection : this->connections) {
    const std::lock_guard<std::mutex> connection_lock(connection->mutex);
    count += connection->closed ? 0 : 1;
    Close(*connection, true);
  }
  this->connections.clear();
  return count;
}

void Relay::Copy(const std::shared_ptr<Connection>& connection, bool forward) {
  const int from = forward ? connection->caller : connection->target;
  const int to = forward ? connection->target : connection->caller;
  char bytes[16384];
  for (;;) {
    const ssize_t count = ::recv(from, bytes, sizeof(bytes), 0);
    if (count <= 0 ||
        !SendAll(to, std::string(bytes, static_cast<std::size_t>(count)))) {
      break;
    }
  }
  const std::lock_guard<std::mutex> lock(connection->mutex);
  Close(*connection, false);
}

// Both directions end together. The caller must hold the mutex.
void Relay::Close(Connection& connection, bool reset) {
  if (connection.closed) {
    return;
  }
  connection.closed = true;
  for (const int socket : {connection.caller, connection.target}) {
    if (reset) {
      const linger immediately{1, 0};
      ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &immediately,
                   sizeof(immediately));
    } else {
      ::shutdown(socket, SHUT_RDWR);
    }
    ::close(socket);
  }
}

}  // namespace review
