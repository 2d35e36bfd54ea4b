#ifndef DAEMON_HTTP_CONNECTION_H_
#define DAEMON_HTTP_CONNECTION_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "daemon/http_wire.h"

namespace comfrey {

/// \brief One connection to an HTTP server; owns the socket.
struct HttpConnection {
  explicit HttpConnection(int socket) : socket(socket), reader(socket) {}
  ~HttpConnection();

  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  int socket;
  WireReader reader;
  /// An idle connection is not reused after this time, since the server may
  /// close it.
  std::chrono::steady_clock::time_point usable_until;
};

/// \brief Connects to a server; returns null with the cause in `error` if that
/// fails or takes longer than until `deadline`.
std::unique_ptr<HttpConnection> OpenConnection(
    const std::string& ip,
    int port,
    std::chrono::steady_clock::time_point deadline,
    std::string& error);

/// \brief Whether the connection is open and has no unread bytes.
///
/// Before a request is sent, received bytes are a late or unsolicited response,
/// and an end of file means that the server closed the connection.
bool IsOpenAndIdle(const HttpConnection& connection);

/// \brief Sends all bytes, as WriteAll does. If sending fails, the response
/// that is read afterwards does not end regularly with the connection.
WireError SendAll(HttpConnection& connection,
                  std::chrono::steady_clock::time_point deadline,
                  absl::string_view bytes,
                  std::size_t& sent);

/// \brief Lets the kernel detect within 3 s that an idle connection is broken.
/// No reset arrives if a device between the two hosts has lost its state.
void EnableKeepalive(const HttpConnection& connection);

}  // namespace comfrey

#endif  // DAEMON_HTTP_CONNECTION_H_
