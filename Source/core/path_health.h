#ifndef CORE_PATH_HEALTH_H_
#define CORE_PATH_HEALTH_H_

#include <chrono>
#include <cstdint>
#include <random>

namespace comfrey {

/// \brief How a path from an ingress to an owner failed.
enum class PathFailure : std::uint8_t {
  kTransport,      ///< connection refused, reset or lost
  kAcceptTimeout,  ///< no acceptance within `AcceptTimeout`
};

/// \brief State of a path.
enum class PathState : std::uint8_t { kUsable, kSuspect, kInTrial };

/// \brief Health of the path from this ingress to one owner.
///
/// It only moves the traffic of this ingress. It is never published and has no
/// access to the health of the owner's endpoints.
struct PathHealth {
  PathState state = PathState::kUsable;
  std::uint8_t failures = 0;  ///< consecutive
  std::chrono::microseconds smoothed_accept_time{0};
  /// Shortest time since the path became clear, about a round trip; 0 if none.
  std::chrono::microseconds min_accept_time{0};
  std::chrono::steady_clock::time_point suspect_since;
  std::chrono::steady_clock::time_point retry_at;
  std::chrono::steady_clock::time_point trial_started;
};

/// \brief Time after which a missing acceptance is a failure of the path.
std::chrono::microseconds AcceptTimeout(const PathHealth& path);

/// \brief Whether the owner is reachable for regular traffic.
bool IsPathUsable(const PathHealth& path);

/// \brief Whether one request may be sent to try a suspect path.
///
/// The caller sends the trial with `BeginTrial` first.
bool IsTrialDue(const PathHealth& path,
                std::chrono::steady_clock::time_point now);

/// \brief Marks that a trial is in progress; no other is due meanwhile.
void BeginTrial(PathHealth& path, std::chrono::steady_clock::time_point now);

/// \brief Records that the owner accepted or refused an attempt.
///
/// Only an attempt that was sent after the path became suspect clears it.
void RecordPathSuccess(PathHealth& path,
                       std::chrono::steady_clock::time_point sent_at,
                       std::chrono::steady_clock::time_point now);

/// \brief Records that an attempt failed on the path.
///
/// An accept timeout that is noticed much too late is ignored: this process
/// was paused, and the acceptance may be waiting in its socket.
void RecordPathFailure(PathHealth& path,
                       PathFailure failure,
                       std::chrono::steady_clock::time_point sent_at,
                       std::chrono::steady_clock::time_point now,
                       std::mt19937_64& rng);

}  // namespace comfrey

#endif  // CORE_PATH_HEALTH_H_
