#include "platform/registry_decoder.h"

#include <algorithm>
#include <chrono>
#include <limits>
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

absl::StatusOr<std::int64_t> ReadInt64(const json& object,
                                       const char* field,
                                       std::int64_t min) {
  const auto found = object.find(field);
  if (found == object.end() || !found->is_number_integer() ||
      found->get<std::int64_t>() < min) {
    return FieldError(field, absl::StrCat("a whole number of at least ", min));
  }
  return found->get<std::int64_t>();
}

absl::StatusOr<int> ReadInt(const json& object, const char* field, int min) {
  const absl::StatusOr<std::int64_t> number = ReadInt64(object, field, min);
  if (!number.ok()) {
    return number.status();
  }
  if (*number > std::numeric_limits<int>::max()) {
    return FieldError(field, "within the range of a 32-bit integer");
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
  return std::chrono::duration_cast<milliseconds>(*duration);
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
    const absl::StatusOr<int> weight = ReadInt(part, "weight", 0);
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

absl::Status ReadKind(const json& spec, PublishedRoute& route) {
  const absl::StatusOr<std::string> kind = ReadString(spec, "kind");
  if (!kind.ok() || (*kind != "safe" && *kind != "unsafe")) {
    return FieldError("kind", "\"safe\" or \"unsafe\"");
  }
  route.idempotent = *kind == "safe";
  return absl::OkStatus();
}

template <typename T>
absl::Status AssignResult(absl::StatusOr<T> result, T& value) {
  if (!result.ok()) {
    return result.status();
  }
  value = *std::move(result);
  return absl::OkStatus();
}

absl::StatusOr<PublishedRoute> ReadRoute(const json& spec, std::string name) {
  PublishedRoute route;
  route.name = std::move(name);
  for (const absl::Status& status :
       {AssignResult(ReadString(spec, "host"), route.host),
        AssignResult(ReadString(spec, "prefix"), route.prefix),
        ReadKind(spec, route),
        AssignResult(ReadDuration(spec, "timeout"), route.timeout),
        AssignResult(ReadDuration(spec, "target_latency"), route.target),
        AssignResult(ReadInt(spec, "priority", 0), route.priority),
        AssignResult(ReadInt(spec, "max_attempts", 1), route.max_attempts),
        ReadServices(spec, route)}) {
    if (!status.ok()) {
      return status;
    }
  }
  if (!absl::StartsWith(route.prefix, "/") ||
      !absl::EndsWith(route.prefix, "/")) {
    return FieldError("prefix", "a path that begins and ends with a slash");
  }
  if (route.timeout <= milliseconds(0)) {
    return FieldError("timeout", "a positive duration");
  }
  std::transform(route.host.begin(), route.host.end(), route.host.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return route;
}

absl::StatusOr<CallerLimits> ReadLimits(const json& spec) {
  CallerLimits limits;
  std::int64_t max_header_bytes = 0;
  std::int64_t max_body_bytes = 0;
  for (const absl::Status& status :
       {AssignResult(ReadInt64(spec, "max_header_bytes", 1), max_header_bytes),
        AssignResult(ReadInt64(spec, "max_body_bytes", 0), max_body_bytes),
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

absl::Status ReadResource(const json& resource, PublishedConfig& config) {
  const absl::StatusOr<std::string> kind = ReadString(resource, "entry_kind");
  const auto metadata = resource.find("metadata");
  const auto spec = resource.find("spec");
  if (!kind.ok() || metadata == resource.end() || !metadata->is_object() ||
      spec == resource.end() || !spec->is_object()) {
    return absl::InvalidArgumentError(
        "a resource has no entry_kind, metadata or spec");
  }
  if (*kind == "limits") {
    return AssignResult(ReadLimits(*spec), config.limits);
  }
  if (*kind != "routes" && *kind != "services") {
    return absl::OkStatus();
  }
  absl::StatusOr<std::string> name = ReadString(*metadata, "name");
  if (!name.ok()) {
    return name.status();
  }
  if (*kind == "services") {
    PublishedService service;
    service.name = *std::move(name);
    absl::Status status =
        AssignResult(ReadString(*spec, "health_path"), service.health_path);
    config.services.push_back(std::move(service));
    return status;
  }
  PublishedRoute route;
  absl::Status status = AssignResult(ReadRoute(*spec, *name), route);
  if (!status.ok()) {
    return absl::InvalidArgumentError(
        absl::StrCat("route ", *name, ": ", status.message()));
  }
  config.routes.push_back(std::move(route));
  return absl::OkStatus();
}

// Rejects a route whose destination is unclear: one that has the host and
// prefix of another route, or that names an unknown service.
absl::Status CheckRoutes(const PublishedConfig& config) {
  std::set<std::string> services;
  for (const PublishedService& service : config.services) {
    services.insert(service.name);
  }
  std::set<std::pair<std::string, std::string>> seen_prefixes;
  for (const PublishedRoute& route : config.routes) {
    if (!seen_prefixes.emplace(route.host, route.prefix).second) {
      return absl::InvalidArgumentError(absl::StrCat(
          "route ", route.name, ": another route has its host and prefix"));
    }
    for (const ServiceShare& share : route.services) {
      if (services.count(share.service) == 0) {
        return absl::InvalidArgumentError(absl::StrCat(
            "route ", route.name, ": service ", share.service, " is unknown"));
      }
    }
  }
  return absl::OkStatus();
}

absl::StatusOr<json> ParseObject(absl::string_view text) {
  json object = json::parse(text.begin(), text.end(), nullptr, false);
  if (object.is_discarded() || !object.is_object()) {
    return absl::InvalidArgumentError("the value is not a JSON object");
  }
  return object;
}

std::uint64_t ReadRevision(const json& item, const char* field) {
  const absl::StatusOr<std::int64_t> revision = ReadInt64(item, field, 0);
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
  update.config = *std::move(config);
}

void AddRegistration(const json& item,
                     std::string instance,
                     RegistryUpdate& update) {
  RegistrationChange change;
  change.instance = std::move(instance);
  change.revision = ReadRevision(item, "rev");
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
  absl::Status status = AssignResult(ReadVersion(*object), config.version);
  if (!status.ok()) {
    return status;
  }
  const auto resources = object->find("resources");
  if (resources == object->end() || !resources->is_array()) {
    return FieldError("resources", "a list");
  }
  for (const json& resource : *resources) {
    status = ReadResource(resource, config);
    if (!status.ok()) {
      return status;
    }
  }
  status = CheckRoutes(config);
  if (!status.ok()) {
    return status;
  }
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
        AssignResult(ReadInt(*object, "slots", 1), endpoint.slots),
        AssignResult(ReadString(*object, "state"), state),
        AssignResult(ReadDuration(*object, "cold_remaining"), cold_remaining),
        AssignResult(ReadInt64(*object, "sequence", 0), sequence)}) {
    if (!status.ok()) {
      return status;
    }
  }
  if (state != "ready" && state != "draining") {
    return FieldError("state", "\"ready\" or \"draining\"");
  }
  endpoint.draining = state == "draining";
  if (ReadSocketAddress(address, endpoint.address)) {
    return FieldError("address", "an IP address with a port");
  }
  if (object->contains("born")) {
    const absl::StatusOr<std::int64_t> started = ReadInt64(*object, "born", 0);
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
