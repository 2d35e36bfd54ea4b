#include "daemon/request_log.h"

#include <string>

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

std::int64_t ValueOf(const CounterRegistry& counters, const std::string& name) {
  for (const MetricSample& sample : counters.Read()) {
    if (sample.name == name) {
      return sample.value;
    }
  }
  return -1;
}

// Guards against a log that grows with the load, and against omitted lines that
// are not counted.
TEST_CASE("the lines of a second are bounded and the rest is counted",
          "[request_log]") {
  CounterRegistry counters;
  RequestLog log(counters);
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    log.Write(std::to_string(i), LogEvent("attempt_refused"), true);
  }
  const std::int64_t written =
      ValueOf(counters, "comfrey_log_request_lines_total");
  const std::int64_t omitted =
      ValueOf(counters, "comfrey_log_request_lines_left_out_total");
  CHECK(written >= static_cast<std::int64_t>(kMaxRequestLines));
  // On a slow machine the calls may take several seconds.
  CHECK(written % static_cast<std::int64_t>(kMaxRequestLines) == 0);
  CHECK(written + omitted == kRequests);
}

// Guards against daemons that sample different requests, so that a request
// could not be followed from one daemon to another.
TEST_CASE("requests are sampled by their id", "[request_log]") {
  int sampled = 0;
  for (int i = 0; i < 16'000; ++i) {
    const std::string id = "id-" + std::to_string(i);
    CHECK(IsSampledRequest(id) == IsSampledRequest(id));
    sampled += IsSampledRequest(id) ? 1 : 0;
  }
  CHECK(sampled > 800);
  CHECK(sampled < 1200);
}

}  // namespace
}  // namespace comfrey
