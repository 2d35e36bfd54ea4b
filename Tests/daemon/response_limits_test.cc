#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "catch2/catch.hpp"
#include "daemon/backend_client.h"
#include "daemon/raw_socket.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

constexpr char kIp[] = "127.9.10.2";
constexpr std::chrono::seconds kTestTimeout{20};

struct EndlessCase {
  std::string name;
  std::string start;
  std::string repeated;
  BackendOutcome outcome;  // When the bytes are sent as fast as possible.
};

std::vector<EndlessCase> MakeEndlessCases() {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string bytes(16 << 10, 'x');
  const auto failed = BackendOutcome::kFailed;
  return {
      {"start line", "", "x", failed},
      {"header line", ok + "X: ", bytes, failed},
      {"header lines", ok, "X: 1\r\n", failed},
      {"interim responses", "", "HTTP/1.1 103 E\r\nX: 1\r\n\r\n", failed},
      {"length beyond the limit", ok + "Content-Length: 99999999999\r\n\r\n",
       bytes, failed},
      {"chunks", chunked, "4000\r\n" + bytes + "\r\n", failed},
      {"small chunks", chunked, "1\r\nx\r\n", failed},
      {"chunk size", chunked, "0", failed},
      {"chunk extension", chunked + "1;", "x", failed},
      {"trailers", chunked + "0\r\n", "X: 1\r\n", failed},
      {"close-delimited body", ok + "\r\n", bytes, failed},
      {"bytes after the response", ok + "Content-Length: 0\r\n\r\n", bytes,
       BackendOutcome::kAnswered},
  };
}

// Sends bytes without end over the first connection, until the client closes
// it; replies to each request of the others.
void CheckEndless(const EndlessCase& test, bool slow, bool idempotent) {
  INFO(test.name << ", slow " << slow << ", idempotent " << idempotent);
  constexpr int kThreads = 4;
  constexpr std::chrono::milliseconds kMargin{100};
  const std::chrono::milliseconds time_limit(slow ? 300 : 5000);
  std::atomic<bool> closed_by_client{false};
  BackendProtocol protocol;
  protocol.close_delimited = true;
  const RawServer server(
      kIp,
      [&](RawSocket& socket, int connection) {
        bool closed = false;
        if (connection > 0) {
          while (HasHead(socket.Receive(HasHead, kTestTimeout, closed))) {
            socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
          }
          return;
        }
        socket.Receive(HasHead, kTestTimeout, closed);
        // Many repeats at once, so that the test is not limited by its own
        // system calls.
        std::string block = test.repeated;
        while (!slow && block.size() < (8 << 10)) {
          block += test.repeated;
        }
        if (slow) {
          block = block.substr(0, 8);
        }
        // The first bytes come with the start: the client could otherwise reuse
        // the connection after a whole response before it can see any of them.
        closed = !socket.Send(test.start + block);
        while (!closed && socket.Send(block)) {
          socket.Receive(HasHead, std::chrono::milliseconds(slow ? 5 : 0),
                         closed);
        }
        closed_by_client = true;
      },
      kThreads);
  TimerService timers;
  CallWatchdog watchdog(timers);
  BackendClient client(kIp, server.Port(), watchdog, protocol);
  const auto call = [&](std::chrono::milliseconds time) {
    const HttpRequest request{"POST", "/a", {}, ""};
    return client.Call(
        {&request, idempotent, Clock::now() + time, [] { return false; }});
  };
  const Clock::time_point begin = Clock::now();
  const BackendResult result = call(time_limit);
  CHECK(Clock::now() - begin < time_limit + kMargin);
  if (slow && test.outcome != BackendOutcome::kAnswered) {
    CHECK(result.outcome != BackendOutcome::kAnswered);
  } else {
    CHECK(result.outcome == test.outcome);
  }
  CHECK(result.response.body.empty());
  const BackendResult next = call(kTestTimeout);
  CHECK(next.response.body == "own");
  const Clock::time_point end = Clock::now();
  while (!closed_by_client && Clock::now() - end < std::chrono::seconds(2)) {
    std::this_thread::yield();
  }
  CHECK(closed_by_client);
}

// Guards against a call that outlasts its deadline, and against memory and
// connections that are taken without bound, since a backend server sends bytes
// until its caller closes.
TEST_CASE("Bytes without end do not outlast the limits of a call",
          "[response_limits]") {
  for (const EndlessCase& test : MakeEndlessCases()) {
    for (const bool slow : {false, true}) {
      for (const bool idempotent : {false, true}) {
        CheckEndless(test, slow, idempotent);
      }
    }
  }
}

// Guards against more memory than a daemon may use, since several backend
// servers send bodies without end at the same time.
TEST_CASE("Responses share one limit of memory", "[response_limits]") {
  constexpr std::size_t kBudget = 1 << 20;
  constexpr int kThreads = 4;
  const std::string large(kBudget / 2, 'x');
  const std::string small(kUncountedResponseBytes, 'x');
  const auto with_length = [](const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  };
  std::atomic<bool> holding{false};
  const RawServer server(
      kIp,
      [&](RawSocket& socket, int) {
        bool closed = false;
        const std::string head = socket.Receive(HasHead, kTestTimeout, closed);
        if (head.find(" /endless ") != std::string::npos) {
          socket.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          socket.Send("f0000\r\n" + std::string(0xf0000, 'x') + "\r\n");
          holding = true;
          socket.Receive(HasHead, kTestTimeout, closed);
          return;
        }
        socket.Send(with_length(
            head.find(" /large ") != std::string::npos ? large : small));
      },
      kThreads);
  TimerService timers;
  CallWatchdog watchdog(timers);
  ResponseBudget budget(kBudget);
  BackendClient client(kIp, server.Port(), watchdog, {}, {kThreads, &budget});
  const auto call = [&](const std::string& target,
                        std::chrono::milliseconds time) {
    const HttpRequest request{"POST", target, {}, ""};
    return client.Call(
        {&request, false, Clock::now() + time, [] { return false; }});
  };
  std::thread endless(
      [&] { call("/endless", std::chrono::milliseconds(3000)); });
  while (!holding) {
    std::this_thread::yield();
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  CHECK(call("/large", kTestTimeout).outcome == BackendOutcome::kFailed);
  CHECK((call("/small", kTestTimeout).response.body == small));
  endless.join();
  CHECK((call("/large", kTestTimeout).response.body == large));
  CHECK(budget.Take(kBudget));
}

}  // namespace
}  // namespace comfrey
