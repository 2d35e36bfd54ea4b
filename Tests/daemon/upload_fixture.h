#ifndef TESTS_DAEMON_UPLOAD_FIXTURE_H_
#define TESTS_DAEMON_UPLOAD_FIXTURE_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemon/backend_client.h"
#include "daemon/raw_socket.h"

namespace comfrey {

/// \brief Returns a stream of the given parts, one after each `interval`. After
/// them, the body ends as `end` says.
std::shared_ptr<BodyStream> MakeStream(
    std::vector<std::string> parts,
    std::optional<std::size_t> length,
    BodyPartKind end,
    std::chrono::milliseconds interval = std::chrono::milliseconds(0));

/// \brief A client and a backend server that a handler implements, and uploads
/// of attempt 7 to it.
struct BackendFixture {
  /// \brief Without attempt ids, an early response belongs to no certain
  /// request.
  BackendFixture(const std::string& ip,
                 RawServer::Handler handler,
                 bool with_ids = true);

  /// \brief Sends a request with the body, if any. Only an idempotent one may
  /// use a connection that was used before.
  BackendResult Send(std::shared_ptr<BodyStream> stream,
                     std::chrono::milliseconds time = std::chrono::seconds(20),
                     bool idempotent = false);

  RawServer server;
  TimerService timers;
  CallWatchdog watchdog;
  BackendClient client;
};

}  // namespace comfrey

#endif  // TESTS_DAEMON_UPLOAD_FIXTURE_H_
