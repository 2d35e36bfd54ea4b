#ifndef UTILITIES_MEASURED_FLEET_H_
#define UTILITIES_MEASURED_FLEET_H_

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "system/process.h"

namespace comfrey {

/// \brief Processor time and resident memory of a process.
struct ProcessUsage {
  std::chrono::microseconds cpu{0};
  std::size_t resident_bytes = 0;
  /// Part of `resident_bytes` that is not backed by files.
  std::size_t anonymous_bytes = 0;
};

/// \brief Reads /proc/PID/stat and /proc/PID/status; returns zeros if the
/// process has exited.
ProcessUsage ReadProcessUsage(pid_t pid);

/// \brief Load average of the machine over the last minute.
double LoadAverage();

/// \brief The value at `fraction` (0 to 1) of the sorted values, by nearest
/// rank; 0 if there are no values.
double Percentile(std::vector<double> values, double fraction);

/// \brief Layout of a fleet and limits of its daemons.
struct FleetOptions {
  int failure_domains = 7;
  int regions = 2;
  int seeds = 3;
  int connections = 400;  ///< Limit of caller connections of each daemon.
  std::string body_limit = "1MiB";  ///< Limit of the body of a request.
};

/// \brief A configuration service, daemons and backend servers as real
/// processes on loopback addresses of this process. VMs are numbered from 1.
class MeasuredFleet {
 public:
  explicit MeasuredFleet(const FleetOptions& options);
  ~MeasuredFleet();

  MeasuredFleet(const MeasuredFleet&) = delete;
  MeasuredFleet& operator=(const MeasuredFleet&) = delete;

  std::string Address(int vm) const;
  int FailureDomain(int vm) const;

  void StartConfigService();
  void StopConfigService() { this->config_service.reset(); }
  void StartDaemon(int vm);
  void StopDaemon(int vm) { this->daemons.erase(vm); }
  void StartBackend(int vm, int port, std::chrono::milliseconds delay);

  pid_t DaemonPid(int vm) const { return this->daemons.at(vm)->Pid(); }
  ProcessUsage ReadDaemonUsage(int vm) const;

  bool IsReady(int vm) const;
  /// \brief Reads the counters of a daemon by name; empty if it does not
  /// respond.
  std::map<std::string, std::int64_t> ReadCounters(int vm) const;
  /// \brief Reads a page of a daemon; empty unless the status is 200.
  std::string ReadPage(int vm, const std::string& target) const;

  void Publish(const std::string& team, const std::string& text) const;
  /// \brief Number of reads that the configuration service has received; -1 if
  /// it does not respond.
  std::int64_t ReadConfigCallCount() const;

 private:
  std::string MakeSettings(int vm) const;

  FleetOptions options;
  std::string prefix;
  std::string directory;
  std::unique_ptr<Process> config_service;
  std::map<int, std::unique_ptr<Process>> daemons;
  std::vector<std::unique_ptr<Process>> backends;
};

}  // namespace comfrey

#endif  // UTILITIES_MEASURED_FLEET_H_
