// Measures the latency that the fleet adds to requests at fixed rates.
//
// Callers send requests to one ingress daemon, which owns no endpoint, so that
// each request takes two hops. In alternate rounds the same callers send the
// same requests directly to the backend servers, so that a change in the load
// of the machine affects both. Latency is measured from the time at which a
// request was due, so that it includes the delay that a slow response causes to
// the next requests on its connection.

#include <httplib.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gflags/gflags.h"
#include "measured_fleet.h"
#include "system/fleet.h"

DEFINE_int32(rate, 214, "requests per second of the first step");
DEFINE_int32(steps, 4, "steps; each doubles the rate");
DEFINE_int32(seconds, 5, "length of a round in seconds");
DEFINE_int32(rounds, 2, "rounds of each kind in a step");
DEFINE_int32(connections, 40, "keep-alive caller connections");
DEFINE_int32(owners, 4, "owner daemons, each with one backend server");
DEFINE_int32(delay_ms, 5, "service time of the backend servers");
DEFINE_int32(organisations, 1, "organisations that send in turn");
DEFINE_bool(idle, true, "first measure the connections while they are idle");

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kHttpPort = 8080;
constexpr int kBackendPort = 8081;
constexpr int kIngressVm = 1;
constexpr int kOk = 200;
constexpr std::chrono::seconds kStartTimeout{60};
constexpr std::chrono::seconds kCallTimeout{5};

struct Target {
  std::string ip;
  int port = 0;
  std::string path;
};

struct RoundResult {
  std::vector<double> latencies_ms;
  std::size_t failures = 0;
  double seconds = 0;
};

// Sends the requests of a round that belong to one connection, which is every
// FLAGS_connections-th request.
RoundResult SendOnConnection(const std::vector<Target>& targets,
                             int connection,
                             int rate,
                             Clock::time_point start) {
  RoundResult result;
  const Target& target = targets[connection % targets.size()];
  httplib::Client client(target.ip, target.port);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  client.set_read_timeout(kCallTimeout);
  const int total = rate * FLAGS_seconds;
  for (int i = connection; i < total; i += FLAGS_connections) {
    const auto due =
        start + std::chrono::microseconds(std::micro::den) * i / rate;
    std::this_thread::sleep_until(due);
    const httplib::Result reply =
        client.Get(target.path,
                   {{"X-Organisation",
                     absl::StrCat("organisation-", i % FLAGS_organisations)}});
    if (reply && reply->status == kOk) {
      result.latencies_ms.push_back(
          std::chrono::duration<double, std::milli>(Clock::now() - due)
              .count());
    } else {
      ++result.failures;
    }
  }
  return result;
}

void RunRound(const std::vector<Target>& targets,
              int rate,
              RoundResult& total) {
  const auto begin = Clock::now();
  constexpr std::chrono::milliseconds kStartDelay{100};
  std::mutex mutex;
  std::vector<std::thread> threads;
  threads.reserve(FLAGS_connections);
  for (int c = 0; c < FLAGS_connections; ++c) {
    threads.emplace_back([&, c] {
      const RoundResult connection_result =
          SendOnConnection(targets, c, rate, begin + kStartDelay);
      const std::lock_guard<std::mutex> lock(mutex);
      total.failures += connection_result.failures;
      total.latencies_ms.insert(total.latencies_ms.end(),
                                connection_result.latencies_ms.begin(),
                                connection_result.latencies_ms.end());
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  total.seconds +=
      std::chrono::duration<double>(Clock::now() - begin - kStartDelay).count();
}

std::string MakeServiceConfig(const MeasuredFleet& fleet) {
  std::string endpoints;
  for (int vm = 2; vm < 2 + FLAGS_owners; ++vm) {
    absl::StrAppend(&endpoints, endpoints.empty() ? "" : ", ",
                    fleet.Address(vm), ":", kBackendPort);
  }
  // Each endpoint has as many slots as there are connections, so that no
  // request waits in a queue.
  return absl::StrCat(
      "[team]\n[service load]\nslots = ", FLAGS_connections,
      "\nwarmup = 1s\nendpoints = ", endpoints,
      "\n[rank all]\nurgency = 1\ntarget = 250ms\n"
      "[route all]\nservice = load\nrank = all\npath = /\nrepeat = safe\n");
}

struct CpuTimes {
  std::chrono::microseconds ingress{0};
  std::chrono::microseconds owners{0};
};

CpuTimes ReadCpuTimes(const MeasuredFleet& fleet) {
  CpuTimes times;
  times.ingress = fleet.ReadDaemonUsage(kIngressVm).cpu;
  for (int vm = 2; vm < 2 + FLAGS_owners; ++vm) {
    times.owners += fleet.ReadDaemonUsage(vm).cpu;
  }
  return times;
}

void PrintStep(const MeasuredFleet& fleet,
               int rate,
               const RoundResult& direct,
               const RoundResult& proxied,
               const CpuTimes& cpu) {
  const double direct_p50 = Percentile(direct.latencies_ms, 0.5);
  const double direct_p99 = Percentile(direct.latencies_ms, 0.99);
  const double proxied_p50 = Percentile(proxied.latencies_ms, 0.5);
  const double proxied_p99 = Percentile(proxied.latencies_ms, 0.99);
  const auto requests = static_cast<double>(proxied.latencies_ms.size());
  const double window_us = proxied.seconds * std::micro::den;
  constexpr double kMiB = 1024.0 * 1024.0;
  std::printf(
      "%5d %7.2f %7.2f %7.2f %7.2f %7.2f %7.2f %5.2f %7.0f %5zu %5zu %6.1f "
      "%6.0f %6.0f %6.1f %6.1f %5.1f\n",
      rate, direct_p50, direct_p99, proxied_p50, proxied_p99,
      proxied_p50 - direct_p50, proxied_p99 - direct_p99,
      direct_p99 > 0 ? proxied_p99 / direct_p99 : 0, requests / proxied.seconds,
      direct.failures, proxied.failures,
      100 * static_cast<double>(cpu.ingress.count()) / window_us,
      static_cast<double>(cpu.ingress.count()) / std::max(requests, 1.0),
      static_cast<double>(cpu.owners.count()) / std::max(requests, 1.0),
      static_cast<double>(fleet.ReadDaemonUsage(kIngressVm).resident_bytes) /
          kMiB,
      static_cast<double>(fleet.ReadDaemonUsage(2).resident_bytes) / kMiB,
      LoadAverage());
}

// Opens the caller connections with one request each and measures the ingress
// daemon while they are idle. The window is shorter than 5 s, because the
// daemon closes a connection that has been idle for 5 s.
void MeasureIdle(const MeasuredFleet& fleet, const Target& target) {
  constexpr std::chrono::seconds kWindow{3};
  std::vector<std::unique_ptr<httplib::Client>> clients;
  const ProcessUsage baseline = fleet.ReadDaemonUsage(kIngressVm);
  std::this_thread::sleep_for(kWindow);
  const auto baseline_cpu =
      fleet.ReadDaemonUsage(kIngressVm).cpu - baseline.cpu;
  for (int c = 0; c < FLAGS_connections; ++c) {
    clients.push_back(
        std::make_unique<httplib::Client>(target.ip, target.port));
    clients.back()->set_keep_alive(true);
    clients.back()->Get("/comfrey/readyz");
  }
  const ProcessUsage before = fleet.ReadDaemonUsage(kIngressVm);
  std::this_thread::sleep_for(kWindow);
  const ProcessUsage after = fleet.ReadDaemonUsage(kIngressVm);
  const auto percent = [&](std::chrono::microseconds cpu) {
    return 100 * std::chrono::duration<double>(cpu) / kWindow;
  };
  constexpr double kMiB = 1024.0 * 1024.0;
  std::printf(
      "idle: 0 connections %.2f%% of a core, %.2f MiB; %d connections %.2f%%, "
      "%.2f MiB; load %.1f\n",
      percent(baseline_cpu),
      static_cast<double>(baseline.resident_bytes) / kMiB, FLAGS_connections,
      percent(after.cpu - before.cpu),
      static_cast<double>(after.resident_bytes) / kMiB, LoadAverage());
}

int Run() {
  MeasuredFleet fleet({});
  fleet.Publish("load", MakeServiceConfig(fleet));
  for (int vm = 1; vm < 2 + FLAGS_owners; ++vm) {
    if (vm != kIngressVm) {
      fleet.StartBackend(vm, kBackendPort,
                         std::chrono::milliseconds(FLAGS_delay_ms));
    }
    fleet.StartDaemon(vm);
  }
  const Target proxied{fleet.Address(kIngressVm), kHttpPort, "/load/work"};
  // The connections are spread over all backend servers, because one stand-in
  // serves only 64 connections at a time and further ones would wait.
  std::vector<Target> direct;
  for (int vm = 2; vm < 2 + FLAGS_owners; ++vm) {
    direct.push_back({fleet.Address(vm), kBackendPort, "/work"});
  }
  const bool ready = WaitFor(
      [&] {
        for (int vm = 1; vm < 2 + FLAGS_owners; ++vm) {
          if (!fleet.IsReady(vm)) {
            return false;
          }
        }
        return !fleet.ReadPage(kIngressVm, proxied.path).empty();
      },
      kStartTimeout);
  if (!ready) {
    std::fprintf(stderr, "the daemons were not ready in time\n");
    return 1;
  }
  if (FLAGS_idle) {
    MeasureIdle(fleet, proxied);
  }
  // A first round opens the channels and completes the warm-up of the
  // endpoints.
  RoundResult discarded;
  RunRound({proxied}, FLAGS_rate, discarded);
  std::printf(
      "%d connections, %d owners, service time %d ms, %d "
      "organisations, %d x %d s each, %u cores\n",
      FLAGS_connections, FLAGS_owners, FLAGS_delay_ms, FLAGS_organisations,
      FLAGS_rounds, FLAGS_seconds, std::thread::hardware_concurrency());
  std::printf(
      " rate direct ms (50,99)  via fleet (50,99) added (50,99)  x99    "
      "req/s fail  fail  ingr%% us/req us/req    MiB    MiB  load\n"
      "                                                                "
      "             dir   via   core  ingr  owners   ingr  owner\n");
  int rate = FLAGS_rate;
  for (int step = 0; step < FLAGS_steps; ++step, rate *= 2) {
    RoundResult direct_result;
    RoundResult proxied_result;
    CpuTimes cpu;
    for (int round = 0; round < FLAGS_rounds; ++round) {
      RunRound(direct, rate, direct_result);
      const CpuTimes before = ReadCpuTimes(fleet);
      RunRound({proxied}, rate, proxied_result);
      const CpuTimes after = ReadCpuTimes(fleet);
      cpu.ingress += after.ingress - before.ingress;
      cpu.owners += after.owners - before.owners;
    }
    PrintStep(fleet, rate, direct_result, proxied_result, cpu);
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
