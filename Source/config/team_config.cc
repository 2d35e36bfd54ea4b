#include "config/team_config.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "absl/time/time.h"
#include "config/ini_fields.h"
#include "config/request_path.h"

namespace comfrey {
namespace {

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kPpm = 1'000'000;
constexpr int kMaxSlots = 10'000;
constexpr int kMaxQueueLimit = 100'000;
constexpr int kMaxUrgency = 100;
constexpr int kMaxWorth = 1'000'000;
constexpr int kMinObjectivePpm = 10'000;
constexpr int kMaxObjectivePpm = 999'999;
constexpr std::size_t kMaxPathLength = 128;
constexpr std::size_t kMaxHeaderLength = 128;
constexpr std::size_t kMaxMethodLength = 32;
constexpr int kMaxAttemptsLimit = 10;
constexpr int kMaxWeight = 1'000'000;
constexpr std::array<absl::string_view, 6> kReservedTeamNames = {
    "comfrey", "healthz", "livez", "metrics", "readyz", "status"};

using Problem = std::optional<FieldProblem>;

// Parsing state of one value.
struct TeamParseState {
  const IniDocument& document;
  TeamConfig& config;
  std::vector<IniError>& errors;
  // Name of the service that lists each endpoint, by address.
  absl::flat_hash_map<std::string, std::string> endpoint_services;
};

Problem ReadTime(absl::string_view text,
                 std::optional<std::chrono::system_clock::time_point>& value) {
  constexpr absl::string_view kFormat = "%Y-%m-%dT%H:%M:%SZ";
  const absl::TimeZone utc = absl::UTCTimeZone();
  absl::Time time;
  // absl::ParseTime also accepts times in other forms, for example with a leap
  // second or with single digits. The comparison with the formatted time
  // rejects them. The check of the year rejects "infinite-past".
  if (!absl::ParseTime(kFormat, text, &time, nullptr) ||
      absl::FormatTime(kFormat, time, utc) != text) {
    return FieldProblem{"the value is not a time in UTC",
                        "write it as 2026-12-04T10:00:00Z"};
  }
  const auto year = utc.At(time).cs.year();
  if (year < 2000 || year > 2199) {
    return FieldProblem{"the value is out of range",
                        "write a time in the years 2000 to 2199"};
  }
  value = absl::ToChronoTime(time);
  return std::nullopt;
}

Problem ReadMethod(absl::string_view text, std::string& value) {
  if (text.empty() || text.size() > kMaxMethodLength ||
      !std::all_of(text.begin(), text.end(), absl::ascii_isupper)) {
    return FieldProblem{"the value is not an HTTP method",
                        "write one method in upper case, for example POST"};
  }
  value = std::string(text);
  return std::nullopt;
}

Problem ReadPath(absl::string_view text, std::string& value) {
  const std::optional<RequestPath> path = ReadRequestPath(text);
  if (!path || path->encoded != text) {
    return FieldProblem{
        "the value is not a plain absolute path",
        "start it with \"/\"; leave out empty and dot segments, \"?\", \"#\", "
        "spaces, backslashes and encoded slashes"};
  }
  if (path->decoded.size() > kMaxPathLength) {
    return FieldProblem{
        "the path is too long",
        absl::StrCat("write at most ", kMaxPathLength, " characters")};
  }
  value = path->decoded;
  if (value.size() > 1 && value.back() == '/') {
    value.pop_back();
  }
  return std::nullopt;
}

Problem ReadHost(absl::string_view text, std::string& value) {
  const bool valid =
      !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '.' ||
               c == '-';
      });
  if (!valid) {
    return FieldProblem{"the value is not a host name",
                        "write a name such as shop.example, without a port"};
  }
  value = absl::AsciiStrToLower(text);
  return std::nullopt;
}

// Parses a list of services and their weights: "service weight, service
// weight".
Problem ReadSplit(absl::string_view text, std::vector<ServiceShare>& split) {
  for (const absl::string_view item : absl::StrSplit(text, ',')) {
    const std::vector<std::string> words =
        absl::StrSplit(item, ' ', absl::SkipEmpty());
    ServiceShare share;
    if (words.size() != 2 || !IsValidName(words[0]) ||
        !absl::SimpleAtoi(words[1], &share.weight) || share.weight < 0 ||
        share.weight > kMaxWeight) {
      return FieldProblem{
          absl::StrCat("\"", item, "\" is not a service and its weight"),
          "write for example \"booking 90, booking-next 10\""};
    }
    share.service = words[0];
    split.push_back(std::move(share));
  }
  return std::nullopt;
}

bool IsHeaderNameByte(unsigned char c) {
  return absl::ascii_isalnum(c) ||
         absl::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) !=
             absl::string_view::npos;
}

Problem ReadHeader(absl::string_view text, RouteConfig& route) {
  const std::pair<absl::string_view, absl::string_view> parts =
      absl::StrSplit(text, absl::MaxSplits(':', 1));
  const absl::string_view name = absl::StripAsciiWhitespace(parts.first);
  const absl::string_view value = absl::StripAsciiWhitespace(parts.second);
  if (name.empty() || value.empty() || text.size() > kMaxHeaderLength ||
      !std::all_of(name.begin(), name.end(), IsHeaderNameByte) ||
      !std::all_of(value.begin(), value.end(), absl::ascii_isprint)) {
    return FieldProblem{
        "the value is not a header with its value",
        absl::StrCat("write \"Name: value\" with at most ", kMaxHeaderLength,
                     " characters, for example X-Caller: internal")};
  }
  route.header_name = std::string(name);
  route.header_value = std::string(value);
  return std::nullopt;
}

// Parses the value of `endpoints`; appends an error for every invalid item.
void ReadEndpoints(TeamParseState& state,
                   const IniSection& section,
                   const IniEntry& entry,
                   ServiceConfig& service) {
  for (const absl::string_view item : absl::StrSplit(entry.value, ',')) {
    SocketAddress socket;
    Problem problem =
        ReadSocketAddress(absl::StripAsciiWhitespace(item), socket);
    const std::string address = FormatSocketAddress(socket);
    if (!problem) {
      const auto [other, added] =
          state.endpoint_services.emplace(address, service.name);
      if (!added) {
        problem = FieldProblem{
            absl::StrCat(address, " is already an endpoint of service ",
                         other->second),
            "list each endpoint once, in one service of the team"};
      }
    }
    if (problem) {
      AddSectionError(state.document, section, &entry, *std::move(problem),
                      state.errors);
      continue;
    }
    EndpointConfig endpoint;
    endpoint.address = address;
    endpoint.ip = std::move(socket.ip);
    endpoint.port = socket.port;
    service.endpoints.push_back(std::move(endpoint));
  }
  service.endpoints.shrink_to_fit();
}

FieldReader GenerationField(std::uint64_t& value) {
  return IntegerField(value, 1, std::numeric_limits<std::int64_t>::max());
}

void ReadTeam(TeamParseState& state, const IniSection& section) {
  TeamConfig& team = state.config;
  ReadFields(
      state.document, section,
      {{"generation", IntegerField(team.generation, 1,
                                   std::numeric_limits<std::int64_t>::max())},
       {"removed", BoolField(team.removed)}},
      state.errors);
}

void ReadService(TeamParseState& state, const IniSection& section) {
  ServiceConfig service;
  service.name = section.name;
  microseconds latency{0};
  int late_limit = -1;
  ReadFields(
      state.document, section,
      {{"endpoints", [](absl::string_view) { return std::nullopt; },
        Presence::kRequired},
       {"slots", IntegerField(service.slots, 1, kMaxSlots)},
       {"floor", PercentField(service.floor, 0, kPpm)},
       {"key_retention",
        DurationField(service.key_retention, seconds(1), hours(24))},
       {"keys_since",
        [&](absl::string_view v) { return ReadTime(v, service.keys_since); }},
       {"queue_limit", IntegerField(service.queue_limit, 0, kMaxQueueLimit)},
       {"late_limit", IntegerField(late_limit, 0, kMaxQueueLimit)},
       {"urgent_slots", IntegerField(service.urgent_slots, 0, kMaxSlots)},
       {"detection", ChoiceField<Detection>(service.detection,
                                            {{"careful", Detection::kCareful},
                                             {"balanced", Detection::kBalanced},
                                             {"fast", Detection::kFast}})},
       {"expected_latency",
        DurationField(latency, microseconds(100), minutes(10))},
       {"warmup", DurationField(service.warmup, seconds(0), hours(1))}},
      state.errors);
  if (late_limit >= 0) {
    service.late_limit = late_limit;
  }
  if (latency > microseconds(0)) {
    service.expected_latency = latency;
  }
  if (const IniEntry* endpoints = FindEntry(section, "endpoints")) {
    ReadEndpoints(state, section, *endpoints, service);
  }
  state.config.services.push_back(std::move(service));
}

void ReadRank(TeamParseState& state, const IniSection& section) {
  RankConfig rank;
  rank.name = section.name;
  ReadFields(state.document, section,
             {{"urgency", IntegerField(rank.urgency, 1, kMaxUrgency),
               Presence::kRequired},
              {"target", DurationField(rank.target, milliseconds(1), hours(1)),
               Presence::kRequired},
              {"objective", PercentField(rank.objective, kMinObjectivePpm,
                                         kMaxObjectivePpm)},
              {"share", PercentField(rank.share, 0, kPpm)},
              {"worth", IntegerField(rank.worth, 0, kMaxWorth)}},
             state.errors);
  state.config.ranks.push_back(std::move(rank));
}

void ReadRoute(TeamParseState& state, const IniSection& section) {
  RouteConfig route;
  route.name = section.name;
  ReadFields(
      state.document, section,
      {{"service", NameField(route.service), Presence::kRequired},
       {"rank", NameField(route.rank), Presence::kRequired},
       {"method",
        [&](absl::string_view v) { return ReadMethod(v, route.method); }},
       {"path", [&](absl::string_view v) { return ReadPath(v, route.path); }},
       {"host", [&](absl::string_view v) { return ReadHost(v, route.host); }},
       {"max_attempts", IntegerField(route.max_attempts, 1, kMaxAttemptsLimit)},
       {"split",
        [&](absl::string_view v) { return ReadSplit(v, route.split); }},
       {"match_header",
        [&](absl::string_view v) { return ReadHeader(v, route); }},
       {"repeat", ChoiceField<bool>(route.repeat_safe,
                                    {{"never", false}, {"safe", true}})},
       {"deadline", DurationField(route.deadline, milliseconds(1), hours(1))}},
      state.errors);
  // The path of a route with a host is a literal prefix. The slash at its end
  // makes it match whole segments only.
  if (!route.host.empty() && route.path.back() != '/') {
    route.path.push_back('/');
  }
  state.config.routes.push_back(std::move(route));
}

// Returns the address in the heading of an endpoint section as "ip:port". The
// heading of an IPv6 endpoint has no brackets around the address, because "]"
// ends a heading: "[endpoint ::1 8081]".
std::string AddressFromHeading(absl::string_view name) {
  const std::pair<absl::string_view, absl::string_view> parts =
      absl::StrSplit(name, absl::MaxSplits(' ', 1));
  return parts.second.empty()
             ? std::string(name)
             : absl::StrCat("[", parts.first,
                            "]:", absl::StripAsciiWhitespace(parts.second));
}

// Parses the endpoint sections. All services must have been parsed before,
// because they list the endpoints.
void ReadEndpointSections(TeamParseState& state) {
  absl::flat_hash_map<absl::string_view, EndpointConfig*> endpoints;
  for (ServiceConfig& service : state.config.services) {
    for (EndpointConfig& endpoint : service.endpoints) {
      endpoints.emplace(endpoint.address, &endpoint);
    }
  }
  absl::flat_hash_set<std::string> seen;
  for (const IniSection& section : state.document.sections) {
    if (section.kind != "endpoint") {
      continue;
    }
    KeysState keys = KeysState::kActive;
    ReadFields(state.document, section,
               {{"keys", ChoiceField<KeysState>(
                             keys, {{"joining", KeysState::kJoining},
                                    {"active", KeysState::kActive},
                                    {"leaving", KeysState::kLeaving}})}},
               state.errors);
    SocketAddress socket;
    Problem problem =
        ReadSocketAddress(AddressFromHeading(section.name), socket);
    const std::string address = FormatSocketAddress(socket);
    const auto endpoint = endpoints.find(address);
    if (problem) {
      problem->remedy =
          "write [endpoint 127.0.1.1:8081], or [endpoint ::1 "
          "8081] for IPv6";
    } else if (!seen.insert(address).second) {
      problem =
          FieldProblem{absl::StrCat("endpoint ", address, " has two sections"),
                       "merge the two sections into one"};
    } else if (endpoint == endpoints.end()) {
      problem = FieldProblem{
          absl::StrCat("no service lists the endpoint ", address),
          "add it to the endpoints of a service, or remove the section"};
    }
    if (problem) {
      AddSectionError(state.document, section, nullptr, *std::move(problem),
                      state.errors);
      continue;
    }
    endpoint->second->keys = keys;
  }
}

// Reports a route whose key `kind` names a section that does not exist.
void CheckReference(TeamParseState& state,
                    const IniSection& section,
                    absl::string_view kind,
                    const absl::flat_hash_set<absl::string_view>& names) {
  const IniEntry* entry = FindEntry(section, kind);
  if (entry == nullptr || !IsValidName(entry->value) ||
      names.contains(entry->value) || IsErrorListFull(state.errors)) {
    return;
  }
  const std::string nearest =
      NearestWord(entry->value, {names.begin(), names.end()});
  AddSectionError(
      state.document, section, entry,
      {absl::StrCat("no section [", kind, " ", entry->value, "] exists"),
       absl::StrCat("add the section",
                    nearest.empty()
                        ? ""
                        : absl::StrCat(", or use \"", nearest,
                                       "\", the nearest existing name"))},
      state.errors);
}

// Reports routes with equal conditions, because it would not be defined which
// of them a request takes.
void CheckDuplicateRoutes(TeamParseState& state) {
  absl::flat_hash_map<std::string, const RouteConfig*> seen;
  auto section = state.document.sections.begin();
  for (const RouteConfig& route : state.config.routes) {
    section =
        std::find_if(section, state.document.sections.end(),
                     [](const IniSection& s) { return s.kind == "route"; });
    const IniSection& current = *section++;
    const std::string condition = absl::StrCat(
        route.host, " ", route.path, " ", route.method, " ",
        absl::AsciiStrToLower(route.header_name), ":", route.header_value);
    const auto [other, added] = seen.emplace(condition, &route);
    if (!added) {
      AddSectionError(
          state.document, current, nullptr,
          {absl::StrCat("route ", other->second->name,
                        " has the same path, method and match_header"),
           "change one of the three, or remove one of the routes"},
          state.errors);
    }
  }
}

// Reports ranks whose guaranteed shares exceed 100% in total.
void CheckRankShares(TeamParseState& state) {
  std::int64_t total = 0;
  for (const RankConfig& rank : state.config.ranks) {
    total += std::llround(rank.share * kPpm);
  }
  if (total <= kPpm) {
    return;
  }
  const auto last = std::find_if(
      state.document.sections.rbegin(), state.document.sections.rend(),
      [](const IniSection& s) {
        return s.kind == "rank" && FindEntry(s, "share") != nullptr;
      });
  AddSectionError(
      state.document, *last, FindEntry(*last, "share"),
      {absl::StrCat("the shares of all ranks add up to ", FormatPpm(total)),
       "lower shares until they add up to at most 100%"},
      state.errors);
}

// Reports a split that names a service which does not exist, or whose weights
// are all 0.
void CheckSplit(TeamParseState& state,
                const IniSection& section,
                const absl::flat_hash_set<absl::string_view>& services) {
  const IniEntry* entry = FindEntry(section, "split");
  std::vector<ServiceShare> split;
  if (entry == nullptr || ReadSplit(entry->value, split)) {
    return;
  }
  int total = 0;
  for (const ServiceShare& share : split) {
    total += share.weight;
    if (!services.contains(share.service)) {
      AddSectionError(
          state.document, section, entry,
          {absl::StrCat("no section [service ", share.service, "] exists"),
           "add the section, or name an existing service"},
          state.errors);
    }
  }
  if (total == 0) {
    AddSectionError(state.document, section, entry,
                    {"all weights are 0", "give one service a weight"},
                    state.errors);
  }
}

void CheckReferences(TeamParseState& state) {
  absl::flat_hash_set<absl::string_view> services;
  for (const ServiceConfig& service : state.config.services) {
    services.insert(service.name);
  }
  absl::flat_hash_set<absl::string_view> ranks;
  for (const RankConfig& rank : state.config.ranks) {
    ranks.insert(rank.name);
  }
  for (const IniSection& section : state.document.sections) {
    if (section.kind == "route") {
      CheckReference(state, section, "service", services);
      CheckReference(state, section, "rank", ranks);
      CheckSplit(state, section, services);
    }
  }
}

void ReadSection(TeamParseState& state, const IniSection& section) {
  using Read = void (*)(TeamParseState&, const IniSection&);
  struct Kind {
    absl::string_view name;
    Read read;
  };
  constexpr std::array<Kind, 5> kKinds = {
      {{"team", &ReadTeam},
       {"service", &ReadService},
       {"rank", &ReadRank},
       {"route", &ReadRoute},
       // ReadEndpointSections parses these sections later.
       {"endpoint", [](TeamParseState&, const IniSection&) {}}}};
  const auto kind =
      std::find_if(kKinds.begin(), kKinds.end(),
                   [&](const Kind& k) { return k.name == section.kind; });
  if (kind == kKinds.end()) {
    std::vector<absl::string_view> names;
    names.reserve(kKinds.size());
    for (const Kind& known : kKinds) {
      names.push_back(known.name);
    }
    AddSectionError(
        state.document, section, nullptr,
        {"the section is unknown",
         absl::StrCat("use \"", NearestWord(section.kind, names),
                      "\", the nearest known kind, or remove the section")},
        state.errors);
    return;
  }
  const bool named = section.kind != "team" && section.kind != "endpoint";
  if (named && !IsValidName(section.name)) {
    AddSectionError(state.document, section, nullptr,
                    {absl::StrCat("the name in the heading is missing or "
                                  "invalid"),
                     NameRemedy()},
                    state.errors);
  }
  if (section.kind == "team" && !section.name.empty()) {
    AddSectionError(state.document, section, nullptr,
                    {"the section takes no name", "write [team]"},
                    state.errors);
  }
  kind->read(state, section);
}

void CheckTeamName(TeamParseState& state) {
  const std::string& team = state.config.team;
  if (!IsValidName(team)) {
    AddIniError(state.errors,
                {state.document.source, 0, "", "", "",
                 absl::StrCat("\"", team, "\" is not a valid team name"),
                 NameRemedy()});
  } else if (IsReservedTeamName(team)) {
    AddIniError(state.errors,
                {state.document.source, 0, "", "", "",
                 absl::StrCat("the team name \"", team, "\" is reserved"),
                 absl::StrCat("use a name other than ",
                              absl::StrJoin(kReservedTeamNames, ", "))});
  }
}

template <typename T>
const T* FindByName(const std::vector<T>& objects, absl::string_view name) {
  const auto found = std::find_if(objects.begin(), objects.end(),
                                  [&](const T& o) { return o.name == name; });
  return found == objects.end() ? nullptr : &*found;
}

}  // namespace

TeamConfig ParseTeamConfig(absl::string_view team,
                           absl::string_view source,
                           absl::string_view text,
                           std::vector<IniError>& errors) {
  // Errors are collected in a separate list, because a full list would not
  // accept further errors.
  std::vector<IniError> found;
  const IniDocument document = ParseIni(source, text, found);
  TeamConfig config;
  config.team = std::string(team);
  TeamParseState state{document, config, found, {}};
  CheckTeamName(state);
  for (const IniSection& section : document.sections) {
    ReadSection(state, section);
  }
  ReadEndpointSections(state);
  CheckReferences(state);
  CheckDuplicateRoutes(state);
  CheckRankShares(state);
  if (config.removed) {
    config.services.clear();
    config.ranks.clear();
    config.routes.clear();
  } else if (config.services.empty()) {
    // An empty or truncated value must not remove the services of a team
    // without an error.
    AddIniError(found,
                {document.source, 0, "", "", "", "the value has no service",
                 "add a [service NAME] section, or delete the team with "
                 "\"removed = true\" in [team]"});
  }
  config.services.shrink_to_fit();
  config.ranks.shrink_to_fit();
  config.routes.shrink_to_fit();
  errors.insert(errors.end(), found.begin(), found.end());
  return config;
}

std::optional<std::uint64_t> ReadGeneration(absl::string_view text) {
  std::vector<IniError> ignored;
  const IniDocument document = ParseIni("", text, ignored);
  std::uint64_t generation = 1;
  for (const IniSection& section : document.sections) {
    const IniEntry* entry = FindEntry(section, "generation");
    if (section.kind == "team" && entry != nullptr &&
        GenerationField(generation)(entry->value)) {
      return std::nullopt;
    }
  }
  return generation;
}

bool IsReservedTeamName(absl::string_view name) {
  return std::find(kReservedTeamNames.begin(), kReservedTeamNames.end(),
                   name) != kReservedTeamNames.end();
}

const ServiceConfig* FindService(const TeamConfig& config,
                                 absl::string_view name) {
  return FindByName(config.services, name);
}

const RankConfig* FindRank(const TeamConfig& config, absl::string_view name) {
  return FindByName(config.ranks, name);
}

}  // namespace comfrey
