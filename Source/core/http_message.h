#ifndef CORE_HTTP_MESSAGE_H_
#define CORE_HTTP_MESSAGE_H_

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

/// \brief A complete HTTP request; `target` is the path and the query.
struct HttpRequest {
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
};

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
