// A small HTTP/1.1 server and client for the stand-ins of this review.
#ifndef REVIEW_STAND_INS_3_HTTP_H_
#define REVIEW_STAND_INS_3_HTTP_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Header names are in lower case.
struct Message {
  std::string method;
  std::string target;
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? "" : found->second;
  }
};

inline sockaddr_in MakeAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Reads one message; `buffer` holds bytes that were received and not used.
// Returns false if the connection ends or the deadline passes before.
inline bool ReadMessage(int socket,
                        std::string& buffer,
                        Clock::time_point deadline,
                        Message& message) {
  const auto fill = [&] {
    const auto left = std::chrono::ceil<milliseconds>(deadline - Clock::now());
    pollfd entry{socket, POLLIN, 0};
    if (left.count() <= 0 ||
        ::poll(&entry, 1, static_cast<int>(left.count())) <= 0) {
      return false;
    }
    char bytes[16384];
    const ssize_t count = ::recv(socket, bytes, sizeof(bytes), 0);
    if (count > 0) {
      buffer.append(bytes, static_cast<std::size_t>(count));
    }
    return count > 0;
  };
  std::size_t end = std::string::npos;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!fill()) {
      return false;
    }
  }
  std::size_t begin = 0;
  bool first = true;
  while (begin < end + 2) {
    const std::size_t line_end = buffer.find("\r\n", begin);
    const std::string line = buffer.substr(begin, line_end - begin);
    begin = line_end + 2;
    if (first) {
      first = false;
      const std::size_t one = line.find(' ');
      const std::size_t two = line.find(' ', one + 1);
      message.method = line.substr(0, one);
      message.target = line.substr(one + 1, two - one - 1);
      message.status = std::atoi(message.target.c_str());
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers[name] =
        value == std::string::npos ? "" : line.substr(value);
  }
  buffer.erase(0, end + 4);
  if (message.Header("transfer-encoding") == "chunked") {
    for (;;) {
      std::size_t line_end = 0;
      while ((line_end = buffer.find("\r\n")) == std::string::npos) {
        if (!fill()) {
          return false;
        }
      }
      const std::size_t size =
          std::strtoul(buffer.substr(0, line_end).c_str(), nullptr, 16);
      buffer.erase(0, line_end + 2);
      while (buffer.size() < size + 2) {
        if (!fill()) {
          return false;
        }
      }
      message.body += buffer.substr(0, size);
      buffer.erase(0, size + 2);
      if (size == 0) {
        return true;
      }
    }
  }
  const std::size_t length = static_cast<std::size_t>(
      std::atoll(message.Header("content-length").c_str()));
  while (buffer.size() < length) {
    if (!fill()) {
      return false;
    }
  }
  message.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}

inline bool SendText(int socket, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t count =
        ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

// A server with one thread for each connection. The handler returns the text
// of the response, or "" to close the connection without one.
class Server {
 public:
  using Handler = std::function<std::string(const Message&, int socket)>;

  Server(std::string ip, int port, Handler handler)
      : ip(std::move(ip)), port(port), handler(std::move(handler)) {}
  ~Server() { this->Stop(); }

  // Listens; throws if the address is in use.
  void Start() {
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &enabled,
                 sizeof(enabled));
    const sockaddr_in address = MakeAddress(this->ip, this->port);
    if (::bind(this->listener, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) != 0 ||
        ::listen(this->listener, 256) != 0) {
      ::close(this->listener);
      this->listener = -1;
      throw std::runtime_error("cannot listen on " + this->ip);
    }
    this->stopping = false;
    this->acceptor = std::thread([this] { this->Accept(); });
  }

  // Stops listening and ends all connections, as the end of a process does.
  void Stop() {
    if (this->listener < 0) {
      return;
    }
    this->stopping = true;
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->listener);
    this->listener = -1;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      for (const int socket : this->sockets) {
        ::shutdown(socket, SHUT_RDWR);
      }
    }
    std::vector<std::thread> all;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      all.swap(this->threads);
    }
    for (std::thread& thread : all) {
      thread.join();
    }
  }

  bool IsStopping() const { return this->stopping; }

 private:
  void Accept() {
    for (;;) {
      const int socket =
          ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        if (this->stopping) {
          return;
        }
        continue;
      }
      const int enabled = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->sockets.insert(socket);
      this->threads.emplace_back([this, socket] { this->Serve(socket); });
    }
  }

  void Serve(int socket) {
    std::string buffer;
    for (;;) {
      Message request;
      if (this->stopping ||
          !ReadMessage(socket, buffer, Clock::now() + std::chrono::seconds(60),
                       request)) {
        break;
      }
      const std::string response = this->handler(request, socket);
      if (response.empty() || !SendText(socket, response) ||
          response.find("\r\nConnection: close\r\n") != std::string::npos) {
        break;
      }
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->sockets.erase(socket);
    ::close(socket);
  }

  const std::string ip;
  const int port;
  const Handler handler;
  int listener = -1;
  std::atomic<bool> stopping{false};
  std::thread acceptor;
  std::mutex mutex;
  std::set<int> sockets;
  std::vector<std::thread> threads;
};

// Sends one request over a new connection. The status is 0 if the connection
// ends without an answer, and -1 if no connection is made.
inline Message Exchange(const std::string& ip,
                        int port,
                        const std::string& request,
                        milliseconds timeout) {
  Message answer;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = MakeAddress(ip, port);
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    answer.status = -1;
    ::close(socket);
    return answer;
  }
  std::string buffer;
  if (!SendText(socket, request) ||
      !ReadMessage(socket, buffer, Clock::now() + timeout, answer)) {
    answer.status = 0;
  }
  ::close(socket);
  return answer;
}

}  // namespace review

#endif  // REVIEW_STAND_INS_3_HTTP_H_
