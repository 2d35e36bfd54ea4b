#include "config/daemon_settings.h"

#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_replace.h"
#include "catch2/catch.hpp"

namespace comfrey {
namespace {

// The example in the design documentation.
constexpr char kExample[] = R"([daemon]
address = 127.0.1.1        ; IP address only
peer_port = 7401
http_port = 8081
region = budapest
failure_domain = budapest-a
name = vm-1
[peers]
seeds = 127.0.1.2, 127.0.1.3
bootstrap_peers = 1
[config_service]
address = 127.0.0.1:7300
[limits]
connections = 401
body = 2MiB
header = 17KiB
[shutdown]
grace = 31s
)";

// Guards against a key that is read into another setting or ignored. All values
// of settings with a default differ from it.
TEST_CASE("the daemon settings are read") {
  std::vector<IniError> errors;
  const DaemonSettings s = ParseDaemonSettings("d.ini", kExample, errors);
  INFO(FormatIniErrors(errors));
  REQUIRE(errors.empty());
  CHECK(s.address == "127.0.1.1");
  CHECK(s.peer_port == 7401);
  CHECK(s.http_port == 8081);
  CHECK(s.region == "budapest");
  CHECK(s.failure_domain == "budapest-a");
  CHECK(s.name == "vm-1");
  CHECK(s.seeds == std::vector<std::string>{"127.0.1.2", "127.0.1.3"});
  CHECK(s.bootstrap_peers == 1);
  CHECK(FormatSocketAddress(s.config_service) == "127.0.0.1:7300");
  CHECK(s.max_connections == 401);
  CHECK(s.max_body_bytes == 2'097'152);
  CHECK(s.max_header_bytes == 17'408);
  CHECK(s.max_drain_time == std::chrono::seconds(31));
}

TEST_CASE(
    "the address of the daemon is no seed, and optional settings have "
    "defaults") {
  std::vector<IniError> errors;
  const DaemonSettings s = ParseDaemonSettings(
      "d.ini",
      "[daemon]\naddress = 127.0.1.2\nregion = b\nfailure_domain = b-a\n"
      "name = vm-2\n[peers]\nseeds = 127.0.1.2,\n  127.0.1.3\n"
      "[config_service]\naddress = [::1]:7300\n",
      errors);
  INFO(FormatIniErrors(errors));
  REQUIRE(errors.empty());
  CHECK(s.seeds == std::vector<std::string>{"127.0.1.3"});
  CHECK(FormatSocketAddress(s.config_service) == "[::1]:7300");
  CHECK(s.peer_port == 7400);
  CHECK(s.bootstrap_peers == 2);
  CHECK(s.max_connections == 400);
  CHECK(s.max_body_bytes == 1'048'576);
}

// Guards against an error that is not reported, or is reported without its
// place, its cause or its remedy.
TEST_CASE("each error of the settings names place, cause and remedy") {
  struct Case {
    const char* replaced;
    const char* replacement;
    const char* place_and_cause;
    const char* remedy;
  };
  const Case cases[] = {
      {"address = 127.0.1.1 ", "address = vm-1 ",
       "d.ini:2: [daemon] address = vm-1: \"vm-1\" is not an IP address",
       "host names are not resolved"},
      {"address = 127.0.1.1 ", "address = 127.0.1.1:80 ", "not an IP address",
       "without a port"},
      {"address = 127.0.1.1 ", "address = 127.0.1 ", "not an IP address",
       "numeric address"},
      {"address = 127.0.1.1 ", "address = 0.0.0.0 ",
       "is the unspecified address", "one VM"},
      {"address = 127.0.1.1 ", "",
       "d.ini:1: [daemon] the key \"address\" is "
       "missing",
       "address = ..."},
      {"peer_port = 7401", "peer_port = 0", "out of range", "1 to 65535"},
      {"peer_port = 7401", "peer_port = 8081",
       "d.ini:4: [daemon] http_port = 8081: peer_port and http_port are equal",
       "a different port"},
      {"peer_port = 7401", "per_port = 7401",
       "per_port = 7401: the key is "
       "unknown",
       "\"peer_port\""},
      {"region = budapest\n", "region = buda pest\n", "not a valid name",
       "letters, digits"},
      {"name = vm-1\n", "", "d.ini:1: [daemon] the key \"name\" is missing",
       "name = ..."},
      {"127.0.1.3", "vm-3", "\"vm-3\" is not an IP address", "numeric"},
      {"127.0.1.3", "127.0.1.2", "the seed 127.0.1.2 is given twice", "once"},
      {"bootstrap_peers = 1", "bootstrap_peers = 101", "out of range",
       "0 to 100"},
      {"[config_service]\naddress = 127.0.0.1:7300\n", "",
       "d.ini: [config_service] the key \"address\" is missing", "address = "},
      {"127.0.0.1:7300", "127.0.0.1", "is not an IP address with a port",
       "IP:port"},
      {"connections = 401", "connections = 0", "out of range", "1 to 10000"},
      {"body = 2MiB", "body = 2MB", "the value is not a size", "MiB"},
      {"body = 2MiB", "body = 1025MiB", "out of range", "from 1KiB to 1024MiB"},
      {"body = 2MiB", "body = 18446744073709551615MiB", "out of range",
       "1024MiB"},
      {"body = 2MiB", "body = -1B", "not a size", "KiB"},
      {"header = 17KiB", "header = 1B", "out of range", "from 1KiB to 256KiB"},
      {"grace = 31s", "grace = 31", "not a duration", "from 0s to 1h"},
      {"[shutdown]\ngrace", "[limit]\nbody",
       "d.ini:17: [limit] the section is unknown", "[limits]"},
      {"[limits]", "[limits x]", "the section is unknown", "[limits]"},
  };
  for (const Case& c : cases) {
    INFO(c.replacement);
    const std::string text =
        absl::StrReplaceAll(kExample, {{c.replaced, c.replacement}});
    REQUIRE(text != kExample);
    std::vector<IniError> errors;
    ParseDaemonSettings("d.ini", text, errors);
    const std::string rendered = FormatIniErrors(errors);
    INFO(rendered);
    CHECK(errors.size() == 1);
    CHECK(rendered.find(c.place_and_cause) != std::string::npos);
    CHECK(rendered.find(c.remedy) != std::string::npos);
  }
}

TEST_CASE("all errors of the settings are reported at once") {
  std::vector<IniError> errors;
  ParseDaemonSettings("d.ini", "[daemon]\nnme = x\npeer_port = y\n", errors);
  // Two invalid lines and five missing required keys.
  CHECK(errors.size() == 7);
}

// Settings as the platform generates them from deploy/vm.ini.
constexpr char kRegistryExample[] = R"([daemon]
name = sidecar-a-1
address = 10.1.0.35
region = piedmont
failure_domain = piedmont-a
peer_port = 7660
caller_listen = 10.1.0.35:8141
ready_listen = 10.1.0.35:8140
ready_path = /ready
status_listen = 10.1.0.35:7661
local_service = huvo11a
[registry]
address = 10.200.1.7:8142
regions = piedmont-a piedmont,
    coastal-a coastal,
    piedmont-b piedmont
floor = 0.6
[headers]
attempt_id = X-Attempt
time_left = X-Left
expected_instance = X-Instance
not_executed = X-Not-Run
caller_service = X-Caller
signature = X-Mark
[backend]
close_delimited = true
[repeats]
share = 0.2
slack = 58
[shutdown]
grace = 6.5s
)";

// Guards against a daemon that does not start because the platform draws the
// default of a port that is not used, and against two listeners on one port.
TEST_CASE("a port is compared with those that are in use") {
  struct Case {
    const char* peer_port;
    bool ok;
  };
  for (const Case& c : {Case{"8080", true}, Case{"8141", false}}) {
    INFO(c.peer_port);
    std::string text = kRegistryExample;
    text.replace(text.find("7660"), 4, c.peer_port);
    std::vector<IniError> errors;
    ParseDaemonSettings("d.ini", text, errors);
    CHECK(errors.empty() == c.ok);
    CHECK((c.ok || absl::StrContains(
                       FormatIniErrors(errors),
                       "peer_port and the port of caller_listen are equal")));
  }
}

// Guards against a key that is read into another setting or ignored.
TEST_CASE("the settings with a registry are read") {
  std::vector<IniError> errors;
  const DaemonSettings s =
      ParseDaemonSettings("d.ini", kRegistryExample, errors);
  INFO(FormatIniErrors(errors));
  REQUIRE(errors.empty());
  REQUIRE(s.registry);
  CHECK(FormatSocketAddress(*s.registry) == "10.200.1.7:8142");
  CHECK(s.regions.size() == 3);
  CHECK(s.regions.at("coastal-a") == "coastal");
  CHECK(s.floor == 0.6);
  CHECK(FormatSocketAddress(s.caller_listen.value()) == "10.1.0.35:8141");
  CHECK(FormatSocketAddress(s.ready_listen.value()) == "10.1.0.35:8140");
  CHECK(FormatSocketAddress(s.status_listen.value()) == "10.1.0.35:7661");
  CHECK(s.ready_path == "/ready");
  CHECK(s.local_service == "huvo11a");
  const HeaderNames& names = s.backend.headers;
  CHECK(names.attempt_id == "X-Attempt");
  CHECK(names.time_left == "X-Left");
  CHECK(names.expected_instance == "X-Instance");
  CHECK(names.not_executed == "X-Not-Run");
  CHECK(names.caller_service == "X-Caller");
  CHECK(names.signature == "X-Mark");
  CHECK(s.backend.close_delimited);
  CHECK(s.retry_budget.share == 0.2);
  CHECK(s.retry_budget.slack == 58);
  CHECK(s.max_drain_time == std::chrono::milliseconds(6500));
}

// Guards against a daemon that does not start because the platform computed the
// slack from the size of its fleet.
TEST_CASE("a slack with decimals is rounded down") {
  std::vector<IniError> errors;
  const DaemonSettings settings = ParseDaemonSettings(
      "d.ini",
      absl::StrReplaceAll(kRegistryExample,
                          {{"slack = 58", "slack = 25.294117647058822"}}),
      errors);
  CHECK(errors.empty());
  CHECK(settings.retry_budget.slack == 25);
}

// Guards against a daemon that starts with invalid settings.
TEST_CASE("invalid settings of a registry are rejected") {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"10.200.1.7:8142", "store.example:8142"},
      {"coastal-a coastal", "coastal-a"},
      {"floor = 0.6", "floor = 60%"},
      {"floor = 0.6", "floor = 1.2"},
      {"X-Attempt", "X Attempt"},
      {"/ready", "ready"},
      {"close_delimited = true", "close_delimited = yes"},
      {"share = 0.2", "share = -1"},
      {"slack = 58", "slack = many"},
      {"slack = 58", "slack = -0.5"},
      {"slack = 58", "slack = 1e300"},
      {"slack = 58", "slack = nan"},
      {"10.1.0.35:8141", "10.1.0.35"},
  };
  for (const auto& [old_text, new_text] : cases) {
    INFO(old_text << " -> " << new_text);
    std::vector<IniError> errors;
    ParseDaemonSettings(
        "d.ini", absl::StrReplaceAll(kRegistryExample, {{old_text, new_text}}),
        errors);
    CHECK_FALSE(errors.empty());
  }
}

}  // namespace
}  // namespace comfrey
