#ifndef DAEMON_CONFIG_SERVICE_CLIENT_H_
#define DAEMON_CONFIG_SERVICE_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace comfrey {

/// \brief One value of the configuration service.
struct ServiceValue {
  std::string path;
  std::uint64_t revision = 0;
  std::string text;
};

/// \brief The values that changed after a revision, and the current revision.
struct TreeUpdate {
  std::uint64_t revision = 0;
  std::vector<ServiceValue> values;
};

/// \brief A line of the VM list of the platform.
struct VmEntry {
  std::string name;
  std::string address;
  std::string region;
  std::string failure_domain;
  bool leaving = false;
};

/// \brief Parses the response of a tree read. The error quotes the malformed
/// line.
absl::StatusOr<TreeUpdate> ParseTreeUpdate(absl::string_view body);

/// \brief Parses the VM list. The error quotes the malformed line.
absl::StatusOr<std::vector<VmEntry>> ParseVmList(absl::string_view body);

/// \brief Client of the read-only configuration service.
class ConfigServiceClient {
 public:
  ConfigServiceClient(std::string ip, int port);

  /// \brief Reads the values under `prefix` that changed after the revision
  /// `after`; waits up to `wait` for a change. Errors contain the target and
  /// the address of the service.
  absl::StatusOr<TreeUpdate> ReadTree(const std::string& prefix,
                                      std::uint64_t after,
                                      std::chrono::milliseconds wait) const;

  absl::StatusOr<std::vector<VmEntry>> ReadVmList() const;

 private:
  absl::StatusOr<std::string> Get(const std::string& target,
                                  std::chrono::milliseconds wait) const;

  std::string ip;
  int port;
};

}  // namespace comfrey

#endif  // DAEMON_CONFIG_SERVICE_CLIENT_H_
