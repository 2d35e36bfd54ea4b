// Measures memory and time of the configuration for capacity planning:
// bytes per endpoint, route and team, and the time to parse, to build the
// route table, to change one team and to match a request (CPU time, median).

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "config/config_store.h"
#include "config/ini_fields.h"
#include "config/route_table.h"
#include "config/team_config.h"

namespace comfrey {
namespace {

using std::chrono::nanoseconds;

struct FleetSize {
  int teams;
  int services;
  int endpoints;
  int routes;
};

// Target size of the design page; the number of teams is an assumption.
constexpr FleetSize kTargetSize = {40, 340, 6'200, 1'600};
constexpr int kRanks = 4;
constexpr int kRepetitions = 9;
constexpr int kMatches = 200'000;

struct TeamValue {
  std::string team;
  std::string text;
};

// Returns the size of part `index` if `total` is split into `parts` as evenly
// as possible.
int PartSize(int total, int parts, int index) {
  return total * (index + 1) / parts - total * index / parts;
}

std::string EndpointList(int first, int count) {
  std::string list;
  for (int i = first; i < first + count; ++i) {
    // Wraps the list, because a line may have at most 198 characters.
    absl::StrAppend(&list,
                    i == first   ? ""
                    : i % 6 == 0 ? ",\n  "
                                 : ", ",
                    "10.", i / 62'500, ".", i / 250 % 250, ".", 1 + i % 250,
                    ":8081");
  }
  return list;
}

std::vector<TeamValue> MakeValues(const FleetSize& size) {
  std::vector<TeamValue> values;
  int service = 0;
  int endpoint = 0;
  for (int team = 0; team < size.teams; ++team) {
    std::string text = "[team]\ngeneration = 1\n";
    const int services = PartSize(size.services, size.teams, team);
    for (int i = 0; i < services; ++i, ++service) {
      const int endpoints = PartSize(size.endpoints, size.services, service);
      absl::StrAppend(&text, "[service service-", i,
                      "]\nendpoints = ", EndpointList(endpoint, endpoints),
                      "\nslots = 4\nfloor = 70%\n");
      endpoint += endpoints;
    }
    for (int i = 0; i < kRanks; ++i) {
      absl::StrAppend(&text, "[rank rank-", i, "]\nurgency = ", i + 1,
                      "\ntarget = 250ms\nshare = 20%\n");
    }
    const int routes = PartSize(size.routes, size.teams, team);
    for (int i = 0; i < routes; ++i) {
      absl::StrAppend(&text, "[route route-", i, "]\nservice = service-",
                      i % services, "\nrank = rank-", i % kRanks,
                      "\nmethod = POST\npath = /area-", i % 7, "/resource-", i,
                      "\nrepeat = safe\ndeadline = 2s\n");
    }
    values.push_back({absl::StrCat("team-", team), std::move(text)});
  }
  return values;
}

ConfigStore MakeStore(const std::vector<TeamValue>& values) {
  ConfigStore store;
  for (const TeamValue& value : values) {
    ApplyRevision(store, value.team, 1, value.text);
  }
  return store;
}

// Returns the allocated bytes, including the overhead of the allocator.
std::size_t HeapBytes() {
  return mallinfo2().uordblks + mallinfo2().hblkhd;
}

struct MemoryUse {
  std::size_t text = 0;
  std::size_t heap = 0;
};

MemoryUse MeasureMemory(const FleetSize& size) {
  const std::vector<TeamValue> values = MakeValues(size);
  const std::size_t before = HeapBytes();
  const ConfigStore store = MakeStore(values);
  MemoryUse use;
  use.heap = HeapBytes() - before;
  for (const auto& [team, subtree] : store.subtrees) {
    use.text += subtree->text.size();
  }
  if (!store.rejected.empty()) {
    std::fputs(FormatIniErrors(store.rejected.begin()->second.errors).c_str(),
               stderr);
  }
  return use;
}

// Other processes on the machine affect CPU time less than wall time.
nanoseconds ThreadCpuTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) + nanoseconds(time.tv_nsec);
}

template <typename Run>
nanoseconds MedianTime(Run run) {
  std::array<nanoseconds, kRepetitions> times{};
  for (nanoseconds& time : times) {
    const nanoseconds start = ThreadCpuTime();
    run();
    time = ThreadCpuTime() - start;
  }
  std::sort(times.begin(), times.end());
  return times[kRepetitions / 2];
}

double ToMicroseconds(nanoseconds time) {
  return std::chrono::duration<double, std::micro>(time).count();
}

double MeasureMatchNanoseconds(const RouteTable& table) {
  std::vector<std::string> targets;
  for (const auto& [team, routes] : table.teams) {
    for (const RouteConfig& route : routes->config->routes) {
      targets.push_back(
          absl::StrCat("/", team, route.path, "/item/12345?day=2026-12-04"));
    }
  }
  std::size_t found = 0;
  const nanoseconds time = MedianTime([&] {
    for (int i = 0; i < kMatches; ++i) {
      // The stride visits the routes in an order without locality.
      const RouteMatch match = MatchRoute(
          table, "POST",
          targets[static_cast<std::size_t>(i) * 7919 % targets.size()],
          [](absl::string_view) { return std::optional<std::string>(); });
      found += match.status == MatchStatus::kFound ? 1 : 0;
    }
  });
  if (found != std::size_t{kMatches} * kRepetitions) {
    std::fputs("some requests found no route\n", stderr);
  }
  return static_cast<double>(time.count()) / kMatches;
}

void PrintTimes(const FleetSize& size) {
  const std::vector<TeamValue> values = MakeValues(size);
  const MemoryUse memory = MeasureMemory(size);
  std::vector<std::shared_ptr<const TeamConfig>> configs;
  const nanoseconds parse = MedianTime([&] {
    configs.clear();
    for (const TeamValue& value : values) {
      std::vector<IniError> errors;
      configs.push_back(std::make_shared<const TeamConfig>(
          ParseTeamConfig(value.team, "", value.text, errors)));
    }
  });
  RouteTable table;
  const nanoseconds build =
      MedianTime([&] { table = BuildRouteTable(configs); });
  ConfigStore store = MakeStore(values);
  std::uint64_t revision = 1;
  std::shared_ptr<const ConfigStore> snapshot;
  const nanoseconds change = MedianTime([&] {
    ApplyRevision(store, values[0].team, ++revision, values[0].text);
    snapshot = std::make_shared<const ConfigStore>(store);
  });
  std::printf("%5d %8d %9d %6d %10zu %10zu %9.1f %9.1f %10.1f %8.0f\n",
              size.teams, size.services, size.endpoints, size.routes,
              memory.text, memory.heap, ToMicroseconds(parse) / 1e3,
              ToMicroseconds(build) / 1e3, ToMicroseconds(change),
              MeasureMatchNanoseconds(table));
}

void PrintMemoryPerUnit(const char* name, int FleetSize::*varied) {
  MemoryUse previous;
  int previous_count = 0;
  for (const int divisor : {4, 2, 1}) {
    FleetSize size = kTargetSize;
    size.*varied /= divisor;
    const MemoryUse use = MeasureMemory(size);
    std::printf("%-10s %6d %10zu %10zu", name, size.*varied, use.text,
                use.heap);
    if (previous_count > 0) {
      const double added = size.*varied - previous_count;
      std::printf(
          " %12.1f %12.1f",
          (static_cast<double>(use.text) - static_cast<double>(previous.text)) /
              added,
          (static_cast<double>(use.heap) - static_cast<double>(previous.heap)) /
              added);
    }
    std::printf("\n");
    previous = use;
    previous_count = size.*varied;
  }
}

}  // namespace
}  // namespace comfrey

int main() {
  using comfrey::FleetSize;
  using comfrey::kTargetSize;
  std::printf(
      "teams services endpoints routes text bytes heap bytes  parse ms  "
      "build ms  change us match ns\n");
  for (const int divisor : {4, 2, 1}) {
    comfrey::PrintTimes(
        {kTargetSize.teams / divisor, kTargetSize.services / divisor,
         kTargetSize.endpoints / divisor, kTargetSize.routes / divisor});
  }
  std::printf(
      "\nvaried      count text bytes heap bytes text/added  heap/added\n");
  comfrey::PrintMemoryPerUnit("endpoints", &FleetSize::endpoints);
  comfrey::PrintMemoryPerUnit("services", &FleetSize::services);
  comfrey::PrintMemoryPerUnit("routes", &FleetSize::routes);
  comfrey::PrintMemoryPerUnit("teams", &FleetSize::teams);
  return 0;
}
