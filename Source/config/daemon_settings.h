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

namespace comfrey {

/// \brief Names of the headers that carry what the daemon reads or sets; an
/// empty name turns the header off.
struct HeaderNames {
  /// Identifies one attempt of a caller; backend servers return it.
  std::string attempt_id;
  /// Milliseconds that the caller, or the daemon, still waits.
  std::string time_left = "Request-Timeout-Ms";
  /// Instance that alone may run the request.
  std::string expected_instance;
  /// In a response: the backend server did not run the request.
  std::string not_executed;
  /// In a request to a backend server: the service beside which the caller
  /// runs.
  std::string caller_service;
  /// In a response: the mark of the backend server that wrote it.
  std::string signature;
};

/// \brief How backend servers speak, beyond HTTP/1.1.
struct BackendProtocol {
  HeaderNames headers;
  /// Whether a response without a length may end with its connection. A
  /// backend server must then reset the connection of a response that it cuts.
  bool close_delimited = false;
};

/// \brief Repeats that all daemons together may send to one service.
struct RetryBudgetSettings {
  /// Repeats per request; 0 to 1.
  double share = 0.1;
  /// Repeats beyond the share in a window, for all daemons together.
  int slack = 0;
};

/// \brief Settings of one daemon; ranges are checked by ParseDaemonSettings.
struct DaemonSettings {
  /// Own IP number; required.
  std::string address;
  /// Port for peers, the same in the whole fleet; 1 to 65535.
  int peer_port = 7400;
  /// Port on which this daemon listens for peers, where a port mapping lies
  /// before it; 1 to 65535, 0 for `peer_port`.
  int peer_listen_port = 0;
  /// Port for callers; 1 to 65535, other than `peer_port`.
  int http_port = 8080;
  /// Names as of IsValidName; required.
  std::string region;
  std::string failure_domain;
  std::string name;
  /// IP numbers of peers; the own address is left out.
  std::vector<std::string> seeds;
  /// Peers that must report before the daemon is ready; 0 to 100.
  int bootstrap_peers = 2;
  /// Required without a registry.
  SocketAddress config_service;
  /// Source of configuration and endpoints, in place of the configuration
  /// service and the peers.
  std::optional<SocketAddress> registry;
  /// Region of each failure domain of the registry.
  std::map<std::string, std::string> regions;
  /// Share of the endpoints that ejection leaves in use; 0 to 1. For services
  /// of the registry.
  double floor = 0.7;
  /// Where callers connect; `address` and `http_port` if it is absent.
  std::optional<SocketAddress> caller_listen;
  /// Where the pages of the daemon are served apart from callers.
  std::optional<SocketAddress> status_listen;
  /// Where readiness is served apart from callers, under `ready_path`.
  std::optional<SocketAddress> ready_listen;
  std::string ready_path = "/comfrey/readyz";
  /// Name of the service whose backend server runs on this VM; may be empty.
  std::string local_service;
  BackendProtocol backend;
  RetryBudgetSettings retry_budget;
  /// Caller connections; 1 to 10000.
  int max_connections = 400;
  /// Bytes of a request body; 1 KiB to 3 MiB.
  std::uint64_t max_body_bytes = 1 << 20;
  /// Bytes of all headers of a request; 1 KiB to 256 KiB.
  std::uint64_t max_header_bytes = 16 << 10;
  /// Longest duration of a graceful drain; 0 s to 1 h.
  std::chrono::microseconds max_drain_time = std::chrono::seconds(30);
};

/// \brief Parses and validates the settings; appends all errors to `errors`.
///
/// The result must be used only if no error was added.
DaemonSettings ParseDaemonSettings(absl::string_view source,
                                   absl::string_view text,
                                   std::vector<IniError>& errors);

}  // namespace comfrey

#endif  // CONFIG_DAEMON_SETTINGS_H_
