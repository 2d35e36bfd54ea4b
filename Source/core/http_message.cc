#include "core/http_message.h"

#include <algorithm>
#include <array>

#include "absl/strings/match.h"

namespace comfrey {
namespace {

constexpr std::array<absl::string_view, 9> kHopByHopHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade"};

}  // namespace

BodyPart ReadPart(BodyStream& stream,
                  std::chrono::steady_clock::time_point deadline) {
  stream.started = true;
  return stream.read(deadline);
}

bool HasBody(const HttpRequest& request) {
  return request.stream != nullptr || !request.body.empty();
}

absl::string_view FindHeader(const std::vector<HttpHeader>& headers,
                             absl::string_view name) {
  for (const HttpHeader& header : headers) {
    if (absl::EqualsIgnoreCase(header.name, name)) {
      return header.value;
    }
  }
  return "";
}

bool IsHopByHopHeader(absl::string_view name) {
  return std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                     [name](absl::string_view hop_by_hop) {
                       return absl::EqualsIgnoreCase(name, hop_by_hop);
                     });
}

}  // namespace comfrey
