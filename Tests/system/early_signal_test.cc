#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "catch2/catch.hpp"
#include "system/registry_fleet.h"

namespace comfrey {
namespace {

// A fleet whose first daemon is about to read its settings, from a pipe. The
// path of the settings then leads to a file with another local service.
struct DaemonThatReadsSettings {
  DaemonThatReadsSettings();
  ~DaemonThatReadsSettings() { close(this->pipe); }

  DaemonThatReadsSettings(const DaemonThatReadsSettings&) = delete;
  DaemonThatReadsSettings& operator=(const DaemonThatReadsSettings&) = delete;

  // Lets the daemon read its first settings.
  void Continue();

  // Whether requests show the local service of the file.
  static bool UsesFile();

  RegistryFleet fleet;
  std::string first_settings;
  int pipe = -1;
};

DaemonThatReadsSettings::DaemonThatReadsSettings() {
  constexpr mode_t kPipeMode = 0600;
  REQUIRE(WaitFor(RegistryFleet::AreReady));
  this->fleet.first_daemon.reset();
  const std::filesystem::path settings = this->fleet.SettingsFile(1);
  const std::filesystem::path pipe_path = settings.string() + ".pipe";
  std::ostringstream text;
  text << std::ifstream(settings).rdbuf();
  this->first_settings = text.str();
  REQUIRE(mkfifo(pipe_path.c_str(), kPipeMode) == 0);
  std::filesystem::remove(settings);
  std::filesystem::create_symlink(pipe_path, settings);
  this->fleet.first_daemon = this->fleet.StartDaemon(1);
  // The pipe can be opened for writing when the daemon has opened it.
  REQUIRE(WaitFor([&] {
    this->pipe = open(pipe_path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
    return this->pipe >= 0;
  }));
  std::filesystem::remove(settings);
  this->fleet.WriteSettings(1, "survey");
}

void DaemonThatReadsSettings::Continue() {
  const auto size = static_cast<ssize_t>(this->first_settings.size());
  CHECK(write(this->pipe, this->first_settings.data(),
              this->first_settings.size()) == size);
  close(this->pipe);
  this->pipe = -1;
}

bool DaemonThatReadsSettings::UsesFile() {
  const httplib::Result result = RegistryFleet::Send(1, "/a/x");
  return result && result->body.find(" survey ") != std::string::npos;
}

// Guards against a daemon that the news of changed settings ends as it starts.
TEST_CASE("a SIGHUP while a daemon reads its settings does not end it") {
  DaemonThatReadsSettings daemon;
  daemon.fleet.first_daemon->SendSignal(SIGHUP);
  daemon.Continue();
  CHECK(WaitFor(DaemonThatReadsSettings::UsesFile));
}

// Guards against settings that are never read because their file changes while
// a daemon starts.
TEST_CASE("a change of the settings file while a daemon starts is noticed") {
  DaemonThatReadsSettings daemon;
  daemon.Continue();
  CHECK(WaitFor(DaemonThatReadsSettings::UsesFile));
}

}  // namespace
}  // namespace comfrey
