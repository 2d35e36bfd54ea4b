#include <spdlog/spdlog.h>
#include <sys/stat.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "base/log_event.h"
#include "config/daemon_settings.h"
#include "daemon/daemon.h"
#include "gflags/gflags.h"
#include "platform/registry_client.h"

DEFINE_string(settings, "", "path of the settings file");

namespace {

// Returns the signals that WaitForStopSignal takes.
sigset_t HandledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

// Blocks the handled signals for all threads, which inherit it. A platform may
// send SIGHUP at any time, and until it is blocked it ends the process.
void BlockHandledSignals(int /*argc*/, char** /*argv*/, char** /*env*/) {
  const sigset_t signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

// The loader calls it before the initializers of the libraries, which take
// longer than reading the settings.
[[gnu::section(".preinit_array"),
  gnu::used]] void (*const kBlockHandledSignals)(int,
                                                 char**,
                                                 char**) = BlockHandledSignals;

// Combines the start time in milliseconds with a random part, so that a later
// process of this VM gets a greater incarnation, and two processes that start
// in the same millisecond are unlikely to get the same one.
std::uint64_t NewIncarnation() {
  constexpr int kRandomBits = 10;
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return (static_cast<std::uint64_t>(now.count()) << kRandomBits) |
         (std::random_device()() & ((1U << kRandomBits) - 1));
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

// Returns the modification time of the file, or nothing if it cannot be read or
// is a pipe, whose time changes when it is read.
std::optional<timespec> ModificationTime(const std::string& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0 || !S_ISREG(status.st_mode)) {
    return std::nullopt;
  }
  return status.st_mtim;
}

bool SameTime(const std::optional<timespec>& a,
              const std::optional<timespec>& b) {
  return a.has_value() == b.has_value() &&
         (!a || (a->tv_sec == b->tv_sec && a->tv_nsec == b->tv_nsec));
}

// Applies the settings file if it has no errors; otherwise the daemon keeps its
// current settings.
void ReloadSettings(comfrey::Daemon& daemon) {
  const std::optional<comfrey::DaemonSettings> next =
      LoadSettings(FLAGS_settings);
  if (!next) {
    spdlog::warn("settings: {} is not usable; the current settings stay in use",
                 FLAGS_settings);
    return;
  }
  daemon.Reload(*next);
  spdlog::info("settings: {} reloaded", FLAGS_settings);
}

// Waits for SIGTERM or SIGINT, which all threads block. While it waits, it
// reloads the settings on SIGHUP or after a change of the file, which was last
// changed at `changed` before it was read.
void WaitForStopSignal(std::optional<timespec> changed,
                       comfrey::Daemon& daemon) {
  constexpr timespec kFilePollPeriod{1, 0};
  const sigset_t signals = HandledSignals();
  for (;;) {
    const int signal = sigtimedwait(&signals, nullptr, &kFilePollPeriod);
    if (signal == SIGTERM || signal == SIGINT) {
      return;
    }
    const std::optional<timespec> now = ModificationTime(FLAGS_settings);
    if (signal == SIGHUP || !SameTime(now, changed)) {
      changed = now;
      ReloadSettings(daemon);
    }
  }
}

// Returns functions that read the registry of the settings. Without a registry,
// only `stop` can be called.
comfrey::RegistrySource MakeRegistrySource(
    const comfrey::DaemonSettings& settings) {
  if (!settings.registry) {
    return {nullptr, nullptr, nullptr, nullptr, [] {}};
  }
  const auto client = std::make_shared<comfrey::platform::RegistryClient>(
      settings.registry->ip, settings.registry->port);
  return {[client] { return client->ReadAll(); },
          [client](const comfrey::RegistryRevision& revision,
                   std::chrono::milliseconds wait) {
            return client->Watch(revision, wait);
          },
          [client] { return client->ReadRevision(); },
          [client] { client->AbandonWatch(); }, [client] { client->Stop(); }};
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("proxy daemon; usage: comfreyd --settings FILE");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::optional<timespec> changed = ModificationTime(FLAGS_settings);
  std::optional<comfrey::DaemonSettings> settings =
      LoadSettings(FLAGS_settings);
  if (!settings) {
    return 1;
  }
  std::signal(SIGPIPE, SIG_IGN);
  comfrey::StartEventLog(settings->name);

  comfrey::RegistrySource registry = MakeRegistrySource(*settings);
  comfrey::Daemon daemon(*std::move(settings), NewIncarnation(),
                         std::move(registry));
  const absl::Status started = daemon.Start();
  if (!started.ok()) {
    comfrey::StopEventLog();
    std::cerr << "comfreyd: " << started.message() << "\n";
    return 1;
  }
  WaitForStopSignal(changed, daemon);
  daemon.Stop();
  comfrey::StopEventLog();
  // All requests are answered. What follows the stop can take seconds, probably
  // since gRPC waits for connections that are being opened, and the process
  // would be killed at the end of its grace period.
  std::cout.flush();
  std::_Exit(0);
}
