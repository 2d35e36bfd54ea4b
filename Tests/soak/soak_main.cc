// Runs the fault soak by hand, one seed after another:
//   build/Tests/soak/soak --first_seed=1 --seeds=50 --vms=12
// Exits with 1 if a promise was broken.

#include <chrono>
#include <cstdint>
#include <iostream>

#include "gflags/gflags.h"
#include "soak/soak_run.h"

DEFINE_uint64(first_seed, 1, "seed of the first run");
DEFINE_uint64(seeds, 1, "number of runs");
DEFINE_int32(vms, 6, "number of VMs, at most 200");
DEFINE_int32(relayed_vms, 3, "VMs whose daemons are reached through a relay");
DEFINE_int32(callers, 2, "callers for each VM");
DEFINE_int32(seconds, 20, "time for which faults are injected, in seconds");
DEFINE_bool(registry, false, "mostly events of the registry");
DEFINE_string(log_directory, "", "directory for the logs of the daemons");
DEFINE_bool(print_plan, false, "print the events of each run");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  comfrey::SoakSize size;
  size.vms = FLAGS_vms;
  size.relayed_vms = std::min(FLAGS_relayed_vms, FLAGS_vms);
  size.callers = FLAGS_callers;
  size.duration = std::chrono::seconds(FLAGS_seconds);
  size.registry_focus = FLAGS_registry;
  bool held = true;
  for (std::uint64_t seed = FLAGS_first_seed;
       seed < FLAGS_first_seed + FLAGS_seeds; ++seed) {
    if (FLAGS_print_plan) {
      for (const comfrey::SoakEvent& event :
           comfrey::MakeSoakPlan(seed, size)) {
        std::cout << comfrey::DescribeEvent(event) << "\n";
      }
    }
    const comfrey::SoakReport report =
        comfrey::RunSoak(seed, size, FLAGS_log_directory);
    std::cout << "seed " << seed << ": " << report.events << " events, "
              << report.served << " of " << report.requests
              << " requests served, " << report.broken.size()
              << " promises broken, longest leave "
              << report.longest_leave.count() << " ms" << std::endl;
    for (const std::string& line : report.broken) {
      std::cout << "  " << line << "\n";
    }
    held = held && report.broken.empty();
  }
  return held ? 0 : 1;
}
