#ifndef DAEMON_HTTP_WIRE_H_
#define DAEMON_HTTP_WIRE_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "core/http_message.h"

namespace comfrey {

/// \brief Why a message could not be read.
enum class WireError {
  kNone,
  kClosed,        ///< The peer closed the connection before the end.
  kReset,         ///< The connection was reset or failed.
  kTimedOut,      ///< The deadline passed before the end.
  kMalformed,     ///< Not HTTP/1.1, or its length is ambiguous.
  kHeadTooLarge,  ///< The start line and headers exceed their limit.
  kBodyTooLarge,  ///< The body exceeds its limit.
};

/// \brief Buffered reads of one socket, each with a deadline. Does not own the
/// socket.
class WireReader {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit WireReader(int socket) : socket(socket) {}

  /// \brief Whether bytes were received that no message has taken yet.
  bool HasBufferedBytes() const { return this->position < this->buffer.size(); }

  /// \brief Frees the buffer of a connection that becomes idle.
  void ReleaseBuffer();

  /// \brief Appends the next line, without CR LF, to `line`; `budget` is the
  /// number of bytes that it may take and is reduced by these.
  WireError ReadLine(TimePoint deadline,
                     std::size_t& bytes_left,
                     std::string& line);

  /// \brief Appends `count` bytes to `bytes`.
  WireError ReadBytes(TimePoint deadline,
                      std::size_t count,
                      std::string& bytes);

  /// \brief Appends all bytes up to the end of file; at most `max_bytes`.
  WireError ReadUntilClose(TimePoint deadline,
                           std::size_t max_bytes,
                           std::string& bytes);

 private:
  WireError FillBuffer(TimePoint deadline);

  int socket;
  std::string buffer;
  std::size_t position = 0;
};

/// \brief Start line and headers of a message, as received.
struct MessageHead {
  std::string start_line;
  std::vector<HttpHeader> headers;
};

/// \brief How the end of a body is determined.
struct BodyFraming {
  bool chunked = false;
  bool has_length = false;
  std::size_t length = 0;
};

/// \brief Reads start line and headers, at most `max_bytes`.
WireError ReadHead(WireReader& reader,
                   WireReader::TimePoint deadline,
                   std::size_t max_bytes,
                   MessageHead& head);

/// \brief Derives the framing from the headers; returns why it is ambiguous or
/// unsupported, or "".
std::string DetermineFraming(const std::vector<HttpHeader>& headers,
                             BodyFraming& framing);

/// \brief Reads a body and decodes chunks; `body` holds at most `max_bytes`.
WireError ReadBody(WireReader& reader,
                   WireReader::TimePoint deadline,
                   const BodyFraming& framing,
                   std::size_t max_bytes,
                   std::string& body);

/// \brief Whether a header may be written as it is: the name is a token and
/// the value has no control characters (RFC 9110, section 5).
bool IsValidHeader(const HttpHeader& header);

/// \brief Whether a name is a token (RFC 9110, section 5.6.2).
bool IsToken(absl::string_view text);

/// \brief Whether a request target has only visible ASCII characters.
bool IsValidTarget(absl::string_view target);

/// \brief Whether a header Connection contains the option.
bool HasConnectionOption(const std::vector<HttpHeader>& headers,
                         absl::string_view option);

/// \brief Waits until the socket is ready for `events` (poll) or the deadline
/// passes; returns whether it is ready.
bool WaitForSocket(int socket, short events, WireReader::TimePoint deadline);

/// \brief Writes all bytes; returns whether that succeeded by the deadline.
/// `sent` is the number of bytes that the kernel took.
bool WriteAll(int socket,
              WireReader::TimePoint deadline,
              absl::string_view bytes,
              std::size_t& sent);

}  // namespace comfrey

#endif  // DAEMON_HTTP_WIRE_H_
