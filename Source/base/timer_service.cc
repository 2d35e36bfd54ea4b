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
  this->changed.notify_all();
  return id;
}

void TimerService::Unsubscribe(SubscriptionId id) {
  std::unique_lock<std::mutex> lock(this->mutex);
  this->subscriptions.erase(id);
  this->changed.wait(lock, [this, id] { return this->running != id; });
}

void TimerService::Stop() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void TimerService::Run() {
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    const auto first =
        std::min_element(this->subscriptions.begin(), this->subscriptions.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.next < b.second.next;
                         });
    if (first == this->subscriptions.end()) {
      this->changed.wait(lock);
      continue;
    }
    const Clock::time_point now = Clock::now();
    if (first->second.next > now) {
      const Clock::time_point wake = first->second.next;
      this->changed.wait_until(lock, wake);
      continue;
    }
    // After a pause of the process the missed periods are skipped, so that a
    // late wake does not cause a burst of calls.
    first->second.next = now + first->second.period;
    this->running = first->first;
    const Callback callback = first->second.callback;
    lock.unlock();
    callback(now);
    lock.lock();
    this->running = 0;
    this->changed.notify_all();
  }
}

}  // namespace comfrey
