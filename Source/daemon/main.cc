#include <spdlog/sinks/stdout_color_sinks.h>
#include <spdlog/spdlog.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "config/daemon_settings.h"
#include "daemon/daemon.h"
#include "gflags/gflags.h"

DEFINE_string(settings, "", "path of the settings file");

namespace {

// Start time in milliseconds and a random part, so that a later process of
// this VM has a greater incarnation, and two in one millisecond differ.
std::uint64_t NewIncarnation() {
  constexpr int kRandomBits = 10;
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return (static_cast<std::uint64_t>(now.count()) << kRandomBits) |
         (std::random_device()() & ((1U << kRandomBits) - 1));
}

// Waits for SIGTERM or SIGINT, which all threads block.
void WaitForStopSignal(const sigset_t& signals) {
  int signal = 0;
  sigwait(&signals, &signal);
}

// Reads the settings; prints all errors to standard error.
std::optional<comfrey::DaemonSettings> LoadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    std::cerr << "comfreyd: cannot read the settings file \"" << path
              << "\"; give its path with --settings\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  std::vector<comfrey::IniError> errors;
  comfrey::DaemonSettings settings =
      comfrey::ParseDaemonSettings(path, text.str(), errors);
  if (!errors.empty()) {
    std::cerr << comfrey::FormatIniErrors(errors);
    return std::nullopt;
  }
  return settings;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("proxy daemon; usage: comfreyd --settings FILE");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::optional<comfrey::DaemonSettings> settings =
      LoadSettings(FLAGS_settings);
  if (!settings) {
    return 1;
  }
  spdlog::set_default_logger(spdlog::stderr_color_mt("comfreyd"));

  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  comfrey::Daemon daemon(*std::move(settings), NewIncarnation());
  const absl::Status started = daemon.Start();
  if (!started.ok()) {
    std::cerr << "comfreyd: " << started.message() << "\n";
    return 1;
  }
  WaitForStopSignal(signals);
  daemon.Stop();
  return 0;
}
