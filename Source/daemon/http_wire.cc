#include "daemon/http_wire.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"

// Messages are parsed here and not by cpp-httplib, because its parser is
// lenient and cannot be configured to be strict. It skips header lines that it
// cannot parse, so another parser may see a different message length. It also
// decodes percent signs in header values, accepts any chunk size that strtoul
// accepts, and limits neither the total size of the headers nor that of a
// chunked body.

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

// poll takes its timeout as an int, so a longer wait calls it repeatedly.
constexpr std::chrono::milliseconds kMaxPollTimeout{60'000};
constexpr std::size_t kReadSize = 16 << 10;
// Largest line of a chunk size with its extensions.
constexpr std::size_t kMaxChunkLine = 256;
// Largest total size of the trailers of one message.
constexpr std::size_t kMaxTrailers = 8 << 10;

bool IsTokenCharacter(char c) {
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
         absl::string_view("!#$%&'*+-.^_`|~").find(c) !=
             absl::string_view::npos;
}

bool IsFieldCharacter(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= 0x20 && byte != 0x7f);
}

bool IsFieldText(absl::string_view text) {
  return std::all_of(text.begin(), text.end(), IsFieldCharacter);
}

absl::string_view TrimBlanks(absl::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

// Rejects a line without a colon, a folded line and a space before the colon:
// in the last two cases the name is not a token.
bool ParseHeaderLine(absl::string_view line, HttpHeader& header) {
  const std::size_t colon = line.find(':');
  if (colon == absl::string_view::npos || !IsFieldText(line) ||
      !IsToken(line.substr(0, colon))) {
    return false;
  }
  header.name = std::string(line.substr(0, colon));
  header.value = std::string(TrimBlanks(line.substr(colon + 1)));
  return true;
}

bool ParseChunkSize(absl::string_view line, std::size_t& size) {
  const absl::string_view digits = line.substr(0, line.find(';'));
  if (digits.empty() || !IsFieldText(line) ||
      !std::all_of(digits.begin(), digits.end(), [](char c) {
        return absl::ascii_isxdigit(static_cast<unsigned char>(c));
      })) {
    return false;
  }
  return absl::SimpleHexAtoi(digits, &size);
}

WireError Append(absl::string_view bytes, BodyBuffer& body) {
  if (bytes.size() > body.max_bytes - body.bytes.size()) {
    return WireError::kBodyTooLarge;
  }
  if (body.reservation != nullptr &&
      !body.reservation->Grow(body.bytes.size() + bytes.size())) {
    return WireError::kOverBudget;
  }
  body.bytes.append(bytes.data(), bytes.size());
  return WireError::kNone;
}

// A line that ends a chunk or states the size of the next one must be received
// as a whole; a line that is too long is malformed.
WireError ReadChunkLine(WireReader& reader,
                        Clock::time_point deadline,
                        std::size_t max_bytes,
                        std::string& line) {
  const WireError error = reader.ReadLine(deadline, max_bytes, line);
  return error == WireError::kHeadTooLarge ? WireError::kMalformed : error;
}

// Trailers are checked and discarded, since the daemon does not use them.
WireError ReadTrailers(WireReader& reader, Clock::time_point deadline) {
  std::size_t bytes_left = kMaxTrailers;
  for (;;) {
    std::string line;
    const WireError error = reader.ReadLine(deadline, bytes_left, line);
    if (error != WireError::kNone) {
      return error;
    }
    HttpHeader trailer;
    if (line.empty()) {
      return WireError::kNone;
    }
    if (!ParseHeaderLine(line, trailer)) {
      return WireError::kMalformed;
    }
  }
}

// Reads the line with the size of the next chunk, or the end of the body.
WireError BeginChunk(WireReader& reader,
                     Clock::time_point deadline,
                     BodyProgress& progress) {
  if (!progress.in_trailers) {
    std::string line;
    const WireError error =
        ReadChunkLine(reader, deadline, kMaxChunkLine, line);
    if (error != WireError::kNone) {
      return error;
    }
    std::size_t size = 0;
    if (!ParseChunkSize(line, size)) {
      return WireError::kMalformed;
    }
    if (size > progress.max_bytes - progress.received) {
      return WireError::kBodyTooLarge;
    }
    progress.left = size;
    if (size > 0) {
      return WireError::kNone;
    }
    progress.in_trailers = true;
  }
  const WireError error = ReadTrailers(reader, deadline);
  progress.ended = error == WireError::kNone;
  return error;
}

// Only CR LF may follow the bytes of a chunk.
WireError EndChunk(WireReader& reader,
                   Clock::time_point deadline,
                   BodyProgress& progress) {
  std::string line;
  const WireError error = ReadChunkLine(reader, deadline, 2, line);
  progress.at_chunk_end = error != WireError::kNone;
  return error;
}

}  // namespace

WireError WireReader::FillBuffer(TimePoint deadline) {
  if (this->position > 0) {
    this->buffer.erase(0, this->position);
    this->position = 0;
  }
  std::array<char, kReadSize> bytes;
  // The deadline is checked before each read, because a wait never times out if
  // the peer sends bytes continuously.
  while (Clock::now() < deadline) {
    const ssize_t count =
        ::recv(this->socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count > 0) {
      this->buffer.append(bytes.data(), static_cast<std::size_t>(count));
      return WireError::kNone;
    }
    if (count == 0 ||
        (errno != EINTR && errno != EAGAIN && errno != EWOULDBLOCK)) {
      return this->EndOfConnection(count < 0);
    }
    WaitForSocket(this->socket, POLLIN, deadline);
  }
  return WireError::kTimedOut;
}

WireError WireReader::EndOfConnection(bool failed) {
  this->reset = this->reset || failed;
  return this->reset ? WireError::kReset : WireError::kClosed;
}

WireError WireReader::FillAvailable(std::size_t max_bytes) {
  std::array<char, kReadSize> bytes;
  const bool full = this->Buffered().size() >= max_bytes;
  const ssize_t count =
      ::recv(this->socket, bytes.data(), full ? 1 : bytes.size(),
             MSG_DONTWAIT | (full ? MSG_PEEK : 0));
  if (count < 0) {
    const bool waiting =
        errno == EINTR || errno == EAGAIN || errno == EWOULDBLOCK;
    return waiting ? WireError::kNone : this->EndOfConnection(true);
  }
  if (count == 0) {
    return this->EndOfConnection(false);
  }
  if (!full) {
    this->buffer.erase(0, this->position);
    this->position = 0;
    this->buffer.append(bytes.data(), static_cast<std::size_t>(count));
  }
  return WireError::kNone;
}

void WireReader::ReleaseBuffer() {
  if (!this->HasBufferedBytes()) {
    std::string().swap(this->buffer);
    this->position = 0;
  }
}

WireError WireReader::ReadLine(TimePoint deadline,
                               std::size_t& bytes_left,
                               std::string& line) {
  std::size_t searched = 0;
  for (;;) {
    const absl::string_view rest =
        absl::string_view(this->buffer).substr(this->position);
    const std::size_t end = rest.find('\n', searched);
    if (end != absl::string_view::npos) {
      // A line that ends with LF alone is rejected below, since another parser
      // might not treat LF as the end of the line.
      if (end + 1 > bytes_left) {
        return WireError::kHeadTooLarge;
      }
      if (end == 0 || rest[end - 1] != '\r') {
        return WireError::kMalformed;
      }
      line.append(rest.data(), end - 1);
      this->position += end + 1;
      bytes_left -= end + 1;
      return WireError::kNone;
    }
    searched = rest.size();
    if (searched >= bytes_left) {
      return WireError::kHeadTooLarge;
    }
    const WireError error = this->FillBuffer(deadline);
    if (error != WireError::kNone) {
      return error;
    }
  }
}

WireError WireReader::ReadBytes(TimePoint deadline,
                                std::size_t count,
                                BodyBuffer& body) {
  for (;;) {
    const absl::string_view received =
        absl::string_view(this->buffer).substr(this->position, count);
    const WireError limit = Append(received, body);
    if (limit != WireError::kNone) {
      return limit;
    }
    this->position += received.size();
    count -= received.size();
    if (count == 0) {
      return WireError::kNone;
    }
    const WireError error = this->FillBuffer(deadline);
    if (error != WireError::kNone) {
      return error;
    }
  }
}

WireError WireReader::ReadSome(TimePoint deadline,
                               std::size_t count,
                               BodyBuffer& body) {
  if (!this->HasBufferedBytes()) {
    const WireError error = this->FillBuffer(deadline);
    if (error != WireError::kNone) {
      return error;
    }
  }
  return this->ReadBytes(
      deadline, std::min(count, this->buffer.size() - this->position), body);
}

WireError WireReader::ReadUntilClose(TimePoint deadline, BodyBuffer& body) {
  for (;;) {
    const WireError limit =
        Append(absl::string_view(this->buffer).substr(this->position), body);
    if (limit != WireError::kNone) {
      return limit;
    }
    this->position = this->buffer.size();
    const WireError error = this->FillBuffer(deadline);
    if (error != WireError::kNone) {
      return error == WireError::kClosed ? WireError::kNone : error;
    }
  }
}

WireError ReadHead(WireReader& reader,
                   WireReader::TimePoint deadline,
                   std::size_t max_bytes,
                   MessageHead& head) {
  std::size_t bytes_left = max_bytes;
  WireError error = reader.ReadLine(deadline, bytes_left, head.start_line);
  if (error != WireError::kNone) {
    return error;
  }
  if (!IsFieldText(head.start_line)) {
    return WireError::kMalformed;
  }
  for (;;) {
    std::string line;
    error = reader.ReadLine(deadline, bytes_left, line);
    if (error != WireError::kNone) {
      return error;
    }
    if (line.empty()) {
      return WireError::kNone;
    }
    HttpHeader header;
    if (!ParseHeaderLine(line, header)) {
      return WireError::kMalformed;
    }
    head.headers.push_back(std::move(header));
  }
}

std::string DetermineFraming(const std::vector<HttpHeader>& headers,
                             BodyFraming& framing) {
  std::size_t lengths = 0;
  std::size_t encodings = 0;
  absl::string_view length;
  absl::string_view encoding;
  for (const HttpHeader& header : headers) {
    if (absl::EqualsIgnoreCase(header.name, "Content-Length")) {
      ++lengths;
      length = header.value;
    } else if (absl::EqualsIgnoreCase(header.name, "Transfer-Encoding")) {
      ++encodings;
      encoding = header.value;
    }
  }
  if (lengths > 1 || encodings > 1) {
    return "Content-Length or Transfer-Encoding is given more than once";
  }
  if (lengths == 1 && encodings == 1) {
    return "both Content-Length and Transfer-Encoding are given";
  }
  if (encodings == 1 && !absl::EqualsIgnoreCase(encoding, "chunked")) {
    return "only the transfer encoding chunked is supported";
  }
  framing.chunked = encodings == 1;
  framing.has_length = lengths == 1;
  if (lengths == 1 &&
      (length.empty() ||
       length.find_first_not_of("0123456789") != absl::string_view::npos ||
       !absl::SimpleAtoi(length, &framing.length))) {
    return "Content-Length is not a number";
  }
  return "";
}

BodyProgress::BodyProgress(const BodyFraming& framing, std::size_t max_bytes)
    : chunked(framing.chunked),
      max_bytes(max_bytes),
      left(framing.length),
      ended(!framing.chunked && framing.length == 0) {}

WireError ReadBodyPart(WireReader& reader,
                       WireReader::TimePoint deadline,
                       std::size_t part_bytes,
                       BodyProgress& progress,
                       BodyBuffer& part) {
  while (progress.left == 0 && !progress.ended) {
    const WireError error = progress.at_chunk_end
                                ? EndChunk(reader, deadline, progress)
                                : BeginChunk(reader, deadline, progress);
    if (error != WireError::kNone) {
      return error;
    }
  }
  if (progress.ended) {
    return WireError::kNone;
  }
  if (progress.left > progress.max_bytes - progress.received) {
    return WireError::kBodyTooLarge;
  }
  const std::size_t before = part.bytes.size();
  const WireError error =
      reader.ReadSome(deadline, std::min(progress.left, part_bytes), part);
  const std::size_t count = part.bytes.size() - before;
  progress.left -= count;
  progress.received += count;
  if (error == WireError::kNone && progress.left == 0) {
    progress.at_chunk_end = progress.chunked;
    progress.ended = !progress.chunked;
  }
  return error;
}

WireError ReadBody(WireReader& reader,
                   WireReader::TimePoint deadline,
                   const BodyFraming& framing,
                   BodyBuffer& body) {
  BodyProgress progress(framing, body.max_bytes);
  while (!progress.ended) {
    const WireError error =
        ReadBodyPart(reader, deadline, body.max_bytes, progress, body);
    if (error != WireError::kNone) {
      return error;
    }
  }
  return WireError::kNone;
}

WireError ReadBody(WireReader& reader,
                   WireReader::TimePoint deadline,
                   const BodyFraming& framing,
                   std::size_t max_bytes,
                   std::string& body) {
  BodyBuffer buffer;
  buffer.max_bytes = max_bytes;
  const WireError error = ReadBody(reader, deadline, framing, buffer);
  body = std::move(buffer.bytes);
  return error;
}

bool IsValidHeader(const HttpHeader& header) {
  return IsToken(header.name) && IsFieldText(header.value);
}

bool IsToken(absl::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

bool IsValidTarget(absl::string_view target) {
  return !target.empty() &&
         std::all_of(target.begin(), target.end(),
                     [](char c) { return c > 0x20 && c < 0x7f && c != '#'; });
}

bool HasConnectionOption(const std::vector<HttpHeader>& headers,
                         absl::string_view option) {
  for (const HttpHeader& header : headers) {
    if (!absl::EqualsIgnoreCase(header.name, "Connection")) {
      continue;
    }
    for (const absl::string_view part : absl::StrSplit(header.value, ',')) {
      if (absl::EqualsIgnoreCase(TrimBlanks(part), option)) {
        return true;
      }
    }
  }
  return false;
}

bool WaitForSocket(int socket, short events, WireReader::TimePoint deadline) {
  for (;;) {
    const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now());
    pollfd entry{socket, events, 0};
    const int ready = ::poll(&entry, 1,
                             static_cast<int>(std::clamp<long>(
                                 left.count(), 0, kMaxPollTimeout.count())));
    if (ready > 0) {
      return true;
    }
    if (ready == 0 && left.count() <= 0) {
      return false;
    }
    if (ready < 0 && errno != EINTR) {
      return false;
    }
  }
}

WireError WriteAll(int socket,
                   WireReader::TimePoint deadline,
                   absl::string_view bytes,
                   std::size_t& sent) {
  sent = 0;
  while (sent < bytes.size()) {
    if (Clock::now() >= deadline) {
      return WireError::kTimedOut;
    }
    const ssize_t count =
        ::send(socket, bytes.data() + sent, bytes.size() - sent,
               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
      continue;
    }
    if (count < 0 && errno != EINTR && errno != EAGAIN &&
        errno != EWOULDBLOCK) {
      return WireError::kReset;
    }
    WaitForSocket(socket, POLLOUT, deadline);
  }
  return WireError::kNone;
}

}  // namespace comfrey
