// TCP relay that can drop or delay bytes, and reset connections.
//
// Accepts on --address:--port and connects to --target_address:--target_port.
// A line on standard input sets the mode: "pass", "drop-forward" (drops bytes
// to the target), "drop-back" (drops bytes to the caller), "drop-both", "delay"
// (passes bytes late), "silent-old" (existing connections drop all bytes, new
// connections work) or "reset" (resets the existing connections).
// Each line is acknowledged on standard output. The process exits at the end of
// its input.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "gflags/gflags.h"

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 0, "port to listen on");
DEFINE_string(target_address, "127.0.0.1", "IP address to connect to");
DEFINE_int32(target_port, 0, "port to connect to");

namespace {

constexpr std::chrono::milliseconds kDelay{100};

struct Mode {
  std::atomic<bool> drop_forward{false};
  std::atomic<bool> drop_back{false};
  std::atomic<bool> delay{false};
};

struct Connection {
  int caller = -1;
  int target = -1;
  std::atomic<bool> silent{false};
  // Guarded by the mutex of the relay.
  bool closed = false;
};

struct Relay {
  Mode mode;
  std::mutex mutex;
  std::vector<std::weak_ptr<Connection>> connections;
};

sockaddr_in MakeSocketAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool WriteAll(int fd, const char* data, std::size_t size) {
  while (size > 0) {
    const ssize_t written = send(fd, data, size, MSG_NOSIGNAL);
    if (written <= 0) {
      return false;
    }
    data += written;
    size -= static_cast<std::size_t>(written);
  }
  return true;
}

// Relays the bytes of one direction. Dropped bytes are read and discarded, so
// that the sender sees an open connection without a response.
void RelayDirection(const std::shared_ptr<Connection>& connection,
                    int from,
                    int to,
                    const std::atomic<bool>& drop,
                    const std::atomic<bool>& delay) {
  std::array<char, 16384> buffer{};
  for (;;) {
    const ssize_t size = recv(from, buffer.data(), buffer.size(), 0);
    if (size <= 0) {
      break;
    }
    if (drop || connection->silent) {
      continue;
    }
    if (delay) {
      std::this_thread::sleep_for(kDelay);
    }
    if (!WriteAll(to, buffer.data(), static_cast<std::size_t>(size))) {
      break;
    }
  }
  if (!drop && !connection->silent) {
    shutdown(to, SHUT_WR);
  }
}

void RelayConnection(Relay& relay,
                     const std::shared_ptr<Connection>& connection) {
  std::thread forward([&] {
    RelayDirection(connection, connection->caller, connection->target,
                   relay.mode.drop_forward, relay.mode.delay);
  });
  RelayDirection(connection, connection->target, connection->caller,
                 relay.mode.drop_back, relay.mode.delay);
  forward.join();
  const std::lock_guard<std::mutex> lock(relay.mutex);
  connection->closed = true;
  close(connection->caller);
  close(connection->target);
}

void AcceptConnections(Relay& relay, int listener) {
  for (;;) {
    const int caller = accept(listener, nullptr, nullptr);
    if (caller < 0) {
      return;
    }
    const int target = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address =
        MakeSocketAddress(FLAGS_target_address, FLAGS_target_port);
    if (connect(target, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
      close(caller);
      close(target);
      continue;
    }
    const int enable = 1;
    setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
    setsockopt(target, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
    auto connection = std::make_shared<Connection>();
    connection->caller = caller;
    connection->target = target;
    {
      const std::lock_guard<std::mutex> lock(relay.mutex);
      relay.connections.push_back(connection);
    }
    std::thread([&relay, connection] {
      RelayConnection(relay, connection);
    }).detach();
  }
}

// Makes both ends of a connection read a reset.
void Reset(const Connection& connection) {
  const linger reset{1, 0};
  for (const int fd : {connection.caller, connection.target}) {
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    shutdown(fd, SHUT_RDWR);
  }
}

void ChangeOpenConnections(Relay& relay, bool reset) {
  const std::lock_guard<std::mutex> lock(relay.mutex);
  for (const std::weak_ptr<Connection>& weak : relay.connections) {
    const std::shared_ptr<Connection> connection = weak.lock();
    if (!connection || connection->closed) {
      continue;
    }
    if (reset) {
      Reset(*connection);
    } else {
      connection->silent = true;
    }
  }
}

bool SetMode(Relay& relay, const std::string& line) {
  if (line == "silent-old" || line == "reset") {
    ChangeOpenConnections(relay, line == "reset");
    return true;
  }
  const bool is_known = line == "pass" || line == "drop-forward" ||
                        line == "drop-back" || line == "drop-both" ||
                        line == "delay";
  if (is_known) {
    relay.mode.drop_forward = line == "drop-forward" || line == "drop-both";
    relay.mode.drop_back = line == "drop-back" || line == "drop-both";
    relay.mode.delay = line == "delay";
  }
  return is_known;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int enable = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
  const sockaddr_in address = MakeSocketAddress(FLAGS_address, FLAGS_port);
  constexpr int kBacklog = 128;
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener, kBacklog) != 0) {
    std::cerr << "cannot listen on " << FLAGS_address << ":" << FLAGS_port
              << "\n";
    return 1;
  }
  Relay relay;
  std::thread([&relay, listener] {
    AcceptConnections(relay, listener);
  }).detach();
  std::string line;
  while (std::getline(std::cin, line)) {
    std::cout << (SetMode(relay, line) ? "ok" : "unknown mode") << std::endl;
  }
  // Exits without running destructors, because detached threads still use the
  // relay.
  _exit(0);
}
