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

/// \brief Default of --timeout, the longest time for a request to one daemon.
inline constexpr std::chrono::seconds kDefaultTimeout{5};

/// \brief Maximum size of a reply. The status report in a fleet of 440 daemons
/// with 6,200 endpoints takes about 2 MB.
inline constexpr std::size_t kMaxReplyBytes = std::size_t{64} << 20;

/// \brief The daemons that a command contacts.
struct DaemonTargets {
  std::vector<SocketAddress> daemons;
  std::chrono::microseconds timeout = kDefaultTimeout;
};

/// \brief A request for a page of a daemon, for example /comfrey/status.
struct PageRequest {
  /// Name of the request in error messages, for example "read the status".
  std::string operation;
  std::string path;
  /// Query parameters in order.
  std::vector<std::pair<std::string, std::string>> parameters;
};

/// \brief Returns the options "daemon", "timeout" and "json".
std::vector<OptionSpec> DaemonOptions();

/// \brief Parses --daemon, a list separated by commas, and --timeout.
absl::StatusOr<DaemonTargets> ParseDaemonTargets(const Arguments& arguments);

/// \brief Like ParseDaemonTargets, but accepts exactly one daemon.
absl::StatusOr<DaemonTargets> ParseSingleDaemonTarget(
    const Arguments& arguments);

/// \brief Requests a page; returns its body.
///
/// Error messages name the operation, the daemon, the cause and the remedy. The
/// status is Unavailable if the daemon did not respond in time, and
/// FailedPrecondition if its response is not usable.
absl::StatusOr<std::string> FetchPage(const SocketAddress& daemon,
                                      const PageRequest& request,
                                      std::chrono::microseconds timeout);

/// \brief Requests the page from all daemons, several at a time; returns the
/// results in the order of the daemons.
std::vector<absl::StatusOr<std::string>> FetchPages(
    const DaemonTargets& targets,
    const PageRequest& request);

/// \brief Returns the error for a reply that a command cannot use, for example
/// because it is not in the expected format.
absl::Status UnusableReplyError(const SocketAddress& daemon,
                                absl::string_view operation,
                                const absl::Status& cause);

}  // namespace comfrey

#endif  // CTL_DAEMON_CLIENT_H_
