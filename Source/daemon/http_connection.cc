#include "daemon/http_connection.h"

#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

std::string DescribeConnectError(int code) {
  switch (code) {
    case ECONNREFUSED:
      return "the connection was refused";
    case ETIMEDOUT:
      return "the connection was not accepted in time";
    default:
      return std::strerror(code);
  }
}

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
    error = "the address is not an IP address";
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
    error = DescribeConnectError(code);
    ::close(socket);
    return -1;
  }
  return socket;
}

}  // namespace

HttpConnection::~HttpConnection() {
  ::close(this->socket);
}

std::unique_ptr<HttpConnection> OpenConnection(const std::string& ip,
                                               int port,
                                               Clock::time_point deadline,
                                               std::string& error) {
  const int socket = Connect(ip, port, deadline, error);
  return socket < 0 ? nullptr : std::make_unique<HttpConnection>(socket);
}

bool IsOpenAndIdle(const HttpConnection& connection) {
  return !connection.reader.HasBufferedBytes() &&
         !WaitForSocket(connection.socket, POLLIN, Clock::time_point{});
}

WireError SendAll(HttpConnection& connection,
                  Clock::time_point deadline,
                  absl::string_view bytes,
                  std::size_t& sent) {
  const WireError error = WriteAll(connection.socket, deadline, bytes, sent);
  if (error == WireError::kReset) {
    connection.reader.MarkReset();
  }
  return error;
}

void EnableKeepalive(const HttpConnection& connection) {
  constexpr int kEnabled = 1;
  constexpr int kIdleSeconds = 1;
  constexpr int kIntervalSeconds = 1;
  constexpr int kProbeCount = 2;
  const int socket = connection.socket;
  ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &kEnabled, sizeof(kEnabled));
  ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kIdleSeconds,
               sizeof(kIdleSeconds));
  ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kIntervalSeconds,
               sizeof(kIntervalSeconds));
  ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kProbeCount,
               sizeof(kProbeCount));
}

}  // namespace comfrey
