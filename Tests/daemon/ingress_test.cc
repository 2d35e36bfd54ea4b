#include "daemon/ingress.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "config/config_store.h"
#include "daemon/raw_socket.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr char kOwnerIp[] = "127.9.2.1";
constexpr std::chrono::seconds kRequestTimeout{4};
constexpr milliseconds kCancelAfter{100};
// The waits notice a cancellation after 50 ms; the rest allows for a busy
// machine.
constexpr milliseconds kMaxTime{400};
const ServiceId kService{"team", "booking"};

// Makes a configuration with endpoints of one owner, one idempotent route
// "/safe" and one route "/unsafe".
std::shared_ptr<const ConfigStore> MakeStore(int endpoints) {
  ServiceConfig service;
  service.name = kService.service;
  for (int i = 0; i < endpoints; ++i) {
    EndpointConfig endpoint;
    endpoint.ip = kOwnerIp;
    endpoint.port = static_cast<std::uint16_t>(8080 + i);
    endpoint.address = endpoint.ip + ":" + std::to_string(endpoint.port);
    endpoint.region = "r";
    endpoint.failure_domain = "a";
    service.endpoints.push_back(endpoint);
  }
  RankConfig rank;
  rank.name = "rank";
  rank.urgency = 1;
  rank.target = std::chrono::seconds(1);
  RouteConfig safe;
  safe.name = "safe";
  safe.service = kService.service;
  safe.rank = rank.name;
  safe.path = "/safe";
  safe.repeat_safe = true;
  safe.deadline = kRequestTimeout;
  RouteConfig non_idempotent = safe;
  non_idempotent.name = "unsafe";
  non_idempotent.path = "/unsafe";
  non_idempotent.repeat_safe = false;
  TeamConfig team;
  team.team = kService.team;
  team.services = {service};
  team.ranks = {rank};
  team.routes = {safe, non_idempotent};
  auto store = std::make_shared<ConfigStore>();
  ReplaceTeam(*store, {1, 1}, team);
  return store;
}

// An ingress whose endpoints are owned by a server on `owner_port`.
struct TestIngress {
  explicit TestIngress(int owner_port,
                       int endpoints = 1,
                       HeaderNames names = {})
      : headers(std::move(names)), owners(this->channels, owner_port) {
    const std::shared_ptr<const ConfigStore> store = MakeStore(endpoints);
    this->config.Replace(store);
    this->directory.ApplyConfig(*store);
    this->budgets.ApplyConfig(*store);
    this->levels.ApplyConfig(*store);
  }

  IngressReply Send(const std::string& path, const CancelCheck& cancelled) {
    return this->ingress.Handle({"POST", path, {{"Host", "a"}}, ""}, cancelled);
  }

  HeaderNames headers;
  ConfigHolder config;
  CounterRegistry counters;
  ChannelPool channels{4};
  EndpointDirectory directory{"vm-1", {"r", "a"}};
  ServiceBudgets budgets;
  OwnerClient owners;
  KeyJournal journal{Clock::now() - std::chrono::hours(1)};
  ServiceLevels levels;
  RequestLog log{this->counters};
  Ingress ingress{
      {"vm-1", 1},
      {this->config, this->directory, this->budgets, this->owners,
       this->journal, this->levels, this->counters, this->log, this->headers}};
};

// Sends a request that is cancelled after kCancelAfter. Returns the time that
// it took.
milliseconds SendAndCancel(TestIngress& ingress,
                           const std::string& path,
                           IngressReply& reply) {
  const Clock::time_point begin = Clock::now();
  reply = ingress.Send(
      path, [begin] { return Clock::now() - begin >= kCancelAfter; });
  return std::chrono::duration_cast<milliseconds>(Clock::now() - begin);
}

// What a fake owner does with a Forward call and with FenceAttempt calls.
struct OwnerBehaviour {
  std::string name;
  bool accepts = false;
  bool answers_fences = false;
  // The backend server received the request and closed the connection.
  bool reports_lost_response = false;
  // If set, replies to Forward calls and fences hold this response.
  std::optional<rpc::Answer> result = std::nullopt;
  std::optional<rpc::Answer> fenced_result = std::nullopt;
  // An owner that cannot read the forwarded message.
  bool cannot_read = false;
};

void WaitForCancel(const grpc::ServerContext& context) {
  const Clock::time_point begin = Clock::now();
  while (!context.IsCancelled() && Clock::now() - begin < 2 * kRequestTimeout) {
    std::this_thread::sleep_for(milliseconds(5));
  }
}

// An owner that loses the results of forwarded requests, and says that they
// run.
class FakeOwner : public rpc::Peer::Service {
 public:
  explicit FakeOwner(OwnerBehaviour behaviour)
      : behaviour(std::move(behaviour)) {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(std::string(kOwnerIp) + ":0",
                             grpc::InsecureServerCredentials(), &this->port);
    builder.RegisterService(this);
    this->server = builder.BuildAndStart();
  }
  ~FakeOwner() override {
    this->server->Shutdown(std::chrono::system_clock::now());
  }

  grpc::Status GetStamp(grpc::ServerContext*,
                        const rpc::StampRequest*,
                        rpc::OwnerStamp* stamp) override {
    stamp->set_incarnation(1);
    stamp->set_uptime_us(1);
    return grpc::Status::OK;
  }

  grpc::Status Forward(grpc::ServerContext* context,
                       const rpc::ForwardRequest*,
                       grpc::ServerWriter<rpc::ForwardReply>* writer) override {
    if (this->behaviour.cannot_read) {
      return {grpc::StatusCode::INTERNAL, "the message is malformed"};
    }
    if (!this->behaviour.accepts) {
      WaitForCancel(*context);
      return grpc::Status::CANCELLED;
    }
    ++this->forwards;
    rpc::ForwardReply reply;
    reply.mutable_accepted()->mutable_stamp()->set_incarnation(1);
    writer->Write(reply);
    if (this->behaviour.reports_lost_response) {
      rpc::Result& result = *reply.mutable_result();
      result.set_outcome(rpc::OUTCOME_UNKNOWN);
      result.set_reason(rpc::REFUSAL_BACKEND_FAILED);
      result.set_sent_to_backend(true);
      writer->Write(reply);
      return grpc::Status::OK;
    }
    if (this->behaviour.result) {
      rpc::Result& result = *reply.mutable_result();
      result.set_outcome(rpc::OUTCOME_ANSWERED);
      *result.mutable_answer() = *this->behaviour.result;
      writer->Write(reply);
      return grpc::Status::OK;
    }
    return {grpc::StatusCode::UNAVAILABLE, "the result is lost"};
  }

  grpc::Status FenceAttempt(grpc::ServerContext* context,
                            const rpc::FenceAttemptRequest*,
                            rpc::FenceReply* reply) override {
    if (!this->behaviour.answers_fences) {
      WaitForCancel(*context);
      return grpc::Status::CANCELLED;
    }
    reply->set_state(this->behaviour.cannot_read ? rpc::FENCE_FENCED
                                                 : rpc::FENCE_RUNNING);
    if (this->behaviour.fenced_result) {
      reply->set_state(rpc::FENCE_DONE);
      *reply->mutable_answer() = *this->behaviour.fenced_result;
    }
    return grpc::Status::OK;
  }

  int port = 0;
  std::atomic<int> forwards{0};

 private:
  OwnerBehaviour behaviour;
  std::unique_ptr<grpc::Server> server;
};

// Guards against requests that go on after their caller left or a stop ends.
TEST_CASE("a cancelled request does not wait for an owner that never answers",
          "[ingress]") {
  RawServer silent(kOwnerIp, [](RawSocket& socket, int) {
    bool closed = false;
    socket.Receive([](const std::string&) { return false; },
                   std::chrono::seconds(2), closed);
  });
  for (const char* path : {"/team/safe", "/team/unsafe"}) {
    INFO(path);
    TestIngress ingress(silent.Port());
    IngressReply reply;
    CHECK(SendAndCancel(ingress, path, reply).count() < kMaxTime.count());
    CHECK(reply.outcome == CallerOutcome::kNotRun);
    CHECK(reply.response.status == 503);
    CHECK(ingress.counters.Counter("comfrey_ingress_path_failures_total")
              .Value() == 0);
  }
}

// Guards against endless fences and a false claim that a request did not run.
TEST_CASE("a cancelled request does not wait for its acceptance or its fence",
          "[ingress]") {
  for (const OwnerBehaviour& behaviour :
       {OwnerBehaviour{"no acceptance", false, true},
        OwnerBehaviour{"the attempt runs", true, true},
        OwnerBehaviour{"no reply to fences", true, false}}) {
    INFO(behaviour.name);
    FakeOwner owner(behaviour);
    TestIngress ingress(owner.port);
    IngressReply reply;
    CHECK(SendAndCancel(ingress, "/team/unsafe", reply).count() <
          kMaxTime.count());
    CHECK(reply.outcome == CallerOutcome::kUnknown);
    CHECK(reply.response.status == 502);
  }
}

// Guards against repeats beyond the budget if backend servers reset connections
// on which requests were sent.
TEST_CASE("a request whose response was lost is not sent again without budget",
          "[ingress]") {
  FakeOwner owner({"the response is lost", true, true, true});
  TestIngress ingress(owner.port, 3);
  constexpr int kRequests = 20;
  for (int i = 0; i < kRequests; ++i) {
    const IngressReply reply = ingress.Send("/team/safe", [] { return false; });
    CHECK(reply.outcome == CallerOutcome::kUnknown);
    CHECK(reply.response.status == 502);
  }
  // The budget is a tenth of the requests.
  CHECK(owner.forwards <= kRequests + kRequests / 10);
}

// Owners that pass on a response, first-hand and from a fence.
std::vector<OwnerBehaviour> OwnersOf(const rpc::Answer& answer) {
  OwnerBehaviour first_hand{"first-hand", true, true};
  first_hand.result = answer;
  OwnerBehaviour fenced{"fence", true, true};
  fenced.fenced_result = answer;
  return {first_hand, fenced};
}

// Guards against a status of a backend server that reaches a caller as the
// promise that the request did not run, first-hand or from a fence, also from
// an owner of an earlier release.
TEST_CASE("an unmarked refusal does not reach callers as a promise",
          "[ingress]") {
  HeaderNames marked;
  marked.not_executed = "X-Not-Run";
  for (const int status : {408, 421, 429, 503}) {
    rpc::Answer answer;
    answer.set_status(status);
    for (const OwnerBehaviour& behaviour : OwnersOf(answer)) {
      INFO(behaviour.name << " " << status);
      FakeOwner owner(behaviour);
      TestIngress ingress(owner.port, 1, marked);
      const IngressReply reply =
          ingress.Send("/team/unsafe", [] { return false; });
      CHECK(reply.outcome == CallerOutcome::kUnknown);
      CHECK(reply.response.status == 502);
    }
  }
}

// Guards against a response that is none and reaches a caller: an owner passes
// it on, or leaves the response out of its reply.
TEST_CASE("a malformed response of an owner reaches no caller", "[ingress]") {
  const auto make_answer = [](int status, const std::string& name,
                              const std::string& value) {
    rpc::Answer answer;
    answer.set_status(status);
    rpc::Header& header = *answer.add_headers();
    header.set_name(name);
    header.set_value(value);
    answer.set_body("body");
    return answer;
  };
  const std::vector<rpc::Answer> answers = {
      rpc::Answer(),
      make_answer(-1, "X-A", "1"),
      make_answer(99, "X-A", "1"),
      make_answer(103, "X-A", "1"),
      make_answer(600, "X-A", "1"),
      make_answer(2000, "X-A", "1"),
      make_answer(200, "", "1"),
      make_answer(200, "X A", "1"),
      make_answer(200, "X-A ", "1"),
      make_answer(200, "X\x01", "1"),
      make_answer(200, "X-A", "1\r\nX-B: 2"),
      make_answer(200, "X-A", std::string("\0", 1))};
  for (const rpc::Answer& answer : answers) {
    for (const OwnerBehaviour& behaviour : OwnersOf(answer)) {
      INFO(behaviour.name << " " << answer.ShortDebugString());
      FakeOwner owner(behaviour);
      TestIngress ingress(owner.port);
      const IngressReply reply =
          ingress.Send("/team/unsafe", [] { return false; });
      CHECK(reply.outcome == CallerOutcome::kUnknown);
      CHECK(reply.response.status == 502);
      CHECK(ingress.counters.Counter("comfrey_ingress_path_failures_total")
                .Value() == 0);
      CHECK(
          ingress.counters.Counter("comfrey_ingress_unreadable_messages_total")
              .Value() == 1);
    }
  }
}

// Guards against requests that are refused because an owner could not read the
// message of another request and counts as unreachable.
TEST_CASE("a message that an owner cannot read is no path failure",
          "[ingress]") {
  OwnerBehaviour behaviour{"cannot read", true, true};
  behaviour.cannot_read = true;
  FakeOwner owner(behaviour);
  TestIngress ingress(owner.port);
  const IngressReply reply = ingress.Send("/team/unsafe", [] { return false; });
  CHECK(reply.outcome == CallerOutcome::kNotRun);
  CHECK(
      ingress.counters.Counter("comfrey_ingress_path_failures_total").Value() ==
      0);
  CHECK(ingress.counters.Counter("comfrey_ingress_unreadable_messages_total")
            .Value() > 0);
}

}  // namespace
}  // namespace comfrey
