#include "daemon/periodic_thread.h"

#include <utility>

namespace comfrey {

PeriodicThread::PeriodicThread(std::chrono::milliseconds period,
                               std::function<void()> function)
    : period(period), function(std::move(function)) {}

PeriodicThread::~PeriodicThread() {
  this->Stop();
}

void PeriodicThread::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void PeriodicThread::Stop() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
    this->changed.notify_all();
  }
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void PeriodicThread::Run() {
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    lock.unlock();
    this->function();
    lock.lock();
    this->changed.wait_for(lock, this->period,
                           [this] { return this->stopping; });
  }
}

}  // namespace comfrey
