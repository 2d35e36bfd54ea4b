#include "base/duration_text.h"

#include <array>
#include <cstdint>
#include <limits>

#include "absl/status/status.h"
#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace comfrey {
namespace {

struct Unit {
  absl::string_view name;
  std::int64_t microseconds;
};

constexpr std::array<Unit, 5> kUnits = {{{"h", 3'600'000'000},
                                         {"m", 60'000'000},
                                         {"s", 1'000'000},
                                         {"ms", 1'000},
                                         {"us", 1}}};

absl::Status BadDuration(absl::string_view text) {
  return absl::InvalidArgumentError(absl::StrCat(
      "\"", text,
      "\" is not a duration; write a whole number followed by us, ms, s, m or "
      "h, for example 250ms"));
}

}  // namespace

absl::StatusOr<std::chrono::microseconds> ParseDuration(
    absl::string_view text) {
  const absl::string_view trimmed = absl::StripAsciiWhitespace(text);
  const std::size_t digits = trimmed.find_first_not_of("0123456789");
  if (digits == 0 || digits == absl::string_view::npos) {
    return BadDuration(text);
  }
  std::int64_t number = 0;
  if (!absl::SimpleAtoi(trimmed.substr(0, digits), &number)) {
    return BadDuration(text);
  }
  for (const Unit& unit : kUnits) {
    if (trimmed.substr(digits) != unit.name) {
      continue;
    }
    if (number > std::numeric_limits<std::int64_t>::max() / unit.microseconds) {
      return BadDuration(text);
    }
    return std::chrono::microseconds(number * unit.microseconds);
  }
  return BadDuration(text);
}

std::string FormatDuration(std::chrono::microseconds duration) {
  const std::int64_t count = duration.count();
  for (const Unit& unit : kUnits) {
    if (count != 0 && count % unit.microseconds == 0) {
      return absl::StrCat(count / unit.microseconds, unit.name);
    }
  }
  return "0s";
}

}  // namespace comfrey
