#include "daemon/endpoint_directory.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace comfrey {
namespace {

const ServiceId kService{"team", "booking"};
constexpr int kPort = 8080;
constexpr int kEndpoints = 20;

std::string IpOf(int index) {
  return "10.0.0." + std::to_string(index + 1);
}

std::string AddressOf(int index) {
  return IpOf(index) + ":" + std::to_string(kPort);
}

// Makes a configuration with one service, whose last endpoint is in another
// region. The first endpoint may drain.
ConfigStore MakeStore(bool first_drains = false,
                      std::chrono::system_clock::time_point started_at = {}) {
  ServiceConfig service;
  service.name = kService.service;
  for (int i = 0; i < kEndpoints; ++i) {
    EndpointConfig endpoint;
    endpoint.address = AddressOf(i);
    endpoint.ip = IpOf(i);
    endpoint.port = kPort;
    endpoint.draining = first_drains && i == 0;
    endpoint.started_at = started_at;
    const bool last = i + 1 == kEndpoints;
    endpoint.region = last ? "debrecen" : "budapest";
    endpoint.failure_domain = last ? "deb-a" : "bud-a";
    service.endpoints.push_back(endpoint);
  }
  TeamConfig team;
  team.team = kService.team;
  team.services = {service};
  ConfigStore store;
  ReplaceTeam(store, {1, 1}, team);
  return store;
}

// Guards against sending summaries over billed links between regions. The
// service has more endpoints than the 16 that a forwarded request names at
// most.
TEST_CASE("a request forwarded to another region names no siblings") {
  EndpointDirectory directory("vm-1", {"budapest", "bud-a"});
  directory.ApplyConfig(MakeStore());
  for (int i = 0; i < kEndpoints; ++i) {
    rpc::Result result;
    result.mutable_status()->set_endpoint(AddressOf(i));
    result.mutable_summary()->set_median_latency_us(1000);
    directory.RecordReply(kService, "rank", result,
                          std::chrono::steady_clock::now());
  }
  rpc::ForwardRequest local_request;
  local_request.set_endpoint(AddressOf(0));
  directory.AddSiblingSummaries(kService, local_request);
  CHECK(local_request.siblings_size() == 16);
  rpc::ForwardRequest remote_request;
  remote_request.set_endpoint(AddressOf(kEndpoints - 1));
  directory.AddSiblingSummaries(kService, remote_request);
  CHECK(remote_request.siblings_size() == 0);
}

enum class Report { kEjected, kDraining };

// Makes the reply of an owner whose endpoint must not be used.
rpc::Result MakeReply(Report report) {
  rpc::Result result;
  rpc::EndpointStatus& status = *result.mutable_status();
  status.set_endpoint(AddressOf(0));
  status.set_limit(1);
  status.set_slot_share(100);
  status.set_draining(report == Report::kDraining);
  status.set_verdict(static_cast<std::uint32_t>(report == Report::kEjected
                                                    ? EndpointState::kEjected
                                                    : EndpointState::kHealthy));
  status.set_ejected_for_us(
      report == Report::kEjected
          ? std::chrono::microseconds(std::chrono::seconds(5)).count()
          : 0);
  return result;
}

// Returns how often the endpoint is chosen for the first try of a request.
int CountChoices(EndpointDirectory& directory, const std::string& address) {
  constexpr int kRequests = 2000;
  RankConfig rank;
  rank.name = "rank";
  int count = 0;
  for (int i = 0; i < kRequests; ++i) {
    const auto chosen = directory.Choose(kService, rank, {});
    REQUIRE(chosen);
    directory.Finish(kService, chosen->address);
    count += chosen->address == address ? 1 : 0;
  }
  return count;
}

// Guards against a silent path whose requests all end before its accept
// timeout, so that none of them shows that it failed.
TEST_CASE("a path whose requests end by themselves is tried") {
  EndpointDirectory directory("vm-1", {"budapest", "bud-a"});
  directory.ApplyConfig(MakeStore());
  directory.RequestPathCheck(IpOf(0));
  CHECK(CountChoices(directory, AddressOf(0)) > 0);
  CHECK(directory.BeginDueTrials() == std::vector<std::string>{IpOf(0)});
  CHECK(directory.BeginDueTrials().empty());
  const auto now = std::chrono::steady_clock::now();
  directory.RecordFailure(IpOf(0), PathFailure::kTransport, now, now);
  CHECK(CountChoices(directory, AddressOf(0)) == 0);
}

// Guards against an endpoint that gets no requests for good, because the status
// that took it out of use is only replaced by replies to requests.
TEST_CASE("an endpoint is used again after its reported status has expired") {
  for (const Report report : {Report::kEjected, Report::kDraining}) {
    INFO(static_cast<int>(report));
    EndpointDirectory directory("vm-1", {"budapest", "bud-a"});
    directory.ApplyConfig(MakeStore());
    const auto now = std::chrono::steady_clock::now();
    directory.RecordReply(kService, "rank", MakeReply(report), now);
    CHECK(CountChoices(directory, AddressOf(0)) == 0);
    directory.RecordReply(kService, "rank", MakeReply(report),
                          now - std::chrono::seconds(6));
    CHECK(CountChoices(directory, AddressOf(0)) > 0);
  }
}

// Guards against an endpoint that stays out of use after the configuration says
// that it no longer drains.
TEST_CASE("an endpoint that no longer drains is used again") {
  EndpointDirectory directory("vm-1", {"budapest", "bud-a"});
  directory.ApplyConfig(MakeStore(true));
  CHECK(CountChoices(directory, AddressOf(0)) == 0);
  directory.ApplyConfig(MakeStore(false));
  CHECK(CountChoices(directory, AddressOf(0)) > 0);
}

// Guards against using an endpoint that membership reports as out of use: its
// owner publishes every change, so the record holds until the next one.
TEST_CASE("a published record outlives the status of a reply") {
  for (const Report report : {Report::kEjected, Report::kDraining}) {
    for (const std::chrono::seconds age :
         {std::chrono::seconds(2), std::chrono::seconds(40)}) {
      INFO(static_cast<int>(report) << ", age " << age.count());
      EndpointDirectory directory("vm-1", {"budapest", "bud-a"});
      directory.ApplyConfig(MakeStore());
      OwnerView owner;
      owner.ip = IpOf(0);
      owner.location = {"budapest", "bud-a"};
      owner.endpoints = {MakeReply(report).status()};
      directory.ApplyOwner(owner);
      directory.RecordReply(kService, "rank", MakeReply(report),
                            std::chrono::steady_clock::now() - age);
      CHECK(CountChoices(directory, AddressOf(0)) == 0);
    }
  }
}

// Guards against a backend server that inherits the state of an earlier one
// with the same identity.
TEST_CASE("a backend server that started again is used at once") {
  EndpointDirectory directory("vm-1", {"budapest", "bud-a"});
  directory.ApplyConfig(MakeStore());
  directory.RecordReply(kService, "rank", MakeReply(Report::kEjected),
                        std::chrono::steady_clock::now());
  CHECK(CountChoices(directory, AddressOf(0)) == 0);
  const auto started_at =
      std::chrono::system_clock::time_point(std::chrono::seconds(1));
  directory.ApplyConfig(MakeStore(false, started_at));
  CHECK(CountChoices(directory, AddressOf(0)) > 0);
}

// Guards against offers for a free slot at endpoints whose owners have just
// reported a wait.
TEST_CASE("a request is queued if every endpoint has just reported a wait") {
  EndpointDirectory directory("vm-1", {"budapest", "bud-a"});
  directory.ApplyConfig(MakeStore());
  RankConfig rank;
  rank.name = "rank";
  rank.target = std::chrono::seconds(10);
  const auto now = std::chrono::steady_clock::now();
  for (int i = 0; i < kEndpoints; ++i) {
    rpc::Result result;
    result.set_reason(rpc::REFUSAL_BUSY);
    result.mutable_status()->set_endpoint(AddressOf(i));
    result.mutable_status()->set_expected_wait_us(400'000 + i);
    directory.RecordReply(kService, rank.name, result, now);
  }
  const auto queued = directory.Choose(kService, rank, {});
  REQUIRE(queued);
  CHECK(queued->mode == PlacementMode::kQueue);
  CHECK(queued->address == AddressOf(0));
  // A report of a full queue applies to the queue only.
  rpc::Result full;
  full.set_reason(rpc::REFUSAL_QUEUE_FULL);
  full.mutable_status()->set_endpoint(AddressOf(0));
  full.mutable_status()->set_expected_wait_us(300'000);
  full.mutable_status()->set_full_for_us(100'000);
  directory.RecordReply(kService, rank.name, full, now);
  const auto other = directory.Choose(kService, rank, {});
  REQUIRE(other);
  CHECK(other->address == AddressOf(1));
}

}  // namespace
}  // namespace comfrey
