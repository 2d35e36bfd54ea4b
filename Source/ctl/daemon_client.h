#ifndef CTL_DAEMON_CLIENT_H_
#define CTL_DAEMON_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "config/ini_fields.h"
#include "ctl/arguments.h"

namespace comfrey {

/// \brief Longest time for a request to one daemon without --timeout.
inline constexpr std::chrono::seconds kDefaultTimeout{5};

/// \brief Largest accepted reply. The status of 440 daemons with 6,200
/// endpoints takes about 2 MB.
inline constexpr std::size_t kMaxReplyBytes = std::size_t{64} << 20;

/// \brief The daemons that a command addresses.
struct DaemonTargets {
  std::vector<SocketAddress> daemons;
  std::chrono::microseconds timeout = kDefaultTimeout;
};

/// \brief A page of the daemon, for example /comfrey/status.
struct PageRequest {
  /// Names the request in errors, for example "read the status".
  std::string operation;
  std::string path;
  /// Query parameters in order.
  std::vector<std::pair<std::string, std::string>> parameters;
};

/// \brief The options "daemon" and "timeout", and "json".
std::vector<OptionSpec> DaemonOptions();

/// \brief Reads --daemon, a list separated by commas, and --timeout.
absl::StatusOr<DaemonTargets> ParseDaemonTargets(const Arguments& arguments);

/// \brief Like ParseDaemonTargets, but exactly one daemon.
absl::StatusOr<DaemonTargets> ParseSingleDaemonTarget(
    const Arguments& arguments);

/// \brief Reads a page; returns its body.
///
/// Errors name step, daemon, cause and remedy. They are Unavailable if the
/// daemon did not respond in time, and FailedPrecondition if its response is
/// not usable.
absl::StatusOr<std::string> FetchPage(const SocketAddress& daemon,
                                      const PageRequest& request,
                                      std::chrono::microseconds timeout);

/// \brief Reads the page of all daemons, several at a time; the result has
/// their order.
std::vector<absl::StatusOr<std::string>> FetchPages(
    const DaemonTargets& targets,
    const PageRequest& request);

/// \brief The error for a reply that is not in the expected format.
absl::Status UnusableReplyError(const SocketAddress& daemon,
                                absl::string_view operation,
                                const absl::Status& cause);

}  // namespace comfrey

#endif  // CTL_DAEMON_CLIENT_H_
