// Measures daemons while no caller sends requests: memory, processor time,
// control messages, calls to the configuration service, the time until a
// configuration is in force and the time until daemons are ready.
//
// Bytes on the wire are the protobuf bytes that the daemons count, plus
// kFramingBytes per message for HTTP/2 and TCP, which is an estimate.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "core/peer_message.h"
#include "gflags/gflags.h"
#include "measured_fleet.h"
#include "system/fleet.h"

DEFINE_string(fleets, "5,10,20,40,80", "fleet sizes, or empty for none");
DEFINE_bool(subtrees, true, "measure endpoints, routes and owned endpoints");
DEFINE_bool(pages,
            false,
            "also read the status page, which adds to the memory");
DEFINE_int32(settle, 20, "seconds between readiness and the window");
DEFINE_int32(window, 20, "length of a window in seconds");
DEFINE_int32(changes, 5, "configuration changes per fleet size");

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::duration;
using std::chrono::seconds;

constexpr double kMiB = 1024.0 * 1024.0;
constexpr double kPercent = 100;
constexpr seconds kReadyTimeout{60};
constexpr seconds kChangeTimeout{30};
constexpr std::chrono::milliseconds kPollPeriod{5};
// Limits the load of the measurement, since the machine may be shared.
constexpr int kMaxDaemons = 100;

double SecondsSince(Clock::time_point start) {
  return duration<double>(Clock::now() - start).count();
}

// Returns the times, in seconds after `start`, at which `done` first held for
// each daemon. Daemons for which it did not hold within `timeout` are left out.
std::vector<double> MeasureTimesUntil(const std::vector<int>& vms,
                                      Clock::time_point start,
                                      seconds timeout,
                                      const std::function<bool(int)>& done) {
  std::vector<double> times;
  std::vector<int> pending = vms;
  while (!pending.empty() && Clock::now() - start < timeout) {
    std::vector<int> still_pending;
    for (const int vm : pending) {
      if (done(vm)) {
        times.push_back(SecondsSince(start));
      } else {
        still_pending.push_back(vm);
      }
    }
    pending = still_pending;
    std::this_thread::sleep_for(kPollPeriod);
  }
  return times;
}

void PrintTimes(int size,
                const char* what,
                const std::vector<double>& times,
                std::size_t expected) {
  std::printf("%5d  %-48s p50 %6.2f s, max %6.2f s, %zu of %zu, load %.1f\n",
              size, what, Percentile(times, 0.5), Percentile(times, 1),
              times.size(), expected, LoadAverage());
}

// Returns a team with one service, whose only endpoint is on a VM without a
// daemon. No daemon owns an endpoint, so a measurement shows only the cost of
// the control traffic.
std::string MakeBaseTeamConfig(const MeasuredFleet& fleet, int version) {
  constexpr int kUnusedVm = 240;
  return absl::StrCat(
      "[team]\n[service idle]\nendpoints = ", fleet.Address(kUnusedVm),
      ":8081\n[rank all]\nurgency = 1\ntarget = 250ms\n"
      "[route all]\nservice = idle\nrank = all\npath = /v",
      version, "\nrepeat = safe\n");
}

struct Sample {
  ProcessUsage usage;
  std::map<std::string, std::int64_t> counters;
};

std::vector<Sample> TakeSamples(const MeasuredFleet& fleet,
                                const std::vector<int>& vms) {
  std::vector<Sample> samples;
  samples.reserve(vms.size());
  for (const int vm : vms) {
    // Reads the processor time after the counters, so that a window between two
    // samples includes only one call for counters per daemon.
    Sample sample;
    sample.counters = fleet.ReadCounters(vm);
    sample.usage = fleet.ReadDaemonUsage(vm);
    samples.push_back(std::move(sample));
  }
  return samples;
}

double CounterIncrease(const Sample& before,
                       const Sample& after,
                       const std::string& name) {
  const auto first = before.counters.find(name);
  const auto last = after.counters.find(name);
  return first == before.counters.end() || last == after.counters.end()
             ? 0
             : static_cast<double>(last->second - first->second);
}

struct WindowUsage {
  double resident = 0;
  double resident_max = 0;
  double anonymous = 0;
  double cpu = 0;
  double cpu_max = 0;
  double cpu_readers = 0;
  double cpu_others = 0;
  int readers = 0;
  double messages = 0;
  double payload = 0;
  double wire = 0;
  double wire_max = 0;
  double config_calls = 0;
};

WindowUsage MeasureWindow(const MeasuredFleet& fleet,
                          const std::vector<int>& vms,
                          seconds window) {
  const Clock::time_point start = Clock::now();
  const std::int64_t calls = fleet.ReadConfigCallCount();
  const std::vector<Sample> before = TakeSamples(fleet, vms);
  std::this_thread::sleep_for(window);
  const std::vector<Sample> after = TakeSamples(fleet, vms);
  const double length = SecondsSince(start);
  WindowUsage result;
  const auto count = static_cast<double>(vms.size());
  result.config_calls =
      static_cast<double>(fleet.ReadConfigCallCount() - calls) / length;
  for (std::size_t i = 0; i < vms.size(); ++i) {
    const auto resident = static_cast<double>(after[i].usage.resident_bytes);
    const double cpu =
        duration<double>(after[i].usage.cpu - before[i].usage.cpu).count() /
        length;
    const double sent = CounterIncrease(before[i], after[i],
                                        "comfrey_peer_sent_messages_total") /
                        length;
    const double received =
        CounterIncrease(before[i], after[i],
                        "comfrey_peer_received_messages_total") /
        length;
    const double payload =
        (CounterIncrease(before[i], after[i], "comfrey_peer_sent_bytes_total") +
         CounterIncrease(before[i], after[i],
                         "comfrey_peer_received_bytes_total")) /
        length;
    // Each call is two messages: a request and a reply.
    const double messages = 2 * (sent + received);
    const double wire = payload + messages * kFramingBytes;
    result.resident += resident / count;
    result.resident_max = std::max(result.resident_max, resident);
    result.anonymous +=
        static_cast<double>(after[i].usage.anonymous_bytes) / count;
    result.cpu += cpu / count;
    result.cpu_max = std::max(result.cpu_max, cpu);
    result.messages += messages / count;
    result.payload += payload / count;
    result.wire += wire / count;
    result.wire_max = std::max(result.wire_max, wire);
    if (CounterIncrease(before[i], after[i], "comfrey_config_reads_total") >=
        length / 4) {
      ++result.readers;
      result.cpu_readers += cpu;
    } else {
      result.cpu_others += cpu;
    }
  }
  result.cpu_readers /= std::max(result.readers, 1);
  result.cpu_others /=
      std::max(static_cast<int>(vms.size()) - result.readers, 1);
  return result;
}

void PrintHeading() {
  std::printf(
      " size  RSS MiB mean max  anon  CPU%% mean  max readers others  "
      "msg/s payload wire B/s mean  max  calls/s readers load\n");
}

void PrintWindowUsage(int size, const WindowUsage& usage) {
  std::printf(
      "%5d  %8.2f %7.2f %5.2f  %7.3f %5.3f %6.3f %6.3f %6.1f %7.0f %8.0f "
      "%7.0f %8.1f %6d %5.1f\n",
      size, usage.resident / kMiB, usage.resident_max / kMiB,
      usage.anonymous / kMiB, kPercent * usage.cpu, kPercent * usage.cpu_max,
      kPercent * usage.cpu_readers, kPercent * usage.cpu_others, usage.messages,
      usage.payload, usage.wire, usage.wire_max, usage.config_calls,
      usage.readers, LoadAverage());
}

void MeasureStartup(MeasuredFleet& fleet,
                    int size,
                    const char* what,
                    const std::vector<int>& vms) {
  const Clock::time_point start = Clock::now();
  for (const int vm : vms) {
    fleet.StartDaemon(vm);
  }
  PrintTimes(size, what,
             MeasureTimesUntil(vms, start, kReadyTimeout,
                               [&](int vm) { return fleet.IsReady(vm); }),
             vms.size());
}

// Measures the time from publishing a change until a daemon has accepted it,
// which is when the change takes effect at that daemon.
void MeasureChanges(MeasuredFleet& fleet,
                    int size,
                    const std::vector<int>& vms) {
  const char* const counter = "comfrey_config_accepted_total";
  std::vector<double> times;
  for (int change = 1; change <= FLAGS_changes; ++change) {
    std::map<int, std::int64_t> accepted;
    for (const int vm : vms) {
      accepted[vm] = fleet.ReadCounters(vm)[counter];
    }
    const Clock::time_point start = Clock::now();
    fleet.Publish("base", MakeBaseTeamConfig(fleet, change));
    const std::vector<double> change_times = MeasureTimesUntil(
        vms, start, kChangeTimeout,
        [&](int vm) { return fleet.ReadCounters(vm)[counter] > accepted[vm]; });
    times.insert(times.end(), change_times.begin(), change_times.end());
  }
  PrintTimes(size, "configuration change in force", times,
             vms.size() * FLAGS_changes);
}

void MeasureFleetOfSize(int size) {
  MeasuredFleet fleet({});
  fleet.Publish("base", MakeBaseTeamConfig(fleet, 0));
  std::vector<int> all_vms;
  for (int vm = 1; vm <= size; ++vm) {
    all_vms.push_back(vm);
  }
  MeasureStartup(fleet, size, "ready, all started at once", all_vms);
  std::this_thread::sleep_for(seconds(FLAGS_settle));
  PrintHeading();
  PrintWindowUsage(size, MeasureWindow(fleet, all_vms, seconds(FLAGS_window)));
  MeasureChanges(fleet, size, all_vms);

  fleet.StopDaemon(size);
  MeasureStartup(fleet, size, "ready, one restarted", {size});

  std::vector<int> domain_vms;
  for (const int vm : all_vms) {
    if (fleet.FailureDomain(vm) == fleet.FailureDomain(size)) {
      domain_vms.push_back(vm);
      fleet.StopDaemon(vm);
    }
  }
  std::vector<int> other_vms;
  std::set_difference(all_vms.begin(), all_vms.end(), domain_vms.begin(),
                      domain_vms.end(), std::back_inserter(other_vms));
  constexpr seconds kRecoveryWindow{10};
  std::printf("%5d  failure domain of %zu lost, first %d s, survivors:\n", size,
              domain_vms.size(), static_cast<int>(kRecoveryWindow.count()));
  PrintWindowUsage(size, MeasureWindow(fleet, other_vms, kRecoveryWindow));
  std::printf("%5d  the next %d s:\n", size,
              static_cast<int>(kRecoveryWindow.count()));
  PrintWindowUsage(size, MeasureWindow(fleet, other_vms, kRecoveryWindow));
  MeasureStartup(fleet, size, "ready, failure domain returns", domain_vms);
  PrintWindowUsage(size, MeasureWindow(fleet, other_vms, kRecoveryWindow));

  fleet.StopConfigService();
  fleet.StopDaemon(size);
  MeasureStartup(fleet, size, "ready, one restarted, no configuration service",
                 {size});
}

// Returns a team whose services have `per_service` endpoints each. The
// endpoints are on VM 1 if `owned`, and otherwise on VMs that do not exist.
std::string MakeEndpointTeamConfig(const MeasuredFleet& fleet,
                                   int first,
                                   int count,
                                   int per_service,
                                   bool owned) {
  constexpr int kFirstPort = 8081;
  constexpr int kAbsentVm = 100;
  constexpr int kPerVm = 14;
  std::string text = "[team]\n[rank all]\nurgency = 1\ntarget = 250ms\n";
  for (int i = 0; i < count; ++i) {
    const int endpoint = first + i;
    if (i % per_service == 0) {
      absl::StrAppend(&text, "[service s", endpoint, "]\nendpoints =\n");
    }
    const int vm = owned ? 1 : kAbsentVm + endpoint / kPerVm % kAbsentVm;
    const int port =
        kFirstPort +
        (owned ? endpoint
               : endpoint % kPerVm + endpoint / kPerVm / kAbsentVm * kPerVm);
    const bool last = i + 1 == count || (i + 1) % per_service == 0;
    absl::StrAppend(&text, "  ", fleet.Address(vm), ":", port,
                    last ? "\n" : ",\n");
  }
  absl::StrAppend(&text, "[route all]\nservice = s", first,
                  "\nrank = all\npath = /\nrepeat = safe\n");
  return text;
}

std::string MakeRouteTeamConfig(const MeasuredFleet& fleet,
                                int first,
                                int count) {
  constexpr int kUnusedVm = 241;
  std::string text = absl::StrCat(
      "[team]\n[service idle]\nendpoints = ", fleet.Address(kUnusedVm),
      ":8081\n[rank all]\nurgency = 1\ntarget = 250ms\n");
  for (int i = first; i < first + count; ++i) {
    absl::StrAppend(&text, "[route r", i,
                    "]\nservice = idle\nrank = all\npath = /resources/r", i,
                    "\nrepeat = safe\n");
  }
  return text;
}

using TeamConfigMaker = std::function<std::string(int first, int count)>;

// Publishes one team after another, each with `step` units, and prints after
// each the resources that the daemon of VM 1 uses.
void MeasureSubtrees(MeasuredFleet& fleet,
                     const char* unit,
                     int step,
                     int steps,
                     const TeamConfigMaker& make_config) {
  constexpr int kDaemons = 3;
  fleet.Publish("base", MakeBaseTeamConfig(fleet, 0));
  std::vector<int> all_vms;
  for (int vm = 1; vm <= kDaemons; ++vm) {
    all_vms.push_back(vm);
    fleet.StartDaemon(vm);
  }
  MeasureTimesUntil(all_vms, Clock::now(), kReadyTimeout,
                    [&](int vm) { return fleet.IsReady(vm); });
  std::printf(
      "%-8s  RSS MiB  anon  CPU%%  in force s  status page: bytes  ms "
      " load\n",
      unit);
  for (int i = 0; i <= steps; ++i) {
    const char* const counter = "comfrey_config_accepted_total";
    double in_force = 0;
    if (i > 0) {
      const std::int64_t accepted = fleet.ReadCounters(1)[counter];
      const Clock::time_point start = Clock::now();
      fleet.Publish(absl::StrCat("team", i), make_config((i - 1) * step, step));
      in_force = Percentile(
          MeasureTimesUntil({1}, start, kChangeTimeout,
                            [&](int vm) {
                              return fleet.ReadCounters(vm)[counter] > accepted;
                            }),
          1);
    }
    std::this_thread::sleep_for(seconds(3));
    const WindowUsage usage =
        MeasureWindow(fleet, {1}, seconds(FLAGS_window / 2));
    const Clock::time_point start = Clock::now();
    const std::size_t bytes =
        FLAGS_pages ? fleet.ReadPage(1, "/comfrey/status").size() : 0;
    const double page_ms = SecondsSince(start) * std::milli::den;
    std::printf("%8d  %7.2f %5.2f %5.2f %11.2f %18zu %5.1f %5.1f\n", i * step,
                usage.resident / kMiB, usage.anonymous / kMiB,
                kPercent * usage.cpu, in_force, bytes, page_ms, LoadAverage());
  }
}

void MeasureAllSubtrees() {
  constexpr int kPerService = 18;
  {
    MeasuredFleet fleet({});
    MeasureSubtrees(fleet, "endpoints", 1550, 4, [&](int first, int count) {
      return MakeEndpointTeamConfig(fleet, first, count, kPerService, false);
    });
  }
  {
    MeasuredFleet fleet({});
    MeasureSubtrees(fleet, "routes", 400, 4, [&](int first, int count) {
      return MakeRouteTeamConfig(fleet, first, count);
    });
  }
  {
    constexpr int kStep = 7;
    constexpr int kSteps = 4;
    constexpr int kFirstPort = 8081;
    MeasuredFleet fleet({});
    for (int i = 0; i < kStep * kSteps; ++i) {
      fleet.StartBackend(1, kFirstPort + i, std::chrono::milliseconds(1));
    }
    MeasureSubtrees(fleet, "owned", kStep, kSteps, [&](int first, int count) {
      return MakeEndpointTeamConfig(fleet, first, count, kPerService, true);
    });
  }
}

int Run() {
  std::printf("%u cores, window %d s\n", std::thread::hardware_concurrency(),
              FLAGS_window);
  for (const absl::string_view word :
       absl::StrSplit(FLAGS_fleets, ',', absl::SkipEmpty())) {
    int size = 0;
    if (!absl::SimpleAtoi(word, &size) || size < 2 || size > kMaxDaemons) {
      std::fprintf(stderr, "--fleets: each size is a number from 2 to %d\n",
                   kMaxDaemons);
      return 1;
    }
    MeasureFleetOfSize(size);
  }
  if (FLAGS_subtrees) {
    MeasureAllSubtrees();
  }
  return 0;
}

}  // namespace
}  // namespace comfrey

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  return comfrey::Run();
}
