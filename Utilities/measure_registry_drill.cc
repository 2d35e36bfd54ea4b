// Runs real daemons against a registry that is away for a moment and comes back
// from a copy, and measures how late each of them serves by the first
// configuration that is written afterwards, and how many calls they make.
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "harness.h"
#include "platform/probe_request.h"
#include "platform/troubled_store.h"

DEFINE_int32(daemons, 60, "number of daemons, 99 at most");
DEFINE_double(away, 1, "time for which the registry is away, seconds");
DEFINE_double(age, 3, "age of the copy, seconds; 0: nothing is lost");
DEFINE_bool(passes,
            false,
            "the new revisions pass the old ones before the registry is back");

namespace {

using review::Clients;
using review::Daemon;
using review::DaemonOptions;
using review::Endpoint;
using review::EndpointOptions;
using review::Every;
using review::kAppPort;
using review::kOutboundPort;
using review::kStorePort;
using review::Net;
using review::Now;
using review::Route;
using review::SleepUntil;

constexpr double kTrafficBefore = 3;
constexpr double kProbeSeconds = 8;
constexpr double kProbePeriod = 0.05;
constexpr double kWritePeriod = 0.2;

std::string MakeVersion(int version, bool with_new_route) {
  std::vector<Route> routes = {
      {"order", "desk.example", "/order/", "safe", "atelier"}};
  if (with_new_route) {
    routes.push_back({"new", "desk.example", "/new/", "safe", "atelier"});
  }
  return review::Configuration(version, routes, {"atelier"});
}

struct Fleet {
  Fleet() {
    for (int vm = 1; vm <= FLAGS_daemons; ++vm) {
      EndpointOptions options;
      options.id = "i-" + std::to_string(vm) + Clients::NewId();
      options.service = "atelier";
      options.ip = this->net.Vm(vm);
      options.port = kAppPort;
      this->endpoints.push_back(
          std::make_unique<Endpoint>(options, this->runs));
      this->Register(vm, 0);
      this->store.ListenFor(vm, this->net.StoreFor(vm), kStorePort);
    }
    this->store.Publish(MakeVersion(1, false));
    for (int vm = 1; vm <= FLAGS_daemons; ++vm) {
      DaemonOptions options;
      options.name = "vm-" + std::to_string(vm);
      options.ip = this->net.Vm(vm);
      options.store = this->net.StoreFor(vm);
      options.service = "atelier";
      this->daemons.push_back(
          std::make_unique<Daemon>(options, this->folder.path));
    }
    review::WaitReady(this->daemons);
  }

  // Writes the entry of a backend server again, as another write.
  void Register(int vm, int writes) {
    std::string entry = this->endpoints[vm - 1]->Entry("ready", "zone-a");
    entry.insert(entry.size() - 1, ",\"writes\":" + std::to_string(writes));
    this->store.Put(this->endpoints[vm - 1]->Key(), entry);
  }

  Net net{FLAGS_daemons};
  review::Folder folder;
  TroubledStore store;
  review::Runs runs;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::vector<std::unique_ptr<Daemon>> daemons;
};

// Status of one request on a route that only the new configuration has, 0 if
// there was no response.
int AskForNewRoute(const std::string& ip) {
  const int fd = review::Connect(ip, kOutboundPort, 1000);
  if (fd < 0) {
    return 0;
  }
  int status = 0;
  review::Reader input(fd);
  review::Message response;
  if (review::SendAll(fd, MakeProbeRequest("/new/1", Clients::NewId())) &&
      input.Read(response, Now() + 4)) {
    status = std::atoi(response.start.substr(9, 3).c_str());
  }
  ::close(fd);
  return status;
}

// Returns when the daemon first served the new route, or nothing if it did not.
std::optional<double> AwaitNewRoute(const std::string& ip, double until) {
  while (Now() < until) {
    const double sent = Now();
    const int status = AskForNewRoute(ip);
    if (status != 0 && status != 404) {
      return sent;
    }
    review::Sleep(kProbePeriod);
  }
  return std::nullopt;
}

// Returns the time at which the registry acknowledged the first configuration
// after the drill.
double PlayDrill(Fleet& fleet) {
  std::set<int> all;
  for (int vm = 1; vm <= FLAGS_daemons; ++vm) {
    all.insert(vm);
  }
  SleepUntil(kTrafficBefore);
  fleet.store.TakeCopy();
  SleepUntil(kTrafficBefore + FLAGS_age);
  fleet.store.Begin(Trouble::kReset, all);
  if (FLAGS_age > 0) {
    fleet.store.Restore();
  }
  const int lost_writes = static_cast<int>(FLAGS_age / kWritePeriod);
  for (int write = 0; FLAGS_passes && write <= lost_writes; ++write) {
    fleet.Register(1 + write % FLAGS_daemons, -write);
  }
  SleepUntil(kTrafficBefore + FLAGS_age + FLAGS_away);
  fleet.store.End();
  return fleet.store.Publish(MakeVersion(2, true));
}

// Largest number of calls within one second from `begin` on.
std::ptrdiff_t BusiestSecond(std::vector<double> calls, double begin) {
  std::sort(calls.begin(), calls.end());
  auto first = std::lower_bound(calls.begin(), calls.end(), begin);
  std::ptrdiff_t most = 0;
  for (auto last = first; last != calls.end(); ++last) {
    first = std::lower_bound(first, last, *last - 1);
    most = std::max(most, last - first + 1);
  }
  return most;
}

[[noreturn]] void Play() {
  Fleet fleet;
  review::Sleep(1);
  review::Zero() = review::Clock::now();
  const double back = kTrafficBefore + FLAGS_age + FLAGS_away;
  const double end = back + kProbeSeconds;
  std::thread writes = Every(kWritePeriod, end, [&](int count) {
    fleet.Register(1 + count % FLAGS_daemons, 1 + count);
  });
  const double written = PlayDrill(fleet);
  std::vector<std::optional<double>> served(FLAGS_daemons);
  std::vector<std::thread> probes;
  for (int vm = 1; vm <= FLAGS_daemons; ++vm) {
    probes.emplace_back(
        [&, vm] { served[vm - 1] = AwaitNewRoute(fleet.net.Vm(vm), end); });
  }
  for (std::thread& probe : probes) {
    probe.join();
  }
  writes.join();
  std::vector<double> delays;
  for (const std::optional<double>& time : served) {
    if (time) {
      delays.push_back(*time - written);
    }
  }
  std::sort(delays.begin(), delays.end());
  std::printf(
      "| %d | %.1f s | %.1f s%s | %.2f s | %.2f s | %zu | %td |\n",
      FLAGS_daemons, FLAGS_away, FLAGS_age, FLAGS_passes ? ", passed" : "",
      delays.empty() ? -1 : delays[delays.size() / 2],
      delays.empty() ? -1 : delays.back(), served.size() - delays.size(),
      BusiestSecond(fleet.store.LimitedCalls(), back));
  std::fflush(stdout);
  review::Finish(fleet.daemons, fleet.folder, delays.size() < served.size());
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "runs daemons against a registry that comes back from a copy; start it "
      "in the folder that contains target/. Prints: daemons, time away, age of "
      "the copy, time to the new configuration (median, last), daemons without "
      "it, calls in the busiest second after the return");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  Play();
}
