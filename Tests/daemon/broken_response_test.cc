#include <chrono>
#include <string>

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

}  // namespace
}  // namespace comfrey
