#ifndef BASE_DURATION_TEXT_H_
#define BASE_DURATION_TEXT_H_

#include <chrono>
#include <string>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace comfrey {

/// \brief Parses a duration such as "250ms", "2.5s", "10m" or "6h".
///
/// Units: us, ms, s, m, h. What is below a microsecond is dropped. Returns
/// InvalidArgument naming the text and the accepted units if the number or the
/// unit is missing or wrong.
absl::StatusOr<std::chrono::microseconds> ParseDuration(absl::string_view text);

/// \brief Formats a duration in the largest unit that divides it evenly.
std::string FormatDuration(std::chrono::microseconds duration);

}  // namespace comfrey

#endif  // BASE_DURATION_TEXT_H_
