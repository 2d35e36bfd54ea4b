#include "config/team_config.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "config/ini_fields.h"
#include "config/team_checks.h"
#include "config/team_fields.h"

namespace comfrey {
namespace {

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int kMaxSlots = 10'000;
constexpr int kMaxQueueLimit = 100'000;
constexpr int kMaxUrgency = 100;
constexpr int kMaxWorth = 1'000'000;
constexpr int kMinObjectivePpm = 10'000;
constexpr int kMaxObjectivePpm = 999'999;
constexpr int kMaxAttemptsLimit = 10;
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
  ReadFields(state.document, section,
             {{"generation", GenerationField(team.generation)},
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
  CheckTeam(document, config, found);
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
