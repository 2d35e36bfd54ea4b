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
constexpr std::int64_t kBase = 10;

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
      "\" is not a duration; write a number followed by us, ms, s, m or h, for "
      "example 250ms or 2.5s"));
}

// The fraction ".decimals" of `whole`; what is below 1 is dropped.
std::int64_t Fraction(absl::string_view decimals, std::int64_t whole) {
  std::int64_t sum = 0;
  for (const char digit : decimals) {
    // `whole` has few digits, so the later ones add nothing.
    whole /= kBase;
    sum += (digit - '0') * whole;
  }
  return sum;
}

}  // namespace

absl::StatusOr<std::chrono::microseconds> ParseDuration(
    absl::string_view text) {
  const absl::string_view trimmed = absl::StripAsciiWhitespace(text);
  const std::size_t digits = trimmed.find_first_not_of(kDigits);
  if (digits == 0 || digits == absl::string_view::npos) {
    return BadDuration(text);
  }
  std::int64_t number = 0;
  if (!absl::SimpleAtoi(trimmed.substr(0, digits), &number)) {
    return BadDuration(text);
  }
  absl::string_view rest = trimmed.substr(digits);
  absl::string_view decimals;
  if (rest.front() == '.') {
    rest.remove_prefix(1);
    decimals = rest.substr(0, rest.find_first_not_of(kDigits));
    rest.remove_prefix(decimals.size());
    if (decimals.empty()) {
      return BadDuration(text);
    }
  }
  for (const Unit& unit : kUnits) {
    if (rest != unit.name) {
      continue;
    }
    if (number >=
        std::numeric_limits<std::int64_t>::max() / unit.microseconds) {
      return BadDuration(text);
    }
    return std::chrono::microseconds(number * unit.microseconds +
                                     Fraction(decimals, unit.microseconds));
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
