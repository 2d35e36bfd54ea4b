#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "catch2/catch.hpp"
#include "daemon/http_frontend.h"
#include "daemon/raw_socket.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr char kIp[] = "127.9.4.2";
constexpr std::chrono::seconds kTestTimeout{20};
// Time in which a request that may start has started.
constexpr milliseconds kSettleTime{300};

// A frontend whose requests wait until the test releases them. GET requests are
// idempotent.
class PipelineFixture {
 public:
  PipelineFixture()
      : port(RawServer(kIp, [](RawSocket&, int) {}).Port()),
        frontend(
            [this](const HttpRequest& request, const CancelCheck& cancelled) {
              return this->Handle(request, cancelled);
            },
            this->counters,
            {},
            MakePages()) {
    REQUIRE(this->frontend.Start(kIp, this->port).ok());
  }
  ~PipelineFixture() { this->ReleaseAll(); }

  std::unique_ptr<RawSocket> Connect() const {
    return RawSocket::Connect(kIp, this->port);
  }

  void Release(const std::string& target) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->released[target] = true;
  }
  void ReleaseAll() { this->release_all = true; }

  bool HasStarted(const std::string& target) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->released.count(target) > 0;
  }
  bool WaitUntilStarted(const std::string& target) {
    const Clock::time_point begin = Clock::now();
    while (!this->HasStarted(target) && Clock::now() - begin < kTestTimeout) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    return this->HasStarted(target);
  }

  std::atomic<int> running{0};
  std::atomic<int> most_running{0};
  std::atomic<int> cancelled_requests{0};
  HttpFrontend& Frontend() { return this->frontend; }

 private:
  static FrontendPages MakePages() {
    FrontendPages pages;
    pages.ready = [] { return true; };
    pages.enabled = false;
    pages.is_idempotent = [](const HttpRequest& request) {
      return request.method == "GET";
    };
    return pages;
  }

  bool IsReleased(const std::string& target) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->release_all || this->released[target];
  }

  IngressReply Handle(const HttpRequest& request,
                      const CancelCheck& cancelled) {
    const int now_running = ++this->running;
    this->most_running = std::max(this->most_running.load(), now_running);
    bool is_cancelled = false;
    while (!this->IsReleased(request.target) && !is_cancelled) {
      is_cancelled = cancelled();
      std::this_thread::sleep_for(milliseconds(1));
    }
    this->cancelled_requests += is_cancelled ? 1 : 0;
    --this->running;
    if (request.target == "/throws") {
      throw std::runtime_error("unexpected");
    }
    return {CallerOutcome::kAnswered, {200, {}, request.target}};
  }

  std::mutex mutex;
  // The requests that have started, and whether they may end.
  std::map<std::string, bool> released;
  std::atomic<bool> release_all{false};
  int port;
  CounterRegistry counters;
  HttpFrontend frontend;
};

std::string Get(const std::string& target, const std::string& headers = "") {
  return absl::StrCat("GET ", target, " HTTP/1.1\r\nHost: a\r\n", headers,
                      "\r\n");
}

// The whole response to a request, as it must be on the wire.
std::string ReplyTo(const std::string& target, bool closes = false) {
  return absl::StrCat(
      "HTTP/1.1 200 OK\r\n", closes ? "Connection: close\r\n" : "",
      "Content-Length: ", target.size(), "\r\n",
      closes ? "" : "Keep-Alive: timeout=5\r\n", "\r\n", target);
}

std::string ReceiveAll(const RawSocket& socket, std::size_t size) {
  bool closed = false;
  return socket.Receive(
      [size](const std::string& bytes) { return bytes.size() >= size; },
      kTestTimeout, closed);
}

// Guards against responses out of order, and against a slow request that holds
// up the ones behind it.
TEST_CASE("pipelined requests run side by side and are answered in order",
          "[pipeline]") {
  for (const bool at_once : {true, false}) {
    PipelineFixture fixture;
    const auto caller = fixture.Connect();
    REQUIRE(caller->Send(Get("/1") + (at_once ? Get("/2") + Get("/3") : "")));
    REQUIRE(fixture.WaitUntilStarted("/1"));
    if (!at_once) {
      REQUIRE(caller->Send(Get("/2") + "GET /3 HTTP/1.1\r\nHo"));
      REQUIRE(fixture.WaitUntilStarted("/2"));
      REQUIRE(caller->Send("st: a\r\n\r\n"));
    }
    REQUIRE(fixture.WaitUntilStarted("/3"));
    fixture.Release("/3");
    fixture.Release("/2");
    bool closed = false;
    CHECK(caller
              ->Receive([](const std::string&) { return false; },
                        milliseconds(100), closed)
              .empty());
    fixture.Release("/1");
    const std::string expected = ReplyTo("/1") + ReplyTo("/2") + ReplyTo("/3");
    CHECK(ReceiveAll(*caller, expected.size()) == expected);
  }
}

// Guards against a caller that occupies the daemon with a long pipeline.
TEST_CASE("the depth of a pipeline is bounded", "[pipeline]") {
  PipelineFixture fixture;
  const auto caller = fixture.Connect();
  std::string requests;
  std::string expected;
  for (int i = 0; i < 50; ++i) {
    requests += Get(absl::StrCat("/", i));
    expected += ReplyTo(absl::StrCat("/", i));
  }
  REQUIRE(caller->Send(requests));
  REQUIRE(fixture.WaitUntilStarted("/8"));
  std::this_thread::sleep_for(kSettleTime);
  CHECK(fixture.running == 9);
  CHECK_FALSE(fixture.HasStarted("/9"));
  fixture.ReleaseAll();
  CHECK(ReceiveAll(*caller, expected.size()) == expected);
  CHECK(fixture.most_running <= 9);
}

// Guards against a request that must not be repeated but has run when an
// earlier response closes the connection, and against a changed order of
// effects.
TEST_CASE("a non-idempotent request waits for the ones before it",
          "[pipeline]") {
  PipelineFixture fixture;
  const auto caller = fixture.Connect();
  REQUIRE(caller->Send(Get("/1") +
                       "POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: "
                       "3\r\n\r\nabc" +
                       Get("/3")));
  REQUIRE(fixture.WaitUntilStarted("/1"));
  std::this_thread::sleep_for(kSettleTime);
  CHECK_FALSE(fixture.HasStarted("/order"));
  CHECK_FALSE(fixture.HasStarted("/3"));
  fixture.Release("/1");
  REQUIRE(fixture.WaitUntilStarted("/order"));
  std::this_thread::sleep_for(kSettleTime);
  CHECK_FALSE(fixture.HasStarted("/3"));
  fixture.Release("/order");
  REQUIRE(fixture.WaitUntilStarted("/3"));
  fixture.Release("/3");
  const std::string expected =
      ReplyTo("/1") + ReplyTo("/order") + ReplyTo("/3");
  CHECK(ReceiveAll(*caller, expected.size()) == expected);
}

// Guards against a request that is passed on although it stands behind a
// response that closes the connection.
TEST_CASE("requests behind a closing response are not passed on",
          "[pipeline]") {
  struct Case {
    std::string name;
    std::string middle;
    std::string replies;
  };
  for (const Case& test :
       {Case{"close", Get("/close", "Connection: close\r\n"),
             ReplyTo("/close", true)},
        Case{"malformed", "GET /bad HTTP/1.1\r\nHost : a\r\n\r\n",
             "HTTP/1.1 400 Bad Request\r\n"}}) {
    INFO(test.name);
    PipelineFixture fixture;
    const auto caller = fixture.Connect();
    REQUIRE(caller->Send(Get("/1") + test.middle + Get("/behind")));
    REQUIRE(fixture.WaitUntilStarted("/1"));
    std::this_thread::sleep_for(kSettleTime);
    fixture.ReleaseAll();
    bool closed = false;
    const std::string replies = caller->Receive(
        [](const std::string&) { return false; }, kTestTimeout, closed);
    CHECK(closed);
    CHECK(absl::StartsWith(replies, ReplyTo("/1") + test.replies));
    CHECK_FALSE(fixture.HasStarted("/behind"));
    CHECK_FALSE(absl::StrContains(replies, "/behind"));
  }
}

// Guards against requests that run further after their caller left.
TEST_CASE("a closed connection cancels all its requests", "[pipeline]") {
  PipelineFixture fixture;
  {
    const auto caller = fixture.Connect();
    REQUIRE(caller->Send(Get("/1") + Get("/2") + Get("/3")));
    REQUIRE(fixture.WaitUntilStarted("/3"));
  }
  const Clock::time_point begin = Clock::now();
  while (fixture.running > 0 && Clock::now() - begin < kTestTimeout) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  CHECK(fixture.running == 0);
  CHECK(fixture.cancelled_requests == 3);
}

// Guards against requests that a stop cuts off after they were passed on, and
// against one that is passed on although it was read in part only.
TEST_CASE("a stop answers the pipelined requests that run", "[pipeline]") {
  PipelineFixture fixture;
  const auto caller = fixture.Connect();
  REQUIRE(
      caller->Send(Get("/1") + Get("/2") + "GET /3 HTTP/1.1\r\nHost: a\r\n"));
  REQUIRE(fixture.WaitUntilStarted("/2"));
  auto stop =
      std::async(std::launch::async, [&] { fixture.Frontend().Stop(); });
  CHECK_THROWS([&fixture] {
    for (const Clock::time_point begin = Clock::now();
         Clock::now() - begin < kTestTimeout;) {
      fixture.Connect();
    }
  }());
  REQUIRE(caller->Send("\r\n"));
  std::this_thread::sleep_for(kSettleTime);
  fixture.ReleaseAll();
  bool closed = false;
  const std::string replies = caller->Receive(
      [](const std::string&) { return false; }, kTestTimeout, closed);
  CHECK(closed);
  CHECK(absl::StartsWith(replies, ReplyTo("/1")));
  CHECK(absl::StrContains(replies, "\r\n\r\n/2"));
  CHECK(absl::StrContains(replies, "Connection: close"));
  CHECK(stop.wait_for(kTestTimeout) == std::future_status::ready);
}

// Guards against an exception on a thread of the pipelines that ends the
// process.
TEST_CASE("an exception of a pipelined request costs only its response",
          "[pipeline]") {
  PipelineFixture fixture;
  const auto caller = fixture.Connect();
  REQUIRE(caller->Send(Get("/1") + Get("/throws") + Get("/3")));
  REQUIRE(fixture.WaitUntilStarted("/3"));
  fixture.ReleaseAll();
  bool closed = false;
  const std::string first = caller->ReceiveResponse(kTestTimeout, closed);
  const std::string second = caller->ReceiveResponse(kTestTimeout, closed);
  const std::string third = caller->ReceiveResponse(kTestTimeout, closed);
  CHECK(absl::EndsWith(first, "/1"));
  CHECK(absl::StartsWith(second, "HTTP/1.1 502 "));
  CHECK(absl::EndsWith(third, "/3"));
}

}  // namespace
}  // namespace comfrey
