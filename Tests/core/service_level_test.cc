#include "core/service_level.h"

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const TimePoint kStart = TimePoint() + std::chrono::hours(100);

// Guards against counts that leave a window too early, never leave it, or are
// counted again after a long time without requests.
TEST_CASE("counts leave each window as they age") {
  struct Case {
    seconds age;
    std::uint32_t expected[kServiceLevelWindowCount];
  };
  const Case cases[] = {
      {seconds(0), {2, 2, 2, 2}},   {minutes(4), {2, 2, 2, 2}},
      {minutes(5), {0, 2, 2, 2}},   {minutes(28), {0, 2, 2, 2}},
      {minutes(30), {0, 0, 2, 2}},  {minutes(57), {0, 0, 2, 2}},
      {minutes(60), {0, 0, 0, 2}},  {minutes(347), {0, 0, 0, 2}},
      {minutes(360), {0, 0, 0, 0}}, {minutes(100'000), {0, 0, 0, 0}},
  };
  for (const Case& c : cases) {
    ServiceLevel level({"order", milliseconds(250), 0.99, 1.0}, kStart);
    RecordResponse(level, milliseconds(250), kStart + seconds(1));
    RecordMiss(level, kStart + seconds(1));
    for (std::size_t window = 0; window < kServiceLevelWindowCount; window++) {
      INFO(c.age.count() << " s, window " << window);
      const TargetCounts counts = CountsInWindow(level, window, kStart + c.age);
      CHECK(counts.met + counts.missed == c.expected[window]);
      CHECK(counts.met == counts.missed);
    }
    // A record at that time must not add or remove earlier counts.
    RecordMiss(level, kStart + c.age);
    for (std::size_t window = 0; window < kServiceLevelWindowCount; window++) {
      INFO(c.age.count() << " s, window " << window);
      const TargetCounts counts = CountsInWindow(level, window, kStart + c.age);
      CHECK(counts.met + counts.missed == c.expected[window] + 1);
    }
  }
}

// Guards against a burn rate that does not take the permitted share of misses
// into account.
TEST_CASE("burn rate relates misses to the objective") {
  struct Case {
    TargetCounts counts;
    double objective;
    double expected;
  };
  const Case cases[] = {
      {{0, 0}, 0.99, 0.0},    {{100, 0}, 0.99, 0.0}, {{99, 1}, 0.99, 1.0},
      {{90, 10}, 0.99, 10.0}, {{90, 10}, 0.9, 1.0},  {{0, 5}, 0.5, 2.0},
      {{99, 1}, 1.0, 1000.0},
  };
  for (const Case& c : cases) {
    INFO(c.counts.met << " met, " << c.counts.missed << " missed");
    CHECK(BurnRate(c.counts, c.objective) == Approx(c.expected));
  }
}

// Guards against a report that ignores worth or does not list the worst rank
// first.
TEST_CASE("the burn report is ordered and weighted by worth") {
  std::vector<ServiceLevel> levels;
  levels.emplace_back(RankObjective{"checks", seconds(5), 0.9, 1.0}, kStart);
  levels.emplace_back(RankObjective{"order", milliseconds(250), 0.99, 10.0},
                      kStart);
  for (int request = 0; request < 100; request++) {
    RecordResponse(levels[0], seconds(request < 40 ? 6 : 1), kStart);
    RecordResponse(levels[1], milliseconds(request < 2 ? 251 : 250), kStart);
  }
  const BurnReport report = ReportBurn(levels, kStart + seconds(1));
  REQUIRE(report.ranks.size() == 2);
  CHECK(report.ranks[0].rank == "order");
  CHECK(report.ranks[0].windows[0].burn_rate == Approx(2.0));
  CHECK(report.ranks[1].windows[3].burn_rate == Approx(4.0));
  CHECK(report.weighted[0] == Approx((10 * 2.0 + 1 * 4.0) / 11));

  const std::string text = FormatBurnReport(report);
  INFO(text);
  CHECK(text.find("missed/burn 6h") != std::string::npos);
  CHECK(text.find("order") < text.find("checks"));
  CHECK(text.find("2/100   2.00") != std::string::npos);
}

}  // namespace
}  // namespace comfrey
