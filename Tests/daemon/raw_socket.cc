#include "daemon/raw_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

sockaddr_in MakeAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (::inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
    throw std::runtime_error("not an IP address: " + ip);
  }
  return address;
}

}  // namespace

RawSocket::~RawSocket() {
  ::close(this->socket);
}

std::unique_ptr<RawSocket> RawSocket::Connect(const std::string& ip, int port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto connection = std::make_unique<RawSocket>(socket);
  const sockaddr_in address = MakeAddress(ip, port);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    throw std::runtime_error("cannot connect to " + ip);
  }
  return connection;
}

bool RawSocket::Send(const std::string& bytes) const {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const ssize_t count = ::send(this->socket, bytes.data() + sent,
                                 bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::string RawSocket::Receive(
    const std::function<bool(const std::string&)>& is_complete,
    std::chrono::milliseconds timeout,
    bool& closed) const {
  closed = false;
  std::string received;
  const Clock::time_point deadline = Clock::now() + timeout;
  while (!is_complete(received)) {
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now());
    pollfd entry{this->socket, POLLIN, 0};
    if (left.count() <= 0 ||
        ::poll(&entry, 1, static_cast<int>(left.count())) <= 0) {
      break;
    }
    // Byte by byte, so that the next response stays in the socket.
    char byte = 0;
    if (::recv(this->socket, &byte, 1, 0) <= 0) {
      closed = true;
      break;
    }
    received.push_back(byte);
  }
  return received;
}

std::string RawSocket::ReceiveResponse(std::chrono::milliseconds timeout,
                                       bool& closed) const {
  std::string head = this->Receive(HasHead, timeout, closed);
  const std::string name = "Content-Length: ";
  const std::size_t start = head.find(name);
  if (closed || start == std::string::npos) {
    return head;
  }
  const std::size_t length = std::stoul(head.substr(start + name.size()));
  return head + this->Receive(
                    [length](const std::string& bytes) {
                      return bytes.size() >= length;
                    },
                    timeout, closed);
}

bool RawSocket::Discard(std::size_t count,
                        std::chrono::milliseconds timeout) const {
  std::array<char, 64 << 10> bytes;
  const Clock::time_point deadline = Clock::now() + timeout;
  while (count > 0) {
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now());
    pollfd entry{this->socket, POLLIN, 0};
    if (left.count() <= 0 ||
        ::poll(&entry, 1, static_cast<int>(left.count())) <= 0) {
      return false;
    }
    const ssize_t received =
        ::recv(this->socket, bytes.data(), std::min(count, bytes.size()), 0);
    if (received <= 0) {
      return false;
    }
    count -= static_cast<std::size_t>(received);
  }
  return true;
}

void RawSocket::ResetOnClose() const {
  const linger reset{1, 0};
  ::setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

void RawSocket::ShutdownWrite() const {
  ::shutdown(this->socket, SHUT_WR);
}

RawServer::RawServer(const std::string& ip, Handler handler, int threads)
    : listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
      handler(std::move(handler)) {
  sockaddr_in address = MakeAddress(ip, 0);
  socklen_t length = sizeof(address);
  if (::bind(this->listener, reinterpret_cast<sockaddr*>(&address), length) !=
          0 ||
      ::listen(this->listener, 16) != 0 ||
      ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address),
                    &length) != 0) {
    throw std::runtime_error("cannot listen on " + ip);
  }
  this->port = ntohs(address.sin_port);
  for (int i = 0; i < threads; ++i) {
    this->threads.emplace_back([this] { this->ServeConnections(); });
  }
}

void RawServer::ServeConnections() {
  for (;;) {
    const int accepted = ::accept(this->listener, nullptr, nullptr);
    if (accepted < 0) {
      return;
    }
    RawSocket socket(accepted);
    this->handler(socket, this->connections++);
  }
}

void RawServer::StopListening() const {
  ::shutdown(this->listener, SHUT_RDWR);
}

RawServer::~RawServer() {
  this->StopListening();
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  ::close(this->listener);
}

bool HasHead(const std::string& bytes) {
  return bytes.size() >= 4 &&
         bytes.compare(bytes.size() - 4, 4, "\r\n\r\n") == 0;
}

}  // namespace comfrey
