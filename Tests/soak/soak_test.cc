#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "catch2/catch.hpp"
#include "soak/soak_history.h"
#include "soak/soak_plan.h"
#include "soak/soak_run.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

constexpr TimePoint kStart{std::chrono::seconds(1000)};

// An order that ran once and whose caller got its response.
SoakRequest MakeRequest() {
  SoakRequest request;
  request.id = "1-1";
  request.vm = 1;
  request.body = "plates";
  request.sent_at = kStart;
  request.ended_at = kStart + milliseconds(50);
  request.status = 200;
  request.signature = SignatureOf("i-1", request.id);
  request.response = ResponseBodyOf(request.id, request.body);
  return request;
}

SoakRun MakeRun() {
  return {"1-1", "plates", "i-1", 2, kStart + milliseconds(10), 200};
}

std::string FirstBroken(SoakRequest request, std::vector<SoakRun> runs) {
  SoakHistory history;
  history.Add(std::move(request));
  for (SoakRun& run : runs) {
    history.Add(std::move(run));
  }
  const std::vector<std::string> broken = FindBrokenPromises(history);
  return broken.empty() ? "" : broken.front().substr(0, broken[0].find(':'));
}

// Guards against a soak that passes because its checks see nothing.
TEST_CASE("the checks of the soak find each broken promise", "[soak]") {
  const SoakRequest sound = MakeRequest();
  CHECK(FirstBroken(sound, {MakeRun()}).empty());

  SoakRequest foreign = sound;
  foreign.response = ResponseBodyOf("2-2", sound.body);
  CHECK(FirstBroken(foreign, {MakeRun()}) == "MIXED");
  SoakRequest unsigned_success = sound;
  unsigned_success.signature = "";
  CHECK(FirstBroken(unsigned_success, {MakeRun()}) == "MIXED");
  SoakRun failed = MakeRun();
  failed.status = 500;
  CHECK(FirstBroken(sound, {failed}) == "MIXED");

  SoakRequest refused = sound;
  refused.status = 503;
  refused.signature = "";
  CHECK(FirstBroken(refused, {}).empty());
  CHECK(FirstBroken(refused, {MakeRun()}) == "REFUSED");

  CHECK(FirstBroken(sound, {MakeRun(), MakeRun()}) == "TWICE");
  SoakRun changed = MakeRun();
  changed.body = "plate";
  CHECK(FirstBroken(sound, {changed}) == "UNASKED");

  SoakRequest lost = sound;
  lost.status = 0;
  lost.signature = "";
  CHECK(FirstBroken(lost, {MakeRun()}) == "LOST");
  CHECK(FirstBroken(lost, {}).empty());
  lost.ended_at = lost.sent_at + milliseconds(500);
  CHECK(FirstBroken(lost, {}) == "LOST");
}

// Guards against a drain check that sees nothing, and against one that counts
// requests from VMs that were disturbed.
TEST_CASE("the soak finds work for a backend server that leaves", "[soak]") {
  for (const bool disturbed : {false, true}) {
    SoakHistory history;
    history.Add(MakeRequest());
    SoakRun run = MakeRun();
    run.at = kStart + milliseconds(3000);
    history.Add(run);
    history.Add(SoakLeaving{"i-1", kStart});
    if (disturbed) {
      history.Add(SoakDisruption{1, kStart, kStart + milliseconds(1), false});
    }
    CHECK(FindBrokenPromises(history).size() == (disturbed ? 0 : 1));
  }
}

// Guards against a seed that cannot be played again.
TEST_CASE("a seed draws the same events each time", "[soak]") {
  const SoakSize size;
  const std::vector<SoakEvent> first = MakeSoakPlan(7, size);
  const std::vector<SoakEvent> second = MakeSoakPlan(7, size);
  REQUIRE(first.size() == second.size());
  REQUIRE(first.size() > 10);
  for (std::size_t i = 0; i < first.size(); ++i) {
    CHECK(DescribeEvent(first[i]) == DescribeEvent(second[i]));
  }
}

// Guards against work for backend servers that have left, and against versions
// that are never applied, around drills of the registry.
TEST_CASE("the promises hold around drills of the registry", "[soak]") {
  SoakSize size;
  size.duration = std::chrono::seconds(40);
  size.registry_focus = true;
  const SoakReport report = RunSoak(4, size);
  for (const std::string& line : report.broken) {
    UNSCOPED_INFO(line);
  }
  CHECK(report.broken.empty());
  CHECK(report.served > 0);
}

// Guards against broken promises when signals, restarts, cut paths, failing
// backend servers and changes overlap.
TEST_CASE("the promises hold under overlapping faults", "[soak]") {
  const std::uint64_t seed = GENERATE(1, 2, 3);
  SoakSize size;
  size.duration = std::chrono::seconds(15);
  const SoakReport report = RunSoak(seed, size);
  INFO("seed " << seed << ", " << report.served << " of " << report.requests);
  for (const std::string& line : report.broken) {
    UNSCOPED_INFO(line);
  }
  CHECK(report.broken.empty());
  CHECK(report.served > 0);
}

}  // namespace
}  // namespace comfrey
