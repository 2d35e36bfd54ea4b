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
// region.
ConfigStore MakeStore() {
  ServiceConfig service;
  service.name = kService.service;
  for (int i = 0; i < kEndpoints; ++i) {
    EndpointConfig endpoint;
    endpoint.address = AddressOf(i);
    endpoint.ip = IpOf(i);
    endpoint.port = kPort;
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
