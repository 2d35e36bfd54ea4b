#ifndef DAEMON_PERIODIC_THREAD_H_
#define DAEMON_PERIODIC_THREAD_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace comfrey {

/// \brief Calls a function that may block, again and again, on its own thread.
///
/// Short work that does not block belongs on the timer service.
class PeriodicThread {
 public:
  PeriodicThread(std::chrono::milliseconds period,
                 std::function<void()> function);
  ~PeriodicThread();

  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;

  void Start();

  /// \brief Ends the thread; waits for a call in progress.
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
