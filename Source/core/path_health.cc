#include "core/path_health.h"

#include <algorithm>

namespace comfrey {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

constexpr milliseconds kBaseAcceptTimeout{250};
constexpr int kSmoothedTimeFactor = 4;
// Accept time that is assumed for a path that was never used: a round trip to
// another region.
constexpr milliseconds kInitialAcceptTime{60};
constexpr int kSmoothingDivisor = 8;
// Upper limit of a measured accept time, which bounds the effect of acceptances
// that were delayed by a fault.
constexpr milliseconds kMaxAcceptTime{250};
// A single failure makes a path suspect. Other owners can serve the requests,
// and the first backoff is short, so a wrong suspicion costs little.
constexpr milliseconds kFirstBackoff{250};
constexpr milliseconds kMaxBackoff{2000};
constexpr int kMaxDoublings = 6;
// Spreads the trials of daemons whose paths failed at the same time.
constexpr int kJitterPercent = 25;
// Timers of a process that was not paused fire at most this much late.
constexpr milliseconds kMaxTimerDelay{500};

milliseconds Backoff(unsigned failures, std::mt19937_64& rng) {
  const int doublings = std::min(static_cast<int>(failures) - 1, kMaxDoublings);
  const milliseconds full =
      std::min(kFirstBackoff * (1 << doublings), kMaxBackoff);
  const auto jitter = static_cast<int>(rng() % (kJitterPercent + 1));
  return full * (100 - jitter) / 100;
}

}  // namespace

microseconds AcceptTimeout(const PathHealth& path) {
  const microseconds expected = path.smoothed_accept_time > microseconds(0)
                                    ? path.smoothed_accept_time
                                    : microseconds(kInitialAcceptTime);
  return kBaseAcceptTimeout + kSmoothedTimeFactor * expected;
}

bool IsPathUsable(const PathHealth& path) {
  return path.state == PathState::kUsable;
}

bool IsTrialDue(const PathHealth& path, TimePoint now) {
  if (path.state == PathState::kUsable || now < path.retry_at) {
    return false;
  }
  // A trial may end without a report, for example because the caller
  // disconnected. After a timeout, another trial is due.
  return path.state == PathState::kSuspect ||
         now - path.trial_started > AcceptTimeout(path) + kMaxTimerDelay;
}

void BeginTrial(PathHealth& path, TimePoint now) {
  path.state = PathState::kInTrial;
  path.trial_started = now;
}

void RequestCheck(PathHealth& path) {
  path.check_requested = true;
}

bool TakeCheck(PathHealth& path) {
  const bool due = path.check_requested && IsPathUsable(path);
  path.check_requested = false;
  return due;
}

void RecordPathSuccess(PathHealth& path, TimePoint sent_at, TimePoint now) {
  if (path.state != PathState::kUsable && sent_at <= path.suspect_since) {
    // The attempt is older than the failure: the owner may have sent its reply
    // before the path failed in that direction.
    return;
  }
  if (path.state != PathState::kUsable) {
    path.min_accept_time = microseconds(0);
  }
  path.state = PathState::kUsable;
  path.failures = 0;
  path.check_requested = false;
  const auto measured = std::min<microseconds>(
      std::chrono::duration_cast<microseconds>(now - sent_at), kMaxAcceptTime);
  // The minimum is kept in addition to the average, because the average
  // includes the time to establish connections, which a rarely used path does
  // often.
  path.min_accept_time = path.min_accept_time == microseconds(0)
                             ? measured
                             : std::min(path.min_accept_time, measured);
  path.smoothed_accept_time =
      path.smoothed_accept_time == microseconds(0)
          ? measured
          : path.smoothed_accept_time +
                (measured - path.smoothed_accept_time) / kSmoothingDivisor;
}

void RecordPathFailure(PathHealth& path,
                       PathFailure failure,
                       TimePoint sent_at,
                       TimePoint now,
                       std::mt19937_64& rng) {
  if (failure == PathFailure::kAcceptTimeout &&
      now - sent_at > AcceptTimeout(path) + kMaxTimerDelay) {
    if (path.state == PathState::kInTrial) {
      path.state = PathState::kSuspect;
    }
    return;
  }
  if (path.state != PathState::kUsable && sent_at <= path.suspect_since) {
    // The failures of requests that were in flight at the same time count as
    // one failure of the path.
    return;
  }
  path.failures =
      static_cast<std::uint8_t>(std::min(path.failures + 1, kMaxDoublings + 1));
  path.state = PathState::kSuspect;
  path.suspect_since = now;
  path.retry_at = now + Backoff(path.failures, rng);
}

}  // namespace comfrey
