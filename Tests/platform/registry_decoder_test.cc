#include "platform/registry_decoder.h"

#include <string>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/str_replace.h"
#include "catch2/catch.hpp"

namespace comfrey::platform {
namespace {

using std::chrono::milliseconds;

constexpr char kRegistrationJson[] =
    R"({"service":"huvo","address":"10.1.0.9:8080","zone":"a","version":"v1",)"
    R"("slots":4,"state":"ready","cold_remaining":"1.5s","sequence":7,)"
    R"("born":1700000000123})";

constexpr char kConfigJson[] =
    R"({"version":"r12","resources":[)"
    R"({"entry_kind":"routes","metadata":{"name":"r-1"},"spec":{)"
    R"("host":"Shop.example","prefix":"/a/","kind":"unsafe",)"
    R"("timeout":"4000ms","target_latency":"1.2s","priority":1,)"
    R"("service":"huvo","max_attempts":2}},)"
    R"({"entry_kind":"routes","metadata":{"name":"r-2"},"spec":{)"
    R"("host":"shop.example","prefix":"/b/","kind":"safe",)"
    R"("timeout":"3s","target_latency":"1s","priority":0,)"
    R"("traffic_split":[{"service":"huvo","weight":90},)"
    R"({"service":"wuno","weight":10}],"max_attempts":3}},)"
    R"({"entry_kind":"services","metadata":{"name":"huvo"},)"
    R"("spec":{"health_path":"/health","max_connections":330}},)"
    R"({"entry_kind":"services","metadata":{"name":"wuno"},)"
    R"("spec":{"health_path":"/health","max_connections":330}},)"
    R"({"entry_kind":"limits","metadata":{},"spec":{)"
    R"("max_header_bytes":16384,"max_body_bytes":1000000,)"
    R"("header_timeout":"3000ms","idle_timeout":"15s"}}]})";

struct Replacement {
  std::string old_text;
  std::string new_text;
};

// Guards against a field that is read under a wrong name or unit.
TEST_CASE("a registration is decoded") {
  const auto endpoint = DecodeRegistration(kRegistrationJson);
  REQUIRE(endpoint.ok());
  CHECK(endpoint->service == "huvo");
  CHECK(endpoint->address.ip == "10.1.0.9");
  CHECK(endpoint->address.port == 8080);
  CHECK(endpoint->failure_domain == "a");
  CHECK(endpoint->slots == 4);
  CHECK_FALSE(endpoint->draining);
  CHECK(endpoint->started_at.time_since_epoch() == milliseconds(1700000000123));
  const auto draining = DecodeRegistration(
      absl::StrReplaceAll(kRegistrationJson, {{"\"ready\"", "\"draining\""}}));
  REQUIRE(draining.ok());
  CHECK(draining->draining);
}

// Guards against an endpoint that is read from an entry that is not a valid
// registration, for example one of another writer.
TEST_CASE("a registration with a missing or wrong field is rejected") {
  const std::vector<Replacement> cases = {
      {"\"service\":\"huvo\",", ""},
      {"\"huvo\"", "7"},
      {"10.1.0.9:8080", "10.1.0.9"},
      {"10.1.0.9:8080", "host:8080"},
      {"\"zone\":\"a\",", ""},
      {"\"v1\"", "1"},
      {"\"slots\":4", "\"slots\":\"4\""},
      {"\"slots\":4", "\"slots\":0"},
      {"\"slots\":4", "\"slots\":4.5"},
      {"\"ready\"", "\"retired\""},
      {"\"ready\"", "true"},
      {"\"1.5s\"", "1.5"},
      {"\"sequence\":7", "\"sequence\":\"7\""},
      {"1700000000123", "1.5"},
      {"{\"service\"", "[{\"service\""},
      {"}", ""},
  };
  for (const Replacement& c : cases) {
    INFO(c.old_text << " -> " << c.new_text);
    CHECK_FALSE(
        DecodeRegistration(
            absl::StrReplaceAll(kRegistrationJson, {{c.old_text, c.new_text}}))
            .ok());
  }
  CHECK_FALSE(DecodeRegistration("\xff\xfe").ok());
  CHECK_FALSE(DecodeRegistration("").ok());
}

// Guards against routes and limits that are read under a wrong name or unit.
TEST_CASE("a configuration is decoded") {
  const auto config = DecodeConfig(kConfigJson);
  REQUIRE(config.ok());
  CHECK(config->version == 12);
  REQUIRE(config->routes.size() == 2);
  const PublishedRoute& order = config->routes[0];
  CHECK(order.name == "r-1");
  CHECK(order.host == "shop.example");
  CHECK(order.prefix == "/a/");
  CHECK_FALSE(order.idempotent);
  CHECK(order.timeout == milliseconds(4000));
  CHECK(order.target == milliseconds(1200));
  CHECK(order.priority == 1);
  CHECK(order.max_attempts == 2);
  REQUIRE(order.services.size() == 1);
  const PublishedRoute& view = config->routes[1];
  CHECK(view.idempotent);
  REQUIRE(view.services.size() == 2);
  CHECK(view.services[1].service == "wuno");
  CHECK(view.services[1].weight == 10);
  CHECK(config->services.size() == 2);
  CHECK(config->limits.header_bytes == 16384);
  CHECK(config->limits.body_bytes == 1000000);
  CHECK(config->limits.header_timeout == milliseconds(3000));
  CHECK(config->limits.idle_timeout == milliseconds(15000));
}

// Guards against a part of an invalid configuration that takes effect.
TEST_CASE("a configuration with an error is rejected as a whole") {
  const std::vector<Replacement> cases = {
      {"\"r12\"", "\"12\""},
      {"\"r12\"", "12"},
      {"\"r12\"", "\"r\""},
      {"\"/a/\"", "\"/a\""},
      {"\"/a/\"", "\"a/\""},
      {"\"/b/\"", "\"/a/\""},
      {"\"unsafe\"", "\"maybe\""},
      {"\"4000ms\"", "4000"},
      {"\"4000ms\"", "\"0ms\""},
      {"\"max_attempts\":2", "\"max_attempts\":0"},
      {"\"priority\":1", "\"priority\":-1"},
      {"\"priority\":1", "\"priority\":\"1\""},
      {"\"service\":\"huvo\",\"max", "\"service\":\"none\",\"max"},
      {"\"weight\":90", "\"weight\":-1"},
      {"90},{\"service\":\"wuno\",\"weight\":10",
       "0},{\"service\":\"wuno\",\"weight\":0"},
      {"\"3000ms\"", "\"3000\""},
      {"16384", "\"16384\""},
      {"\"metadata\":{\"name\":\"r-1\"}", "\"metadata\":{}"},
  };
  for (const Replacement& c : cases) {
    INFO(c.old_text << " -> " << c.new_text);
    const std::string text =
        absl::StrReplaceAll(kConfigJson, {{c.old_text, c.new_text}});
    REQUIRE(text != kConfigJson);
    CHECK_FALSE(DecodeConfig(text).ok());
  }
  CHECK_FALSE(DecodeConfig(std::string(kConfigJson).substr(0, 200)).ok());
}

nlohmann::json MakeStoreItem(const std::string& key, const std::string& value) {
  return {{"key", key},
          {"value", absl::Base64Escape(value)},
          {"rev", 40},
          {"create_revision", 30},
          {"lease", 0}};
}

// Guards against items, deletions and unusable entries that are confused with
// each other.
TEST_CASE("items and events are added to an update") {
  RegistryUpdate update;
  AddItem(MakeStoreItem("op/config", kConfigJson), update);
  AddItem(MakeStoreItem("servers/i-1", kRegistrationJson), update);
  AddItem(MakeStoreItem("servers/i-2", "{}"), update);
  AddItem({{"key", "servers/i-3"}, {"rev", 41}, {"deleted", true}}, update);
  AddItem({{"key", "servers/i-4"}, {"rev", 42}, {"value", "***"}}, update);
  AddItem(MakeStoreItem("other/thing", kRegistrationJson), update);
  AddItem({{"value", ""}}, update);
  REQUIRE(update.config);
  CHECK(update.config->version == 12);
  REQUIRE(update.registrations.size() == 4);
  CHECK(update.registrations[0].instance == "i-1");
  CHECK(update.registrations[0].endpoint);
  CHECK(update.registrations[0].revision == 40);
  CHECK(update.registrations[0].created_revision == 30);
  CHECK_FALSE(update.registrations[1].endpoint);
  CHECK_FALSE(update.registrations[1].problem.empty());
  CHECK_FALSE(update.registrations[2].endpoint);
  CHECK(update.registrations[2].problem.empty());
  CHECK_FALSE(update.registrations[3].problem.empty());
  AddItem(MakeStoreItem("op/config", "{"), update);
  CHECK_FALSE(update.config_problem.empty());
  CHECK(update.config->version == 12);
}

}  // namespace
}  // namespace comfrey::platform
