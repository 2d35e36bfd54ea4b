#ifndef TESTS_SOAK_SOAK_FLEET_H_
#define TESTS_SOAK_SOAK_FLEET_H_

#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
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
    std::optional<TimePoint> register_again_at;
    TimePoint expired_at;
    /// What the backend server says of itself.
    bool listed = false;
    bool draining = false;
    int sequence = 0;
    std::optional<TimePoint> heal_paths_at;
    bool kill_requested = false;
    /// Whether the present process was disturbed while it stopped.
    bool disturbed = false;
  };

  void StartDaemon(int number);
  /// A write that is made again after a drill of the registry.
  struct Rewrite {
    TimePoint at;
    int vm = 0;            ///< 0 for the configuration or a removal.
    std::string instance;  ///< A removal, unless empty.
  };

  void StartServer(int number);
  void Register(int number);
  void RemoveRegistration(int number);
  /// \brief Ends the backend server some time after it began to leave.
  void ReplaceLater(int number, std::chrono::milliseconds lasts);
  void TakeCopyIfDue(TimePoint now);
  /// \brief Lets one backend server after the other write its entry.
  void BeatIfDue(TimePoint now);
  void EndDrill(TimePoint now);
  void RewriteDue(TimePoint now);
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
  /// Copies of the registry by the time when they were taken, oldest first.
  std::deque<std::pair<TimePoint, FakeRegistry::State>> copies;
  std::optional<TimePoint> end_drill_at;
  TimePoint restore_from;
  std::vector<Rewrite> rewrites;
  std::vector<std::string> removed_instances;
  std::mt19937_64 rng;
  TimePoint next_beat;
  /// Until then, backend servers write their entries seldom.
  TimePoint slow_until;
  int last_beat_vm = 0;
  int config_version = 1;
  int servers_started = 0;
};

}  // namespace comfrey

#endif  // TESTS_SOAK_SOAK_FLEET_H_
