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
  CHECK(config->limits->header_bytes == 16384);
  CHECK(config->limits->body_bytes == 1000000);
  CHECK(config->limits->header_timeout == milliseconds(3000));
  CHECK(config->limits->idle_timeout == milliseconds(15000));
}

// Guards against a version that takes effect although it is not known which
// version it is or whether it is complete.
TEST_CASE("a configuration without a version or entries is rejected") {
  const std::vector<Replacement> cases = {
      {"\"r12\"", "\"12\""},
      {"\"r12\"", "12"},
      {"\"r12\"", "\"r\""},
      {"\"r12\"", "\"r99999999999999999999\""},
      {"\"resources\":[", "\"entries\":["},
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

// Guards against an outage of all routes because of an error in one of them,
// and against a route that is taken for one that was not published.
TEST_CASE("an unreadable route costs only its own requests") {
  const std::vector<Replacement> cases = {
      {"\"4000ms\"", "4000"},
      {"\"4000ms\"", "\"0ms\""},
      {"\"1.2s\"", "\"soon\""},
      {"\"max_attempts\":2", "\"max_attempts\":0"},
      {"\"max_attempts\":2", "\"max_attempts\":4294967297"},
      {"\"priority\":1", "\"priority\":-1"},
      {"\"priority\":1", "\"priority\":18446744073709551615"},
      {"\"priority\":1", "\"priority\":\"1\""},
      {"\"service\":\"huvo\",\"max", "\"service\":\"none\",\"max"},
      {"\"service\":\"huvo\",\"max", "\"max"},
  };
  for (const Replacement& c : cases) {
    INFO(c.old_text << " -> " << c.new_text);
    const std::string text =
        absl::StrReplaceAll(kConfigJson, {{c.old_text, c.new_text}});
    REQUIRE(text != kConfigJson);
    const auto config = DecodeConfig(text);
    REQUIRE(config.ok());
    REQUIRE(config->routes.size() == 2);
    CHECK(config->routes[0].prefix == "/a/");
    CHECK_FALSE(config->routes[0].problem.empty());
    CHECK(config->routes[1].problem.empty());
    REQUIRE(config->problems.size() == 1);
    CHECK(config->problems[0].entry == "route r-1");
    CHECK_FALSE(config->lacks_routes);
  }
  for (const Replacement& c :
       std::vector<Replacement>{{"\"weight\":90", "\"weight\":-1"},
                                {"\"weight\":90", "\"weight\":1e300"},
                                {"90},{\"service\":\"wuno\",\"weight\":10",
                                 "0},{\"service\":\"wuno\",\"weight\":0"}}) {
    const auto config = DecodeConfig(
        absl::StrReplaceAll(kConfigJson, {{c.old_text, c.new_text}}));
    REQUIRE(config.ok());
    CHECK(config->routes[0].problem.empty());
    CHECK_FALSE(config->routes[1].problem.empty());
  }
  const auto same_place = DecodeConfig(
      absl::StrReplaceAll(kConfigJson, {{"/b/", "/a/"}, {"shop.", "Shop."}}));
  REQUIRE(same_place.ok());
  CHECK_FALSE(same_place->routes[0].problem.empty());
  CHECK_FALSE(same_place->routes[1].problem.empty());
}

// Guards against a 404 for requests of a route whose place cannot be read.
TEST_CASE("a configuration records that it lacks a route") {
  for (const Replacement& c : std::vector<Replacement>{
           {"\"/a/\"", "\"/a\""},
           {"\"/a/\"", "\"a/\""},
           {"\"/a/\"", "[]"},
           {"\"Shop.example\"", "7"},
           {"\"Shop.example\"", "\"\""},
           {"\"spec\":{\"host\":\"Shop", "\"specs\":{\"host\":\"Shop"},
           {"\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"r-1\"}",
            "\"entry_kind\":1"}}) {
    INFO(c.old_text << " -> " << c.new_text);
    const std::string text =
        absl::StrReplaceAll(kConfigJson, {{c.old_text, c.new_text}});
    REQUIRE(text != kConfigJson);
    const auto config = DecodeConfig(text);
    REQUIRE(config.ok());
    CHECK(config->lacks_routes);
    REQUIRE(config->routes.size() == 1);
    CHECK(config->routes[0].name == "r-2");
    CHECK(config->problems.size() == 1);
  }
}

// Guards against a repeated run of a request whose kind this release does not
// know, and against an outage because of an unknown kind or field.
TEST_CASE("unknown words do not make a configuration unusable") {
  const auto upload = DecodeConfig(
      absl::StrReplaceAll(kConfigJson, {{"\"safe\"", "\"upload\""}}));
  REQUIRE(upload.ok());
  CHECK_FALSE(upload->routes[1].idempotent);
  CHECK(upload->problems.empty());
  for (const std::string kind : {"\"stream\"", "7", "null", "{}"}) {
    INFO(kind);
    const auto unknown =
        DecodeConfig(absl::StrReplaceAll(kConfigJson, {{"\"safe\"", kind}}));
    REQUIRE(unknown.ok());
    CHECK_FALSE(unknown->routes[1].idempotent);
    CHECK(unknown->routes[1].problem.empty());
    CHECK(unknown->problems.size() == 1);
  }
  const auto extended = DecodeConfig(absl::StrReplaceAll(
      kConfigJson, {{"\"resources\":[",
                     "\"mood\":{\"a\":[1]},\"resources\":[{\"entry_kind\":"
                     "\"moods\",\"metadata\":{\"name\":\"m\"},\"spec\":{}},"},
                    {"\"kind\":\"safe\"", "\"kind\":\"safe\",\"mood\":[]"}}));
  REQUIRE(extended.ok());
  CHECK(extended->routes[1].idempotent);
  CHECK(extended->problems.empty());
}

// Guards against limits of 0 bytes or 0 s that are read from a damaged entry.
TEST_CASE("unreadable limits are absent and reported") {
  for (const Replacement& c :
       std::vector<Replacement>{{"\"3000ms\"", "\"3000\""},
                                {"16384", "\"16384\""},
                                {"16384", "99999999999999999999999"}}) {
    INFO(c.old_text << " -> " << c.new_text);
    const auto config = DecodeConfig(
        absl::StrReplaceAll(kConfigJson, {{c.old_text, c.new_text}}));
    REQUIRE(config.ok());
    CHECK_FALSE(config->limits);
    CHECK(config->problems.size() == 1);
    CHECK(config->routes.size() == 2);
  }
}

// Guards against an entry of another writer that ends the process or is taken
// for an endpoint.
TEST_CASE("an odd entry of another writer names no endpoint") {
  constexpr int kDepth = 300'000;
  const std::string deep = std::string(kDepth, '[') + std::string(kDepth, ']');
  std::string deep_objects;
  for (int i = 0; i < kDepth / 3; ++i) {
    deep_objects += "{\"a\":";
  }
  std::vector<std::string> entries = {
      deep,
      std::string(kDepth, '['),
      deep_objects,
      deep_objects + "1" + std::string(kDepth / 3, '}'),
      std::string(1 << 20, ' '),
      std::string(1 << 20, '7')};
  for (const Replacement& c : std::vector<Replacement>{
           {"\"slots\":4", "\"slots\":4294967300"},
           {"\"slots\":4", "\"slots\":2147483647"},
           {"\"slots\":4", "\"slots\":1e400"},
           {"\"slots\":4", "\"slots\":99999999999999999999999999"},
           {"\"sequence\":7", "\"sequence\":18446744073709551615"},
           {"\"1.5s\"", "\"99999999999999999999s\""},
           {"1700000000123", "9223372036854775807"},
           {"1700000000123", "-1"},
           {":8080", ":0"},
           {":8080", ":65536"},
           {":8080", ":99999999999999999999"},
           {":8080", ":-1"},
           {"10.1.0.9", "0.0.0.0"},
           {"10.1.0.9", "10.1.0.999"},
           {"\"huvo\"", "\"\xff\xfe\""},
           {"\"huvo\"", deep},
       }) {
    const std::string entry =
        absl::StrReplaceAll(kRegistrationJson, {{c.old_text, c.new_text}});
    REQUIRE(entry != kRegistrationJson);
    entries.push_back(entry);
  }
  for (const std::string& entry : entries) {
    INFO(entry.substr(0, 200));
    CHECK_FALSE(DecodeRegistration(entry).ok());
  }
  const auto unknown_field = DecodeRegistration(absl::StrReplaceAll(
      kRegistrationJson, {{"\"slots\"", "\"extra\":" + deep + ",\"slots\""}}));
  CHECK(unknown_field.ok());
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
  CHECK(update.registrations[0].revision == RegistryRevision{0, 40});
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

// Guards against a new configuration that is hidden by an older one in the same
// response of the registry.
TEST_CASE("the newest configuration of an update is used") {
  const std::string newer =
      absl::StrReplaceAll(kConfigJson, {{"\"r12\"", "\"r13\""}});
  for (const bool newer_first : {true, false}) {
    INFO(newer_first);
    RegistryUpdate update;
    AddItem(MakeStoreItem("op/config", "{"), update);
    AddItem(MakeStoreItem("op/config", newer_first ? newer : kConfigJson),
            update);
    AddItem(MakeStoreItem("op/config", newer_first ? kConfigJson : newer),
            update);
    REQUIRE(update.config);
    CHECK(update.config->version == 13);
    CHECK(update.config_problem.empty());
  }
}

}  // namespace
}  // namespace comfrey::platform
