#include "soak/soak_run.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include "soak/soak_callers.h"
#include "soak/soak_fleet.h"
#include "soak/soak_history.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kTickPeriod{20};
constexpr std::chrono::seconds kStartTimeout{30};
// All daemons serve again this long after the last fault.
constexpr std::chrono::seconds kRecoveryTime{15};

void InjectFaults(SoakFleet& fleet,
                  const std::vector<SoakEvent>& plan,
                  std::chrono::milliseconds duration) {
  const Clock::time_point begin = Clock::now();
  auto next = plan.begin();
  while (Clock::now() < begin + duration) {
    while (next != plan.end() && Clock::now() >= begin + next->at) {
      fleet.Begin(*next++);
    }
    fleet.Tick();
    std::this_thread::sleep_for(kTickPeriod);
  }
  fleet.EndAll();
}

}  // namespace

SoakReport RunSoak(std::uint64_t seed,
                   const SoakSize& size,
                   const std::string& log_directory) {
  constexpr int kOk = 200;
  SoakHistory history;
  const std::vector<SoakEvent> plan = MakeSoakPlan(seed, size);
  {
    SoakFleet fleet(size, log_directory, history);
    if (fleet.WaitServing(kStartTimeout)) {
      SoakCallers callers(history);
      for (int i = 0; i < size.vms * size.callers; ++i) {
        const int vm = 1 + i % size.vms;
        callers.Start(vm, fleet.AddressOf(vm), SoakFleet::CallerPort(),
                      seed + static_cast<std::uint64_t>(i));
      }
      InjectFaults(fleet, plan, size.duration);
      fleet.WaitServing(kRecoveryTime);
      callers.Stop();
    }
  }
  SoakReport report;
  report.broken = FindBrokenPromises(history);
  report.longest_leave = FindLongestLeave(history);
  report.requests = history.requests.size();
  report.served = static_cast<std::size_t>(std::count_if(
      history.requests.begin(), history.requests.end(),
      [](const SoakRequest& request) { return request.status == kOk; }));
  report.events = plan.size();
  return report;
}

}  // namespace comfrey
