#include "registry/registry_view.h"

#include <string>

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using TimePoint = std::chrono::steady_clock::time_point;

constexpr TimePoint kNow{seconds(1000)};

RegisteredEndpoint MakeEndpoint(const std::string& ip) {
  RegisteredEndpoint endpoint;
  endpoint.service = "booking";
  endpoint.address = {ip, 8080};
  endpoint.failure_domain = "budapest-a";
  endpoint.slots = 3;
  return endpoint;
}

RegistrationChange MakeRegistration(const std::string& instance,
                                    const std::string& ip,
                                    std::uint64_t revision) {
  RegistrationChange change;
  change.instance = instance;
  change.endpoint = MakeEndpoint(ip);
  change.revision = {0, revision};
  change.created_revision = revision;
  return change;
}

RegistrationChange MakeRemoval(const std::string& instance,
                               std::uint64_t revision) {
  RegistrationChange change;
  change.instance = instance;
  change.revision = {0, revision};
  return change;
}

PublishedConfig MakeConfig(std::uint64_t version) {
  PublishedConfig config;
  config.version = version;
  config.services = {{"booking", "/health"}, {"survey", "/health"}};
  PublishedRoute route;
  route.name = "visits";
  route.host = "shop.example";
  route.prefix = "/visits/";
  route.timeout = seconds(4);
  route.target = milliseconds(600);
  route.priority = 1;
  route.services = {{"booking", 90}, {"survey", 10}};
  route.max_attempts = 2;
  config.routes = {route};
  return config;
}

RegistryUpdate MakeListing(std::vector<RegistrationChange> registrations) {
  RegistryUpdate update;
  update.complete = true;
  update.revision = {0, 10};
  update.config = MakeConfig(4);
  update.registrations = std::move(registrations);
  return update;
}

RegistryUpdate MakeChange(RegistrationChange change) {
  RegistryUpdate update;
  update.revision = change.revision;
  update.registrations = {std::move(change)};
  return update;
}

const RegistryServiceSettings kSettings{{{"budapest-a", "budapest"}}, 0.7};

// Guards against a sound backend server that is hidden by an odd entry with its
// address and a later start.
TEST_CASE("a registration of an unpublished service hides no endpoint") {
  RegistrationChange sound = MakeRegistration("i-1", "10.1.0.1", 3);
  RegistrationChange odd = MakeRegistration("i-2", "10.1.0.1", 4);
  odd.endpoint->service = "no-such-service";
  odd.endpoint->started_at = sound.endpoint->started_at + seconds(60);
  RegistryView view;
  ApplyRegistryUpdate(view, MakeListing({sound, odd}), kNow);
  const auto team = BuildRegistryTeam(view, kSettings);
  REQUIRE(team);
  REQUIRE(team->services[0].endpoints.size() == 1);
  CHECK(team->services[0].endpoints[0].instance == "i-1");
}

// Guards against routes, ranks or endpoints that are lost in the conversion.
TEST_CASE("the published configuration becomes a team") {
  RegistryView view;
  CHECK_FALSE(BuildRegistryTeam(view, kSettings));
  REQUIRE(ApplyRegistryUpdate(
      view, MakeListing({MakeRegistration("i-1", "10.1.0.1", 3)}), kNow));
  const auto team = BuildRegistryTeam(view, kSettings);
  REQUIRE(team);
  REQUIRE(team->caller_limits);
  CHECK_FALSE(team->caller_limits->idempotency_keys);
  CHECK(team->generation == 4);
  REQUIRE(team->services.size() == 2);
  REQUIRE(team->services[0].endpoints.size() == 1);
  const EndpointConfig& endpoint = team->services[0].endpoints[0];
  CHECK(endpoint.address == "10.1.0.1:8080");
  CHECK(endpoint.instance == "i-1");
  CHECK(endpoint.region == "budapest");
  CHECK(endpoint.slots == 3);
  CHECK(team->services[1].endpoints.empty());
  REQUIRE(team->routes.size() == 1);
  CHECK(team->routes[0].host == "shop.example");
  CHECK(team->routes[0].split.size() == 2);
  CHECK(team->routes[0].max_attempts == 2);
  CHECK_FALSE(team->routes[0].repeat_safe);
  REQUIRE(team->ranks.size() == 1);
  CHECK(team->ranks[0].name == team->routes[0].rank);
  CHECK(team->ranks[0].urgency == 2);
}

// Guards against a configuration that reverts to an older version.
TEST_CASE("an older configuration is ignored") {
  RegistryView view;
  ApplyRegistryUpdate(view, MakeListing({}), kNow);
  RegistryUpdate older;
  older.config = MakeConfig(3);
  CHECK_FALSE(ApplyRegistryUpdate(view, older, kNow));
  CHECK(view.config->version == 4);
  RegistryUpdate newer;
  newer.config = MakeConfig(6);
  CHECK(ApplyRegistryUpdate(view, newer, kNow));
  CHECK(view.config->version == 6);
}

// Guards against limits of the defaults in place of the published ones.
TEST_CASE("unreadable limits keep the limits in force") {
  RegistryView view;
  RegistryUpdate first = MakeListing({});
  first.config->limits->body_bytes = 777;
  ApplyRegistryUpdate(view, first, kNow);
  RegistryUpdate second;
  second.config = MakeConfig(6);
  second.config->limits = std::nullopt;
  REQUIRE(ApplyRegistryUpdate(view, second, kNow));
  CHECK(BuildRegistryTeam(view, kSettings)->caller_limits->body_bytes == 777);
}

// Guards against an unusable version or entry that is not reported, and against
// a report that stays after a valid version.
TEST_CASE("problems of the published configuration are reported") {
  RegistryView view;
  ApplyRegistryUpdate(view, MakeListing({}), kNow);
  CHECK(BuildRegistryTeam(view, kSettings)->entry_errors.empty());
  RegistryUpdate damaged;
  damaged.config_problem = "the value is not a JSON object";
  CHECK(ApplyRegistryUpdate(view, damaged, kNow));
  CHECK_FALSE(ApplyRegistryUpdate(view, damaged, kNow));
  CHECK(view.config->version == 4);
  CHECK(BuildRegistryTeam(view, kSettings)->entry_errors.size() == 1);
  RegistryUpdate partial;
  partial.config = MakeConfig(6);
  partial.config->routes[0].problem = "no timeout";
  partial.config->problems = {{"route visits", "no timeout", "refused"}};
  partial.config->lacks_routes = true;
  CHECK(ApplyRegistryUpdate(view, partial, kNow));
  const auto team = BuildRegistryTeam(view, kSettings);
  REQUIRE(team->entry_errors.size() == 1);
  CHECK(team->entry_errors[0].section == "route visits");
  CHECK(team->lacks_routes);
  REQUIRE(team->routes.size() == 1);
  CHECK(team->routes[0].unusable);
  CHECK(team->ranks.empty());
  RegistryUpdate valid;
  valid.config = MakeConfig(7);
  CHECK(ApplyRegistryUpdate(view, valid, kNow));
  CHECK(BuildRegistryTeam(view, kSettings)->entry_errors.empty());
}

// Guards against requests to a backend server that removed its registration.
TEST_CASE("a removed registration is dropped at once without an outage") {
  RegistryView view;
  ApplyRegistryUpdate(
      view, MakeListing({MakeRegistration("i-1", "10.1.0.1", 3)}), kNow);
  CHECK(ApplyRegistryUpdate(view, MakeChange(MakeRemoval("i-1", 12)),
                            kNow + seconds(60)));
  CHECK(view.registrations.empty());
}

// Guards against a delayed event that reverts a newer one.
TEST_CASE("an older change of a registration is ignored") {
  RegistryView view;
  ApplyRegistryUpdate(
      view, MakeListing({MakeRegistration("i-1", "10.1.0.1", 8)}), kNow);
  CHECK_FALSE(ApplyRegistryUpdate(view, MakeChange(MakeRemoval("i-1", 7)),
                                  kNow + seconds(60)));
  CHECK(view.registrations.size() == 1);
}

// Guards against a loss of capacity when the registry is available again after
// an outage. Registrations that expired in the outage are written again within
// 2 s.
TEST_CASE("registrations that expired in an outage are kept for 2 s") {
  RegistryView view;
  ApplyRegistryUpdate(view,
                      MakeListing({MakeRegistration("i-1", "10.1.0.1", 3),
                                   MakeRegistration("i-2", "10.1.0.2", 4)}),
                      kNow);
  RecordOutage(view);
  const TimePoint reconnected_at = kNow + seconds(30);
  CHECK_FALSE(ApplyRegistryUpdate(view, MakeListing({}), reconnected_at));
  CHECK(view.registrations.size() == 2);
  CHECK_FALSE(
      RemoveMissingRegistrations(view, reconnected_at + milliseconds(1999)));
  ApplyRegistryUpdate(view, MakeChange(MakeRegistration("i-2", "10.1.0.2", 20)),
                      reconnected_at + milliseconds(1999));
  CHECK(RemoveMissingRegistrations(view, reconnected_at + kReregistrationTime));
  REQUIRE(view.registrations.size() == 1);
  CHECK(view.registrations.count("i-2") == 1);
}

// Guards against endpoints that are removed while the registry cannot be read.
TEST_CASE("no registration is removed while the registry is unavailable") {
  RegistryView view;
  ApplyRegistryUpdate(
      view, MakeListing({MakeRegistration("i-1", "10.1.0.1", 3)}), kNow);
  RecordOutage(view);
  ApplyRegistryUpdate(view, MakeListing({}), kNow + seconds(10));
  RecordOutage(view);
  CHECK_FALSE(RemoveMissingRegistrations(view, kNow + seconds(60)));
  CHECK(view.registrations.size() == 1);
}

// Guards against an endpoint that names an earlier backend server of its
// address as its instance.
TEST_CASE("an address belongs to the backend server that started last") {
  RegistryView view;
  RegistrationChange first = MakeRegistration("i-1", "10.1.0.1", 30);
  first.endpoint->started_at += seconds(1);
  RegistrationChange second = MakeRegistration("i-2", "10.1.0.1", 20);
  second.endpoint->started_at += seconds(2);
  second.endpoint->service = "survey";
  ApplyRegistryUpdate(view, MakeListing({first, second}), kNow);
  const auto team = BuildRegistryTeam(view, kSettings);
  REQUIRE(team);
  CHECK(team->services[0].endpoints.empty());
  REQUIRE(team->services[1].endpoints.size() == 1);
  CHECK(team->services[1].endpoints[0].instance == "i-2");
}

RegistryUpdate MakeListingOf(const RegistryRevision& revision,
                             std::vector<RegistrationChange> registrations) {
  RegistryUpdate update = MakeListing(std::move(registrations));
  update.revision = revision;
  return update;
}

// Guards against a loss of backend servers that joined after the copy, which
// write their registrations again at lower revisions, and against a
// configuration that goes back with the copy.
TEST_CASE("what is newer than a restored copy stays in use") {
  RegistryView view;
  ApplyRegistryUpdate(
      view,
      MakeListingOf({1, 40}, {MakeRegistration("i-1", "10.1.0.1", 3),
                              MakeRegistration("i-2", "10.1.0.2", 39)}),
      kNow);
  RegistryUpdate copy =
      MakeListingOf({2, 20}, {MakeRegistration("i-1", "10.1.0.1", 3)});
  copy.config = MakeConfig(3);
  CHECK(IsRestored(view, copy));
  CHECK_FALSE(ApplyRegistryUpdate(view, copy, kNow + seconds(60)));
  CHECK(view.config->version == 4);
  CHECK(view.registrations.size() == 2);
  CHECK(view.ignored.size() == 2);
  ApplyRegistryUpdate(view, MakeChange(MakeRegistration("i-2", "10.1.0.2", 21)),
                      kNow + seconds(61));
  CHECK_FALSE(RemoveMissingRegistrations(view, kNow + seconds(70)));
  CHECK(view.registrations.size() == 2);
}

// Guards against a change of another era that is applied because its revision
// happens to fit, and against a late listing of an earlier era.
TEST_CASE("an update of another era is followed by a listing") {
  RegistryView view;
  ApplyRegistryUpdate(
      view, MakeListingOf({2, 40}, {MakeRegistration("i-1", "10.1.0.1", 3)}),
      kNow);
  RegistryUpdate later = MakeChange(MakeRemoval("i-1", 41));
  later.revision = {3, 41};
  CHECK(NeedsListing(view, later));
  CHECK_FALSE(ApplyRegistryUpdate(view, later, kNow));
  CHECK(view.registrations.size() == 1);
  const RegistryUpdate earlier = MakeListingOf({1, 90}, {});
  CHECK(NeedsListing(view, earlier));
  CHECK_FALSE(ApplyRegistryUpdate(view, earlier, kNow));
  CHECK(view.registrations.size() == 1);
  CHECK(view.revision == RegistryRevision{2, 40});
  RegistryUpdate unnamed = MakeChange(MakeRemoval("i-1", 41));
  CHECK_FALSE(NeedsListing(view, unnamed));
  CHECK(ApplyRegistryUpdate(view, unnamed, kNow));
  CHECK(view.revision == RegistryRevision{2, 41});
}

// Guards against changes that are dropped for good if a registry goes back
// without naming a later era.
TEST_CASE("a listing of a lower revision is used without an era") {
  RegistryView view;
  ApplyRegistryUpdate(
      view, MakeListingOf({0, 40}, {MakeRegistration("i-1", "10.1.0.1", 39)}),
      kNow);
  RegistrationChange draining = MakeRegistration("i-1", "10.1.0.1", 21);
  draining.endpoint->draining = true;
  ApplyRegistryUpdate(view, MakeListingOf({0, 21}, {draining}), kNow);
  CHECK(view.registrations.at("i-1").endpoint.draining);
}

// Guards against requests to an endpoint whose registration is not usable.
TEST_CASE("a registration that becomes unusable has no endpoint") {
  RegistryView view;
  ApplyRegistryUpdate(
      view, MakeListing({MakeRegistration("i-1", "10.1.0.1", 3)}), kNow);
  RegistrationChange unusable = MakeRemoval("i-1", 12);
  unusable.problem = "the value is not a JSON object";
  CHECK(ApplyRegistryUpdate(view, MakeChange(unusable), kNow + seconds(60)));
  CHECK(view.registrations.empty());
}

}  // namespace
}  // namespace comfrey
