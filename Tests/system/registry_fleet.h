#ifndef TESTS_SYSTEM_REGISTRY_FLEET_H_
#define TESTS_SYSTEM_REGISTRY_FLEET_H_

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "fake_registry.h"
#include "system/process.h"

namespace comfrey {

/// \brief Port of the daemons for callers, see RegistryFleet.
inline constexpr int kCallerPort = 8080;
inline constexpr std::chrono::seconds kTestTimeout{20};

/// \brief Address of a VM of a RegistryFleet.
std::string AddressOf(int vm);

/// \brief Returns whether the condition holds within kTestTimeout.
bool WaitFor(const std::function<bool()>& condition);

/// \brief A backend server that adds its signature to responses and runs only
/// requests that expect its own instance.
class SigningBackend {
 public:
  explicit SigningBackend(int vm);
  ~SigningBackend();

  SigningBackend(const SigningBackend&) = delete;
  SigningBackend& operator=(const SigningBackend&) = delete;

  std::string instance;
  std::atomic<int> runs{0};
  std::atomic<int> delay_ms{0};
  /// If set before the first request, what it does before it answers; returns
  /// the status.
  std::function<int(const httplib::Request&)> work;

 private:
  void HandleWork(const httplib::Request& request, httplib::Response& response);

  httplib::Server server;
  std::thread thread;
};

/// \brief Returns the entry of the backend server that a RegistryFleet starts
/// on a VM.
std::string RegistrationOf(int vm, bool draining, int sequence = 1);

/// \brief A registry, and two VMs with one backend server and one daemon each.
struct RegistryFleet {
  explicit RegistryFleet(std::string grace_period = "6s");
  ~RegistryFleet();

  RegistryFleet(const RegistryFleet&) = delete;
  RegistryFleet& operator=(const RegistryFleet&) = delete;

  std::string SettingsFile(int vm) const;

  void WriteSettings(int vm, const std::string& local_service) const;

  std::unique_ptr<Process> StartDaemon(int vm) const;

  static bool IsReady(int vm);

  /// \brief Whether both daemons are ready.
  static bool AreReady();

  /// \brief Sends a request of attempt 7, with the body "body", to the daemon
  /// of a VM.
  static httplib::Result Send(int vm,
                              const std::string& target,
                              const std::string& host = "shop.example");

  std::string grace;
  SigningBackend backend_one{1};
  SigningBackend backend_two{2};
  FakeRegistry registry;
  std::filesystem::path directory;
  std::unique_ptr<Process> first_daemon;
  std::unique_ptr<Process> second_daemon;
};

}  // namespace comfrey

#endif  // TESTS_SYSTEM_REGISTRY_FLEET_H_
