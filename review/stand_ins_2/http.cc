#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

constexpr int kBacklog = 512;
constexpr int kCannotRun = 2;
constexpr std::chrono::milliseconds kIdleTimeout{10'000};

sockaddr_in MakeAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool WaitFor(int socket, short events, std::chrono::milliseconds timeout) {
  pollfd entry{socket, events, 0};
  int ready = 0;
  do {
    ready = ::poll(&entry, 1, static_cast<int>(timeout.count()));
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

// Appends the bytes that arrive next; returns false at the end of the
// connection or after `timeout`.
bool Fill(HttpStream& stream, std::chrono::milliseconds timeout) {
  char bytes[16384];
  if (!WaitFor(stream.socket, POLLIN, timeout)) {
    return false;
  }
  const ssize_t count = ::recv(stream.socket, bytes, sizeof(bytes), 0);
  if (count <= 0) {
    return false;
  }
  stream.buffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

bool ReadLine(HttpStream& stream,
              std::chrono::milliseconds timeout,
              std::string& line) {
  std::size_t end = 0;
  while ((end = stream.buffer.find("\r\n")) == std::string::npos) {
    if (!Fill(stream, timeout)) {
      return false;
    }
  }
  line = stream.buffer.substr(0, end);
  stream.buffer.erase(0, end + 2);
  return true;
}

bool ReadBytes(HttpStream& stream,
               std::size_t count,
               std::chrono::milliseconds timeout,
               std::string& bytes) {
  while (stream.buffer.size() < count) {
    if (!Fill(stream, timeout)) {
      return false;
    }
  }
  bytes += stream.buffer.substr(0, count);
  stream.buffer.erase(0, count);
  return true;
}

bool ReadChunks(HttpStream& stream,
                std::chrono::milliseconds timeout,
                std::string& body) {
  for (;;) {
    std::string line;
    if (!ReadLine(stream, timeout, line)) {
      return false;
    }
    const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
    if (!ReadBytes(stream, size, timeout, body) ||
        !ReadLine(stream, timeout, line)) {
      return false;
    }
    if (size == 0) {
      return true;
    }
  }
}

}  // namespace

std::string HttpMessage::Header(const std::string& name) const {
  for (const auto& [header, value] : this->headers) {
    if (::strcasecmp(header.c_str(), name.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

std::string HttpMessage::Target() const {
  const std::size_t begin = this->start_line.find(' ') + 1;
  return this->start_line.substr(begin,
                                 this->start_line.find(' ', begin) - begin);
}

int HttpMessage::Status() const {
  return this->start_line.compare(0, 5, "HTTP/") == 0
             ? std::atoi(this->start_line.c_str() + 9)
             : 0;
}

int Listen(const std::string& ip, int port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  const sockaddr_in address = MakeAddress(ip, port);
  if (::bind(socket, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(socket, kBacklog) != 0) {
    std::perror(("listen on " + ip + ":" + std::to_string(port)).c_str());
    std::exit(kCannotRun);
  }
  return socket;
}

int Connect(const std::string& ip,
            int port,
            std::chrono::milliseconds timeout) {
  const int socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = MakeAddress(ip, port);
  int error = 0;
  socklen_t length = sizeof(error);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0 &&
      (errno != EINPROGRESS || !WaitFor(socket, POLLOUT, timeout) ||
       ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length) != 0 ||
       error != 0)) {
    ::close(socket);
    return -1;
  }
  ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
  const int enabled = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  return socket;
}

bool SendAll(int socket, const std::string& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const ssize_t count =
        ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::optional<HttpMessage> ReadMessage(HttpStream& stream,
                                       bool is_response,
                                       std::chrono::milliseconds timeout) {
  HttpMessage message;
  if (!ReadLine(stream, timeout, message.start_line)) {
    return std::nullopt;
  }
  std::string line;
  do {
    if (!ReadLine(stream, timeout, line)) {
      return std::nullopt;
    }
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
    }
  } while (!line.empty());
  const std::string length = message.Header("Content-Length");
  bool complete = true;
  if (!message.Header("Transfer-Encoding").empty()) {
    complete = ReadChunks(stream, timeout, message.body);
  } else if (!length.empty()) {
    complete = ReadBytes(stream, std::strtoul(length.c_str(), nullptr, 10),
                         timeout, message.body);
  } else if (is_response) {
    while (Fill(stream, timeout)) {
    }
    message.body = std::move(stream.buffer);
  }
  return complete ? std::make_optional(std::move(message)) : std::nullopt;
}

void Serve(int listener,
           const std::function<bool(const HttpMessage&, int socket)>& handle) {
  std::thread([listener, handle] {
    for (;;) {
      const int socket = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        continue;
      }
      std::thread([socket, handle] {
        const int enabled = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled,
                     sizeof(enabled));
        HttpStream stream{socket, ""};
        bool open = true;
        while (open) {
          const std::optional<HttpMessage> request =
              ReadMessage(stream, false, kIdleTimeout);
          open = request && handle(*request, socket);
        }
        ::close(socket);
      }).detach();
    }
  }).detach();
}

void ResetAndClose(int socket) {
  const linger reset{1, 0};
  ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  ::close(socket);
}

}  // namespace review
