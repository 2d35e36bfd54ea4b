#include <httplib.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "catch2/catch.hpp"
#include "daemon/raw_socket.h"
#include "published_documents.h"
#include "system/process.h"
#include "system/registry_fleet.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// Guards against missing or forged headers, against a published route that is
// not in force, against new requests to an endpoint that is draining, and
// against a daemon that loses its configuration when the registry fails.
TEST_CASE("a fleet with a registry serves what is published") {
  RegistryFleet fleet;
  REQUIRE(WaitFor(RegistryFleet::AreReady));

  const httplib::Result served = RegistryFleet::Send(1, "/a/b?c=d");
  REQUIRE(served);
  CHECK(served->status == 200);
  CHECK_THAT(served->body, Catch::Contains("/a/b?c=d booking left body"));
  CHECK(served->get_header_value("X-Mark") == served->body.substr(0, 3));
  CHECK(RegistryFleet::Send(1, "/b/x")->status == 404);
  CHECK(RegistryFleet::Send(1, "/a/x", "other.example")->status == 404);

  fleet.registry.Put(platform::kConfigKey, MakeConfiguration(5, "/b/"));
  CHECK(WaitFor([] { return RegistryFleet::Send(2, "/b/x")->status == 200; }));
  CHECK(RegistryFleet::Send(2, "/a/x")->status == 404);

  fleet.registry.Put(MakeRegistrationKey("i-1"), RegistrationOf(1, true));
  std::this_thread::sleep_for(milliseconds(2500));
  const int runs = fleet.backend_one.runs;
  for (int i = 0; i < 10; ++i) {
    CHECK(RegistryFleet::Send(1, "/b/x")->status == 200);
  }
  CHECK(fleet.backend_one.runs == runs);

  fleet.registry.SetUnavailable(true);
  std::this_thread::sleep_for(milliseconds(1500));
  CHECK(RegistryFleet::Send(1, "/b/x")->status == 200);
  fleet.registry.SetUnavailable(false);
}

// Guards against orders that are always refused because their header
// Idempotency-Key counts as a key, which no owner can confirm with a registry,
// and against a header that the backend server does not get.
TEST_CASE("with a registry Idempotency-Key is a header like any other") {
  RegistryFleet fleet;
  REQUIRE(WaitFor(RegistryFleet::AreReady));
  httplib::Client client(AddressOf(1), kCallerPort);
  // The route is not idempotent.
  const httplib::Result result =
      client.Post("/a/b",
                  {{"Host", "shop.example"},
                   {"X-Attempt", "8"},
                   {"X-Left", "4000"},
                   {"Idempotency-Key", "order-4711"}},
                  "body", "text/plain");
  REQUIRE(result);
  CHECK(result->status == 200);
  CHECK(result->get_header_value("X-Key") == "order-4711");
}

// Guards against a daemon that waits for the response to a watch that the
// registry never sends, and meanwhile serves by a configuration that was
// replaced.
TEST_CASE("a watch that is never answered does not hide a configuration") {
  constexpr std::chrono::seconds kMaxAge{4};
  constexpr std::chrono::milliseconds kApplyTime{2500};
  RegistryFleet fleet;
  REQUIRE(WaitFor(RegistryFleet::AreReady));
  // The watches that follow this change arrive while the registry is silent.
  fleet.registry.Put(platform::kConfigKey, MakeConfiguration(4, "/a/"));
  std::this_thread::sleep_for(milliseconds(200));
  fleet.registry.SetSilent(true);
  std::this_thread::sleep_for(milliseconds(1200));
  fleet.registry.SetSilent(false);
  std::this_thread::sleep_for(kMaxAge - kApplyTime);
  fleet.registry.Put(platform::kConfigKey, MakeConfiguration(5, "/b/"));
  std::this_thread::sleep_for(kApplyTime);
  for (const int vm : {1, 2}) {
    CHECK(RegistryFleet::Send(vm, "/b/x")->status == 200);
    CHECK(RegistryFleet::Send(vm, "/a/x")->status == 404);
  }
}

// Guards against a planned stop that ends the process at once because a thread
// does not block the signal, that still reports the daemon as ready, or that
// takes longer than the configured grace. Also guards against a reload that
// loses requests.
TEST_CASE(
    "a daemon with a registry reloads and stops without losing requests") {
  RegistryFleet fleet;
  REQUIRE(WaitFor(RegistryFleet::AreReady));
  fleet.WriteSettings(1, "survey");
  fleet.first_daemon->SendSignal(SIGHUP);
  CHECK(WaitFor([] {
    return RegistryFleet::Send(1, "/a/x")->body.find(" survey ") !=
           std::string::npos;
  }));

  fleet.backend_one.delay_ms = 1500;
  fleet.backend_two.delay_ms = 1500;
  auto in_flight = std::async(std::launch::async,
                              [] { return RegistryFleet::Send(1, "/a/slow"); });
  std::this_thread::sleep_for(milliseconds(300));
  const Clock::time_point begin = Clock::now();
  fleet.first_daemon->SendSignal(SIGTERM);
  CHECK(WaitFor([] { return !RegistryFleet::IsReady(1); }));
  CHECK(Clock::now() - begin < std::chrono::seconds(1));
  const httplib::Result result = in_flight.get();
  REQUIRE(result);
  CHECK(result->status == 200);
  CHECK(fleet.first_daemon->WaitForExit(std::chrono::seconds(10)) == 0);
  CHECK(Clock::now() - begin < std::chrono::seconds(6));
}

// Guards against a process that is killed at the end of its grace period.
TEST_CASE("a stop with slow backend servers ends within its grace period") {
  RegistryFleet fleet("2s");
  REQUIRE(WaitFor(RegistryFleet::AreReady));
  fleet.backend_one.delay_ms = 3800;
  fleet.backend_two.delay_ms = 3800;
  std::vector<std::future<httplib::Result>> in_flight;
  for (int vm : {1, 2, 1, 2}) {
    in_flight.push_back(std::async(std::launch::async, [vm] {
      return RegistryFleet::Send(vm, "/a/slow");
    }));
  }
  REQUIRE(WaitFor(
      [&] { return fleet.backend_one.runs + fleet.backend_two.runs == 4; }));
  REQUIRE(fleet.backend_one.runs > 0);
  const Clock::time_point begin = Clock::now();
  fleet.first_daemon->SendSignal(SIGTERM);
  CHECK(fleet.first_daemon->WaitForExit(std::chrono::seconds(10)) == 0);
  const auto took =
      std::chrono::duration_cast<milliseconds>(Clock::now() - begin);
  CHECK(took.count() < 2000);
  for (std::future<httplib::Result>& result : in_flight) {
    CHECK(result.get());
  }
}

// Guards against a healthy backend server that gets nothing while its daemon
// still takes requests of callers during a planned stop.
TEST_CASE("a stopping daemon goes on using its backend server") {
  RegistryFleet fleet;
  REQUIRE(WaitFor(RegistryFleet::AreReady));
  std::atomic<bool> done{false};
  std::atomic<int> failed{0};
  std::thread callers([&] {
    while (!done) {
      const httplib::Result result = RegistryFleet::Send(2, "/a/x");
      failed += result && result->status == 200 ? 0 : 1;
    }
  });
  fleet.first_daemon->SendSignal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(1000));
  const int runs = fleet.backend_one.runs;
  std::this_thread::sleep_for(milliseconds(1000));
  CHECK(fleet.backend_one.runs > runs);
  CHECK(fleet.first_daemon->WaitForExit(std::chrono::seconds(10)) == 0);
  done = true;
  callers.join();
  CHECK(failed == 0);
}

// Guards against requests that are broken off before the last sixth of grace.
TEST_CASE("a stop with a short grace period completes what ends within it") {
  RegistryFleet fleet("1200ms");
  REQUIRE(WaitFor(RegistryFleet::AreReady));
  fleet.backend_one.delay_ms = 850;
  fleet.backend_two.delay_ms = 850;
  auto in_flight = std::async(std::launch::async,
                              [] { return RegistryFleet::Send(1, "/a/slow"); });
  REQUIRE(WaitFor(
      [&] { return fleet.backend_one.runs + fleet.backend_two.runs == 1; }));
  fleet.first_daemon->SendSignal(SIGTERM);
  const httplib::Result result = in_flight.get();
  REQUIRE(result);
  CHECK(result->status == 200);
}

// Guards against a large body that is changed, cut or refused between the
// daemons, and against one that uses up the tries of its request.
TEST_CASE("a large body passes two daemons unchanged") {
  RegistryFleet fleet;
  REQUIRE(WaitFor(RegistryFleet::AreReady));
  fleet.registry.Put(MakeRegistrationKey("i-1"), RegistrationOf(1, true));
  // The daemon on the first VM has learned of the drain once several requests
  // in a row go to the second one.
  REQUIRE(WaitFor([&] {
    constexpr int kRequests = 10;
    const int runs = fleet.backend_two.runs;
    for (int i = 0; i < kRequests; ++i) {
      RegistryFleet::Send(1, "/a/x");
    }
    return fleet.backend_two.runs == runs + kRequests;
  }));
  std::string body;
  for (int i = 0; body.size() < 900'000; ++i) {
    absl::StrAppend(&body, i, ",");
  }
  httplib::Client client(AddressOf(1), kCallerPort);
  client.set_read_timeout(kTestTimeout);
  const httplib::Headers headers = {
      {"Host", "shop.example"}, {"X-Attempt", "7"}, {"X-Left", "8000"}};
  const auto send_chunks = [&body](std::size_t offset,
                                   httplib::DataSink& sink) {
    constexpr std::size_t kChunk = 50'000;
    sink.write(body.data() + offset, std::min(kChunk, body.size() - offset));
    if (offset + kChunk >= body.size()) {
      sink.done();
    }
    return true;
  };
  for (int i = 0; i < 3; ++i) {
    const int runs = fleet.backend_two.runs;
    const httplib::Result by_length =
        client.Post("/a/u", headers, body, "image/jpeg");
    REQUIRE(by_length);
    CHECK(by_length->status == 200);
    CHECK(absl::EndsWith(by_length->body, " left " + body));
    const httplib::Result by_chunks =
        client.Post("/a/u", headers, send_chunks, "image/jpeg");
    REQUIRE(by_chunks);
    CHECK(by_chunks->status == 200);
    CHECK(absl::EndsWith(by_chunks->body, " left " + body));
    CHECK(fleet.backend_two.runs == runs + 2);
  }
}

}  // namespace
}  // namespace comfrey
