#ifndef TESTS_DAEMON_RAW_SOCKET_H_
#define TESTS_DAEMON_RAW_SOCKET_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace comfrey {

/// \brief One TCP connection that sends and receives unmodified bytes.
class RawSocket {
 public:
  explicit RawSocket(int socket) : socket(socket) {}
  ~RawSocket();

  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  /// \brief Connects to an address; throws if that fails.
  static std::unique_ptr<RawSocket> Connect(const std::string& ip, int port);

  /// \brief Sends all bytes; returns false if the peer has closed.
  bool Send(const std::string& bytes) const;

  /// \brief Receives until `is_complete` returns true for the bytes, the peer
  /// closes or the time has passed. `closed` is whether the peer closed.
  std::string Receive(
      const std::function<bool(const std::string&)>& is_complete,
      std::chrono::milliseconds timeout,
      bool& closed) const;

  /// \brief Receives one response with a Content-Length header. Returns the
  /// part received if the peer closes or the time has passed.
  std::string ReceiveResponse(std::chrono::milliseconds timeout,
                              bool& closed) const;

  /// \brief Receives `count` bytes and discards them. Returns whether all of
  /// them arrived in time.
  bool Discard(std::size_t count, std::chrono::milliseconds timeout) const;

  /// \brief Makes the destructor reset the connection.
  void ResetOnClose() const;

  /// \brief Closes the write side; the peer reads an end of file.
  void ShutdownWrite() const;

 private:
  int socket;
};

/// \brief Listens on a free port and calls `handler` for each connection, with
/// its number from 0. Each of `threads` threads serves one connection at a
/// time; further connections wait, accepted by the kernel and unread.
class RawServer {
 public:
  using Handler = std::function<void(RawSocket&, int connection)>;

  RawServer(const std::string& ip, Handler handler, int threads = 1);
  ~RawServer();

  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  int Port() const { return this->port; }

  /// \brief Refuses further connections.
  void StopListening() const;

 private:
  void ServeConnections();

  int listener;
  int port = 0;
  Handler handler;
  std::atomic<int> connections{0};
  std::vector<std::thread> threads;
};

/// \brief Whether the bytes end with the empty line that ends the head of a
/// message.
bool HasHead(const std::string& bytes);

}  // namespace comfrey

#endif  // TESTS_DAEMON_RAW_SOCKET_H_
