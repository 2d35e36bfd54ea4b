#include "daemon/owner_service.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "catch2/catch.hpp"
#include "daemon/raw_socket.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kIp[] = "127.9.2.7";
constexpr seconds kTestTimeout{20};
// Queued requests must be returned within this time after the owner learned
// that the endpoint leaves. It includes the poll period of a waiting call.
constexpr milliseconds kMaxReturnTime{500};

bool WaitUntil(const std::function<bool()>& condition) {
  const Clock::time_point end = Clock::now() + kTestTimeout;
  while (!condition() && Clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  return condition();
}

EndpointConfig MakeEndpoint(int port) {
  EndpointConfig endpoint;
  endpoint.ip = kIp;
  endpoint.port = static_cast<std::uint16_t>(port);
  endpoint.address = std::string(kIp) + ":" + std::to_string(port);
  return endpoint;
}

TeamConfig MakeTeam(std::vector<EndpointConfig> endpoints,
                    milliseconds target) {
  RankConfig rank;
  rank.name = "rank";
  rank.urgency = 1;
  rank.target = target;
  ServiceConfig service;
  service.name = "service";
  service.slots = 1;
  service.queue_limit = 4;
  service.endpoints = std::move(endpoints);
  TeamConfig team;
  team.team = "team";
  team.ranks = {rank};
  team.services = {service};
  return team;
}

rpc::ForwardRequest MakeForward(const EndpointConfig& endpoint,
                                bool repeatable) {
  rpc::ForwardRequest request;
  request.set_endpoint(endpoint.address);
  request.set_team("team");
  request.set_service("service");
  request.set_rank("rank");
  request.set_repeatable(repeatable);
  request.set_time_left_us(std::chrono::microseconds(kTestTimeout).count());
  request.set_method("POST");
  request.set_path("/a");
  return request;
}

// An owner with one endpoint, whose backend server holds all responses until
// Release is called.
struct OwnerFixture {
  explicit OwnerFixture(const BackendProtocol& protocol = {},
                        milliseconds target = seconds(10))
      : target(target),
        server(kIp, [this](RawSocket& socket, int) { this->ServeOne(socket); }),
        watchdog(this->timers),
        log(this->counters),
        owner(
            {kIp, 1, Clock::now(), std::chrono::system_clock::now()},
            this->watchdog,
            this->counters,
            this->log,
            [](const FenceKeyCall&) { return KeyFenceReply(); },
            protocol),
        endpoint(MakeEndpoint(this->server.Port())) {
    this->Apply({this->endpoint});
  }
  ~OwnerFixture() { this->Release(); }

  void ServeOne(RawSocket& socket) {
    bool closed = false;
    if (HasHead(socket.Receive(HasHead, kTestTimeout, closed))) {
      ++this->received;
      WaitUntil([this] { return this->released.load(); });
      socket.Send("HTTP/1.1 " + this->status + "\r\nContent-Length: 0\r\n\r\n");
    }
  }

  void Release() { this->released = true; }

  void Apply(std::vector<EndpointConfig> endpoints) {
    ConfigStore store;
    ReplaceTeam(store, {1, ++this->revision},
                MakeTeam(std::move(endpoints), this->target));
    this->owner.ApplyConfig(store);
  }

  rpc::ForwardRequest MakeRequest(bool repeatable) {
    rpc::ForwardRequest request = MakeForward(this->endpoint, repeatable);
    request.mutable_attempt()->set_ingress("ingress");
    request.mutable_attempt()->set_incarnation(1);
    request.mutable_attempt()->set_sequence(++this->sequence);
    *request.mutable_stamp() = this->owner.Stamp();
    request.set_owner_incarnation(request.stamp().incarnation());
    return request;
  }

  std::future<rpc::Result> Forward(const rpc::ForwardRequest& request) {
    return std::async(std::launch::async, [this, request] {
      return this->owner.Forward(
          request, {[this] { ++this->accepted; }, [] { return false; }});
    });
  }

  // Waits for a result while the owner does its periodic work.
  rpc::Result WaitForResult(std::future<rpc::Result>& result) {
    while (result.wait_for(milliseconds(10)) == std::future_status::timeout) {
      this->owner.Tick(Clock::now());
    }
    return result.get();
  }

  // Status line of all responses; set before the first request.
  std::string status = "200 OK";
  std::atomic<int> received{0};
  std::atomic<int> accepted{0};
  std::atomic<bool> released{false};
  milliseconds target;
  std::uint64_t revision = 0;
  std::uint64_t sequence = 0;
  RawServer server;
  TimerService timers;
  CallWatchdog watchdog;
  CounterRegistry counters;
  RequestLog log;
  OwnerService owner;
  EndpointConfig endpoint;
};

void MakeLeave(OwnerFixture& fixture, const std::string& reason) {
  EndpointConfig draining = fixture.endpoint;
  draining.draining = true;
  if (reason == "registry") {
    fixture.Apply({draining});
  } else if (reason == "removed") {
    fixture.Apply({});
  } else if (reason == "operator") {
    REQUIRE(fixture.owner.Drain("", DrainSource::kOperator, true).ok());
  } else {
    fixture.owner.DrainForShutdown();
  }
}

// Guards against queued requests that reach a backend server long after it
// began to leave, and against their refusal with the reason of a deadline.
TEST_CASE("queued requests are returned when their endpoint leaves",
          "[owner_service]") {
  const std::string reason =
      GENERATE("registry", "removed", "operator", "shutdown");
  const bool repeatable = GENERATE(true, false);
  INFO(reason << ", repeatable " << repeatable);
  OwnerFixture fixture;
  std::future<rpc::Result> running =
      fixture.Forward(fixture.MakeRequest(repeatable));
  REQUIRE(WaitUntil([&] { return fixture.received == 1; }));
  const rpc::ForwardRequest request = fixture.MakeRequest(repeatable);
  std::future<rpc::Result> queued = fixture.Forward(request);
  REQUIRE(WaitUntil([&] { return fixture.accepted == 2; }));

  const Clock::time_point learned_at = Clock::now();
  std::thread release([&] {
    std::this_thread::sleep_for(seconds(2));
    fixture.Release();
  });
  MakeLeave(fixture, reason);
  const rpc::Result returned = fixture.WaitForResult(queued);
  const Clock::duration took = Clock::now() - learned_at;
  release.join();
  CHECK(returned.outcome() == rpc::OUTCOME_NOT_RUN);
  CHECK(rpc::RefusalReason_Name(returned.reason()) == "REFUSAL_LEAVING");
  CHECK(std::chrono::duration_cast<milliseconds>(took) < kMaxReturnTime);
  CHECK(fixture.WaitForResult(running).outcome() == rpc::OUTCOME_ANSWERED);
  CHECK(fixture.received == 1);
}

// Guards against an order that ran and whose caller is told that it did not,
// because the reply was lost and the fence returns the status of the backend
// server, which promises nothing without the mark.
TEST_CASE("a fence returns no refusal that the backend server did not mark",
          "[owner_service]") {
  BackendProtocol protocol;
  protocol.headers.not_executed = "X-Not-Run";
  for (const char* status :
       {"408 Slow", "421 Elsewhere", "429 Many", "503 Failed"}) {
    INFO(status);
    OwnerFixture fixture(protocol);
    fixture.status = status;
    fixture.Release();
    const rpc::ForwardRequest request = fixture.MakeRequest(false);
    std::future<rpc::Result> future = fixture.Forward(request);
    const rpc::Result result = fixture.WaitForResult(future);
    CHECK(rpc::Outcome_Name(result.outcome()) == "OUTCOME_UNKNOWN");
    rpc::FenceAttemptRequest fence;
    *fence.mutable_attempt() = request.attempt();
    *fence.mutable_stamp() = request.stamp();
    fence.set_endpoint(request.endpoint());
    fence.set_team(request.team());
    fence.set_service(request.service());
    const rpc::FenceReply reply = fixture.owner.FenceAttempt(fence);
    CHECK(rpc::FenceState_Name(reply.state()) == "FENCE_UNKNOWN");
    CHECK_FALSE(reply.has_answer());
    CHECK(fixture.received == 1);
  }
}

// Guards against orders that are refused at an idle endpoint because the ledger
// is full of orders that ran: 80 orders a second, whose records are kept for
// 30 s.
TEST_CASE("orders at the rate of a fast endpoint do not fill the ledger",
          "[owner_service]") {
  constexpr int kOrders = 80 * 30;
  OwnerFixture fixture;
  fixture.Release();
  int answered = 0;
  for (int i = 0; i < kOrders; ++i) {
    const rpc::Result result = fixture.owner.Forward(
        fixture.MakeRequest(false), {[] {}, [] { return false; }});
    answered += result.outcome() == rpc::OUTCOME_ANSWERED ? 1 : 0;
  }
  CHECK(answered == kOrders);
}

// Guards against a duplicate of a returned attempt that runs after the endpoint
// is back, although its ingress has sent the request to another endpoint.
TEST_CASE("a returned attempt never runs", "[owner_service]") {
  OwnerFixture fixture;
  std::future<rpc::Result> running =
      fixture.Forward(fixture.MakeRequest(false));
  REQUIRE(WaitUntil([&] { return fixture.received == 1; }));
  const rpc::ForwardRequest request = fixture.MakeRequest(false);
  std::future<rpc::Result> queued = fixture.Forward(request);
  REQUIRE(WaitUntil([&] { return fixture.accepted == 2; }));
  MakeLeave(fixture, "registry");
  const rpc::Result returned = fixture.WaitForResult(queued);
  CHECK(rpc::RefusalReason_Name(returned.reason()) == "REFUSAL_LEAVING");
  fixture.Release();
  CHECK(fixture.WaitForResult(running).outcome() == rpc::OUTCOME_ANSWERED);

  fixture.Apply({fixture.endpoint});
  std::future<rpc::Result> duplicate = fixture.Forward(request);
  CHECK(fixture.WaitForResult(duplicate).outcome() == rpc::OUTCOME_NOT_RUN);
  CHECK(fixture.received == 1);
}

// Guards against orders of others that are refused because the short deadline
// of one request is taken for a fault of the backend server, and against a
// backend server that hangs and is never suspected.
TEST_CASE("a short deadline of one request is no fault of a backend server",
          "[owner_service]") {
  const bool short_deadline = GENERATE(true, false);
  INFO("short deadline " << short_deadline);
  // The expected service time is a quarter of the target: 100 ms.
  OwnerFixture fixture({}, milliseconds(400));
  rpc::ForwardRequest hurried = fixture.MakeRequest(true);
  hurried.set_time_left_us(
      std::chrono::microseconds(milliseconds(short_deadline ? 150 : 300))
          .count());
  std::future<rpc::Result> timed_out = fixture.Forward(hurried);
  CHECK(fixture.WaitForResult(timed_out).outcome() == rpc::OUTCOME_UNKNOWN);
  fixture.Release();
  std::future<rpc::Result> order = fixture.Forward(fixture.MakeRequest(false));
  const rpc::Result result = fixture.WaitForResult(order);
  CHECK(rpc::RefusalReason_Name(result.reason()) ==
        (short_deadline ? "REFUSAL_NONE" : "REFUSAL_SUSPECT"));
  CHECK(rpc::Outcome_Name(result.outcome()) ==
        (short_deadline ? "OUTCOME_ANSWERED" : "OUTCOME_NOT_RUN"));
}

// Guards against a healthy backend server that gets no work for the whole stop
// of its daemon, and against work that the end of the stop would break off.
TEST_CASE("a stopping daemon takes the work that ends in time",
          "[owner_service]") {
  const bool repeatable = GENERATE(true, false);
  INFO("repeatable " << repeatable);
  // The expected service time is a quarter of the target of 10 s.
  for (const seconds left : {seconds(20), seconds(5)}) {
    INFO(left.count() << " s are left");
    OwnerFixture fixture;
    fixture.Release();
    fixture.owner.BeginStop(Clock::now() + left);
    std::future<rpc::Result> future =
        fixture.Forward(fixture.MakeRequest(repeatable));
    const rpc::Result result = fixture.WaitForResult(future);
    const bool in_time = left == seconds(20);
    CHECK(rpc::Outcome_Name(result.outcome()) ==
          (in_time ? "OUTCOME_ANSWERED" : "OUTCOME_NOT_RUN"));
    CHECK(rpc::RefusalReason_Name(result.reason()) ==
          (in_time ? "REFUSAL_NONE" : "REFUSAL_LEAVING"));
    CHECK(fixture.received == (in_time ? 1 : 0));
    fixture.owner.DrainForShutdown();
    std::future<rpc::Result> late =
        fixture.Forward(fixture.MakeRequest(repeatable));
    CHECK(fixture.WaitForResult(late).outcome() == rpc::OUTCOME_NOT_RUN);
  }
}

// Guards against a request that gets a slot just before its endpoint leaves,
// and is sent to the backend server afterwards.
TEST_CASE("a request with a slot is not sent once its endpoint leaves",
          "[owner_service]") {
  const bool repeatable = GENERATE(true, false);
  OwnerFixture fixture;
  std::future<rpc::Result> running =
      fixture.Forward(fixture.MakeRequest(repeatable));
  REQUIRE(WaitUntil([&] { return fixture.received == 1; }));
  std::future<rpc::Result> queued =
      fixture.Forward(fixture.MakeRequest(repeatable));
  REQUIRE(WaitUntil([&] { return fixture.accepted == 2; }));
  {
    const std::shared_ptr<OwnedEndpoint> owned =
        fixture.owner.Endpoints().front();
    const std::lock_guard<std::mutex> lock(owned->mutex);
    Finish(owned->queue, owned->queue.running.begin()->first,
           FinishOutcome::kServed, Clock::now());
    AdvanceQueue(*owned, Clock::now());
    REQUIRE(owned->queue.running.size() == 1);
    owned->drain.operator_command = true;
  }
  fixture.Release();
  const rpc::Result returned = fixture.WaitForResult(queued);
  CHECK(returned.outcome() == rpc::OUTCOME_NOT_RUN);
  CHECK(rpc::RefusalReason_Name(returned.reason()) == "REFUSAL_LEAVING");
  CHECK(fixture.owner.Endpoints().front()->queue.running.empty());
  CHECK(fixture.WaitForResult(running).outcome() == rpc::OUTCOME_ANSWERED);
  CHECK(fixture.received == 1);
}

}  // namespace
}  // namespace comfrey
