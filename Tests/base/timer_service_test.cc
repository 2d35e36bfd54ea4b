#include "base/timer_service.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

// Guards against a callback that is called only once or never.
TEST_CASE("a subscriber is called each period") {
  TimerService timers;
  std::mutex mutex;
  std::condition_variable called;
  int calls = 0;
  timers.Subscribe(std::chrono::milliseconds(1),
                   [&](TimerService::Clock::time_point) {
                     const std::lock_guard<std::mutex> lock(mutex);
                     ++calls;
                     called.notify_all();
                   });
  std::unique_lock<std::mutex> lock(mutex);
  called.wait(lock, [&] { return calls >= 3; });
  CHECK(calls >= 3);
}

// Guards against a callback that runs after its owner was destroyed.
TEST_CASE("no call is made after Unsubscribe returns") {
  TimerService timers;
  std::atomic<int> calls{0};
  const TimerService::SubscriptionId id =
      timers.Subscribe(std::chrono::milliseconds(1),
                       [&](TimerService::Clock::time_point) { ++calls; });
  while (calls == 0) {
    std::this_thread::yield();
  }
  timers.Unsubscribe(id);
  const int before = calls;
  std::this_thread::sleep_for(std::chrono::milliseconds(10));
  CHECK(calls == before);
}

}  // namespace
}  // namespace comfrey
