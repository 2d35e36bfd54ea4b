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
                 const std::vector<std::string>& arguments) {
  const std::string path = std::string(COMFREY_BUILD_DIR "/") + program;
  std::vector<std::string> words = {path};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (std::string& word : words) {
    argv.push_back(word.data());
  }
  argv.push_back(nullptr);

  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error("cannot create a pipe");
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[0], STDIN_FILENO);
  const int error = posix_spawn(&this->pid, path.c_str(), &actions, nullptr,
                                argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(ends[0]);
  this->input = ends[1];
  if (error != 0) {
    throw std::runtime_error("cannot start " + path);
  }
}

Process::Process(Process&& other) noexcept
    : pid(other.pid), input(other.input) {
  other.pid = -1;
  other.input = -1;
}

Process::~Process() {
  if (this->pid > 0) {
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
  }
  if (this->input >= 0) {
    close(this->input);
  }
}

void Process::Signal(int signal) const {
  kill(this->pid, signal);
}

int Process::Wait(std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  constexpr std::chrono::milliseconds kPollPeriod{10};
  constexpr int kSignalBase = 128;
  for (;;) {
    int status = 0;
    if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
      this->pid = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status)
                               : kSignalBase + WTERMSIG(status);
    }
    if (std::chrono::steady_clock::now() >= end) {
      return -1;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
}

void Process::WriteLine(const std::string& line) const {
  const std::string text = line + "\n";
  if (write(this->input, text.data(), text.size()) < 0) {
    throw std::runtime_error("cannot write to a child process");
  }
}

}  // namespace comfrey
