#ifndef CORE_HTTP_MESSAGE_H_
#define CORE_HTTP_MESSAGE_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace comfrey {

/// \brief One HTTP header field. FindHeader ignores the case of the name.
struct HttpHeader {
  std::string name;
  std::string value;
};

inline bool operator==(const HttpHeader& a, const HttpHeader& b) {
  return a.name == b.name && a.value == b.value;
}

/// \brief What a read of a body stream returned.
enum class BodyPartKind {
  kBytes,     ///< Bytes that are followed by others.
  kEnd,       ///< The last bytes, possibly none.
  kTimedOut,  ///< No byte arrived in time; the read may be repeated.
  kFailed,    ///< The body ended early, or is malformed or too large.
};

struct BodyPart {
  BodyPartKind kind = BodyPartKind::kFailed;
  std::string bytes;
};

/// \brief The body of a request that is sent on while it arrives, so that no
/// daemon holds it as a whole. It can be read once.
struct BodyStream {
  /// Absent if only the end of the body shows its length.
  std::optional<std::size_t> length;
  /// Whether a part was read, so that the request can only be sent once.
  bool started = false;
  /// Waits for the next part until a point in time. Use ReadPart to call it.
  std::function<BodyPart(std::chrono::steady_clock::time_point)> read;
};

/// \brief Reads the next part of a body, and waits for it until `deadline`.
BodyPart ReadPart(BodyStream& stream,
                  std::chrono::steady_clock::time_point deadline);

/// \brief An HTTP request; `target` is the path and the query.
struct HttpRequest {
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  /// Empty if the request has a stream.
  std::string body;
  std::shared_ptr<BodyStream> stream = nullptr;
};

/// \brief Whether a request has a body that is not empty.
bool HasBody(const HttpRequest& request);

/// \brief A complete HTTP response.
struct HttpResponse {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
};

/// \brief Returns the value of the first header of that name, or "".
absl::string_view FindHeader(const std::vector<HttpHeader>& headers,
                             absl::string_view name);

/// \brief Whether a header belongs to one connection and is not forwarded,
/// such as Connection or Transfer-Encoding (RFC 9110, section 7.6.1).
bool IsHopByHopHeader(absl::string_view name);

}  // namespace comfrey

#endif  // CORE_HTTP_MESSAGE_H_
