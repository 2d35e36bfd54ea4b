#ifndef CONFIG_DAEMON_SETTINGS_H_
#define CONFIG_DAEMON_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "config/ini_document.h"
#include "config/ini_fields.h"

namespace comfrey {

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
  /// Required.
  SocketAddress config_service;
  /// Caller connections; 1 to 10000.
  int connections = 400;
  /// Bytes of a request body; 1 KiB to 3 MiB.
  std::uint64_t body = 1 << 20;
  /// Bytes of all headers of a request; 1 KiB to 256 KiB.
  std::uint64_t header = 16 << 10;
  /// Longest duration of a graceful drain; 0 s to 1 h.
  std::chrono::microseconds grace = std::chrono::seconds(30);
};

/// \brief Parses and validates the settings; appends all errors to `errors`.
///
/// The result must be used only if no error was added.
DaemonSettings ParseDaemonSettings(absl::string_view source,
                                   absl::string_view text,
                                   std::vector<IniError>& errors);

}  // namespace comfrey

#endif  // CONFIG_DAEMON_SETTINGS_H_
