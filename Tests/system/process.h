#ifndef TESTS_SYSTEM_PROCESS_H_
#define TESTS_SYSTEM_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <string>
#include <vector>

namespace comfrey {

/// \brief A child process of a test; the destructor kills it if it still runs.
class Process {
 public:
  /// \brief Starts `program`, a path relative to the build folder. Its output
  /// is appended to the file `output`, unless that is empty.
  Process(const std::string& program,
          const std::vector<std::string>& arguments,
          const std::string& output = "");
  ~Process();

  Process(Process&& other) noexcept;
  Process& operator=(Process&&) = delete;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t Pid() const { return this->pid; }

  void SendSignal(int signal) const;

  /// \brief Waits until the process exits. Returns its exit status, 128 plus
  /// the signal that ended it, or -1 if it still runs after `timeout`.
  int WaitForExit(std::chrono::milliseconds timeout);

  /// \brief Writes a line to the standard input of the process.
  void WriteLine(const std::string& line) const;

 private:
  pid_t pid = -1;
  int stdin_fd = -1;
};

}  // namespace comfrey

#endif  // TESTS_SYSTEM_PROCESS_H_
