#include "daemon/call_watchdog.h"

#include <utility>

namespace comfrey {
namespace {

constexpr std::chrono::milliseconds kCheckPeriod{20};

}  // namespace

CallWatchdog::CallWatchdog(TimerService& timers)
    : timers(timers),
      subscription(timers.Subscribe(kCheckPeriod, [this](TimePoint now) {
        this->Check(now);
      })) {}

CallWatchdog::~CallWatchdog() {
  this->timers.Unsubscribe(this->subscription);
}

CallWatchdog::CallId CallWatchdog::Watch(TimePoint deadline,
                                         std::function<bool()> cancelled,
                                         std::function<void()> stop) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const CallId id = this->next_id++;
  this->calls[id] = {deadline, std::move(cancelled), std::move(stop)};
  return id;
}

void CallWatchdog::Remove(CallId id) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->calls.erase(id);
}

void CallWatchdog::Check(TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (auto it = this->calls.begin(); it != this->calls.end();) {
    Call& call = it->second;
    if (now < call.deadline && !call.cancelled()) {
      ++it;
      continue;
    }
    call.stop();
    it = this->calls.erase(it);
  }
}

}  // namespace comfrey
