#include "base/duration_text.h"

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

using std::chrono::microseconds;

// Guards against a unit that is read as another one, such as ms as m.
TEST_CASE("durations are read in their units") {
  struct Case {
    const char* text;
    microseconds expected;
  };
  const Case cases[] = {
      {"7us", microseconds(7)},
      {"250ms", microseconds(250'000)},
      {"2s", microseconds(2'000'000)},
      {"10m", microseconds(600'000'000)},
      {"1h", microseconds(3'600'000'000)},
      {" 3s ", microseconds(3'000'000)},
      {"0s", microseconds(0)},
      {"2.5s", microseconds(2'500'000)},
      {"0.25ms", microseconds(250)},
      {"1.0000009s", microseconds(1'000'000)},
      {"1234.5678ms", microseconds(1'234'567)},
      {"1.5h", microseconds(5'400'000'000)},
  };
  for (const Case& c : cases) {
    INFO(c.text);
    const auto parsed = ParseDuration(c.text);
    REQUIRE(parsed.ok());
    CHECK(*parsed == c.expected);
  }
}

// Guards against invalid input that is read as zero or only in part.
TEST_CASE("malformed durations are rejected") {
  for (const char* text :
       {"", "s", "5", "-1s", "1.s", ".5s", "1.2.3s", "1.5", "1.-5s", "5 s",
        "5min", "99999999999999999999s", "9223372036854775807h"}) {
    INFO(text);
    CHECK_FALSE(ParseDuration(text).ok());
  }
}

TEST_CASE("durations are written in the largest even unit") {
  CHECK(FormatDuration(microseconds(600'000'000)) == "10m");
  CHECK(FormatDuration(microseconds(1'500'000)) == "1500ms");
  CHECK(FormatDuration(microseconds(0)) == "0s");
}

}  // namespace
}  // namespace comfrey
