#ifndef BASE_TIMER_SERVICE_H_
#define BASE_TIMER_SERVICE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace comfrey {

/// \brief Calls subscribed functions periodically, on one thread.
///
/// A callback must not block, because it would delay all other callbacks;
/// slow work needs a thread of its own.
class TimerService {
 public:
  using Clock = std::chrono::steady_clock;
  using Callback = std::function<void(Clock::time_point now)>;
  using SubscriptionId = std::uint64_t;

  TimerService();
  ~TimerService();

  TimerService(const TimerService&) = delete;
  TimerService& operator=(const TimerService&) = delete;

  /// \brief Calls `callback` once per period, for the first time after one
  /// period.
  SubscriptionId Subscribe(std::chrono::milliseconds period, Callback callback);

  /// \brief Removes a subscription and waits until its call in progress has
  /// returned.
  ///
  /// Must not be called from a callback.
  void Unsubscribe(SubscriptionId id);

  /// \brief Stops the thread. No callback runs after Stop() returns.
  void Stop();

 private:
  struct Subscription {
    std::chrono::milliseconds period;
    Clock::time_point next_call;
    Callback callback;
  };

  void Run();

  std::mutex mutex;
  std::condition_variable state_changed;
  std::map<SubscriptionId, Subscription> subscriptions;
  SubscriptionId next_id = 1;
  /// Subscription whose callback is running; 0 if none is.
  SubscriptionId running_id = 0;
  bool stopping = false;
  std::thread thread;
};

}  // namespace comfrey

#endif  // BASE_TIMER_SERVICE_H_
