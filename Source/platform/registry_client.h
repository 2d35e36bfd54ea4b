#ifndef PLATFORM_REGISTRY_CLIENT_H_
#define PLATFORM_REGISTRY_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "absl/status/statusor.h"
#include "daemon/http_get_client.h"
#include "registry/registry_update.h"

namespace comfrey::platform {

/// \brief Reads the registry, which is the metadata store of the platform, over
/// HTTP.
///
/// Errors: OutOfRange if the registry no longer has the history that a watch
/// requests, ResourceExhausted if it limits the rate of calls, Aborted if its
/// era changed during a listing, DeadlineExceeded if it gives no complete
/// response in time, Cancelled after Stop(), otherwise Unavailable. Messages
/// name the failed operation and the address of the registry.
class RegistryClient {
 public:
  RegistryClient(const std::string& ip, int port);

  RegistryClient(const RegistryClient&) = delete;
  RegistryClient& operator=(const RegistryClient&) = delete;

  /// \brief Reads the published configuration and all registrations.
  absl::StatusOr<RegistryUpdate> ReadAll();

  /// \brief Waits at most `max_wait` for changes after `revision` and returns
  /// them. The registry may have another era by then, see
  /// RegistryUpdate::revision.
  absl::StatusOr<RegistryUpdate> Watch(const RegistryRevision& revision,
                                       std::chrono::milliseconds max_wait);

  /// \brief Reads the position of the registry, which may be seconds out of
  /// date. May be called while another thread reads.
  absl::StatusOr<RegistryRevision> ReadRevision();

  /// \brief Ends a watch in progress on another thread with an error.
  void AbandonWatch();

  /// \brief Ends a read that is in progress on another thread, and all later
  /// ones.
  void Stop();

 private:
  struct Response;

  /// \brief Sends a GET request; error messages start with the name of the
  /// operation.
  static absl::StatusOr<Response> Get(HttpGetClient& via,
                                      const std::string& operation,
                                      const std::string& target,
                                      std::chrono::milliseconds timeout);

  /// \brief Lists all registrations, from the revision of the first page.
  absl::Status ListRegistrations(RegistryUpdate& update);
  absl::Status ReadConfig(RegistryUpdate& update);
  absl::Status CheckEra(const Response& response, RegistryUpdate& update) const;

  HttpGetClient client;
  HttpGetClient revision_client;
};

}  // namespace comfrey::platform

#endif  // PLATFORM_REGISTRY_CLIENT_H_
