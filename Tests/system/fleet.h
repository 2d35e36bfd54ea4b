#ifndef TESTS_SYSTEM_FLEET_H_
#define TESTS_SYSTEM_FLEET_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "report/status_report.h"
#include "system/process.h"

namespace comfrey {

/// \brief Last octet of the address of the configuration service of a fleet.
constexpr int kConfigVm = 250;
constexpr int kConfigPort = 7300;
constexpr int kPeerPort = 7400;

/// \brief Returns a loopback prefix that depends on the process ID, so that
/// several test processes can run at the same time.
std::string LoopbackPrefix();

/// \brief Creates an empty directory for the files of a fleet.
std::string MakeDirectory();

/// \brief Settings of a daemon that reads a registry.
struct RegistryVm {
  std::string name;
  std::string ip;
  std::string region;
  std::string failure_domain;
  std::string local_service = "booking";
  std::string registry;  ///< Its address and port.
  /// Differs from the port of the peers where a relay lies before the daemon.
  int peer_listen_port = kPeerPort;
  std::string grace = "6s";
};

/// \brief Returns the text of a settings file. Callers use port 8080, and the
/// page /ready is at port 8082.
std::string MakeRegistrySettings(const RegistryVm& vm);

/// \brief Response to a test caller; the status is 0 if the connection failed.
struct TestResponse {
  int status = 0;
  std::string outcome;  ///< Header Comfrey-Outcome.
  std::string body;
};

/// \brief A request of a test caller.
struct TestRequest {
  std::string method = "GET";
  std::string path;
  std::string id;   ///< Header X-Request-Id.
  std::string key;  ///< Header Idempotency-Key, if not empty.
  std::string body;
};

/// \brief A configuration service, and a backend server and a daemon for each
/// VM, as real processes on loopback addresses of this test process.
class Fleet {
 public:
  /// \brief Starts the fleet. Unless `relayed_vm` is 0, peers reach the daemon
  /// of this VM only through a fault relay.
  explicit Fleet(int vm_count, int relayed_vm = 0);
  ~Fleet();

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// \brief Starts a process; kills the process that it replaces, if any.
  void StartConfigService();
  void StartDaemon(int vm);
  void StartBackend(int vm);

  Process& ConfigService() { return *this->config_service; }
  Process& DaemonOf(int vm) { return *this->daemons.at(vm); }
  Process& BackendOf(int vm) { return *this->backends.at(vm); }

  /// \brief Sets the mode of the fault relay, see
  /// Tests/stand_ins/fault_relay.cc.
  void SetRelayMode(const std::string& mode) const;

  /// \brief Reads the status page of a daemon.
  absl::StatusOr<StatusReport> ReadStatus(int vm) const;

  /// \brief IP address of a VM; VMs are numbered from 1.
  std::string Address(int vm) const;

  /// \brief Publishes a team's subtree; "@N" stands for the endpoint of VM N.
  void Publish(const std::string& team, const std::string& text) const;

  /// \brief Sends a control request to the configuration service.
  std::string ControlConfigService(const std::string& method,
                                   const std::string& target,
                                   const std::string& body = "") const;

  /// \brief Sets a fault of a backend server, for example "mode=hang".
  void SetFault(int vm, const std::string& parameters) const;

  /// \brief How often a backend server has run the request with this ID.
  int CountRuns(int vm, const std::string& id) const;

  /// \brief How many requests a backend server has run.
  int CountAllRuns(int vm) const;

  /// \brief Runs of the request with this ID, summed over the backend servers
  /// that respond.
  int CountRunsInFleet(const std::string& id) const;

  /// \brief Sends a caller's request to the daemon of a VM.
  TestResponse Send(int vm, const TestRequest& request) const;

  /// \brief UTC time a few seconds in the future, in the format of the setting
  /// `keys_since`.
  static std::string NearFutureUtc();

  /// \brief Waits until all daemons are ready.
  bool WaitReady() const;

 private:
  std::string MakeSettings(int vm) const;

  int vm_count;
  int relayed_vm;
  std::string prefix;
  std::string directory;
  std::unique_ptr<Process> config_service;
  std::unique_ptr<Process> relay;
  std::map<int, std::unique_ptr<Process>> daemons;
  std::map<int, std::unique_ptr<Process>> backends;
};

/// \brief Waits until `condition` holds; returns false after `timeout`.
bool WaitFor(const std::function<bool()>& condition,
             std::chrono::milliseconds timeout);

/// \brief Returns a team's subtree with one service on VMs 1 to `vm_count`.
/// Requests under /slots are idempotent, requests under /visits are not.
/// `service_keys` holds further lines of the section of the service.
std::string BookingConfig(int vm_count, const std::string& service_keys = "");

}  // namespace comfrey

#endif  // TESTS_SYSTEM_FLEET_H_
