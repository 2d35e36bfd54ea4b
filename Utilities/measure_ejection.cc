// Measures the detection time and the false ejections of the outlier detection,
// in a simulation of one service in virtual time. See --help for the flags.
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "ejection_simulation.h"

DEFINE_int32(seeds, 200, "number of seeds per fault and policy, from 1");
DEFINE_int32(quiet_seeds,
             20,
             "number of seeds of the long run without a fault");
DEFINE_int32(quiet_minutes, 30, "length of the long run without a fault");
DEFINE_double(rate, 20, "requests/s per endpoint");
DEFINE_int32(endpoints, 12, "endpoints of the service");
DEFINE_int32(threads, 4, "threads that run seeds");
DEFINE_bool(replies, true, "summaries travel with replies, not only by gossip");
DEFINE_bool(by_load, false, "route by load instead of evenly");

DEFINE_string(fault, "", "runs only this row, e.g. \"slow 5x\"");

namespace comfrey {
namespace {

using std::chrono::milliseconds;

struct NamedFault {
  SimulatedFault fault;
  const char* name;
};

constexpr NamedFault kFaults[] = {
    {SimulatedFault::kSlow2, "slow 2x"},
    {SimulatedFault::kSlow5, "slow 5x"},
    {SimulatedFault::kSlow20, "slow 20x"},
    {SimulatedFault::kHalfWrong, "half wrong"},
    {SimulatedFault::kPartlyFunctional, "30% hang"},
    {SimulatedFault::kFlapping, "flapping"},
    {SimulatedFault::kAllWrong, "all wrong"},
    {SimulatedFault::kAllSlow5, "all slow 5x"},
    {SimulatedFault::kAllSlow20, "all slow 20x"},
    {SimulatedFault::kSharedOutage, "shared outage"},
    {SimulatedFault::kFlood, "flood, shed"},
    {SimulatedFault::kPathCut, "path cut"},
    {SimulatedFault::kNone, "no fault"},
};

struct NamedPolicy {
  SimulatedPolicy policy;
  const char* name;
};

constexpr NamedPolicy kPolicies[] = {
    {SimulatedPolicy::kNoEjection, "no ejection"},
    {SimulatedPolicy::kConsecutiveErrors, "consecutive"},
    {SimulatedPolicy::kCareful, "careful"},
    {SimulatedPolicy::kBalanced, "balanced"},
    {SimulatedPolicy::kFast, "fast"},
};

std::vector<SimulationResult> RunSeeds(const SimulationOptions& options,
                                       int seeds) {
  std::vector<SimulationResult> results(static_cast<std::size_t>(seeds));
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(FLAGS_threads));
  for (int t = 0; t < FLAGS_threads; ++t) {
    threads.emplace_back([&, t] {
      for (int i = t; i < seeds; i += FLAGS_threads) {
        SimulationOptions seeded = options;
        seeded.seed = static_cast<std::uint64_t>(i) + 1;
        results[static_cast<std::size_t>(i)] = SimulateEjection(seeded);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return results;
}

// Returns a percentile of the detection times over all seeds. A fault that was
// not detected counts as an infinite time.
std::string Percentile(const std::vector<SimulationResult>& results,
                       double share) {
  std::vector<milliseconds> times;
  times.reserve(results.size());
  for (const SimulationResult& result : results) {
    times.push_back(result.detection.value_or(milliseconds::max()));
  }
  std::sort(times.begin(), times.end());
  const auto rank = static_cast<std::size_t>(
      std::lround(share * static_cast<double>(times.size() - 1)));
  if (times[rank] == milliseconds::max()) {
    return "-";
  }
  char text[32];
  std::snprintf(text, sizeof(text), "%.2f s",
                std::chrono::duration<double>(times[rank]).count());
  return text;
}

void PrintRow(const NamedFault& fault, const NamedPolicy& policy) {
  SimulationOptions options;
  options.fault = fault.fault;
  options.policy = policy.policy;
  options.requests_per_second = FLAGS_rate;
  options.endpoints = static_cast<unsigned>(FLAGS_endpoints);
  options.status = FLAGS_replies ? SimulatedStatus::kGossipAndReplies
                                 : SimulatedStatus::kGossip;
  options.routing =
      FLAGS_by_load ? SimulatedRouting::kByLoad : SimulatedRouting::kEven;
  int seeds = FLAGS_seeds;
  if (fault.fault == SimulatedFault::kNone) {
    options.duration = std::chrono::minutes(FLAGS_quiet_minutes);
    seeds = FLAGS_quiet_seeds;
  }
  const std::vector<SimulationResult> results = RunSeeds(options, seeds);
  unsigned false_ejections = 0;
  unsigned floor_violations = 0;
  double requests = 0;
  double failed = 0;
  for (const SimulationResult& result : results) {
    false_ejections += result.false_ejections;
    floor_violations += result.floor_violations;
    requests += result.requests;
    failed += result.failed_requests;
  }
  std::printf("%-14s %-12s %9s %9s %12u %10u %11.2f%%\n", fault.name,
              policy.name, Percentile(results, 0.5).c_str(),
              Percentile(results, 0.99).c_str(), false_ejections,
              floor_violations, 100 * failed / requests);
  std::fflush(stdout);
}

}  // namespace
}  // namespace comfrey

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "prints detection time and false ejections per fault and policy");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::printf(
      "%d endpoints at %g requests/s each, %d seeds of 30 s after the fault; "
      "no fault: %d seeds of %d min\n",
      FLAGS_endpoints, FLAGS_rate, FLAGS_seeds, FLAGS_quiet_seeds,
      FLAGS_quiet_minutes);
  std::printf("%-14s %-12s %9s %9s %12s %10s %12s\n", "fault", "policy", "p50",
              "p99", "false eject.", "floor viol.", "failed req.");
  for (const auto& fault : comfrey::kFaults) {
    if (!FLAGS_fault.empty() && FLAGS_fault != fault.name) {
      continue;
    }
    for (const auto& policy : comfrey::kPolicies) {
      comfrey::PrintRow(fault, policy);
    }
  }
  return 0;
}
