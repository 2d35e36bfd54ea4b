#include "report/burn_status.h"

#include "catch2/catch.hpp"
#include "sample_reports.h"

namespace comfrey {
namespace {

using std::chrono::seconds;

// Guards against averaging the burn rates of daemons with different load, and
// against an order in which the rank with the largest product of worth and burn
// rate is not first.
TEST_CASE("the counts of several daemons are summed") {
  BurnStatus other = SampleBurn();
  other.ranks[0].windows[0] = {seconds(300), 1000, 0, 0};
  other.ranks[0].worth = 20;
  other.ranks[1].windows[0] = {seconds(300), 0, 12, 2};
  const BurnStatus sum = AggregateBurnStatus({SampleBurn(), other});
  REQUIRE(sum.ranks.size() == 2);
  // Rank reports missed 13 of 16 with 50% permitted and worth 30. Rank dispatch
  // missed 50 of 2000 with 1% permitted and worth 20.
  CHECK(sum.ranks[0].rank == "dispatch");
  CHECK(sum.ranks[0].windows[0].met == 1950);
  CHECK(sum.ranks[0].windows[0].missed == 50);
  CHECK(sum.ranks[0].windows[0].burn_rate == Approx(2.5));
  CHECK(sum.ranks[0].worth == 20);
  CHECK(sum.ranks[1].windows[0].missed == 13);
  CHECK(sum.ranks[1].windows[0].burn_rate == Approx(1.625));
  REQUIRE(sum.weighted.size() == 2);
  CHECK(sum.weighted[0].length == seconds(300));
  CHECK(sum.weighted[0].burn_rate == Approx((20 * 2.5 + 30 * 1.625) / 50));
  // 40 of 12000 missed with 1% permitted.
  CHECK(sum.weighted[1].burn_rate == Approx(20 * (40 / 12000.0 / 0.01) / 50));
}

// Guards against adding counts of requests with different targets or
// objectives.
TEST_CASE("ranks with another target or objective are kept apart") {
  BurnStatus other = SampleBurn();
  other.ranks[0].target = seconds(1);
  other.ranks[1].objective = 0.9;
  CHECK(AggregateBurnStatus({SampleBurn(), other}).ranks.size() == 4);
}

// Guards against a division by zero, and against a missing window if daemons
// report different windows.
TEST_CASE("ranks without requests and with other windows are summed") {
  BurnStatus idle;
  idle.ranks = {{"salon",
                 "dispatch",
                 seconds(1),
                 0.99,
                 0,
                 {{seconds(3600), 0, 0, 0}, {seconds(60), 0, 1, 0}}}};
  BurnStatus strict = idle;
  strict.ranks[0].objective = 1;
  strict.ranks[0].windows = {{seconds(60), 1, 1, 0}};
  const BurnStatus sum = AggregateBurnStatus({idle, strict});
  REQUIRE(sum.weighted.size() == 2);
  CHECK(sum.weighted[0].length == seconds(60));
  CHECK(sum.weighted[0].burn_rate == 0);
  REQUIRE(sum.ranks.size() == 2);
  CHECK(sum.ranks[0].windows[0].burn_rate == Approx(100));
  CHECK(sum.ranks[0].windows[1].burn_rate == 0);
  CHECK(sum.ranks[1].windows[0].burn_rate == Approx(500'000));
  CHECK(AggregateBurnStatus({}).ranks.empty());
}

}  // namespace
}  // namespace comfrey
