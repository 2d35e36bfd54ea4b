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

/// \brief Reads the platform's metadata store over HTTP.
///
/// Errors: OutOfRange where the store no longer has the history that a watch
/// asks for, otherwise Unavailable, with the step and the address of the store.
class RegistryClient {
 public:
  RegistryClient(const std::string& ip, int port);
  ~RegistryClient();

  RegistryClient(const RegistryClient&) = delete;
  RegistryClient& operator=(const RegistryClient&) = delete;

  /// \brief Reads the configuration and all registrations.
  absl::StatusOr<RegistryUpdate> ReadAll();

  /// \brief Waits at most `wait` for changes after the revision.
  absl::StatusOr<RegistryUpdate> Watch(std::uint64_t revision,
                                       std::chrono::milliseconds max_wait);

  /// \brief Ends a read in progress on another thread.
  void Stop();

 private:
  struct Response;

  absl::StatusOr<Response> Get(const std::string& error_prefix,
                               const std::string& target,
                               std::chrono::milliseconds max_wait);

  std::string address;
  std::unique_ptr<httplib::Client> client;
};

}  // namespace comfrey::platform

#endif  // PLATFORM_REGISTRY_CLIENT_H_
