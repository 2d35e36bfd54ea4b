// Measures the processor time that a daemon needs to put one change of a
// registration in force, by step (median). At 0.1 core, the elapsed time is
// about ten times as long.

#include <time.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <string>

#include "absl/strings/str_cat.h"
#include "daemon/config_keeper.h"
#include "daemon/endpoint_directory.h"
#include "daemon/key_journal.h"
#include "daemon/owner_service.h"
#include "daemon/service_levels.h"
#include "registry/registry_view.h"

namespace comfrey {
namespace {

using std::chrono::nanoseconds;
using Clock = std::chrono::steady_clock;

struct FleetSize {
  int services;
  int endpoints;
  int routes;
};

constexpr std::array<FleetSize, 3> kSizes = {
    {{2, 94, 40}, {4, 440, 200}, {340, 6'200, 1'600}}};
constexpr int kRepetitions = 51;
constexpr int kEndpointPort = 8081;
constexpr int kEndpointsPerZone = 10;

std::string IpOf(int endpoint) {
  return absl::StrCat("10.0.", endpoint / 250, ".", 1 + endpoint % 250);
}

RegistrationChange MakeRegistration(const FleetSize& size,
                                    int endpoint,
                                    bool draining,
                                    std::uint64_t revision) {
  RegistrationChange change;
  change.instance = absl::StrCat("instance-", endpoint);
  change.revision = {1, revision};
  change.created_revision = 1;
  RegisteredEndpoint registered;
  registered.service = absl::StrCat("service-", endpoint % size.services);
  registered.address.ip = IpOf(endpoint);
  registered.address.port = kEndpointPort;
  registered.failure_domain =
      absl::StrCat("zone-", endpoint / kEndpointsPerZone % 9);
  registered.slots = 4;
  registered.draining = draining;
  change.endpoint = registered;
  return change;
}

RegistryUpdate MakeListing(const FleetSize& size) {
  RegistryUpdate listing;
  listing.complete = true;
  listing.revision = {1, 1};
  listing.config.emplace();
  listing.config->version = 1;
  for (int i = 0; i < size.services; ++i) {
    listing.config->services.push_back({absl::StrCat("service-", i), ""});
  }
  for (int i = 0; i < size.routes; ++i) {
    PublishedRoute route;
    route.name = absl::StrCat("route-", i);
    route.host = "host.example";
    route.prefix = absl::StrCat("/area-", i % 7, "/resource-", i, "/");
    route.idempotent = true;
    route.timeout = std::chrono::seconds(10);
    route.target = std::chrono::seconds(1);
    route.priority = i % 4;
    route.services = {{absl::StrCat("service-", i % size.services), 1}};
    listing.config->routes.push_back(std::move(route));
  }
  for (int i = 0; i < size.endpoints; ++i) {
    listing.registrations.push_back(MakeRegistration(size, i, false, 1));
  }
  return listing;
}

// Other processes on the machine affect CPU time less than wall time.
nanoseconds ThreadCpuTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + nanoseconds(time.tv_nsec);
}

enum Step { kApply, kBuild, kOwner, kDirectory, kOther, kTotal, kSteps };
using StepTimes = std::array<nanoseconds, kSteps>;

// The parts of a daemon that a change of the registry reaches.
struct MeasuredDaemon {
  explicit MeasuredDaemon(const FleetSize& size)
      : size(size),
        watchdog(this->timers),
        log(this->counters),
        owner({IpOf(0), 1, Clock::now(), std::chrono::system_clock::now()},
              this->watchdog,
              this->counters,
              this->log,
              [](const FenceKeyCall&) { return KeyFenceReply(); }),
        directory("daemon", {"region", "zone-0"}),
        journal(Clock::now()),
        keeper(0,
               0,
               this->counters,
               [this](const std::shared_ptr<const ConfigStore>& store) {
                 this->Publish(*store);
               }) {
    this->Apply(MakeListing(size));
  }

  void Publish(const ConfigStore& store) {
    const nanoseconds start = ThreadCpuTime();
    this->owner.ApplyConfig(store);
    const nanoseconds owner_end = ThreadCpuTime();
    this->directory.ApplyConfig(store);
    const nanoseconds directory_end = ThreadCpuTime();
    this->journal.ApplyConfig(store);
    this->levels.ApplyConfig(store);
    this->times[kOwner] = owner_end - start;
    this->times[kDirectory] = directory_end - owner_end;
  }

  void Apply(const RegistryUpdate& update) {
    const nanoseconds start = ThreadCpuTime();
    const Clock::time_point now = Clock::now();
    ApplyRegistryUpdate(this->view, update, now);
    RemoveMissingRegistrations(this->view, now);
    const nanoseconds applied = ThreadCpuTime();
    std::optional<TeamConfig> team = BuildRegistryTeam(this->view, {});
    const nanoseconds built = ThreadCpuTime();
    this->keeper.ApplyTeam(*std::move(team));
    this->times[kTotal] = ThreadCpuTime() - start;
    this->times[kApply] = applied - start;
    this->times[kBuild] = built - applied;
    this->times[kOther] = this->times[kTotal] - this->times[kApply] -
                          this->times[kBuild] - this->times[kOwner] -
                          this->times[kDirectory];
  }

  StepTimes ApplyChange(int number) {
    RegistryUpdate change;
    change.revision = {1, static_cast<std::uint64_t>(number) + 2};
    change.registrations.push_back(MakeRegistration(
        this->size, number % this->size.endpoints,
        number / this->size.endpoints % 2 == 0, change.revision.revision));
    this->Apply(change);
    return this->times;
  }

  FleetSize size;
  TimerService timers;
  CounterRegistry counters;
  CallWatchdog watchdog;
  RequestLog log;
  OwnerService owner;
  EndpointDirectory directory;
  KeyJournal journal;
  ServiceLevels levels;
  RegistryView view;
  StepTimes times{};
  ConfigKeeper keeper;
};

void PrintTimes(const FleetSize& size) {
  MeasuredDaemon daemon(size);
  std::array<std::array<nanoseconds, kRepetitions>, kSteps> by_step{};
  for (int i = 0; i < kRepetitions; ++i) {
    const StepTimes times = daemon.ApplyChange(i);
    for (std::size_t step = 0; step < kSteps; ++step) {
      by_step[step][static_cast<std::size_t>(i)] = times[step];
    }
  }
  std::printf("%8d %9d %6d", size.services, size.endpoints, size.routes);
  for (auto& times : by_step) {
    std::sort(times.begin(), times.end());
    std::printf(" %9.0f", std::chrono::duration<double, std::micro>(
                              times[kRepetitions / 2])
                              .count());
  }
  std::printf("\n");
}

}  // namespace
}  // namespace comfrey

int main() {
  std::printf(
      "processor time of one change of a registration in microseconds\n"
      "services endpoints routes    update     build     owner directory"
      "     other     total\n");
  for (const comfrey::FleetSize& size : comfrey::kSizes) {
    comfrey::PrintTimes(size);
  }
  return 0;
}
