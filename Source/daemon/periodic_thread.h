#ifndef DAEMON_PERIODIC_THREAD_H_
#define DAEMON_PERIODIC_THREAD_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace comfrey {

/// \brief Thread that calls a function and then waits for `period`, repeatedly.
///
/// For functions that may block; others can use the timer service.
class PeriodicThread {
 public:
  PeriodicThread(std::chrono::milliseconds period,
                 std::function<void()> function);
  ~PeriodicThread();

  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;

  void Start();

  /// \brief Ends the thread, after a call in progress has returned.
  void Stop();

 private:
  void Run();

  std::chrono::milliseconds period;
  std::function<void()> function;
  std::mutex mutex;
  std::condition_variable changed;
  bool stopping = false;
  std::thread thread;
};

}  // namespace comfrey

#endif  // DAEMON_PERIODIC_THREAD_H_
