#include "daemon/backend_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "daemon/owner_result.h"
#include "daemon/raw_socket.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

constexpr char kIp[] = "127.9.2.1";
constexpr std::chrono::seconds kTestTimeout{20};

// A client and a backend server that a handler implements.
struct ClientFixture {
  explicit ClientFixture(RawServer::Handler handler,
                         const BackendProtocol& protocol = {})
      : server(kIp, std::move(handler)),
        watchdog(this->timers),
        client(kIp, this->server.Port(), this->watchdog, protocol) {}
  // The backend server has one thread for each of its slots.
  ClientFixture(RawServer::Handler handler, int slots)
      : server(kIp, std::move(handler), slots),
        watchdog(this->timers),
        client(kIp,
               this->server.Port(),
               this->watchdog,
               {},
               {static_cast<std::size_t>(slots), nullptr}) {}

  BackendResult Call(
      const std::string& method = "GET",
      std::chrono::milliseconds time = std::chrono::milliseconds(5000),
      bool idempotent = true,
      std::function<bool()> cancelled = [] { return false; }) {
    HttpRequest request;
    request.method = method;
    request.target = "/a";
    return this->client.Call(
        {&request, idempotent, Clock::now() + time, std::move(cancelled)});
  }

  RawServer server;
  TimerService timers;
  CallWatchdog watchdog;
  BackendClient client;
};

// Replies to the first request of each connection with the bytes, then closes
// the connection.
RawServer::Handler ReplyAndClose(const std::string& reply) {
  return [reply](RawSocket& socket, int /*connection*/) {
    bool closed = false;
    socket.Receive(HasHead, kTestTimeout, closed);
    socket.Send(reply);
  };
}

struct ResponseCase {
  std::string name;
  std::string method;
  std::string reply;
  BackendOutcome outcome;
  int status;
  std::string body;
};

// Guards against delivering a response that is truncated, ambiguous or not
// HTTP.
TEST_CASE("Only whole responses are delivered", "[backend_client]") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const auto answered = BackendOutcome::kAnswered;
  const auto failed = BackendOutcome::kFailed;
  const std::string limit(8 << 20, 'x');
  const std::vector<ResponseCase> cases = {
      {"length", "GET", ok + "Content-Length: 3\r\n\r\nabc", answered, 200,
       "abc"},
      {"no reason phrase", "GET", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
       answered, 200, ""},
      {"chunks", "GET", chunked + "3\r\nabc\r\n2;x\r\nde\r\n0\r\nX: 1\r\n\r\n",
       answered, 200, "abcde"},
      {"HEAD", "HEAD", ok + "Content-Length: 3\r\n\r\n", answered, 200, ""},
      {"HEAD of chunks", "HEAD", chunked, answered, 200, ""},
      {"204", "GET", "HTTP/1.1 204 No Content\r\n\r\n", answered, 204, ""},
      {"304", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
       answered, 304, ""},
      {"interim responses", "GET",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
       "x\r\n\r\n" +
           ok + "Content-Length: 1\r\n\r\na",
       answered, 200, "a"},
      {"interim response only", "GET", "HTTP/1.1 100 Continue\r\n\r\n", failed,
       0, ""},
      {"switching protocols", "GET",
       "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 0\r\n\r\n" + ok +
           "Content-Length: 0\r\n\r\n",
       failed, 0, ""},
      {"body at the limit", "GET",
       ok + "Content-Length: 8388608\r\n\r\n" + limit, answered, 200, limit},
      {"length beyond the limit", "GET",
       ok + "Content-Length: 8388609\r\n\r\n" + limit + "x", failed, 0, ""},
      {"chunks beyond the limit", "GET",
       chunked + "800000\r\n" + limit + "\r\n1\r\nx\r\n0\r\n\r\n", failed, 0,
       ""},
      {"extra bytes", "GET", ok + "Content-Length: 3\r\n\r\nabcdef", answered,
       200, "abc"},
      {"truncated body", "GET", ok + "Content-Length: 4\r\n\r\nabc", failed, 0,
       ""},
      {"truncated chunk", "GET", chunked + "4\r\nabc", failed, 0, ""},
      {"no last chunk", "GET", chunked + "3\r\nabc\r\n", failed, 0, ""},
      {"no end of the trailers", "GET", chunked + "3\r\nabc\r\n0\r\n", failed,
       0, ""},
      {"malformed chunk size", "GET", chunked + "0x3\r\nabc\r\n0\r\n\r\n",
       failed, 0, ""},
      {"negative chunk size", "GET", chunked + "-3\r\nabc\r\n0\r\n\r\n", failed,
       0, ""},
      {"no length", "GET", ok + "\r\nabc", failed, 0, ""},
      {"length and chunks", "GET",
       ok + "Content-Length: 3\r\nTransfer-Encoding: "
            "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
       failed, 0, ""},
      {"two lengths", "GET",
       ok + "Content-Length: 3\r\nContent-Length: 2\r\n\r\nabc", failed, 0, ""},
      {"negative length", "GET", ok + "Content-Length: -1\r\n\r\n", failed, 0,
       ""},
      {"other transfer encoding", "GET",
       ok + "Transfer-Encoding: gzip\r\n\r\nabc", failed, 0, ""},
      {"chunks in HTTP/1.0", "GET",
       "HTTP/1.0 200 OK\r\nTransfer-Encoding: "
       "chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
       failed, 0, ""},
      {"folded header", "GET",
       ok + "X: 1\r\n Content-Length: 3\r\nContent-Length: 0\r\n\r\n", failed,
       0, ""},
      {"garbage", "GET", "SSH-2.0-OpenSSH\r\n\r\n", failed, 0, ""},
      {"garbage status", "GET", "HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n",
       failed, 0, ""},
      {"status of four digits", "GET",
       "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n", failed, 0, ""},
      {"HTTP/2", "GET", "HTTP/2 200\r\nContent-Length: 0\r\n\r\n", failed, 0,
       ""},
      {"no response", "GET", "", failed, 0, ""},
      {"endless header", "GET", ok + "X: " + std::string(1 << 20, 'x'), failed,
       0, ""},
      {"many headers", "GET",
       ok +
           [] {
             std::string lines;
             while (lines.size() < (64 << 10)) {
               lines += "X-A: 1\r\n";
             }
             return lines;
           }() +
           "Content-Length: 0\r\n\r\n",
       failed, 0, ""},
  };
  for (const ResponseCase& test : cases) {
    for (const bool idempotent : {false, true}) {
      INFO(test.name);
      ClientFixture fixture(ReplyAndClose(test.reply));
      const BackendResult result =
          fixture.Call(test.method, kTestTimeout, idempotent);
      CHECK(result.outcome == test.outcome);
      CHECK(result.response.status == test.status);
      CHECK((result.response.body == test.body));
      CHECK(result.error.ok() == (test.outcome == answered));
    }
  }
}

// Guards against unbounded memory: the size limit of the headers applies while
// a line is still incomplete and the connection is open.
TEST_CASE("A response header without an end fails at the limit",
          "[backend_client]") {
  ClientFixture fixture([](RawSocket& socket, int) {
    bool closed = false;
    socket.Receive(HasHead, kTestTimeout, closed);
    socket.Send("HTTP/1.1 200 OK\r\nX: " + std::string(128 << 10, 'x'));
    socket.Receive(HasHead, kTestTimeout, closed);
  });
  CHECK(fixture.Call().outcome == BackendOutcome::kFailed);
}

// Guards against lost or changed headers, for example by decoding of percent
// signs, and against a request with two framings.
TEST_CASE("Request and headers are sent as given", "[backend_client]") {
  std::string received;
  ClientFixture fixture([&received](RawSocket& socket, int) {
    bool closed = false;
    received = socket.Receive(HasHead, kTestTimeout, closed);
    socket.Send("HTTP/1.1 200 OK\r\nX-P: %0d%41\r\nContent-Length: 0\r\n\r\n");
  });
  HttpRequest request{"POST",
                      "/a?b=%20",
                      {{"Host", "h"},
                       {"X-P", "%0d%41"},
                       {"Content-Length", "7"},
                       {"Transfer-Encoding", "chunked"},
                       {"Request-Timeout-Ms", "9"}},
                      ""};
  const auto never = [] { return false; };
  const BackendResult result = fixture.client.Call(
      {&request, false, Clock::now() + kTestTimeout, never});
  REQUIRE(result.outcome == BackendOutcome::kAnswered);
  CHECK(FindHeader(result.response.headers, "X-P") == "%0d%41");
  CHECK(received.rfind("POST /a?b=%20 HTTP/1.1\r\nHost: h\r\nX-P: %0d%41\r\n"
                       "Request-Timeout-Ms: 1",
                       0) == 0);
  CHECK(received.find("\r\nContent-Length: 0\r\n\r\n") != std::string::npos);
  CHECK(received.find("chunked") == std::string::npos);
  const std::vector<HttpRequest> invalid = {
      {"GET", "/a b", {}, ""},
      {"GET", "/a\r\n", {}, ""},
      {"GE T", "/a", {}, ""},
      {"GET", "/a", {{"X", "1\r\nY: 2"}}, ""},
      {"GET", "/a", {{"X: 1\r\nY", "2"}}, ""}};
  for (const HttpRequest& bad : invalid) {
    const BackendResult refused =
        fixture.client.Call({&bad, true, Clock::now() + kTestTimeout, never});
    CHECK(refused.outcome == BackendOutcome::kNotSent);
  }
}

// Guards invariant I2: bytes that arrive right after a response, or while the
// connection is idle, must not be read as the response to the next request.
TEST_CASE("An unsolicited response is never delivered", "[backend_client]") {
  const std::string own = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
  const std::string late = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
  for (const std::chrono::milliseconds delay :
       {std::chrono::milliseconds(0), std::chrono::milliseconds(50)}) {
    std::atomic<bool> sent{false};
    std::atomic<int> connections{0};
    ClientFixture fixture([&](RawSocket& socket, int connection) {
      bool closed = false;
      connections = connection + 1;
      socket.Receive(HasHead, kTestTimeout, closed);
      if (delay.count() == 0) {
        socket.Send(own + late);
      } else {
        socket.Send(own);
        std::this_thread::sleep_for(delay);
        socket.Send(late);
      }
      sent = true;
      socket.Receive(HasHead, kTestTimeout, closed);
    });
    CHECK(fixture.Call().response.body == "own");
    while (!sent) {
      std::this_thread::yield();
    }
    // The late response can already be read, since the loopback interface
    // delivers sent bytes at once.
    CHECK(fixture.Call().response.body == "own");
    CHECK(connections == 2);
  }
}

// Guards against delivering a response that was sent before its request. Here
// it arrives while the request is still being sent, because the server does not
// read the request.
TEST_CASE("A response before the end of the request is not delivered",
          "[backend_client]") {
  ClientFixture fixture([](RawSocket& socket, int) {
    socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly");
    std::this_thread::sleep_for(std::chrono::seconds(3));
  });
  const HttpRequest request{"POST", "/a", {}, std::string(16 << 20, 'x')};
  const BackendResult result = fixture.client.Call(
      {&request, false, Clock::now() + std::chrono::seconds(2),
       [] { return false; }});
  // The client detects the early bytes before or while it sends the request.
  CHECK((result.outcome == BackendOutcome::kNotSent ||
         result.outcome == BackendOutcome::kTimedOut));
  CHECK(result.response.status == 0);
  CHECK(result.response.body.empty());
}

// Guards against failing a request because the backend server closed the
// connection while it was idle.
TEST_CASE("A connection that was closed while idle is replaced",
          "[backend_client]") {
  std::atomic<int> served{0};
  ClientFixture fixture([&](RawSocket& socket, int /*connection*/) {
    bool closed = false;
    socket.Receive(HasHead, kTestTimeout, closed);
    socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
    ++served;
  });
  CHECK(fixture.Call().outcome == BackendOutcome::kAnswered);
  while (served == 0) {
    std::this_thread::yield();
  }
  CHECK(fixture.Call().outcome == BackendOutcome::kAnswered);
  CHECK(fixture.Call("POST", kTestTimeout, false).outcome ==
        BackendOutcome::kAnswered);
}

// Guards against repeats that the budget of the ingress does not permit, and
// against invariant I3: the request reached the backend server, so it must not
// be reported as not sent.
TEST_CASE("A request on a connection that ends at its reuse is sent once",
          "[backend_client]") {
  std::atomic<int> requests{0};
  ClientFixture fixture([&](RawSocket& socket, int /*connection*/) {
    bool closed = false;
    if (HasHead(socket.Receive(HasHead, kTestTimeout, closed))) {
      ++requests;
    }
    socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    if (HasHead(socket.Receive(HasHead, kTestTimeout, closed))) {
      ++requests;
    }
  });
  CHECK(fixture.Call().outcome == BackendOutcome::kAnswered);
  const BackendResult second = fixture.Call();
  CHECK(second.outcome == BackendOutcome::kFailed);
  CHECK(second.connection_stale);
  CHECK(requests == 2);
}

// Guards invariant I4: a request that must not run twice is sent only once,
// even if the backend server closes the connection without a response.
TEST_CASE("A non-idempotent request is sent once on a new connection",
          "[backend_client]") {
  std::atomic<int> requests{0};
  std::atomic<int> connections{0};
  ClientFixture fixture([&](RawSocket& socket, int connection) {
    bool closed = false;
    ++connections;
    while (HasHead(socket.Receive(HasHead, kTestTimeout, closed))) {
      ++requests;
      if (connection > 0) {
        return;
      }
      socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    }
  });
  CHECK(fixture.Call().outcome == BackendOutcome::kAnswered);
  // Reuses the first connection. The server has one thread, so it serves the
  // next connection only after this one has closed.
  CHECK(fixture.Call("GET").outcome == BackendOutcome::kAnswered);
  CHECK(connections == 1);
  const BackendResult result =
      fixture.Call("POST", std::chrono::milliseconds(500), false);
  CHECK(result.outcome != BackendOutcome::kAnswered);
  CHECK(requests == 2);
}

// Guards against a call that exceeds its deadline because the deadline applies
// to each read and not to the whole response. The call must end within 100 ms
// after the deadline.
TEST_CASE("A trickled response ends at the deadline", "[backend_client]") {
  constexpr std::chrono::milliseconds kDeadline{400};
  const std::vector<std::string> starts = {
      "HTTP/1.1 200 OK\r\nX: ",
      "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n", ""};
  for (const std::string& start : starts) {
    INFO(start);
    ClientFixture fixture([&start](RawSocket& socket, int) {
      bool closed = false;
      socket.Receive(HasHead, kTestTimeout, closed);
      socket.Send(start);
      while (!closed && (start.empty() || socket.Send("a"))) {
        socket.Receive(HasHead, std::chrono::milliseconds(5), closed);
      }
    });
    const Clock::time_point begin = Clock::now();
    const BackendResult result = fixture.Call("GET", kDeadline);
    const auto taken = Clock::now() - begin;
    CHECK(result.outcome == BackendOutcome::kTimedOut);
    CHECK(taken >= kDeadline);
    CHECK(taken < kDeadline + std::chrono::milliseconds(100));
  }
}

// Guards against a call that continues after it was cancelled.
TEST_CASE("A cancelled call ends and its connection is closed",
          "[backend_client]") {
  std::atomic<bool> received{false};
  std::atomic<bool> ended{false};
  ClientFixture fixture([&](RawSocket& socket, int) {
    bool closed = false;
    socket.Receive(HasHead, kTestTimeout, closed);
    received = true;
    socket.Receive(HasHead, kTestTimeout, closed);
    ended = closed;
  });
  const Clock::time_point begin = Clock::now();
  const BackendResult result = fixture.Call(
      "GET", kTestTimeout, true, [&received] { return received.load(); });
  CHECK(result.outcome == BackendOutcome::kCancelled);
  CHECK(Clock::now() - begin < kTestTimeout / 2);
  while (!ended && Clock::now() - begin < kTestTimeout) {
    std::this_thread::yield();
  }
  CHECK(ended);
}

// Guards invariant I3: a request that could not be sent is reported as not
// sent, and an address that does not reply delays it by at most the connect
// timeout of 250 ms.
TEST_CASE("Connect failures are reported as not sent", "[backend_client]") {
  TimerService timers;
  CallWatchdog watchdog(timers);
  const HttpRequest request{"GET", "/a", {}, ""};
  // A listener whose backlog is full does not complete new connections.
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  ::inet_pton(AF_INET, kIp, &address.sin_addr);
  socklen_t length = sizeof(address);
  REQUIRE(::bind(listener, reinterpret_cast<sockaddr*>(&address), length) == 0);
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &length);
  BackendClient client(kIp, ntohs(address.sin_port), watchdog);
  const auto call = [&] {
    return client.Call(
        {&request, true, Clock::now() + kTestTimeout, [] { return false; }});
  };
  CHECK(call().outcome == BackendOutcome::kNotSent);  // Connection refused.
  REQUIRE(::listen(listener, 0) == 0);
  const auto filler = RawSocket::Connect(kIp, ntohs(address.sin_port));
  const Clock::time_point begin = Clock::now();
  CHECK(call().outcome == BackendOutcome::kNotSent);
  CHECK(Clock::now() - begin < std::chrono::seconds(2));
  const BackendResult late =
      client.Call({&request, true, Clock::now(), [] { return false; }});
  CHECK(late.outcome == BackendOutcome::kNotSent);
  ::close(listener);
}

BackendProtocol SignedProtocol() {
  BackendProtocol protocol;
  protocol.headers.attempt_id = "X-Attempt";
  protocol.headers.time_left = "X-Left";
  protocol.headers.signature = "X-Mark";
  protocol.close_delimited = true;
  return protocol;
}

BackendResult CallSigned(const RawServer& server) {
  TimerService timers;
  CallWatchdog watchdog(timers);
  BackendClient client(kIp, server.Port(), watchdog, SignedProtocol());
  HttpRequest request{"GET", "/a", {{"X-Attempt", "7"}}, ""};
  return client.Call(
      {&request, true, Clock::now() + kTestTimeout, [] { return false; }});
}

// Guards invariant I2 against a late or additional response that precedes the
// response to the request, and against responses that do not come from the
// backend server.
TEST_CASE("Responses are matched by attempt and signature",
          "[backend_client]") {
  const std::string own =
      "HTTP/1.1 200 OK\r\nX-Attempt: 7\r\nX-Mark: m\r\n"
      "Content-Length: 3\r\n\r\nown";
  const std::string other =
      "HTTP/1.1 200 OK\r\nX-Attempt: 6\r\nX-Mark: m\r\n"
      "Content-Length: 5\r\n\r\nother";
  const std::string refusal_of_other =
      "HTTP/1.1 503 S\r\nX-Attempt: 6\r\nX-Not-Run: 1\r\n"
      "Content-Length: 0\r\n\r\n";
  const std::string refusal_without_id =
      "HTTP/1.1 503 S\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  struct Case {
    std::string name;
    std::string reply;
    BackendOutcome outcome;
    std::string body;
  };
  const std::vector<Case> cases = {
      {"own", own, BackendOutcome::kAnswered, "own"},
      {"other first", other + own, BackendOutcome::kAnswered, "own"},
      {"only others", other + other + other + other + own,
       BackendOutcome::kFailed, ""},
      {"refusal of another first", refusal_of_other + own,
       BackendOutcome::kAnswered, "own"},
      {"only the refusal of another", refusal_of_other, BackendOutcome::kFailed,
       ""},
      {"refusal without an id after another", other + refusal_without_id,
       BackendOutcome::kFailed, ""},
      {"refusal without an id", refusal_without_id, BackendOutcome::kAnswered,
       ""},
      {"no signature", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
       BackendOutcome::kFailed, ""},
      {"error without signature",
       "HTTP/1.1 500 E\r\nContent-Length: 1\r\n\r\nx",
       BackendOutcome::kAnswered, "x"},
      {"encoded",
       "HTTP/1.1 200 OK\r\nX-Mark: m\r\nContent-Encoding: gzip\r\n"
       "Content-Length: 1\r\n\r\nx",
       BackendOutcome::kFailed, ""},
      {"ends with the connection",
       "HTTP/1.1 200 OK\r\nX-Mark: m\r\n\r\nall of it",
       BackendOutcome::kAnswered, "all of it"},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    const RawServer server(kIp, ReplyAndClose(c.reply));
    const BackendResult result = CallSigned(server);
    CHECK(result.outcome == c.outcome);
    CHECK(result.response.body == c.body);
  }
}

// Guards against taking a truncated response without a length for a complete
// one.
TEST_CASE("A reset does not end a response without a length",
          "[backend_client]") {
  const RawServer server(kIp, [](RawSocket& socket, int /*connection*/) {
    bool closed = false;
    socket.Receive(HasHead, kTestTimeout, closed);
    socket.Send("HTTP/1.1 200 OK\r\nX-Mark: m\r\n\r\npart");
    socket.ResetOnClose();
  });
  CHECK(CallSigned(server).outcome == BackendOutcome::kFailed);
}

// Guards against sending a request over a connection that the backend server is
// about to close.
TEST_CASE("A connection is not reused at the end of its idle time",
          "[backend_client]") {
  std::atomic<int> connections{0};
  const RawServer server(kIp, [&](RawSocket& socket, int /*connection*/) {
    ++connections;
    bool closed = false;
    while (!closed) {
      socket.Receive(HasHead, kTestTimeout, closed);
      socket.Send(
          "HTTP/1.1 200 OK\r\nX-Mark: m\r\nX-Attempt: 7\r\n"
          "Keep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n");
      // The server serves one connection at a time.
      closed = true;
    }
  });
  TimerService timers;
  CallWatchdog watchdog(timers);
  BackendClient client(kIp, server.Port(), watchdog, SignedProtocol());
  HttpRequest request{"GET", "/a", {{"X-Attempt", "7"}}, ""};
  for (int i = 0; i < 2; ++i) {
    CHECK(client
              .Call({&request, true, Clock::now() + kTestTimeout,
                     [] { return false; }})
              .outcome == BackendOutcome::kAnswered);
  }
  CHECK(connections == 2);
}

void CallInParallel(ClientFixture& fixture, int calls) {
  std::vector<std::thread> threads;
  std::atomic<int> answered{0};
  threads.reserve(static_cast<std::size_t>(calls));
  for (int i = 0; i < calls; ++i) {
    threads.emplace_back([&] {
      if (fixture.Call("POST", std::chrono::seconds(2), false).outcome ==
          BackendOutcome::kAnswered) {
        ++answered;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(answered == calls);
}

// Guards against requests that time out at a backend server with free slots,
// since its own idle connections occupy all of its threads.
TEST_CASE("Idle connections do not occupy the threads of a backend server",
          "[backend_client]") {
  constexpr int kSlots = 4;
  ClientFixture fixture(
      [](RawSocket& socket, int) {
        bool closed = false;
        while (HasHead(socket.Receive(HasHead, kTestTimeout, closed))) {
          std::this_thread::sleep_for(std::chrono::milliseconds(50));
          socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
      },
      kSlots);
  CallInParallel(fixture, kSlots);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  CHECK(fixture.Call("POST", std::chrono::seconds(1), false).outcome ==
        BackendOutcome::kAnswered);
  CallInParallel(fixture, kSlots);
  CHECK(fixture.Call("GET", std::chrono::seconds(1), true).outcome ==
        BackendOutcome::kAnswered);
}

// Guards against idle connections that stay open for good, since later requests
// take more recent ones or none.
TEST_CASE("An idle connection is closed before the server's idle timeout",
          "[backend_client]") {
  constexpr std::chrono::seconds kIdleTimeout{2};
  std::atomic<bool> closed_by_client{false};
  ClientFixture fixture([&](RawSocket& socket, int) {
    bool closed = false;
    socket.Receive(HasHead, kTestTimeout, closed);
    socket.Send(
        "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\n"
        "Content-Length: 0\r\n\r\n");
    socket.Receive(HasHead, kIdleTimeout, closed);
    closed_by_client = closed;
  });
  CHECK(fixture.Call().outcome == BackendOutcome::kAnswered);
  std::this_thread::sleep_for(kIdleTimeout);
  CHECK(closed_by_client);
}

// Guards against connections beyond the slots after a change of the
// configuration.
TEST_CASE("Fewer slots close idle connections", "[backend_client]") {
  constexpr int kSlots = 4;
  std::atomic<int> open{0};
  ClientFixture fixture(
      [&](RawSocket& socket, int) {
        ++open;
        bool closed = false;
        while (HasHead(socket.Receive(HasHead, kTestTimeout, closed))) {
          std::this_thread::sleep_for(std::chrono::milliseconds(100));
          socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
        --open;
      },
      kSlots);
  CallInParallel(fixture, kSlots);
  CHECK(open == kSlots);
  fixture.client.SetConnectionLimit(1);
  const Clock::time_point begin = Clock::now();
  while (open > 1 && Clock::now() - begin < std::chrono::seconds(1)) {
    std::this_thread::yield();
  }
  CHECK(open == 1);
}

// When a backend server writes a copy of an earlier refusal.
enum class CopyTime { kAtOnce, kWhileIdle, kAfterNextRequest };

struct RefusalCopyCase {
  bool with_ids = true;
  bool first_refused = true;
  std::string copy_id;
  std::string second_id = "2";
  CopyTime copy_time = CopyTime::kAtOnce;
  bool idempotent = true;
};

std::string MakeRefusal(const std::string& id) {
  return "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n" +
         (id.empty() ? "" : "X-Attempt: " + id + "\r\n") +
         "Content-Length: 0\r\n\r\n";
}

std::string MakeOwnResponse(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nX-Attempt: " + id +
         "\r\nContent-Length: 3\r\n\r\nown";
}

BackendResult CallWithId(BackendClient& client,
                         const std::string& id,
                         bool idempotent) {
  const HttpRequest request{"POST", "/a", {{"X-Attempt", id}}, ""};
  return client.Call({&request, idempotent,
                      Clock::now() + std::chrono::seconds(2),
                      [] { return false; }});
}

void CheckRefusalCopy(const RefusalCopyCase& test) {
  INFO("ids " << test.with_ids << ", first refused " << test.first_refused
              << ", id of the copy '" << test.copy_id << "', second id "
              << test.second_id << ", copy time "
              << static_cast<int>(test.copy_time) << ", idempotent "
              << test.idempotent);
  constexpr int kThreads = 4;
  BackendProtocol protocol;
  protocol.headers.not_executed = "X-Not-Run";
  protocol.headers.attempt_id = test.with_ids ? "X-Attempt" : "";
  std::atomic<int> runs{0};
  std::atomic<bool> copied{false};
  const std::string first_id = test.copy_id.empty() ? "1" : test.copy_id;
  const std::string copy = MakeRefusal(test.copy_id);
  const RawServer server(
      kIp,
      [&](RawSocket& socket, int connection) {
        bool closed = false;
        std::string request = socket.Receive(HasHead, kTestTimeout, closed);
        if (connection == 0) {
          socket.Send((test.first_refused ? MakeRefusal(first_id)
                                          : MakeOwnResponse(first_id)) +
                      (test.copy_time == CopyTime::kAtOnce ? copy : ""));
          if (test.copy_time == CopyTime::kWhileIdle) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
            socket.Send(copy);
          }
          copied = true;
          request = socket.Receive(HasHead, kTestTimeout, closed);
        }
        if (HasHead(request)) {
          // Counted before any byte is sent, since the client may return as
          // soon as it has read the copy.
          ++runs;
          if (connection == 0 &&
              test.copy_time == CopyTime::kAfterNextRequest) {
            socket.Send(copy);
          }
          socket.Send(MakeOwnResponse(test.second_id));
          socket.Receive(HasHead, kTestTimeout, closed);
        }
      },
      kThreads);
  TimerService timers;
  CallWatchdog watchdog(timers);
  BackendClient client(kIp, server.Port(), watchdog, protocol);
  CHECK(CallWithId(client, first_id, true).response.status ==
        (test.first_refused ? 503 : 200));
  while (!copied) {
    std::this_thread::yield();
  }
  BackendResult second = CallWithId(client, test.second_id, test.idempotent);
  const BackendReplyClass reply = ClassifyReply(second, protocol.headers);
  const rpc::Result result =
      ToResult(second, reply, TakeDeliverable(second, reply, protocol.headers));
  CHECK(runs == 1);
  if (second.connection_stale) {
    CHECK(test.idempotent);
    CHECK(result.outcome() == rpc::OUTCOME_UNKNOWN);
    CHECK(result.sent_to_backend());
    return;
  }
  CHECK(result.answer().status() == 200);
  CHECK(result.answer().body() == "own");
  CHECK(result.outcome() == rpc::OUTCOME_ANSWERED);
}

// Guards against 'not run' for a request that runs, since the backend server
// writes an earlier refusal once more on a kept connection.
TEST_CASE("A copy of an earlier refusal is not taken for a response",
          "[backend_client]") {
  for (const CopyTime copy_time :
       {CopyTime::kAtOnce, CopyTime::kWhileIdle, CopyTime::kAfterNextRequest}) {
    for (const bool idempotent : {false, true}) {
      for (const char* copy_id : {"", "1"}) {
        for (const bool first_refused : {false, true}) {
          CheckRefusalCopy(
              {true, first_refused, copy_id, "2", copy_time, idempotent});
        }
        CheckRefusalCopy({false, true, copy_id, "2", copy_time, idempotent});
      }
      // The same attempt is sent again after its refusal.
      CheckRefusalCopy({true, true, "2", "2", copy_time, idempotent});
    }
  }
}

}  // namespace
}  // namespace comfrey
