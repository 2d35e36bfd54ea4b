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

constexpr std::array<SoakAction, 13> kActions = {
    SoakAction::kStopDaemon,   SoakAction::kKillDaemon,
    SoakAction::kPauseDaemon,  SoakAction::kReloadDaemon,
    SoakAction::kFailServer,   SoakAction::kDrainServer,
    SoakAction::kResetPaths,   SoakAction::kSilencePaths,
    SoakAction::kCutPaths,     SoakAction::kDelayPaths,
    SoakAction::kStopRegistry, SoakAction::kCutWatches,
    SoakAction::kChangeRoutes};
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
  event.action = DrawOne(plan, kActions);
  event.server_fault = DrawOne(plan, kServerFaults);
  event.path_mode = DrawOne(plan, kCutModes);
  const int vms =
      IsPathAction(event.action) ? plan.size.relayed_vms : plan.size.vms;
  if (vms == 0) {
    return;
  }
  const int length = Draw(plan, 1, std::min(kMaxSeriesLength, vms));
  event.vm = Draw(plan, 1, vms);
  for (int i = 0; i < length; ++i) {
    event.lasts = milliseconds(Draw(plan, 200, 2500));
    plan.events.push_back(event);
    event.vm = event.vm % vms + 1;
    event.at += milliseconds(Draw(plan, 50, 900));
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
    case SoakAction::kChangeRoutes:
      break;
  }
  return "change routes";
}

}  // namespace

std::vector<SoakEvent> MakeSoakPlan(std::uint64_t seed, const SoakSize& size) {
  Plan plan{std::mt19937_64(seed), size, {}};
  milliseconds at{0};
  while (at < size.duration) {
    AddSeries(plan, at);
    at += milliseconds(Draw(plan, 1, 2 * kMeanSeriesGapMs));
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
