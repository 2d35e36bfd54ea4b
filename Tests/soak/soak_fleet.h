#ifndef TESTS_SOAK_SOAK_FLEET_H_
#define TESTS_SOAK_SOAK_FLEET_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fake_registry.h"
#include "soak/soak_history.h"
#include "soak/soak_plan.h"
#include "soak/soak_server.h"
#include "system/process.h"

namespace comfrey {

/// \brief The system of a soak run: daemons and fault relays as real processes,
/// with a registry and backend servers that the run watches.
class SoakFleet {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  /// \brief Starts the system. The output of the daemons goes to files in
  /// `log_directory`, unless it is empty.
  SoakFleet(const SoakSize& size,
            const std::string& log_directory,
            SoakHistory& history);
  ~SoakFleet();

  SoakFleet(const SoakFleet&) = delete;
  SoakFleet& operator=(const SoakFleet&) = delete;

  std::string AddressOf(int vm) const;
  static int CallerPort();

  /// \brief Waits until all daemons serve by the newest configuration.
  bool WaitServing(std::chrono::milliseconds timeout);

  /// \brief Begins an event.
  void Begin(const SoakEvent& event);

  /// \brief Ends the events whose time is over, and starts the daemons again
  /// that have ended. Called at least every 50 ms.
  void Tick();

  /// \brief Ends all events.
  void EndAll();

 private:
  struct Vm {
    std::unique_ptr<Process> daemon;
    std::unique_ptr<Process> relay;
    std::unique_ptr<SoakServer> server;
    std::optional<TimePoint> stop_requested;
    std::optional<TimePoint> start_at;
    std::optional<TimePoint> resume_at;
    std::optional<TimePoint> heal_server_at;
    std::optional<TimePoint> replace_server_at;
    std::optional<TimePoint> heal_paths_at;
    bool kill_requested = false;
    /// Whether the present process was disturbed while it stopped.
    bool disturbed = false;
  };

  void StartDaemon(int number);
  void StartServer(int number);
  void Register(int number, bool draining);
  void PublishRoutes();
  void CollectDaemon(int number);
  void Disturb(int number, std::chrono::milliseconds lasts);
  void SetPathMode(int number, const std::string& mode);
  bool ServesNewest(int number) const;

  SoakSize size;
  std::string log_directory;
  SoakHistory& history;
  std::string prefix;
  std::string directory;
  FakeRegistry registry;
  std::vector<Vm> vms;
  std::optional<TimePoint> start_registry_at;
  int config_version = 1;
  int servers_started = 0;
};

}  // namespace comfrey

#endif  // TESTS_SOAK_SOAK_FLEET_H_
