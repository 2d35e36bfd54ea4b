#include "base/counters.h"

#include <thread>
#include <vector>

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

// Guards against updates that are lost when several threads make them.
TEST_CASE("counter updates from several threads are all kept") {
  CounterRegistry registry;
  Metric& metric = registry.Counter("requests_total");
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&metric] {
      for (int n = 0; n < 10'000; ++n) {
        metric.Add();
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(metric.Value() == 40'000);
}

// Guards against label values that break the exposition format.
TEST_CASE("rendered metrics carry type, labels and escaped values") {
  CounterRegistry registry;
  registry.Counter("requests_total", {{"rank", "a\"b"}}).Add(2);
  registry.Gauge("members").Set(3);
  CHECK(registry.Render() ==
        "# TYPE members gauge\nmembers 3\n"
        "# TYPE requests_total counter\n"
        "requests_total{rank=\"a\\\"b\"} 2\n");
}

}  // namespace
}  // namespace comfrey
