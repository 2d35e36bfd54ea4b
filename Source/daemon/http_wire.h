#ifndef DAEMON_HTTP_WIRE_H_
#define DAEMON_HTTP_WIRE_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "core/http_message.h"
#include "daemon/response_budget.h"

namespace comfrey {

/// \brief Why a message could not be read.
enum class WireError {
  kNone,
  kClosed,        ///< The peer closed the connection before the message ended.
  kReset,         ///< The connection was reset or failed.
  kTimedOut,      ///< The deadline passed before the message ended.
  kMalformed,     ///< Not HTTP/1.1, or its length is ambiguous.
  kHeadTooLarge,  ///< The start line and headers exceed their limit.
  kBodyTooLarge,  ///< The body exceeds its limit.
  kOverBudget,    ///< The memory that messages share is exhausted.
};

/// \brief A body that is being received, and its limits.
struct BodyBuffer {
  std::string bytes;
  std::size_t max_bytes = 0;
  /// Limits the memory of several bodies together; null if only `max_bytes`
  /// applies.
  ResponseReservation* reservation = nullptr;
};

/// \brief Buffered reader of one socket; each read has a deadline. Does not own
/// the socket.
class WireReader {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit WireReader(int socket) : socket(socket) {}
  /// \brief Reads bytes that were received before; nothing follows them.
  explicit WireReader(std::string received) : buffer(std::move(received)) {}

  /// \brief Whether the buffer holds received bytes that were not read yet.
  bool HasBufferedBytes() const { return this->position < this->buffer.size(); }

  /// \brief The received bytes that were not read yet. Valid until the next
  /// call.
  absl::string_view Buffered() const {
    return absl::string_view(this->buffer).substr(this->position);
  }

  /// \brief Discards the next `count` of the received bytes.
  void Skip(std::size_t count) { this->position += count; }

  /// \brief Receives bytes that have arrived, without waiting, unless the
  /// buffer holds `max_bytes`. Returns kClosed or kReset if the connection has
  /// ended.
  WireError FillAvailable(std::size_t max_bytes);

  /// \brief Takes the end of the connection for a reset from now on, because
  /// sending over it has failed.
  ///
  /// A socket reports its error once. After a send that failed, it reads as if
  /// the peer had closed the connection.
  void MarkReset() { this->reset = true; }

  /// \brief Frees the memory of an empty buffer, for a connection that becomes
  /// idle.
  void ReleaseBuffer();

  /// \brief Reads the next line and appends it, without CR LF, to `line`. The
  /// line with CR LF may have at most `bytes_left` bytes, and its length is
  /// subtracted from them.
  WireError ReadLine(TimePoint deadline,
                     std::size_t& bytes_left,
                     std::string& line);

  /// \brief Reads `count` bytes and appends them to the body.
  WireError ReadBytes(TimePoint deadline, std::size_t count, BodyBuffer& body);

  /// \brief Reads 1 to `count` bytes and appends them to the body.
  WireError ReadSome(TimePoint deadline, std::size_t count, BodyBuffer& body);

  /// \brief Reads until the peer closes the connection and appends the bytes to
  /// the body.
  WireError ReadUntilClose(TimePoint deadline, BodyBuffer& body);

 private:
  WireError FillBuffer(TimePoint deadline);
  // Returns why a connection has ended. Once it was reset, no read reports a
  // regular end.
  WireError EndOfConnection(bool failed);

  int socket = -1;
  std::string buffer;
  std::size_t position = 0;
  bool reset = false;
};

/// \brief Start line and headers of a message, as received and not decoded.
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

/// \brief A body that is read in parts.
struct BodyProgress {
  BodyProgress(const BodyFraming& framing, std::size_t max_bytes);

  bool chunked;
  /// Limit of the whole body.
  std::size_t max_bytes;
  std::size_t received = 0;
  /// Bytes that are left of the body or of the chunk that is being read.
  std::size_t left = 0;
  /// Whether the bytes of a chunk were read and its line end was not.
  bool at_chunk_end = false;
  /// Whether the last chunk was read and the trailers were not.
  bool in_trailers = false;
  bool ended = false;
};

/// \brief Reads the next part of a body, at least 1 byte and at most
/// `part_bytes`, unless the body ends, and appends it to `part`. After a
/// time-out it can be called again.
WireError ReadBodyPart(WireReader& reader,
                       WireReader::TimePoint deadline,
                       std::size_t part_bytes,
                       BodyProgress& progress,
                       BodyBuffer& part);

/// \brief Reads the start line and the headers, at most `max_bytes` in total.
WireError ReadHead(WireReader& reader,
                   WireReader::TimePoint deadline,
                   std::size_t max_bytes,
                   MessageHead& head);

/// \brief Determines the framing of the body from the headers. Returns why it
/// is ambiguous or unsupported, or "".
std::string DetermineFraming(const std::vector<HttpHeader>& headers,
                             BodyFraming& framing);

/// \brief Reads a body and decodes chunks.
WireError ReadBody(WireReader& reader,
                   WireReader::TimePoint deadline,
                   const BodyFraming& framing,
                   BodyBuffer& body);

/// \brief As above; `body` may hold at most `max_bytes`.
WireError ReadBody(WireReader& reader,
                   WireReader::TimePoint deadline,
                   const BodyFraming& framing,
                   std::size_t max_bytes,
                   std::string& body);

/// \brief Whether a header can be sent unchanged: its name is a token, and its
/// value has no control characters (RFC 9110, section 5).
bool IsValidHeader(const HttpHeader& header);

/// \brief Whether a text is a token (RFC 9110, section 5.6.2).
bool IsToken(absl::string_view text);

/// \brief Whether a request target is not empty and has only visible ASCII
/// characters other than "#".
bool IsValidTarget(absl::string_view target);

/// \brief Whether a Connection header lists the option.
bool HasConnectionOption(const std::vector<HttpHeader>& headers,
                         absl::string_view option);

/// \brief Waits until the socket is ready for `events` (poll) or the deadline
/// passes; returns whether it is ready.
bool WaitForSocket(int socket, short events, WireReader::TimePoint deadline);

/// \brief Writes all bytes; returns kTimedOut at the deadline and kReset if the
/// connection failed. `sent` is the number of bytes that the kernel accepted.
///
/// Use SendAll where a response is read from the same connection.
WireError WriteAll(int socket,
                   WireReader::TimePoint deadline,
                   absl::string_view bytes,
                   std::size_t& sent);

}  // namespace comfrey

#endif  // DAEMON_HTTP_WIRE_H_
