#include <atomic>
#include <chrono>
#include <string>
#include <vector>

#include "catch2/catch.hpp"
#include "daemon/backend_client.h"
#include "daemon/broken_responses.h"
#include "daemon/owner_result.h"
#include "daemon/raw_socket.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

constexpr char kIp[] = "127.9.10.1";
constexpr std::chrono::seconds kTestTimeout{20};
constexpr char kFields[] = "X-Attempt: 7\r\nX-Mark: m\r\n";

BackendProtocol MakeProtocol() {
  BackendProtocol protocol;
  protocol.headers.attempt_id = "X-Attempt";
  protocol.headers.signature = "X-Mark";
  protocol.headers.not_executed = "X-Not-Run";
  protocol.close_delimited = true;
  return protocol;
}

// Guards against a response with a status or a header that is none, or a part
// of a response, that reaches a caller as the response to its request, over a
// new connection and over one that was used before.
TEST_CASE("a broken response of a backend server is a failure",
          "[broken_response]") {
  const std::string sound = MakeSoundResponse(kFields, "own");
  for (const BrokenResponse& broken : MakeBrokenResponses(kFields, "hello")) {
    for (const bool reused : {false, true}) {
      INFO(broken.name << ", reused " << reused);
      const RawServer server(kIp, [&](RawSocket& socket, int) {
        if (reused) {
          bool closed = false;
          socket.Receive(HasHead, kTestTimeout, closed);
          socket.Send(sound);
        }
        SendBroken(socket, broken);
      });
      TimerService timers;
      CallWatchdog watchdog(timers);
      BackendClient client(kIp, server.Port(), watchdog, MakeProtocol());
      const HttpRequest request{"GET", "/a", {{"X-Attempt", "7"}}, ""};
      const auto call = [&] {
        return client.Call({&request, true, Clock::now() + kTestTimeout,
                            [] { return false; }});
      };
      if (reused) {
        REQUIRE(call().outcome == BackendOutcome::kAnswered);
      }
      const BackendResult result = call();
      CHECK(result.outcome == BackendOutcome::kFailed);
      CHECK(result.response.status == 0);
      CHECK(result.response.headers.empty());
      CHECK(result.response.body.empty());
      CHECK_FALSE(result.error.message().empty());
      CHECK(ToResult(result, ClassifyReply(result, MakeProtocol().headers),
                     nullptr)
                .outcome() == rpc::OUTCOME_UNKNOWN);
    }
  }
}

struct CutCase {
  std::string name;
  std::string head;
  std::string body;
  // Whether the end of the connection is the end of the body.
  bool close_delimited = false;
};

// Which connection carries the response that is cut.
enum class CutConnection { kNewIdempotent, kNewNonIdempotent, kReused };

// Sends each response cut after 0, 1, 2, ... bytes, and closes or resets the
// connection.
void CheckCuts(const CutCase& test, bool reset, CutConnection kind) {
  constexpr int kThreads = 4;
  const std::string whole = test.head + test.body;
  std::atomic<std::size_t> cut{0};
  BackendProtocol protocol;
  protocol.close_delimited = true;
  const RawServer server(
      kIp,
      [&](RawSocket& socket, int) {
        bool closed = false;
        std::string request = socket.Receive(HasHead, kTestTimeout, closed);
        if (request.rfind("GET", 0) == 0) {
          socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
          request = socket.Receive(HasHead, kTestTimeout, closed);
        }
        if (HasHead(request)) {
          socket.Send(whole.substr(0, cut));
          if (reset) {
            socket.ResetOnClose();
          }
        }
      },
      kThreads);
  TimerService timers;
  CallWatchdog watchdog(timers);
  BackendClient client(kIp, server.Port(), watchdog, protocol);
  const bool idempotent = kind != CutConnection::kNewNonIdempotent;
  const auto call = [&](const std::string& method) {
    const HttpRequest request{method, "/a", {}, ""};
    return client.Call({&request, idempotent, Clock::now() + kTestTimeout,
                        [] { return false; }});
  };
  for (; cut < whole.size(); ++cut) {
    INFO(test.name << ", " << cut << " bytes, reset " << reset << ", kind "
                   << static_cast<int>(kind));
    if (kind == CutConnection::kReused) {
      REQUIRE(call("GET").outcome == BackendOutcome::kAnswered);
    }
    const BackendResult result = call("POST");
    if (test.close_delimited && !reset && cut >= test.head.size()) {
      CHECK(result.response.body ==
            test.body.substr(0, cut - test.head.size()));
      continue;
    }
    CHECK(result.outcome == BackendOutcome::kFailed);
    CHECK(result.response.status == 0);
    CHECK(ToResult(result, ClassifyReply(result, protocol.headers), nullptr)
              .outcome() == rpc::OUTCOME_UNKNOWN);
  }
}

// Guards against an empty or short response that looks complete, since the
// backend server ended the connection within the head or the body.
TEST_CASE("A response that is cut at any byte is not delivered",
          "[broken_response]") {
  const std::vector<CutCase> cases = {
      {"length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "hello"},
      {"empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
      {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       "3\r\nhel\r\n2\r\nlo\r\n0\r\nX: 1\r\n\r\n"},
      {"interim response",
       "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n"
       "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n",
       "a"},
      {"no content", "HTTP/1.1 204 No Content\r\nX: 1\r\n\r\n", ""},
      {"ends with the connection", "HTTP/1.1 200 OK\r\nX: 1\r\n\r\n", "hello",
       true}};
  for (const CutCase& test : cases) {
    for (const bool reset : {false, true}) {
      for (const CutConnection kind :
           {CutConnection::kNewIdempotent, CutConnection::kNewNonIdempotent,
            CutConnection::kReused}) {
        CheckCuts(test, reset, kind);
      }
    }
  }
}

// Guards against taking a truncated response for a complete one, because the
// shutdown of a cancelled call looks like the end of the response.
TEST_CASE("A cancelled call does not end a response without a length",
          "[broken_response]") {
  std::atomic<bool> sent{false};
  const RawServer server(kIp, [&](RawSocket& socket, int /*connection*/) {
    bool closed = false;
    socket.Receive(HasHead, kTestTimeout, closed);
    socket.Send("HTTP/1.1 200 OK\r\nX-Mark: m\r\nX-Attempt: 7\r\n\r\npart");
    sent = true;
    socket.Receive([](const std::string&) { return false; }, kTestTimeout,
                   closed);
  });
  TimerService timers;
  CallWatchdog watchdog(timers);
  BackendClient client(kIp, server.Port(), watchdog, MakeProtocol());
  HttpRequest request{"GET", "/a", {{"X-Attempt", "7"}}, ""};
  for (const bool idempotent : {true, false}) {
    sent = false;
    const BackendResult result =
        client.Call({&request, idempotent, Clock::now() + kTestTimeout,
                     [&sent] { return sent.load(); }});
    CHECK(result.outcome == BackendOutcome::kCancelled);
    CHECK(result.response.body.empty());
  }
}

}  // namespace
}  // namespace comfrey
