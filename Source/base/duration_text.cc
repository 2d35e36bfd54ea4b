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

constexpr absl::string_view kDigits = "0123456789";
constexpr std::int64_t kDecimalBase = 10;

struct Unit {
  absl::string_view name;
  std::int64_t microseconds;
};

constexpr std::array<Unit, 5> kUnits = {{{"h", 3'600'000'000},
                                         {"m", 60'000'000},
                                         {"s", 1'000'000},
                                         {"ms", 1'000},
                                         {"us", 1}}};

absl::Status InvalidDurationError(absl::string_view text) {
  return absl::InvalidArgumentError(absl::StrCat(
      "\"", text,
      "\" is not a duration; write a number followed by us, ms, s, m or h, for "
      "example 250ms or 2.5s"));
}

// Returns the fraction ".decimals" of a unit of `place_value` microseconds.
// Parts below 1 microsecond are dropped.
std::int64_t FractionOf(absl::string_view decimals, std::int64_t place_value) {
  std::int64_t sum = 0;
  for (const char digit : decimals) {
    // The place value becomes 0 after at most 10 digits, so that further
    // decimals add nothing.
    place_value /= kDecimalBase;
    sum += (digit - '0') * place_value;
  }
  return sum;
}

}  // namespace

absl::StatusOr<std::chrono::microseconds> ParseDuration(
    absl::string_view text) {
  const absl::string_view trimmed = absl::StripAsciiWhitespace(text);
  const std::size_t digit_count = trimmed.find_first_not_of(kDigits);
  if (digit_count == 0 || digit_count == absl::string_view::npos) {
    return InvalidDurationError(text);
  }
  std::int64_t number = 0;
  if (!absl::SimpleAtoi(trimmed.substr(0, digit_count), &number)) {
    return InvalidDurationError(text);
  }
  absl::string_view remainder = trimmed.substr(digit_count);
  absl::string_view decimals;
  if (remainder.front() == '.') {
    remainder.remove_prefix(1);
    decimals = remainder.substr(0, remainder.find_first_not_of(kDigits));
    remainder.remove_prefix(decimals.size());
    if (decimals.empty()) {
      return InvalidDurationError(text);
    }
  }
  for (const Unit& unit : kUnits) {
    if (remainder != unit.name) {
      continue;
    }
    if (number >=
        std::numeric_limits<std::int64_t>::max() / unit.microseconds) {
      return InvalidDurationError(text);
    }
    return std::chrono::microseconds(number * unit.microseconds +
                                     FractionOf(decimals, unit.microseconds));
  }
  return InvalidDurationError(text);
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
