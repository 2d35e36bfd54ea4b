#ifndef TESTS_DAEMON_RAW_SOCKET_H_
#define TESTS_DAEMON_RAW_SOCKET_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace comfrey {

/// \brief One TCP connection that sends and receives bytes as they are.
class RawSocket {
 public:
  explicit RawSocket(int socket) : socket(socket) {}
  ~RawSocket();

  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;

  /// \brief Connects; fails the test if that is impossible.
  static std::unique_ptr<RawSocket> Connect(const std::string& ip, int port);

  /// \brief Sends all bytes; returns false if the peer has closed.
  bool Send(const std::string& bytes) const;

  /// \brief Receives until `enough` accepts the bytes, the peer closes or the
  /// time has passed; `closed` tells whether the peer closed.
  std::string Receive(
      const std::function<bool(const std::string&)>& is_complete,
      std::chrono::milliseconds timeout,
      bool& closed) const;

  /// \brief Receives one response with Content-Length, or what came of it.
  std::string ReceiveResponse(std::chrono::milliseconds timeout,
                              bool& closed) const;

  /// \brief Makes the end of this object reset the connection.
  void ResetOnClose() const;

  /// \brief Sends no more bytes; the peer reads an end of file.
  void ShutdownWrite() const;

 private:
  int socket;
};

/// \brief Listens on a free port and runs `serve` for each connection, on one
/// thread, with the number of the connection.
class RawServer {
 public:
  using Handler = std::function<void(RawSocket&, int connection)>;

  RawServer(const std::string& ip, Handler handler);
  ~RawServer();

  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  int Port() const { return this->port; }

  /// \brief Refuses further connections.
  void StopListening() const;

 private:
  int listener;
  int port = 0;
  Handler handler;
  std::thread thread;
};

/// \brief Whether the bytes hold a whole head of a message.
bool HasHead(const std::string& bytes);

}  // namespace comfrey

#endif  // TESTS_DAEMON_RAW_SOCKET_H_
