#ifndef CONFIG_REQUEST_PATH_H_
#define CONFIG_REQUEST_PATH_H_

#include <optional>
#include <string>

#include "absl/strings/string_view.h"

namespace comfrey {

/// \brief A request path in two forms with the same segments.
///
/// Repeated slashes are merged in both.
struct RequestPath {
  /// Percent-decoded, for comparison.
  std::string decoded;
  /// With the percent-encoding as received, for forwarding.
  std::string encoded;
};

/// \brief Reads a path that starts with "/" and has no query.
///
/// Returns nothing if different servers could read the path differently:
/// malformed percent-encoding, dot segments, encoded slashes, backslashes,
/// control characters, spaces, bytes above 0x7f that are not encoded, and "#".
std::optional<RequestPath> ReadRequestPath(absl::string_view path);

}  // namespace comfrey

#endif  // CONFIG_REQUEST_PATH_H_
