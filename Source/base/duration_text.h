#ifndef BASE_DURATION_TEXT_H_
#define BASE_DURATION_TEXT_H_

#include <chrono>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace comfrey {

/// \brief Parses a duration such as "250ms", "2.5s", "10m" or "6h".
///
/// Units: us, ms, s, m, h. Fractions of a microsecond are ignored. Returns
/// InvalidArgument if the number or the unit is missing or wrong; the message
/// contains the text and the accepted units.
absl::StatusOr<std::chrono::microseconds> ParseDuration(absl::string_view text);

/// \brief Formats a duration as a whole number of the largest possible unit,
/// for example 90 seconds as "90s".
std::string FormatDuration(std::chrono::microseconds duration);

}  // namespace comfrey

#endif  // BASE_DURATION_TEXT_H_
