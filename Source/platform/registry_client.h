#ifndef PLATFORM_REGISTRY_CLIENT_H_
#define PLATFORM_REGISTRY_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "config/registry.h"

namespace httplib {
class Client;
}  // namespace httplib

namespace comfrey::platform {

/// \brief Reads the registry, which is the metadata store of the platform, over
/// HTTP.
///
/// A watch returns OutOfRange if the registry no longer has the requested
/// history. All other errors are Unavailable. Messages name the failed
/// operation and the address of the registry.
class RegistryClient {
 public:
  RegistryClient(const std::string& ip, int port);
  ~RegistryClient();

  RegistryClient(const RegistryClient&) = delete;
  RegistryClient& operator=(const RegistryClient&) = delete;

  /// \brief Reads the published configuration and all registrations.
  absl::StatusOr<RegistryUpdate> ReadAll();

  /// \brief Waits at most `max_wait` for changes after `revision` and returns
  /// them.
  absl::StatusOr<RegistryUpdate> Watch(std::uint64_t revision,
                                       std::chrono::milliseconds max_wait);

  /// \brief Aborts a read that is in progress on another thread.
  void Stop();

 private:
  struct Response;

  /// \brief Sends a GET request; error messages start with the name of the
  /// operation.
  absl::StatusOr<Response> Get(const std::string& operation,
                               const std::string& target,
                               std::chrono::milliseconds max_wait);

  std::string address;
  std::unique_ptr<httplib::Client> client;
};

}  // namespace comfrey::platform

#endif  // PLATFORM_REGISTRY_CLIENT_H_
