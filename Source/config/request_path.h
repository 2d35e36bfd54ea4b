#ifndef CONFIG_REQUEST_PATH_H_
#define CONFIG_REQUEST_PATH_H_

#include <optional>
#include <string>

#include "absl/strings/string_view.h"

namespace comfrey {

/// \brief A request path in two forms with the same segments. Repeated slashes
/// are merged in both forms.
struct RequestPath {
  /// Percent-decoded, for comparison with routes.
  std::string decoded;
  /// With the percent-encoding as received, for forwarding.
  std::string encoded;
};

/// \brief Parses a path that starts with "/" and has no query.
///
/// Returns nothing if servers could interpret the path differently. Such a path
/// contains malformed percent-encoding, a dot segment, an encoded slash, a
/// backslash, a control character, a space, "#", or a byte above 0x7f that is
/// not encoded.
std::optional<RequestPath> ReadRequestPath(absl::string_view path);

}  // namespace comfrey

#endif  // CONFIG_REQUEST_PATH_H_
