#include "soak/soak_plan.h"

#include <algorithm>
#include <array>
#include <random>

#include "absl/strings/str_cat.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;

// Mean time between the starts of two series.
constexpr int kMeanSeriesGapMs = 700;
constexpr int kMaxSeriesLength = 5;

struct Plan {
  std::mt19937_64 rng;
  const SoakSize& size;
  std::vector<SoakEvent> events;
};

int Draw(Plan& plan, int from, int to) {
  // Not a distribution of the library, whose results differ between libraries.
  return from + static_cast<int>(plan.rng() %
                                 static_cast<std::uint64_t>(to - from + 1));
}

template <typename T, std::size_t N>
T DrawOne(Plan& plan, const std::array<T, N>& choices) {
  return choices[static_cast<std::size_t>(
      Draw(plan, 0, static_cast<int>(N) - 1))];
}

constexpr std::array<SoakAction, 16> kActions = {
    SoakAction::kStopDaemon,   SoakAction::kKillDaemon,
    SoakAction::kPauseDaemon,  SoakAction::kReloadDaemon,
    SoakAction::kFailServer,   SoakAction::kDrainServer,
    SoakAction::kResetPaths,   SoakAction::kSilencePaths,
    SoakAction::kCutPaths,     SoakAction::kDelayPaths,
    SoakAction::kStopRegistry, SoakAction::kCutWatches,
    SoakAction::kChangeRoutes, SoakAction::kRemoveServer,
    SoakAction::kExpireServer, SoakAction::kDrillRegistry};
// With registry_focus. Actions that stand twice are drawn twice as often.
constexpr std::array<SoakAction, 11> kRegistryActions = {
    SoakAction::kDrainServer,  SoakAction::kDrainServer,
    SoakAction::kRemoveServer, SoakAction::kRemoveServer,
    SoakAction::kExpireServer, SoakAction::kExpireServer,
    SoakAction::kCutWatches,   SoakAction::kChangeRoutes,
    SoakAction::kKillDaemon,   SoakAction::kPauseDaemon,
    SoakAction::kFailServer};
constexpr std::array<SoakAction, 2> kLeaveActions = {SoakAction::kDrainServer,
                                                     SoakAction::kRemoveServer};
// Time between the drills with registry_focus, more than twice the time after
// which promises with a time bound hold again.
constexpr milliseconds kDrillPeriod{16000};
constexpr milliseconds kMaxDrill{3000};
constexpr std::array<ServerFault, 8> kServerFaults = {
    ServerFault::kSlow,
    ServerFault::kError,
    ServerFault::kUnmarkedRefusal,
    ServerFault::kMarkedRefusal,
    ServerFault::kLoseAnswer,
    ServerFault::kTruncate,
    ServerFault::kRawHeader,
    ServerFault::kExtraAnswer};
constexpr std::array<const char*, 3> kCutModes = {"drop-forward", "drop-back",
                                                  "drop-both"};

bool IsPathAction(SoakAction action) {
  return action == SoakAction::kResetPaths ||
         action == SoakAction::kSilencePaths ||
         action == SoakAction::kCutPaths || action == SoakAction::kDelayPaths;
}

// Adds a series of the same action: at several VMs, or several times.
void AddSeries(Plan& plan, milliseconds begin) {
  SoakEvent event;
  event.at = begin;
  event.action = plan.size.registry_focus ? DrawOne(plan, kRegistryActions)
                                          : DrawOne(plan, kActions);
  event.server_fault = DrawOne(plan, kServerFaults);
  event.path_mode = DrawOne(plan, kCutModes);
  const int vms =
      IsPathAction(event.action) ? plan.size.relayed_vms : plan.size.vms;
  if (vms == 0) {
    return;
  }
  const bool drill = event.action == SoakAction::kDrillRegistry;
  const int length = drill ? 1 : Draw(plan, 1, std::min(kMaxSeriesLength, vms));
  event.vm = Draw(plan, 1, vms);
  for (int i = 0; i < length; ++i) {
    event.lasts = milliseconds(Draw(plan, 200, 2500));
    event.copy_age = milliseconds(Draw(plan, 1000, 10000));
    plan.events.push_back(event);
    event.vm = event.vm % vms + 1;
    event.at += milliseconds(Draw(plan, 50, 900));
  }
}

void AddDrills(Plan& plan) {
  for (milliseconds at{Draw(plan, 0, 5000)}; at < plan.size.duration;
       at += kDrillPeriod) {
    SoakEvent event;
    event.at = at;
    event.action = SoakAction::kDrillRegistry;
    event.lasts =
        milliseconds(Draw(plan, 0, static_cast<int>(kMaxDrill.count())));
    event.copy_age = milliseconds(Draw(plan, 1000, 10000));
    plan.events.push_back(event);
    // One backend server leaves when the daemons must have noticed the drill.
    event.at += event.lasts + milliseconds(Draw(plan, 4100, 6000));
    event.action = DrawOne(plan, kLeaveActions);
    event.vm = Draw(plan, 1, plan.size.vms);
    plan.events.push_back(event);
  }
}

const char* ActionName(SoakAction action) {
  switch (action) {
    case SoakAction::kStopDaemon:
      return "stop daemon";
    case SoakAction::kKillDaemon:
      return "kill daemon";
    case SoakAction::kPauseDaemon:
      return "pause daemon";
    case SoakAction::kReloadDaemon:
      return "reload daemon";
    case SoakAction::kFailServer:
      return "fail server";
    case SoakAction::kDrainServer:
      return "drain server";
    case SoakAction::kResetPaths:
      return "reset paths";
    case SoakAction::kSilencePaths:
      return "silence paths";
    case SoakAction::kCutPaths:
      return "cut paths";
    case SoakAction::kDelayPaths:
      return "delay paths";
    case SoakAction::kStopRegistry:
      return "stop registry";
    case SoakAction::kCutWatches:
      return "cut watches";
    case SoakAction::kRemoveServer:
      return "remove server";
    case SoakAction::kExpireServer:
      return "expire server";
    case SoakAction::kDrillRegistry:
      return "drill registry";
    case SoakAction::kChangeRoutes:
      break;
  }
  return "change routes";
}

}  // namespace

std::vector<SoakEvent> MakeSoakPlan(std::uint64_t seed, const SoakSize& size) {
  Plan plan{std::mt19937_64(seed), size, {}};
  milliseconds at{0};
  const int mean_gap_ms =
      size.registry_focus ? 3 * kMeanSeriesGapMs : kMeanSeriesGapMs;
  while (at < size.duration) {
    AddSeries(plan, at);
    at += milliseconds(Draw(plan, 1, 2 * mean_gap_ms));
  }
  if (size.registry_focus) {
    AddDrills(plan);
  }
  plan.events.erase(std::remove_if(plan.events.begin(), plan.events.end(),
                                   [&](const SoakEvent& event) {
                                     return event.at >= size.duration;
                                   }),
                    plan.events.end());
  std::stable_sort(
      plan.events.begin(), plan.events.end(),
      [](const SoakEvent& a, const SoakEvent& b) { return a.at < b.at; });
  return plan.events;
}

std::string DescribeEvent(const SoakEvent& event) {
  std::string text = absl::StrCat(
      event.at.count(), " ms: ", ActionName(event.action), " ", event.vm);
  if (event.action == SoakAction::kFailServer) {
    absl::StrAppend(&text, ", fault ", static_cast<int>(event.server_fault));
  }
  if (event.action == SoakAction::kCutPaths) {
    absl::StrAppend(&text, ", ", event.path_mode);
  }
  return absl::StrCat(text, ", for ", event.lasts.count(), " ms");
}

}  // namespace comfrey
