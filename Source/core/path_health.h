#ifndef CORE_PATH_HEALTH_H_
#define CORE_PATH_HEALTH_H_

#include <chrono>
#include <cstdint>
#include <random>

namespace comfrey {

/// \brief Kind of a failure on the path from an ingress to an owner.
enum class PathFailure : std::uint8_t {
  kTransport,      ///< connection refused, reset or lost
  kAcceptTimeout,  ///< no acceptance or refusal within `AcceptTimeout`
};

/// \brief State of a path.
enum class PathState : std::uint8_t { kUsable, kSuspect, kInTrial };

/// \brief Health of the path from this ingress to one owner.
///
/// It affects only where this ingress sends its requests. It is not published
/// and does not change the health of the owner's endpoints.
struct PathHealth {
  PathState state = PathState::kUsable;
  std::uint8_t failures = 0;  ///< consecutive
  /// Moving average of the times until the owner accepted or refused an
  /// attempt; 0 if none.
  std::chrono::microseconds smoothed_accept_time{0};
  /// Shortest of these times since the path became usable, which is about one
  /// round trip; 0 if none.
  std::chrono::microseconds min_accept_time{0};
  std::chrono::steady_clock::time_point suspect_since;
  std::chrono::steady_clock::time_point retry_at;
  std::chrono::steady_clock::time_point trial_started;
  /// Whether a trial is due although the path is usable, see `RequestCheck`.
  bool check_requested = false;
};

/// \brief Returns how long to wait for the owner to accept or refuse an attempt
/// before this counts as a failure of the path.
std::chrono::microseconds AcceptTimeout(const PathHealth& path);

/// \brief Whether regular requests may use the path.
bool IsPathUsable(const PathHealth& path);

/// \brief Whether one request may be sent now as a trial of a suspect path.
///
/// Call `BeginTrial` before the request is sent.
bool IsTrialDue(const PathHealth& path,
                std::chrono::steady_clock::time_point now);

/// \brief Marks that a trial is in progress. No other trial is due until it
/// ends.
void BeginTrial(PathHealth& path, std::chrono::steady_clock::time_point now);

/// \brief Records that an attempt ended without an acceptance for a reason of
/// its own, for example because its deadline was short.
///
/// This says nothing about the path, so a usable path stays in use until a
/// trial has shown that it failed.
void RequestCheck(PathHealth& path);

/// \brief Returns whether a check of a usable path is due, and marks it as
/// begun.
bool TakeCheck(PathHealth& path);

/// \brief Records that the owner accepted or refused an attempt.
///
/// A suspect path becomes usable only if the attempt was sent after the path
/// became suspect.
void RecordPathSuccess(PathHealth& path,
                       std::chrono::steady_clock::time_point sent_at,
                       std::chrono::steady_clock::time_point now);

/// \brief Records that an attempt failed on the path.
///
/// An accept timeout that is reported much too late is ignored, because this
/// process was paused and the acceptance may be waiting in the socket.
void RecordPathFailure(PathHealth& path,
                       PathFailure failure,
                       std::chrono::steady_clock::time_point sent_at,
                       std::chrono::steady_clock::time_point now,
                       std::mt19937_64& rng);

}  // namespace comfrey

#endif  // CORE_PATH_HEALTH_H_
