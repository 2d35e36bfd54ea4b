#include "base/log_event.h"

#include <string>

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

// Guards against a line that is not valid JSON because of the input of a
// caller.
TEST_CASE("an event is one line of JSON") {
  const std::string text =
      LogEvent("offered")
          .Add("request", "a\"b\\c\n\xff")
          .Add("load", 7)
          .AddDouble("probability", 0.25)
          .AddBool("sent", true)
          .AddDuration("took", std::chrono::microseconds(1500))
          .ToJson();
  CHECK(text.rfind("{\"time\":\"", 0) == 0);
  CHECK(text.find("\"event\":\"offered\"") != std::string::npos);
  CHECK(text.find(R"("request":"a\"b\\c\u000a\u00ff")") != std::string::npos);
  CHECK(text.find("\"load\":7") != std::string::npos);
  CHECK(text.find("\"probability\":0.250") != std::string::npos);
  CHECK(text.find("\"sent\":true") != std::string::npos);
  CHECK(text.find("\"took_ms\":1.5}") != std::string::npos);
  CHECK(text.find('\n') == std::string::npos);
}

}  // namespace
}  // namespace comfrey
