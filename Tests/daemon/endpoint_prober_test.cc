#include "daemon/endpoint_prober.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "daemon/broken_responses.h"
#include "daemon/raw_socket.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

constexpr char kIp[] = "127.9.2.2";
constexpr std::chrono::seconds kTestTimeout{20};

ConfigStore MakeStore(int port) {
  EndpointConfig endpoint;
  endpoint.ip = kIp;
  endpoint.port = port;
  endpoint.address = std::string(kIp) + ":" + std::to_string(port);
  ServiceConfig service;
  service.name = "booking";
  service.endpoints = {endpoint};
  TeamConfig team;
  team.team = "team";
  team.services = {service};
  ConfigStore store;
  ReplaceTeam(store, {1, 1}, team);
  return store;
}

// A prober of one backend server that a handler implements.
struct ProberFixture {
  explicit ProberFixture(RawServer::Handler handler)
      : server(kIp, std::move(handler)),
        watchdog(this->timers),
        log(this->counters),
        owner({kIp, 1, Clock::now(), std::chrono::system_clock::now()},
              this->watchdog,
              this->counters,
              this->log,
              nullptr),
        prober(this->owner, this->counters) {
    this->owner.ApplyConfig(MakeStore(this->server.Port()));
  }

  bool Drains() {
    return this->owner.Endpoints().front()->drain.backend_server;
  }
  int FailedProbes() {
    return this->owner.Endpoints().front()->health.failed_probes;
  }

  RawServer server;
  TimerService timers;
  CallWatchdog watchdog;
  CounterRegistry counters;
  RequestLog log;
  OwnerService owner;
  EndpointProber prober;
};

TEST_CASE("a probe reads health and draining", "[endpoint_prober]") {
  std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  std::string request;
  ProberFixture fixture([&](RawSocket& socket, int) {
    bool closed = false;
    request = socket.Receive(HasHead, kTestTimeout, closed);
    socket.Send(reply);
  });
  fixture.prober.ProbeAll();
  CHECK(request.rfind("GET /health HTTP/1.1\r\n", 0) == 0);
  CHECK(fixture.FailedProbes() == 0);
  CHECK_FALSE(fixture.Drains());
  reply = "HTTP/1.1 503 S\r\nContent-Length: 8\r\n\r\ndraining";
  fixture.prober.ProbeAll();
  CHECK(fixture.FailedProbes() == 1);
  CHECK(fixture.Drains());
  reply = "HTTP/1.1 200 OK\r\n\r\nends with the connection";
  fixture.prober.ProbeAll();
  CHECK(fixture.FailedProbes() == 0);
  CHECK_FALSE(fixture.Drains());
  reply = "HTTP/1.1 200 OK\r\nDraining: true\r\nContent-Length: 0\r\n\r\n";
  fixture.prober.ProbeAll();
  CHECK(fixture.Drains());
}

// Guards against a backend server that counts as healthy, or as leaving, by a
// health response that is not HTTP or not whole.
TEST_CASE("a broken health response fails its probe", "[endpoint_prober]") {
  for (const bool draining : {false, true}) {
    for (const BrokenResponse& broken : MakeBrokenResponses(
             draining ? "Draining: true\r\n" : "", "draining")) {
      INFO(broken.name << ", draining " << draining);
      ProberFixture fixture(
          [&](RawSocket& socket, int) { SendBroken(socket, broken); });
      fixture.prober.ProbeAll();
      CHECK(fixture.FailedProbes() == 1);
      CHECK_FALSE(fixture.Drains());
      CHECK(fixture.counters.Counter("comfrey_owner_failed_probes_total")
                .Value() == 1);
    }
  }
}

// Guards against probes that never end and take memory without bound, since a
// backend server sends its health response without end or byte by byte.
TEST_CASE("a health response without end fails its probe",
          "[endpoint_prober]") {
  constexpr std::chrono::milliseconds kMaxProbeTime{1000};
  // The server gives up after this time, so that the test ends in any case.
  constexpr std::chrono::seconds kMaxServerTime{4};
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  for (const std::string& start : {std::string(), ok + "X: ", ok, ok + "\r\n",
                                   ok + "Transfer-Encoding: chunked\r\n\r\n",
                                   ok + "Content-Length: 8000000\r\n\r\n"}) {
    for (const bool slow : {false, true}) {
      INFO(start << ", slow " << slow);
      std::atomic<std::size_t> sent{0};
      ProberFixture fixture([&](RawSocket& socket, int) {
        bool closed = false;
        socket.Receive(HasHead, kTestTimeout, closed);
        socket.Send(start);
        std::string block = start == ok ? "X: 1\r\n" : "8\r\nxxxxxxxx\r\n";
        while (!slow && block.size() < (8 << 10)) {
          block += block;
        }
        const Clock::time_point begin = Clock::now();
        while (Clock::now() - begin < kMaxServerTime && socket.Send(block)) {
          sent += block.size();
          if (slow) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
          }
        }
      });
      const Clock::time_point begin = Clock::now();
      fixture.prober.ProbeAll();
      CHECK(Clock::now() - begin < kMaxProbeTime);
      CHECK(fixture.FailedProbes() == 1);
      // The socket buffers hold what the prober does not read.
      constexpr std::size_t kMaxSent = 16 << 20;
      CHECK(sent < kMaxSent);
    }
  }
}

}  // namespace
}  // namespace comfrey
