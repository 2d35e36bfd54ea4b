#include "daemon/stop_phases.h"

#include <algorithm>

namespace comfrey {
namespace {

// Callers are accepted for this time, but at most for half of the grace period,
// until the peers and the callers know that the daemon is leaving.
constexpr std::chrono::milliseconds kAnnouncementTime{2500};
// Share of the grace period in which aborted requests are answered. Backend
// servers that work on a request may be broken off in this share only.
constexpr int kAbortDivisor = 6;
// Longest time for the answers to aborted requests. On a VM with 0.1 core it is
// 200 ms of processor time.
constexpr std::chrono::milliseconds kMaxAbortTime{2000};

}  // namespace

StopPhases PlanStop(std::chrono::microseconds grace) {
  StopPhases phases;
  phases.close =
      std::min<std::chrono::microseconds>(kAnnouncementTime, grace / 2);
  phases.abort = grace - std::min<std::chrono::microseconds>(
                             kMaxAbortTime, grace / kAbortDivisor);
  return phases;
}

}  // namespace comfrey
