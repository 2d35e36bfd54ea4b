#include "config/daemon_settings.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace comfrey {
namespace {

using std::chrono::hours;
using std::chrono::seconds;
using Problem = std::optional<FieldProblem>;

constexpr int kMaxPort = 65535;
constexpr int kMaxBootstrapPeers = 100;
constexpr int kMaxConnections = 10'000;
constexpr int kMaxRetrySlack = 1'000'000;
constexpr std::uint64_t kKiB = 1 << 10;
constexpr std::uint64_t kMiB = 1 << 20;
constexpr std::uint64_t kMaxBodyBytes = 1024 * kMiB;
constexpr std::uint64_t kMaxHeaderBytes = 256 * kKiB;

Problem ReadIp(absl::string_view text, std::string& value) {
  const std::optional<std::string> ip = CanonicalIp(text);
  if (!ip) {
    return FieldProblem{
        absl::StrCat("\"", text, "\" is not an IP address"),
        "write a numeric address such as 127.0.1.1 or ::1, without a port; "
        "host names are not resolved"};
  }
  if (*ip == "0.0.0.0" || *ip == "::") {
    return FieldProblem{
        absl::StrCat("\"", text, "\" is the unspecified address"),
        "write the address of one VM"};
  }
  value = *ip;
  return std::nullopt;
}

Problem ReadSeeds(absl::string_view text, std::vector<std::string>& seeds) {
  for (const absl::string_view item : absl::StrSplit(text, ',')) {
    std::string ip;
    if (Problem problem = ReadIp(absl::StripAsciiWhitespace(item), ip)) {
      return problem;
    }
    if (std::find(seeds.begin(), seeds.end(), ip) != seeds.end()) {
      return FieldProblem{absl::StrCat("the seed ", ip, " is given twice"),
                          "list each seed once"};
    }
    seeds.push_back(std::move(ip));
  }
  return std::nullopt;
}

Problem ReadOptionalAddress(absl::string_view text,
                            std::optional<SocketAddress>& value) {
  SocketAddress address;
  if (Problem problem = ReadSocketAddress(text, address)) {
    return problem;
  }
  value = address;
  return std::nullopt;
}

FieldReader AddressField(std::optional<SocketAddress>& value) {
  return
      [&value](absl::string_view v) { return ReadOptionalAddress(v, value); };
}

// Parses a list of failure domains and their regions: "domain region, domain
// region".
Problem ReadRegions(absl::string_view text,
                    std::map<std::string, std::string>& regions) {
  for (const absl::string_view item :
       absl::StrSplit(text, ',', absl::SkipWhitespace())) {
    const std::vector<std::string> words =
        absl::StrSplit(item, absl::ByAnyChar(" \t\r\n"), absl::SkipEmpty());
    if (words.size() != 2 || !IsValidName(words[0]) || !IsValidName(words[1])) {
      return FieldProblem{
          absl::StrCat("\"", item, "\" is not a failure domain and its region"),
          "write for example \"budapest-a budapest, budapest-b budapest\""};
    }
    regions[words[0]] = words[1];
  }
  return std::nullopt;
}

FieldReader HeaderField(std::string& value) {
  return [&value](absl::string_view text) -> Problem {
    const bool valid =
        !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
          return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '-';
        });
    if (!valid) {
      return FieldProblem{"the value is not the name of a header",
                          "use letters, digits and \"-\""};
    }
    value = std::string(text);
    return std::nullopt;
  };
}

FieldReader PathField(std::string& value) {
  return [&value](absl::string_view text) -> Problem {
    if (text.empty() || text.front() != '/') {
      return FieldProblem{"the value is not a path", "start it with \"/\""};
    }
    value = std::string(text);
    return std::nullopt;
  };
}

// Reads a share as a decimal number without a unit, for example "0.2". Other
// systems write shares in this form.
FieldReader RatioField(double& value) {
  return [&value](absl::string_view text) -> Problem {
    double ratio = 0;
    if (!absl::SimpleAtod(text, &ratio) || !(ratio >= 0 && ratio <= 1)) {
      return FieldProblem{"the value is not a share",
                          "write a number from 0 to 1, for example 0.2"};
    }
    value = ratio;
    return std::nullopt;
  };
}

// Reads a number of retries. A platform that computes it from the size of its
// fleet may write decimals, which are dropped.
FieldReader SlackField(int& value) {
  return [&value](absl::string_view text) -> Problem {
    double number = 0;
    if (!absl::SimpleAtod(text, &number) ||
        !(number >= 0 && number <= kMaxRetrySlack)) {
      return FieldProblem{
          "the value is not a number of retries",
          absl::StrCat("write a number from 0 to ", kMaxRetrySlack)};
    }
    value = static_cast<int>(number);
    return std::nullopt;
  };
}

struct SectionRules {
  absl::string_view name;
  std::vector<FieldRule> rules;
};

std::vector<SectionRules> MakeSectionRules(DaemonSettings& settings) {
  return {
      {"daemon",
       {{"address",
         [&](absl::string_view v) { return ReadIp(v, settings.address); },
         Presence::kRequired},
        {"peer_port", IntegerField(settings.peer_port, 1, kMaxPort)},
        {"peer_listen_port",
         IntegerField(settings.peer_listen_port, 1, kMaxPort)},
        {"http_port", IntegerField(settings.http_port, 1, kMaxPort)},
        {"region", NameField(settings.region), Presence::kRequired},
        {"failure_domain", NameField(settings.failure_domain),
         Presence::kRequired},
        {"name", NameField(settings.name), Presence::kRequired},
        {"caller_listen", AddressField(settings.caller_listen)},
        {"status_listen", AddressField(settings.status_listen)},
        {"ready_listen", AddressField(settings.ready_listen)},
        {"ready_path", PathField(settings.ready_path)},
        {"local_service", NameField(settings.local_service)}}},
      {"peers",
       {{"seeds",
         [&](absl::string_view v) { return ReadSeeds(v, settings.seeds); }},
        {"bootstrap_peers",
         IntegerField(settings.bootstrap_peers, 0, kMaxBootstrapPeers)}}},
      {"config_service",
       {{"address",
         [&](absl::string_view v) {
           return ReadSocketAddress(v, settings.config_service);
         },
         settings.registry ? Presence::kOptional : Presence::kRequired}}},
      {"registry",
       {{"address", AddressField(settings.registry)},
        {"regions",
         [&](absl::string_view v) { return ReadRegions(v, settings.regions); }},
        {"floor", RatioField(settings.floor)}}},
      {"headers",
       {{"attempt_id", HeaderField(settings.backend.headers.attempt_id)},
        {"time_left", HeaderField(settings.backend.headers.time_left)},
        {"expected_instance",
         HeaderField(settings.backend.headers.expected_instance)},
        {"not_executed", HeaderField(settings.backend.headers.not_executed)},
        {"caller_service",
         HeaderField(settings.backend.headers.caller_service)},
        {"signature", HeaderField(settings.backend.headers.signature)}}},
      {"backend",
       {{"close_delimited", BoolField(settings.backend.close_delimited)}}},
      {"repeats",
       {{"share", RatioField(settings.retry_budget.share)},
        {"slack", SlackField(settings.retry_budget.slack)}}},
      {"limits",
       {{"connections",
         IntegerField(settings.max_connections, 1, kMaxConnections)},
        {"body", SizeField(settings.max_body_bytes, kKiB, kMaxBodyBytes)},
        {"header",
         SizeField(settings.max_header_bytes, kKiB, kMaxHeaderBytes)}}},
      {"shutdown",
       {{"grace",
         DurationField(settings.max_drain_time, seconds(0), hours(1))}}},
  };
}

const IniSection* FindSection(const IniDocument& document,
                              absl::string_view kind) {
  const auto found = std::find_if(
      document.sections.begin(), document.sections.end(),
      [&](const IniSection& s) { return s.kind == kind && s.name.empty(); });
  return found == document.sections.end() ? nullptr : &*found;
}

void ReportUnknownSections(const IniDocument& document,
                           const std::vector<SectionRules>& known,
                           std::vector<IniError>& errors) {
  std::vector<absl::string_view> names;
  names.reserve(known.size());
  for (const SectionRules& section : known) {
    names.push_back(section.name);
  }
  for (const IniSection& section : document.sections) {
    const bool is_known =
        std::find(names.begin(), names.end(), section.kind) != names.end();
    if (!is_known || !section.name.empty()) {
      AddSectionError(
          document, section, nullptr,
          {"the section is unknown",
           absl::StrCat("use [", NearestWord(section.kind, names),
                        "], the nearest known section, or remove it")},
          errors);
    }
  }
}

}  // namespace

RefusalMeaning RefusalMeaningOf(const HeaderNames& names) {
  return names.not_executed.empty() ? RefusalMeaning::kNone
                                    : RefusalMeaning::kNotRun;
}

DaemonSettings ParseDaemonSettings(absl::string_view source,
                                   absl::string_view text,
                                   std::vector<IniError>& errors) {
  // Errors are collected in a separate list, because a full list would not
  // accept further errors.
  std::vector<IniError> found;
  const IniDocument document = ParseIni(source, text, found);
  DaemonSettings settings;
  // Whether there is a registry determines which other sections are required.
  if (const IniSection* registry = FindSection(document, "registry")) {
    if (const IniEntry* address = FindEntry(*registry, "address")) {
      // ReadFields reports an invalid address below.
      ReadOptionalAddress(address->value, settings.registry);
    }
  }
  const std::vector<SectionRules> known = MakeSectionRules(settings);
  for (const SectionRules& rules : known) {
    const IniSection* section = FindSection(document, rules.name);
    // A missing section is read as an empty one, so that its required keys are
    // reported.
    const IniSection missing{std::string(rules.name), "", 0, {}};
    ReadFields(document, section != nullptr ? *section : missing, rules.rules,
               found);
  }
  ReportUnknownSections(document, known, found);
  const SocketAddress callers = CallerAddress(settings);
  if (callers.ip == settings.address && callers.port == settings.peer_port) {
    const IniSection* daemon = FindSection(document, "daemon");
    const IniSection missing{"daemon", "", 0, {}};
    const IniSection& section = daemon != nullptr ? *daemon : missing;
    const std::string key =
        settings.caller_listen ? "caller_listen" : "http_port";
    AddSectionError(document, section, FindEntry(section, key),
                    {absl::StrCat("peer_port and ",
                                  settings.caller_listen ? "the port of " : "",
                                  key, " are equal"),
                     "choose a different port for one of them"},
                    found);
  }
  settings.seeds.erase(std::remove(settings.seeds.begin(), settings.seeds.end(),
                                   settings.address),
                       settings.seeds.end());
  errors.insert(errors.end(), found.begin(), found.end());
  return settings;
}

SocketAddress CallerAddress(const DaemonSettings& settings) {
  return settings.caller_listen.value_or(SocketAddress{
      settings.address, static_cast<std::uint16_t>(settings.http_port)});
}

}  // namespace comfrey
