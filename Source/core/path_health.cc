#include "core/path_health.h"

#include <algorithm>

namespace comfrey {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

constexpr milliseconds kBaseAcceptTimeout{250};
constexpr int kUsualTimeFactor = 4;
// Assumed on a path that was never used: a round trip to another region.
constexpr milliseconds kUnknownUsualTime{60};
constexpr int kUsualTimeWeight = 8;
// Bounds the effect of acceptances that were delayed by a fault.
constexpr milliseconds kMaxUsualTime{250};
// A single failure marks the path, because other owners can serve and a short
// first backoff makes the mistake cheap.
constexpr milliseconds kFirstBackoff{250};
constexpr milliseconds kMaxBackoff{2000};
constexpr int kMaxDoublings = 6;
// Spreads the trials of the daemons that lost the path at the same time.
constexpr int kJitterPercent = 25;
// Timers of a running process are not later than this.
constexpr milliseconds kLateWake{500};

milliseconds Backoff(unsigned failures, std::mt19937_64& rng) {
  const int doublings = std::min(static_cast<int>(failures) - 1, kMaxDoublings);
  const milliseconds full =
      std::min(kFirstBackoff * (1 << doublings), kMaxBackoff);
  const auto jitter = static_cast<int>(rng() % (kJitterPercent + 1));
  return full * (100 - jitter) / 100;
}

}  // namespace

microseconds AcceptTimeout(const PathHealth& path) {
  const microseconds usual = path.usual_accept_time > microseconds(0)
                                 ? path.usual_accept_time
                                 : microseconds(kUnknownUsualTime);
  return kBaseAcceptTimeout + kUsualTimeFactor * usual;
}

bool IsPathClear(const PathHealth& path) {
  return path.state == PathState::kClear;
}

bool IsTrialDue(const PathHealth& path, TimePoint now) {
  if (path.state == PathState::kClear || now < path.retry_at) {
    return false;
  }
  // A trial whose end was never reported, e.g. because its caller left, must
  // not block the path.
  return path.state == PathState::kSuspect ||
         now - path.trial_since > AcceptTimeout(path) + kLateWake;
}

void BeginTrial(PathHealth& path, TimePoint now) {
  path.state = PathState::kOnTrial;
  path.trial_since = now;
}

void RecordAcceptance(PathHealth& path, TimePoint sent_at, TimePoint now) {
  if (path.state != PathState::kClear && sent_at <= path.suspect_since) {
    // The reply may have left before the path failed in that direction.
    return;
  }
  if (path.state != PathState::kClear) {
    path.least_accept_time = microseconds(0);
  }
  path.state = PathState::kClear;
  path.failures = 0;
  const auto measured = std::min<microseconds>(
      std::chrono::duration_cast<microseconds>(now - sent_at), kMaxUsualTime);
  // The usual time includes the set-up of connections, of which a path that is
  // seldom used sees many.
  path.least_accept_time = path.least_accept_time == microseconds(0)
                               ? measured
                               : std::min(path.least_accept_time, measured);
  path.usual_accept_time =
      path.usual_accept_time == microseconds(0)
          ? measured
          : path.usual_accept_time +
                (measured - path.usual_accept_time) / kUsualTimeWeight;
}

void RecordPathFailure(PathHealth& path,
                       PathFailure failure,
                       TimePoint sent_at,
                       TimePoint now,
                       std::mt19937_64& rng) {
  if (failure == PathFailure::kAcceptTimeout &&
      now - sent_at > AcceptTimeout(path) + kLateWake) {
    if (path.state == PathState::kOnTrial) {
      path.state = PathState::kSuspect;
    }
    return;
  }
  if (path.state != PathState::kClear && sent_at <= path.suspect_since) {
    // Requests that were in flight together report one fault of the path.
    return;
  }
  path.failures =
      static_cast<std::uint8_t>(std::min(path.failures + 1, kMaxDoublings + 1));
  path.state = PathState::kSuspect;
  path.suspect_since = now;
  path.retry_at = now + Backoff(path.failures, rng);
}

}  // namespace comfrey
