#include "daemon/reply_stream.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "absl/strings/string_view.h"
#include "daemon/http_wire.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

// Limit for the write of one piece of at most kWriteSize bytes.
constexpr std::chrono::seconds kWriteTimeout{5};
constexpr std::size_t kWriteSize = 64 << 10;

}  // namespace

ReplyStream::ReplyStream(int connection,
                         std::string input,
                         std::chrono::milliseconds timeout)
    : connection(connection), input(std::move(input)), timeout(timeout) {}

ssize_t ReplyStream::read(char* bytes, std::size_t size) {
  const std::size_t count = std::min(size, this->input.size() - this->position);
  std::memcpy(bytes, this->input.data() + this->position, count);
  this->position += count;
  return static_cast<ssize_t>(count);
}

ssize_t ReplyStream::write(const char* bytes, std::size_t size) {
  if (this->failed) {
    return -1;
  }
  // The library calls the handler through this stream too, so the time counts
  // from the first write.
  if (!this->deadline) {
    this->deadline = Clock::now() + this->timeout;
  }
  for (std::size_t written = 0; written < size;) {
    const absl::string_view piece(bytes + written,
                                  std::min(size - written, kWriteSize));
    std::size_t sent = 0;
    const Clock::time_point limit = std::min<Clock::time_point>(
        *this->deadline, Clock::now() + kWriteTimeout);
    if (WriteAll(this->connection, limit, piece, sent) != WireError::kNone) {
      this->failed = true;
      return -1;
    }
    written += sent;
  }
  return static_cast<ssize_t>(size);
}

}  // namespace comfrey
