#include "base/timer_service.h"

#include <algorithm>
#include <utility>

namespace comfrey {

TimerService::TimerService() : thread([this] { this->Run(); }) {}

TimerService::~TimerService() {
  this->Stop();
}

TimerService::SubscriptionId TimerService::Subscribe(
    std::chrono::milliseconds period,
    Callback callback) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const SubscriptionId id = this->next_id++;
  this->subscriptions[id] = {period, Clock::now() + period,
                             std::move(callback)};
  this->state_changed.notify_all();
  return id;
}

void TimerService::Unsubscribe(SubscriptionId id) {
  std::unique_lock<std::mutex> lock(this->mutex);
  this->subscriptions.erase(id);
  this->state_changed.wait(lock, [this, id] { return this->running_id != id; });
}

void TimerService::Stop() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
    this->state_changed.notify_all();
  }
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void TimerService::Run() {
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    const auto earliest =
        std::min_element(this->subscriptions.begin(), this->subscriptions.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.next_call < b.second.next_call;
                         });
    if (earliest == this->subscriptions.end()) {
      this->state_changed.wait(lock);
      continue;
    }
    const Clock::time_point now = Clock::now();
    if (earliest->second.next_call > now) {
      const Clock::time_point wake_time = earliest->second.next_call;
      this->state_changed.wait_until(lock, wake_time);
      continue;
    }
    // Periods that were missed, for example while the process was suspended,
    // are skipped to avoid a burst of calls.
    earliest->second.next_call = now + earliest->second.period;
    this->running_id = earliest->first;
    const Callback callback = earliest->second.callback;
    lock.unlock();
    callback(now);
    lock.lock();
    this->running_id = 0;
    this->state_changed.notify_all();
  }
}

}  // namespace comfrey
