#include "system/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace comfrey {

Process::Process(const std::string& program,
                 const std::vector<std::string>& arguments,
                 const std::string& output) {
  const std::string path = std::string(COMFREY_BUILD_DIR "/") + program;
  std::vector<std::string> command_line = {path};
  command_line.insert(command_line.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  argv.reserve(command_line.size() + 1);
  for (std::string& word : command_line) {
    argv.push_back(word.data());
  }
  argv.push_back(nullptr);

  std::array<int, 2> pipe_fds{};
  if (pipe2(pipe_fds.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error("cannot create a pipe");
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipe_fds[0], STDIN_FILENO);
  if (!output.empty()) {
    constexpr mode_t kFileMode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, kFileMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  }
  const int error = posix_spawn(&this->pid, path.c_str(), &actions, nullptr,
                                argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(pipe_fds[0]);
  this->stdin_fd = pipe_fds[1];
  if (error != 0) {
    throw std::runtime_error("cannot start " + path);
  }
}

Process::Process(Process&& other) noexcept
    : pid(other.pid), stdin_fd(other.stdin_fd) {
  other.pid = -1;
  other.stdin_fd = -1;
}

Process::~Process() {
  if (this->pid > 0) {
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
  }
  if (this->stdin_fd >= 0) {
    close(this->stdin_fd);
  }
}

void Process::SendSignal(int signal) const {
  kill(this->pid, signal);
}

int Process::WaitForExit(std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  constexpr std::chrono::milliseconds kPollPeriod{10};
  constexpr int kSignalExitBase = 128;
  for (;;) {
    int status = 0;
    if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
      this->pid = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status)
                               : kSignalExitBase + WTERMSIG(status);
    }
    if (std::chrono::steady_clock::now() >= end) {
      return -1;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
}

void Process::WriteLine(const std::string& line) const {
  const std::string text = line + "\n";
  if (write(this->stdin_fd, text.data(), text.size()) < 0) {
    throw std::runtime_error("cannot write to a child process");
  }
}

}  // namespace comfrey
