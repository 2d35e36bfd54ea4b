#ifndef REVIEW_STAND_INS_2_HTTP_H_
#define REVIEW_STAND_INS_2_HTTP_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// \brief A request or a response as it was received.
struct HttpMessage {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  /// \brief Returns the value of a header, or "".
  std::string Header(const std::string& name) const;
  /// \brief Returns the path and query of a request.
  std::string Target() const;
  /// \brief Returns the status of a response, or 0.
  int Status() const;
};

/// \brief A connection with the bytes that were received and not yet used.
struct HttpStream {
  int socket = -1;
  std::string buffer;
};

/// \brief Listens on a loopback address; returns the socket or exits the case
/// with status 2.
int Listen(const std::string& ip, int port);

/// \brief Connects within `timeout`; returns the socket, or -1.
int Connect(const std::string& ip, int port, std::chrono::milliseconds timeout);

bool SendAll(int socket, const std::string& bytes);

/// \brief Reads the next message. A response without a length ends with its
/// connection. Returns nothing if the connection ended before the end of the
/// message or `timeout` passed without a byte.
std::optional<HttpMessage> ReadMessage(HttpStream& stream,
                                       bool is_response,
                                       std::chrono::milliseconds timeout);

/// \brief Accepts connections and serves each of them on a thread of its own.
/// `handle` gets each request and returns whether the connection stays open.
void Serve(int listener,
           const std::function<bool(const HttpMessage&, int socket)>& handle);

/// \brief Closes a socket so that its peer gets a reset.
void ResetAndClose(int socket);

}  // namespace review

#endif  // REVIEW_STAND_INS_2_HTTP_H_
