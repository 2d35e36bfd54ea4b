#include "platform/registry_decoder.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "base/duration_text.h"

namespace comfrey::platform {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Longer durations have the same effect. Much longer ones exceed the range of
// the types that hold points in time.
constexpr std::chrono::hours kMaxDuration{24};
// Ranges of ServiceConfig and ServiceShare.
constexpr int kMaxSlots = 10'000;
constexpr int kMaxWeight = 1'000'000;
constexpr int kMaxInt = std::numeric_limits<int>::max();
constexpr std::int64_t kMaxInt64 = std::numeric_limits<std::int64_t>::max();
// Latest start of a backend server, in Unix milliseconds, that a point in time
// with a resolution of nanoseconds can hold.
constexpr std::int64_t kMaxStartTime = kMaxInt64 / 1'000'000;
constexpr char kUnnamed[] = "(unnamed)";

absl::Status FieldError(absl::string_view field, absl::string_view expected) {
  return absl::InvalidArgumentError(
      absl::StrCat("field \"", field, "\" is not ", expected));
}

absl::StatusOr<std::string> ReadString(const json& object, const char* field) {
  const auto found = object.find(field);
  if (found == object.end() || !found->is_string()) {
    return FieldError(field, "a string");
  }
  return found->get<std::string>();
}

// The values are integers of any size, so a number beyond 64 bits is an error
// and does not wrap around.
absl::StatusOr<std::int64_t> ReadInt64(const json& object,
                                       const char* field,
                                       std::int64_t min,
                                       std::int64_t max) {
  const auto found = object.find(field);
  const bool fits =
      found != object.end() && found->is_number_integer() &&
      !(found->is_number_unsigned() &&
        found->get<std::uint64_t>() > static_cast<std::uint64_t>(max)) &&
      found->get<std::int64_t>() >= min && found->get<std::int64_t>() <= max;
  if (!fits) {
    return FieldError(field,
                      absl::StrCat("a whole number from ", min, " to ", max));
  }
  return found->get<std::int64_t>();
}

absl::StatusOr<int> ReadInt(const json& object,
                            const char* field,
                            int min,
                            int max) {
  const absl::StatusOr<std::int64_t> number =
      ReadInt64(object, field, min, max);
  if (!number.ok()) {
    return number.status();
  }
  return static_cast<int>(*number);
}

absl::StatusOr<milliseconds> ReadDuration(const json& object,
                                          const char* field) {
  const absl::StatusOr<std::string> text = ReadString(object, field);
  if (!text.ok()) {
    return text.status();
  }
  const auto duration = ParseDuration(*text);
  if (!duration.ok()) {
    return FieldError(field, "a duration with a unit");
  }
  return std::min<milliseconds>(
      std::chrono::duration_cast<milliseconds>(*duration), kMaxDuration);
}

absl::StatusOr<std::uint64_t> ReadVersion(const json& object) {
  const absl::StatusOr<std::string> text = ReadString(object, "version");
  std::uint64_t number = 0;
  if (!text.ok() || !absl::StartsWith(*text, "r") ||
      !absl::SimpleAtoi(text->substr(1), &number)) {
    return FieldError("version", "\"r\" and a number");
  }
  return number;
}

absl::Status ReadServices(const json& spec, PublishedRoute& route) {
  const auto split = spec.find("traffic_split");
  if (split == spec.end()) {
    absl::StatusOr<std::string> service = ReadString(spec, "service");
    if (!service.ok()) {
      return service.status();
    }
    route.services.push_back({*std::move(service), 1});
    return absl::OkStatus();
  }
  if (!split->is_array() || split->empty()) {
    return FieldError("traffic_split", "a list of services");
  }
  std::int64_t total = 0;
  for (const json& part : *split) {
    absl::StatusOr<std::string> service = ReadString(part, "service");
    const absl::StatusOr<int> weight = ReadInt(part, "weight", 0, kMaxWeight);
    if (!service.ok() || !weight.ok()) {
      return FieldError("traffic_split", "a list of services and weights");
    }
    total += *weight;
    route.services.push_back({*std::move(service), *weight});
  }
  return total > 0 ? absl::OkStatus()
                   : FieldError("traffic_split",
                                "a list with a positive total weight");
}

template <typename T>
absl::Status AssignResult(absl::StatusOr<T> result, T& value) {
  if (!result.ok()) {
    return result.status();
  }
  value = *std::move(result);
  return absl::OkStatus();
}

// Kinds of requests that are not idempotent: "unsafe" and, with large bodies,
// "upload". A kind that this release does not know is treated like them, since
// its requests may not be safe to repeat.
void ReadKind(const json& spec, PublishedRoute& route, EntryProblem& problem) {
  const absl::StatusOr<std::string> kind = ReadString(spec, "kind");
  route.idempotent = kind.ok() && *kind == "safe";
  if (!kind.ok()) {
    problem.cause = std::string(kind.status().message());
  } else if (*kind != "safe" && *kind != "unsafe" && *kind != "upload") {
    problem.cause = absl::StrCat("kind \"", *kind, "\" is not known");
  }
}

// Reads the fields that determine which requests a route gets.
absl::Status ReadPlace(const json& spec, PublishedRoute& route) {
  for (const absl::Status& status :
       {AssignResult(ReadString(spec, "host"), route.host),
        AssignResult(ReadString(spec, "prefix"), route.prefix)}) {
    if (!status.ok()) {
      return status;
    }
  }
  if (route.host.empty()) {
    return FieldError("host", "a host name");
  }
  if (!absl::StartsWith(route.prefix, "/") ||
      !absl::EndsWith(route.prefix, "/")) {
    return FieldError("prefix", "a path that begins and ends with a slash");
  }
  std::transform(route.host.begin(), route.host.end(), route.host.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return absl::OkStatus();
}

// Reads the fields that determine how the requests of a route are handled.
absl::Status ReadHandling(const json& spec, PublishedRoute& route) {
  for (const absl::Status& status :
       {AssignResult(ReadDuration(spec, "timeout"), route.timeout),
        AssignResult(ReadDuration(spec, "target_latency"), route.target),
        AssignResult(ReadInt(spec, "priority", 0, kMaxInt), route.priority),
        AssignResult(ReadInt(spec, "max_attempts", 1, kMaxInt),
                     route.max_attempts),
        ReadServices(spec, route)}) {
    if (!status.ok()) {
      return status;
    }
  }
  if (route.timeout <= milliseconds(0)) {
    return FieldError("timeout", "a positive duration");
  }
  return absl::OkStatus();
}

// Records why a route cannot be used. The route stays in the configuration, so
// that its requests are not taken for requests without a route.
void MarkUnusable(PublishedRoute& route,
                  absl::string_view cause,
                  PublishedConfig& config) {
  route.problem = std::string(cause);
  config.problems.push_back({absl::StrCat("route ", route.name), route.problem,
                             "its requests are refused as not run"});
}

void AddRoute(const json& spec, std::string name, PublishedConfig& config) {
  PublishedRoute route;
  route.name = std::move(name);
  const absl::Status place = ReadPlace(spec, route);
  if (!place.ok()) {
    config.lacks_routes = true;
    config.problems.push_back({absl::StrCat("route ", route.name),
                               std::string(place.message()),
                               "requests without a route are refused as not "
                               "run"});
    return;
  }
  EntryProblem kind_problem{absl::StrCat("route ", route.name), "",
                            "its requests are treated as non-idempotent"};
  ReadKind(spec, route, kind_problem);
  const absl::Status handling = ReadHandling(spec, route);
  if (!handling.ok()) {
    MarkUnusable(route, handling.message(), config);
  } else if (!kind_problem.cause.empty()) {
    config.problems.push_back(std::move(kind_problem));
  }
  config.routes.push_back(std::move(route));
}

absl::StatusOr<CallerLimits> ReadLimits(const json& spec) {
  CallerLimits limits;
  std::int64_t max_header_bytes = 0;
  std::int64_t max_body_bytes = 0;
  for (const absl::Status& status :
       {AssignResult(ReadInt64(spec, "max_header_bytes", 1, kMaxInt64),
                     max_header_bytes),
        AssignResult(ReadInt64(spec, "max_body_bytes", 0, kMaxInt64),
                     max_body_bytes),
        AssignResult(ReadDuration(spec, "header_timeout"),
                     limits.header_timeout),
        AssignResult(ReadDuration(spec, "idle_timeout"),
                     limits.idle_timeout)}) {
    if (!status.ok()) {
      return status;
    }
  }
  limits.header_bytes = static_cast<std::size_t>(max_header_bytes);
  limits.body_bytes = static_cast<std::size_t>(max_body_bytes);
  return limits;
}

void AddService(const json& spec, std::string name, PublishedConfig& config) {
  PublishedService service;
  service.name = std::move(name);
  const absl::Status status =
      AssignResult(ReadString(spec, "health_path"), service.health_path);
  if (!status.ok()) {
    config.problems.push_back({absl::StrCat("service ", service.name),
                               std::string(status.message()),
                               "the service is used without it"});
  }
  config.services.push_back(std::move(service));
}

void AddLimits(const json& spec, PublishedConfig& config) {
  const absl::StatusOr<CallerLimits> limits = ReadLimits(spec);
  if (limits.ok()) {
    config.limits = *limits;
    return;
  }
  config.limits = std::nullopt;
  config.problems.push_back({"limits", std::string(limits.status().message()),
                             "the limits in force stay in use"});
}

// Adds a resource of the configuration. A resource of a kind that this release
// does not know is ignored, and one that cannot be read costs only itself.
void AddResource(const json& resource, PublishedConfig& config) {
  const absl::StatusOr<std::string> kind = ReadString(resource, "entry_kind");
  if (kind.ok() && *kind != "limits" && *kind != "routes" &&
      *kind != "services") {
    return;
  }
  const auto metadata = resource.find("metadata");
  const auto spec = resource.find("spec");
  const absl::StatusOr<std::string> name =
      metadata == resource.end() ? FieldError("metadata", "an object")
                                 : ReadString(*metadata, "name");
  if (!kind.ok() || spec == resource.end() || !spec->is_object() ||
      (*kind == "services" && !name.ok())) {
    config.lacks_routes |= !kind.ok() || *kind == "routes";
    if (kind.ok() && *kind == "limits") {
      config.limits = std::nullopt;
    }
    config.problems.push_back(
        {kind.ok() ? *kind : "resource",
         "the entry has no entry_kind, no spec or no name", "it is ignored"});
    return;
  }
  if (*kind == "limits") {
    AddLimits(*spec, config);
  } else if (*kind == "services") {
    AddService(*spec, *name, config);
  } else {
    AddRoute(*spec, name.value_or(kUnnamed), config);
  }
}

// Marks the routes whose destination is unclear: those that share host and
// prefix with another route, and those that name an unknown service.
void CheckRoutes(PublishedConfig& config) {
  std::set<std::string> services;
  for (const PublishedService& service : config.services) {
    services.insert(service.name);
  }
  std::map<std::pair<std::string, std::string>, int> places;
  for (const PublishedRoute& route : config.routes) {
    ++places[{route.host, route.prefix}];
  }
  for (PublishedRoute& route : config.routes) {
    if (!route.problem.empty()) {
      continue;
    }
    if (places[{route.host, route.prefix}] > 1) {
      MarkUnusable(route, "another route has its host and prefix", config);
      continue;
    }
    const auto unknown = std::find_if(
        route.services.begin(), route.services.end(),
        [&](const ServiceShare& s) { return services.count(s.service) == 0; });
    if (unknown != route.services.end()) {
      MarkUnusable(route,
                   absl::StrCat("service ", unknown->service, " is unknown"),
                   config);
    }
  }
}

absl::StatusOr<json> ParseObject(absl::string_view text) {
  json object = json::parse(text.begin(), text.end(), nullptr, false);
  if (object.is_discarded() || !object.is_object()) {
    return absl::InvalidArgumentError("the value is not a JSON object");
  }
  return object;
}

std::uint64_t ReadRevision(const json& item, const char* field) {
  const absl::StatusOr<std::int64_t> revision =
      ReadInt64(item, field, 0, kMaxInt64);
  return revision.ok() ? static_cast<std::uint64_t>(*revision) : 0;
}

// Decodes the base64 value of an item that is not a deletion.
absl::StatusOr<std::string> ReadValue(const json& item) {
  const absl::StatusOr<std::string> encoded = ReadString(item, "value");
  std::string value;
  if (!encoded.ok() || !absl::Base64Unescape(*encoded, &value)) {
    return absl::InvalidArgumentError("the value is not base64 text");
  }
  return value;
}

void AddConfig(const json& item, RegistryUpdate& update) {
  const absl::StatusOr<std::string> value = ReadValue(item);
  absl::StatusOr<PublishedConfig> config =
      value.ok() ? DecodeConfig(*value) : value.status();
  if (!config.ok()) {
    update.config_problem = std::string(config.status().message());
    return;
  }
  // The events of a watch are in the order of their writing. A version that is
  // not newer than one before it must not take its place.
  if (!update.config || update.config->version < config->version) {
    update.config = *std::move(config);
    update.config_problem.clear();
  }
}

void AddRegistration(const json& item,
                     std::string instance,
                     RegistryUpdate& update) {
  RegistrationChange change;
  change.instance = std::move(instance);
  change.revision = {update.revision.era, ReadRevision(item, "rev")};
  change.created_revision = ReadRevision(item, "create_revision");
  if (!item.contains("deleted")) {
    const absl::StatusOr<std::string> value = ReadValue(item);
    absl::StatusOr<RegisteredEndpoint> endpoint =
        value.ok() ? DecodeRegistration(*value) : value.status();
    if (endpoint.ok()) {
      change.endpoint = *std::move(endpoint);
    } else {
      change.problem = std::string(endpoint.status().message());
    }
  }
  update.registrations.push_back(std::move(change));
}

}  // namespace

absl::StatusOr<PublishedConfig> DecodeConfig(absl::string_view text) {
  const absl::StatusOr<json> object = ParseObject(text);
  if (!object.ok()) {
    return object.status();
  }
  PublishedConfig config;
  const absl::Status version =
      AssignResult(ReadVersion(*object), config.version);
  if (!version.ok()) {
    return version;
  }
  const auto resources = object->find("resources");
  if (resources == object->end() || !resources->is_array()) {
    return FieldError("resources", "a list");
  }
  for (const json& resource : *resources) {
    AddResource(resource, config);
  }
  CheckRoutes(config);
  return config;
}

absl::StatusOr<RegisteredEndpoint> DecodeRegistration(absl::string_view text) {
  const absl::StatusOr<json> object = ParseObject(text);
  if (!object.ok()) {
    return object.status();
  }
  RegisteredEndpoint endpoint;
  std::string address;
  std::string state;
  std::string software_version;
  milliseconds cold_remaining{0};
  std::int64_t sequence = 0;
  for (const absl::Status& status :
       {AssignResult(ReadString(*object, "service"), endpoint.service),
        AssignResult(ReadString(*object, "address"), address),
        AssignResult(ReadString(*object, "zone"), endpoint.failure_domain),
        AssignResult(ReadString(*object, "version"), software_version),
        AssignResult(ReadInt(*object, "slots", 1, kMaxSlots), endpoint.slots),
        AssignResult(ReadString(*object, "state"), state),
        AssignResult(ReadDuration(*object, "cold_remaining"), cold_remaining),
        AssignResult(ReadInt64(*object, "sequence", 0, kMaxInt64), sequence)}) {
    if (!status.ok()) {
      return status;
    }
  }
  if (state != "ready" && state != "draining") {
    return FieldError("state", "\"ready\" or \"draining\"");
  }
  endpoint.draining = state == "draining";
  endpoint.sequence = static_cast<std::uint64_t>(sequence);
  if (ReadSocketAddress(address, endpoint.address)) {
    return FieldError("address", "an IP address with a port");
  }
  if (object->contains("born")) {
    const absl::StatusOr<std::int64_t> started =
        ReadInt64(*object, "born", 0, kMaxStartTime);
    if (!started.ok()) {
      return started.status();
    }
    endpoint.started_at =
        std::chrono::system_clock::time_point(milliseconds(*started));
  }
  return endpoint;
}

void AddItem(const json& item, RegistryUpdate& update) {
  const absl::StatusOr<std::string> key = ReadString(item, "key");
  if (!key.ok()) {
    return;
  }
  absl::string_view instance = *key;
  if (*key == kConfigKey) {
    if (!item.contains("deleted")) {
      AddConfig(item, update);
    }
  } else if (absl::ConsumePrefix(&instance, kRegistrationKeyPrefix)) {
    AddRegistration(item, std::string(instance), update);
  }
}

}  // namespace comfrey::platform
