#ifndef DAEMON_CALL_WATCHDOG_H_
#define DAEMON_CALL_WATCHDOG_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

#include "base/timer_service.h"

namespace comfrey {

/// \brief Ends calls that pass their deadline or are cancelled.
///
/// A timeout of the HTTP library applies to a single read, so a backend server
/// that sends single bytes at intervals could prolong a call beyond its
/// deadline.
class CallWatchdog {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;
  using CallId = std::uint64_t;

  explicit CallWatchdog(TimerService& timers);
  ~CallWatchdog();

  CallWatchdog(const CallWatchdog&) = delete;
  CallWatchdog& operator=(const CallWatchdog&) = delete;

  /// \brief Watches a call: `stop` is called once, when `deadline` passes or
  /// `cancelled` returns true.
  CallId Watch(TimePoint deadline,
               std::function<bool()> cancelled,
               std::function<void()> stop);

  /// \brief Stops watching the call; neither `cancelled` nor `stop` is called
  /// after the return.
  void Remove(CallId id);

  /// \brief The timers that the watchdog itself subscribes to.
  TimerService& Timers() const { return this->timers; }

 private:
  struct Call {
    TimePoint deadline;
    std::function<bool()> cancelled;
    std::function<void()> stop;
  };

  void Check(TimePoint now);

  TimerService& timers;
  std::mutex mutex;
  std::map<CallId, Call> calls;
  CallId next_id = 1;
  TimerService::SubscriptionId subscription;
};

}  // namespace comfrey

#endif  // DAEMON_CALL_WATCHDOG_H_
