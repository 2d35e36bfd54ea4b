#ifndef CONFIG_DAEMON_SETTINGS_H_
#define CONFIG_DAEMON_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "config/ini_document.h"
#include "config/ini_fields.h"
#include "core/deliverable_response.h"

namespace comfrey {

/// \brief Names of the headers that the daemon reads or sets. A header with an
/// empty name is not used.
struct HeaderNames {
  /// Identifies one attempt of a caller; backend servers return it.
  std::string attempt_id;
  /// In a request: milliseconds for which the caller, or the daemon that sends
  /// the request to a backend server, still waits for the response.
  std::string time_left = "Request-Timeout-Ms";
  /// In a request: the only instance of a backend server that may run it.
  std::string expected_instance;
  /// In a response: the backend server did not run the request.
  std::string not_executed;
  /// In a request to a backend server: the service of the backend server on the
  /// VM of the caller.
  std::string caller_service;
  /// In a response: the signature of the backend server that wrote it.
  std::string signature;
};

/// \brief What callers take a refusal status for. Where backend servers mark
/// what they did not run, an unmarked refusal must not look like one.
RefusalMeaning RefusalMeaningOf(const HeaderNames& names);

/// \brief Extensions to HTTP/1.1 that backend servers use.
struct BackendProtocol {
  HeaderNames headers;
  /// Whether the end of the connection may mark the end of a response without a
  /// length. A backend server that cannot complete such a response must reset
  /// the connection.
  bool close_delimited = false;
};

/// \brief Limits for the retries that all daemons together send to one service.
struct RetryBudgetSettings {
  /// Retries per first attempt; 0 to 1.
  double share = 0.1;
  /// Retries beyond the share in a window, for all daemons together; 0 to
  /// 1000000. With 0, the default retry budget applies.
  int slack = 0;
};

/// \brief Settings of one daemon; ParseDaemonSettings checks the ranges.
struct DaemonSettings {
  /// IP address of this daemon; required.
  std::string address;
  /// Port for peers, the same in the whole fleet; 1 to 65535.
  int peer_port = 7400;
  /// Port on which this daemon listens for peers if a port mapping forwards
  /// `peer_port` to another port; 1 to 65535, or 0 for `peer_port`.
  int peer_listen_port = 0;
  /// Port for callers; 1 to 65535, other than `peer_port`.
  int http_port = 8080;
  /// Names that are valid according to IsValidName; required.
  std::string region;
  std::string failure_domain;
  std::string name;
  /// IP addresses of peers, without the address of this daemon.
  std::vector<std::string> seeds;
  /// Peers that must report before the daemon is ready; 0 to 100.
  int bootstrap_peers = 2;
  /// Required without a registry.
  SocketAddress config_service;
  /// If set, the daemon reads configuration and endpoints from this registry
  /// instead of the configuration service and the peers.
  std::optional<SocketAddress> registry;
  /// Region of each failure domain of the registry.
  std::map<std::string, std::string> regions;
  /// Minimum share of the endpoints of a service of the registry that ejection
  /// leaves in use; 0 to 1.
  double floor = 0.7;
  /// Address to which callers connect; `address` and `http_port` if not set.
  std::optional<SocketAddress> caller_listen;
  /// If set, the pages of the daemon are served at this address instead of the
  /// address for callers.
  std::optional<SocketAddress> status_listen;
  /// If set, readiness is also served at this address.
  std::optional<SocketAddress> ready_listen;
  /// Path of the readiness page.
  std::string ready_path = "/comfrey/readyz";
  /// Name of the service whose backend server runs on this VM; may be empty.
  std::string local_service;
  BackendProtocol backend;
  RetryBudgetSettings retry_budget;
  /// Maximum number of connections of callers; 1 to 10000.
  int max_connections = 400;
  /// Maximum size of a request body; 1 KiB to 1024 MiB.
  std::uint64_t max_body_bytes = 1 << 20;
  /// Maximum size of all headers of a request; 1 KiB to 256 KiB.
  std::uint64_t max_header_bytes = 16 << 10;
  /// Maximum duration of a graceful drain at shutdown; 0 s to 1 h.
  std::chrono::microseconds max_drain_time = std::chrono::seconds(30);
};

/// \brief Parses and validates the settings; appends all errors to `errors`.
///
/// `source` is the file named in errors. The result is valid only if no error
/// was appended.
DaemonSettings ParseDaemonSettings(absl::string_view source,
                                   absl::string_view text,
                                   std::vector<IniError>& errors);

/// \brief Address to which callers connect.
SocketAddress CallerAddress(const DaemonSettings& settings);

}  // namespace comfrey

#endif  // CONFIG_DAEMON_SETTINGS_H_
