#include "daemon/http_frontend.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "daemon/raw_socket.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

constexpr char kIp[] = "127.9.1.1";
constexpr std::chrono::seconds kTestTimeout{20};
constexpr std::size_t kBodyLimit = 1000;
constexpr std::size_t kHeaderLimit = 16 << 10;

int FreePort() {
  const RawServer server(kIp, [](RawSocket&, int) {});
  return server.Port();
}

FrontendPages MakePages() {
  FrontendPages pages;
  pages.ready = [] { return true; };
  pages.status = [] { return std::string("{}"); };
  pages.burn = [] { return std::string("{}"); };
  pages.explain = [](const ExplainQuery& query) { return query.target; };
  return pages;
}

// A frontend with a handler that records the requests and replies to them.
class FakeDaemon {
 public:
  explicit FakeDaemon(
      std::size_t connections = 10,
      FrontendPages pages = MakePages(),
      std::chrono::milliseconds response_timeout = std::chrono::seconds(30),
      std::chrono::milliseconds stop_idle_time = std::chrono::seconds(1))
      : port(FreePort()),
        frontend(
            [this](const HttpRequest& request, const CancelCheck& cancelled) {
              return this->Handle(request, cancelled);
            },
            this->counters,
            FrontendLimits{connections, kBodyLimit, kHeaderLimit,
                           response_timeout, stop_idle_time},
            std::move(pages)) {
    REQUIRE(this->frontend.Start(kIp, this->port).ok());
  }

  std::unique_ptr<RawSocket> Connect() const {
    return RawSocket::Connect(kIp, this->port);
  }

  std::vector<HttpRequest> Requests() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->requests;
  }

  std::mutex mutex;
  std::vector<HttpRequest> requests;
  int port;
  std::function<HttpResponse(const HttpRequest&)> respond =
      [](const HttpRequest& request) {
        return HttpResponse{200, {{"X-Answer", "yes"}}, request.target + "\n"};
      };
  std::atomic<bool> wait_for_cancel{false};
  std::atomic<bool> saw_cancel{false};
  CounterRegistry counters;
  HttpFrontend frontend;

 private:
  IngressReply Handle(const HttpRequest& request,
                      const CancelCheck& cancelled) {
    if (this->wait_for_cancel) {
      const Clock::time_point begin = Clock::now();
      while (!cancelled() && Clock::now() - begin < kTestTimeout) {
        std::this_thread::yield();
      }
      this->saw_cancel = cancelled();
    }
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->requests.push_back(request);
    }
    return {CallerOutcome::kAnswered, this->respond(request)};
  }
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

bool UntilClosed(const std::string& /*bytes*/) {
  return false;
}

struct RefusedRequest {
  std::string name;
  std::string request;
  int status;
};

std::vector<RefusedRequest> RefusedRequests() {
  const std::string post = "POST /a HTTP/1.1\r\nHost: a\r\n";
  const std::string get = "GET /a HTTP/1.1\r\nHost: a\r\n";
  const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"length and chunked",
       post +
           "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       400},
      {"two lengths",
       post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400},
      {"list of lengths", post + "Content-Length: 3, 3\r\n\r\nabc", 400},
      {"empty length", post + "Content-Length:\r\n\r\n", 400},
      {"hexadecimal length", post + "Content-Length: 0x3\r\n\r\nabc", 400},
      {"negative length", post + "Content-Length: -3\r\n\r\nabc", 400},
      {"length with sign", post + "Content-Length: +3\r\n\r\nabc", 400},
      {"length beyond 64 bits",
       post + "Content-Length: 18446744073709551619\r\n\r\nabc", 400},
      {"other transfer encoding", post + "Transfer-Encoding: gzip\r\n\r\nabc",
       400},
      {"list of transfer encodings",
       post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
      {"two transfer encodings",
       post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: "
              "identity\r\n\r\n0\r\n\r\n",
       400},
      {"chunked in HTTP/1.0",
       "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {"chunk size with prefix", chunked + "0x3\r\nabc\r\n0\r\n\r\n", 400},
      {"chunk size with sign", chunked + "+3\r\nabc\r\n0\r\n\r\n", 400},
      {"negative chunk size", chunked + "-3\r\nabc\r\n0\r\n\r\n", 400},
      {"chunk size after space", chunked + " 3\r\nabc\r\n0\r\n\r\n", 400},
      {"chunk size before space", chunked + "3 \r\nabc\r\n0\r\n\r\n", 400},
      {"empty chunk size", chunked + "\r\nabc\r\n0\r\n\r\n", 400},
      {"chunk size beyond 64 bits",
       chunked + "10000000000000003\r\nabc\r\n0\r\n\r\n", 400},
      {"chunk size with bare LF", chunked + "3\nabc\r\n0\r\n\r\n", 400},
      {"chunk longer than its size", chunked + "3\r\nabcd\r\n0\r\n\r\n", 400},
      {"malformed trailer", chunked + "0\r\nno colon\r\n\r\n", 400},
      {"space before colon", post + "Content-Length : 3\r\n\r\nabc", 400},
      {"folded header", get + "X-A: 1\r\n Content-Length: 3\r\n\r\nabc", 400},
      {"line without colon", get + "Content-Length\r\n\r\n", 400},
      {"header without name", get + ": 1\r\n\r\n", 400},
      {"bare LF in headers", post + "X-A: 1\nContent-Length: 3\r\n\r\nabc",
       400},
      {"bare CR in headers", get + "X-A: 1\rX-B: 2\r\n\r\n", 400},
      {"NUL in a header", get + "X-A: 1" + std::string(1, '\0') + "\r\n\r\n",
       400},
      {"NUL in the target",
       "GET /a" + std::string(1, '\0') + " HTTP/1.1\r\nHost: a\r\n\r\n", 400},
      {"two spaces in the request line", "GET  /a HTTP/1.1\r\nHost: a\r\n\r\n",
       400},
      {"no version", "GET /a\r\nHost: a\r\n\r\n", 400},
      {"HTTP/2.0", "GET /a HTTP/2.0\r\nHost: a\r\n\r\n", 400},
      {"no host", "GET /a HTTP/1.1\r\n\r\n", 400},
      {"two hosts", get + "Host: b\r\n\r\n", 400},
      {"fragment", "GET /a#b HTTP/1.1\r\nHost: a\r\n\r\n", 400},
      {"authority form", "GET a:80 HTTP/1.1\r\nHost: a\r\n\r\n", 400},
      {"other method", "CONNECT /a HTTP/1.1\r\nHost: a\r\n\r\n", 501},
      {"long target",
       "GET /" + std::string(9000, 'a') + " HTTP/1.1\r\nHost: a\r\n\r\n", 414},
      {"long header line",
       get + "X-A: " + std::string(kHeaderLimit, 'a') + "\r\n\r\n", 431},
      {"endless header line", get + std::string(4 * kHeaderLimit, 'a'), 431},
      {"many header lines",
       get +
           [] {
             std::string lines;
             while (lines.size() < 2 * kHeaderLimit) {
               lines += "X-A: 1\r\n";
             }
             return lines;
           }() +
           "\r\n",
       431},
      {"long body by length",
       post + "Content-Length: 1001\r\n\r\n" + std::string(1001, 'a'), 413},
      {"long body announced only", post + "Content-Length: 1001\r\n\r\n", 413},
      {"long body by chunks",
       chunked + "300\r\n" + std::string(0x300, 'a') + "\r\n300\r\n" +
           std::string(0x300, 'a') + "\r\n0\r\n\r\n",
       413},
      {"one long chunk", chunked + "ffffffff\r\n", 413},
      {"encoded body",
       post + "Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc", 415},
      {"other expectation",
       post + "Expect: 200-ok\r\nContent-Length: 3\r\n\r\nabc", 417},
  };
}

// Guards against request smuggling and unbounded input: a request whose end is
// ambiguous or that is too large must not be forwarded, and the bytes after it
// must not be read as a request.
TEST_CASE("Unsafe requests are refused and nothing after them is read",
          "[http_frontend]") {
  FakeDaemon daemon;
  for (const RefusedRequest& test : RefusedRequests()) {
    INFO(test.name);
    const std::size_t before = daemon.Requests().size();
    const auto caller = daemon.Connect();
    caller->Send(test.request + "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n");
    bool closed = false;
    const std::string reply =
        caller->Receive(UntilClosed, kTestTimeout, closed);
    CHECK(closed);
    CHECK(reply.rfind("HTTP/1.1 " + std::to_string(test.status) + " ", 0) == 0);
    CHECK(Contains(reply, "Comfrey-Outcome: not-run\r\n"));
    CHECK(Contains(reply, "Connection: close\r\n"));
    CHECK(reply.find("HTTP/1.1 ", 1) == std::string::npos);
    CHECK(daemon.Requests().size() == before);
  }
}

struct AcceptedRequest {
  std::string name;
  std::string request;
  std::string target;
  std::string body;
  bool close;
};

// Guards against a request whose end is determined wrongly: a second request on
// the same connection must arrive as sent.
TEST_CASE("Valid requests are forwarded as sent and the connection is reused",
          "[http_frontend]") {
  const std::string host = " HTTP/1.1\r\nHost: a\r\n";
  const std::vector<AcceptedRequest> cases = {
      {"no body", "GET /a?b=%2F" + host + "\r\n", "/a?b=%2F", "", false},
      {"GET with a body", "GET /a" + host + "Content-Length: 3\r\n\r\nabc",
       "/a", "abc", false},
      {"OPTIONS with a body",
       "OPTIONS /a" + host + "Content-Length: 3\r\n\r\nabc", "/a", "abc",
       false},
      {"POST without a length", "POST /a" + host + "\r\n", "/a", "", false},
      {"DELETE without a length", "DELETE /a" + host + "\r\n", "/a", "", false},
      {"length", "POST /a" + host + "Content-Length: 3\r\n\r\nabc", "/a", "abc",
       false},
      {"chunks",
       "POST /a" + host +
           "Transfer-Encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\n"
           "X-T: 1\r\n\r\n",
       "/a", "abcde", false},
      {"body at the limit",
       "POST /a" + host + "Content-Length: 1000\r\n\r\n" +
           std::string(kBodyLimit, 'a'),
       "/a", std::string(kBodyLimit, 'a'), false},
      {"absolute form", "GET http://b:80/a?c" + host + "\r\n", "/a?c", "",
       false},
      {"absolute form without a path", "GET http://b" + host + "\r\n", "/", "",
       false},
      {"encoded line feed in the path", "GET /a%0a%00" + host + "\r\n",
       "/a%0a%00", "", false},
      {"long target", "GET /" + std::string(7000, 'a') + host + "\r\n",
       "/" + std::string(7000, 'a'), "", false},
      {"close requested", "GET /a" + host + "Connection: x, Close\r\n\r\n",
       "/a", "", true},
      {"HTTP/1.0", "GET /a HTTP/1.0\r\n\r\n", "/a", "", true},
  };
  FakeDaemon daemon;
  for (const AcceptedRequest& test : cases) {
    INFO(test.name);
    const std::size_t before = daemon.Requests().size();
    const auto caller = daemon.Connect();
    caller->Send(test.request + "PUT /next HTTP/1.1\r\nHost: a\r\n\r\n");
    bool closed = false;
    const std::string reply = caller->ReceiveResponse(kTestTimeout, closed);
    CHECK(reply.rfind("HTTP/1.1 200 ", 0) == 0);
    CHECK_FALSE(Contains(reply, "Comfrey-Outcome"));
    CHECK(Contains(reply, "\r\n\r\n" + test.target + "\n"));
    CHECK(Contains(reply, "Connection: close\r\n") == test.close);
    const std::string next = caller->ReceiveResponse(kTestTimeout, closed);
    CHECK(closed == test.close);
    CHECK(Contains(next, "/next\n") != test.close);
    const std::vector<HttpRequest> requests = daemon.Requests();
    REQUIRE(requests.size() == before + (test.close ? 1 : 2));
    CHECK(requests[before].target == test.target);
    CHECK(requests[before].body == test.body);
  }
}

// Guards against the decoding of percent signs in header values, which the HTTP
// library does, and against forwarding hop-by-hop headers to the backend
// server.
TEST_CASE("Headers are forwarded as sent, except those of the connection",
          "[http_frontend]") {
  FakeDaemon daemon;
  const auto caller = daemon.Connect();
  caller->Send(
      "GET http://b/a HTTP/1.1\r\nHost: a\r\nX-Percent: a%0d%0aX-Evil: 1\r\n"
      "Range: bytes=0-1\r\nAccept-Encoding: gzip\r\nConnection: X-Hop\r\n"
      "X-Hop: 1\r\nX-Two: 1\r\nX-Two: 2\r\nTE: trailers\r\n\r\n");
  bool closed = false;
  caller->ReceiveResponse(kTestTimeout, closed);
  const std::vector<HttpRequest> requests = daemon.Requests();
  REQUIRE(requests.size() == 1);
  const std::vector<HttpHeader> expected = {
      {"Host", "b"},          {"X-Percent", "a%0d%0aX-Evil: 1"},
      {"Range", "bytes=0-1"}, {"Accept-Encoding", "gzip"},
      {"X-Two", "1"},         {"X-Two", "2"}};
  CHECK(requests[0].headers == expected);
}

// Guards against changes by the HTTP library to a response: applying a Range
// header, compression and additional headers.
TEST_CASE("Responses of backend servers are delivered unchanged",
          "[http_frontend]") {
  FakeDaemon daemon;
  const std::string body(900, 'x');
  daemon.respond = [&body](const HttpRequest& request) {
    if (request.target == "/empty") {
      return HttpResponse{
          204, {{"X-A", "1"}, {"Content-Length", "5"}}, "abcde"};
    }
    return HttpResponse{206,
                        {{"Content-Range", "bytes 0-899/1000"},
                         {"Content-Length", "900"},
                         {"Transfer-Encoding", "chunked"},
                         {"Connection", "close, X-Hop"},
                         {"X-Hop", "1"}},
                        request.method == "HEAD" ? "" : body};
  };
  const auto caller = daemon.Connect();
  const std::string headers =
      "Host: a\r\nRange: bytes=0-1\r\nAccept-Encoding: gzip, br\r\n\r\n";
  const std::string expected =
      "HTTP/1.1 206 Partial Content\r\nContent-Length: 900\r\n"
      "Content-Range: bytes 0-899/1000\r\nKeep-Alive: timeout=5\r\n\r\n";
  bool closed = false;
  caller->Send("GET /a HTTP/1.1\r\n" + headers);
  CHECK(caller->ReceiveResponse(kTestTimeout, closed) == expected + body);
  caller->Send("HEAD /a HTTP/1.1\r\n" + headers);
  CHECK(caller->Receive(HasHead, kTestTimeout, closed) == expected);
  caller->Send("GET /empty HTTP/1.1\r\n" + headers);
  CHECK(caller->Receive(HasHead, kTestTimeout, closed) ==
        "HTTP/1.1 204 No Content\r\nKeep-Alive: timeout=5\r\nX-A: 1\r\n\r\n");
  caller->Send("GET /comfrey/readyz HTTP/1.1\r\n" + headers);
  const std::string page = caller->ReceiveResponse(kTestTimeout, closed);
  CHECK(page.rfind("HTTP/1.1 200 ", 0) == 0);
  CHECK(Contains(page, "\r\n\r\nready"));
}

// Guards against a caller that waits for 100 Continue in vain before it sends a
// body, and against requesting a body that will be refused.
TEST_CASE("100 Continue is sent only for a body that will be read",
          "[http_frontend]") {
  FakeDaemon daemon;
  bool closed = false;
  const std::string head =
      "POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n";
  const auto caller = daemon.Connect();
  caller->Send(head + "Content-Length: 3\r\n\r\n");
  CHECK(caller->Receive(HasHead, kTestTimeout, closed) ==
        "HTTP/1.1 100 Continue\r\n\r\n");
  caller->Send("abc");
  CHECK(Contains(caller->ReceiveResponse(kTestTimeout, closed), " 200 "));
  REQUIRE(daemon.Requests().size() == 1);
  CHECK(daemon.Requests()[0].body == "abc");
  const auto refused = daemon.Connect();
  refused->Send(head + "Content-Length: 1001\r\n\r\n");
  CHECK(refused->Receive(HasHead, kTestTimeout, closed)
            .rfind("HTTP/1.1 413 ", 0) == 0);
}

// Guards against unbounded memory: the size limit of the headers applies while
// a line is still incomplete.
TEST_CASE("A header line without an end is refused at the limit",
          "[http_frontend]") {
  FakeDaemon daemon;
  const auto caller = daemon.Connect();
  caller->Send("GET /a HTTP/1.1\r\nX-A: " + std::string(kHeaderLimit, 'a'));
  bool closed = false;
  const std::string reply = caller->ReceiveResponse(kTestTimeout, closed);
  CHECK(reply.rfind("HTTP/1.1 431 ", 0) == 0);
}

// Guards against slow callers that hold a thread indefinitely: the head must
// arrive within 5 s and the body within 10 s, even if single bytes arrive in
// between.
TEST_CASE("A trickled request is refused at its limit", "[http_frontend]") {
  FakeDaemon daemon;
  const auto trickle = [&daemon](const std::string& start) {
    const auto caller = daemon.Connect();
    caller->Send(start);
    bool closed = false;
    std::string reply;
    const Clock::time_point begin = Clock::now();
    while (reply.empty() && !closed && Clock::now() < begin + kTestTimeout) {
      caller->Send("a");
      reply = caller->Receive(HasHead, std::chrono::milliseconds(200), closed);
    }
    return reply;
  };
  const auto slow_head = std::async(
      std::launch::async, [&] { return trickle("GET /a HTTP/1.1\r\nX-A: "); });
  const auto slow_body = std::async(std::launch::async, [&] {
    return trickle(
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n");
  });
  slow_head.wait();
  slow_body.wait();
  CHECK(daemon.Requests().empty());
  auto& head = const_cast<std::future<std::string>&>(slow_head);
  auto& body = const_cast<std::future<std::string>&>(slow_body);
  CHECK(head.get().rfind("HTTP/1.1 408 ", 0) == 0);
  CHECK(body.get().rfind("HTTP/1.1 408 ", 0) == 0);
}

// Guards against running an incomplete request, and against discarding a
// complete one because its caller closed the write side of the connection.
TEST_CASE("A half-closed connection gets the reply to a whole request",
          "[http_frontend]") {
  FakeDaemon daemon;
  bool closed = false;
  const auto whole = daemon.Connect();
  whole->Send("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc");
  whole->ShutdownWrite();
  CHECK(Contains(whole->Receive(UntilClosed, kTestTimeout, closed), " 200 "));
  CHECK(closed);
  const std::vector<std::string> parts = {
      "GET /a HT", "GET /a HTTP/1.1\r\nHost: a\r\n",
      "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nab",
      "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
      "chunked\r\n\r\n3\r\nabc\r\n"};
  for (const std::string& part : parts) {
    INFO(part);
    const auto cut = daemon.Connect();
    cut->Send(part);
    cut->ShutdownWrite();
    const std::string reply = cut->Receive(UntilClosed, kTestTimeout, closed);
    CHECK(closed);
    CHECK(reply.rfind("HTTP/1.1 400 ", 0) == 0);
    CHECK(Contains(reply, "Comfrey-Outcome: not-run\r\n"));
  }
  CHECK(daemon.Requests().size() == 1);
}

// Guards against callers that wait for a thread: a caller beyond the limit gets
// a response at once, even if the callers before it are slow.
TEST_CASE("Connections beyond the limit are refused without waiting",
          "[http_frontend]") {
  FakeDaemon daemon(2);
  bool closed = false;
  const std::string request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
  std::vector<std::unique_ptr<RawSocket>> served;
  for (int i = 0; i < 2; ++i) {
    served.push_back(daemon.Connect());
    served.back()->Send(request);
    CHECK(Contains(served.back()->ReceiveResponse(kTestTimeout, closed),
                   " 200 "));
  }
  // These callers connect and send no request.
  std::vector<std::unique_ptr<RawSocket>> silent;
  silent.reserve(80);
  for (int i = 0; i < 80; ++i) {
    silent.push_back(daemon.Connect());
  }
  const auto refused = daemon.Connect();
  refused->Send(request);
  for (const auto& caller : silent) {
    const std::string reply = caller->Receive(HasHead, kTestTimeout, closed);
    CHECK(reply.rfind("HTTP/1.1 503 ", 0) == 0);
    CHECK(Contains(reply, "Comfrey-Outcome: not-run\r\n"));
  }
  CHECK(refused->Receive(HasHead, kTestTimeout, closed)
            .rfind("HTTP/1.1 503 ", 0) == 0);
  served[0]->Send(request);
  CHECK(Contains(served[0]->ReceiveResponse(kTestTimeout, closed), " 200 "));
  CHECK(daemon.Requests().size() == 3);
}

// Guards against requests that a planned stop interrupts or breaks off.
TEST_CASE("A stop completes requests and refuses later ones",
          "[http_frontend]") {
  FakeDaemon daemon(10, MakePages(), std::chrono::seconds(30),
                    std::chrono::seconds(3));
  bool closed = false;
  std::promise<void> release;
  const std::shared_future<void> released = release.get_future().share();
  std::atomic<bool> running{false};
  daemon.respond = [&](const HttpRequest& request) {
    if (request.target == "/slow") {
      running = true;
      released.wait();
    }
    return HttpResponse{200, {}, "done"};
  };
  const auto idle = daemon.Connect();
  const auto late = daemon.Connect();
  for (const auto* caller : {&idle, &late}) {
    (*caller)->Send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::string reply = (*caller)->ReceiveResponse(kTestTimeout, closed);
    CHECK_FALSE(Contains(reply, "Connection: close"));
  }
  const auto slow = daemon.Connect();
  slow->Send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
  while (!running) {
    std::this_thread::yield();
  }
  auto stop = std::async(std::launch::async, [&] { daemon.frontend.Stop(); });
  // Connects until the listener is closed, which shows that the stop began.
  CHECK_THROWS([&daemon] {
    for (const Clock::time_point begin = Clock::now();
         Clock::now() - begin < kTestTimeout;) {
      daemon.Connect();
    }
  }());
  late->Send("GET /late HTTP/1.1\r\nHost: a\r\n\r\n");
  const std::string refusal = late->ReceiveResponse(kTestTimeout, closed);
  CHECK(refusal.rfind("HTTP/1.1 503 ", 0) == 0);
  CHECK(Contains(refusal, "Comfrey-Outcome: not-run\r\n"));
  CHECK(Contains(refusal, "Retry-After: "));
  CHECK(Contains(refusal, "Connection: close\r\n"));
  for (const HttpRequest& request : daemon.Requests()) {
    CHECK(request.target != "/late");
  }
  idle->Receive(UntilClosed, kTestTimeout, closed);
  CHECK(closed);
  CHECK(stop.wait_for(std::chrono::milliseconds(0)) ==
        std::future_status::timeout);
  release.set_value();
  const Clock::time_point begin = Clock::now();
  const std::string reply = slow->ReceiveResponse(kTestTimeout, closed);
  CHECK(Contains(reply, "Connection: close\r\n"));
  CHECK(Contains(reply, "done"));
  // The caller does not close the connection; the frontend waits at most 1 s
  // until it does.
  CHECK(stop.wait_for(kTestTimeout) == std::future_status::ready);
  CHECK(Clock::now() - begin < std::chrono::seconds(4));
}

// Guards against running a request further after its caller closed or reset the
// connection.
TEST_CASE("A disconnect of the caller is detected while its request runs",
          "[http_frontend]") {
  for (const bool reset : {false, true}) {
    INFO(reset);
    FakeDaemon daemon;
    daemon.wait_for_cancel = true;
    {
      const auto caller = daemon.Connect();
      caller->Send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
      if (reset) {
        caller->ResetOnClose();
      }
      // Gives the frontend time to accept the connection; after an earlier
      // reset it would not receive the request.
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    const Clock::time_point begin = Clock::now();
    while (daemon.Requests().empty() && Clock::now() - begin < kTestTimeout) {
      std::this_thread::yield();
    }
    CHECK(daemon.saw_cancel);
  }
}

// Guards against callers that connect to a daemon that is about to stop, and
// against pages that hide the paths of callers if pages are disabled.
TEST_CASE("Readiness and pages follow the settings", "[http_frontend]") {
  bool closed = false;
  std::atomic<bool> accepting_callers{true};
  FrontendPages pages = MakePages();
  pages.accepting_callers = [&] { return accepting_callers.load(); };
  pages.ready_path = "/ready";
  {
    FakeDaemon daemon(10, pages);
    const auto caller = daemon.Connect();
    for (const char* path : {"/ready", "/comfrey/readyz"}) {
      for (const bool ready : {true, false}) {
        accepting_callers = ready;
        caller->Send(std::string("GET ") + path +
                     " HTTP/1.1\r\nHost: a\r\n\r\n");
        CHECK(Contains(caller->ReceiveResponse(kTestTimeout, closed),
                       ready ? " 200 " : " 503 "));
      }
    }
    CHECK(daemon.Requests().empty());
  }
  pages.enabled = false;
  FakeDaemon daemon(10, pages);
  const auto caller = daemon.Connect();
  for (const char* path : {"/ready", "/comfrey/status"}) {
    caller->Send(std::string("GET ") + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(Contains(caller->ReceiveResponse(kTestTimeout, closed), "X-Answer"));
  }
  CHECK(daemon.Requests().size() == 2);
}

// Guards against ignoring the limits of the published configuration.
TEST_CASE("The published limits hold for callers", "[http_frontend]") {
  FrontendPages pages = MakePages();
  pages.caller_limits = [] {
    CallerLimits limits;
    limits.header_bytes = 100;
    limits.body_bytes = 10;
    limits.header_timeout = std::chrono::milliseconds(200);
    limits.idle_timeout = std::chrono::milliseconds(300);
    return std::optional<CallerLimits>(limits);
  };
  FakeDaemon daemon(10, pages);
  bool closed = false;
  const std::string long_header(100, 'x');
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"GET /a HTTP/1.1\r\nHost: a\r\nX: " + long_header + "\r\n\r\n", " 431 "},
      {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n", " 413 "},
      {"GET /a HTTP/1.1\r\nHost:", " 408 "},
  };
  for (const auto& [bytes, status] : cases) {
    INFO(status);
    const auto caller = daemon.Connect();
    caller->Send(bytes);
    CHECK(Contains(caller->ReceiveResponse(kTestTimeout, closed), status));
  }
  const auto idle = daemon.Connect();
  const Clock::time_point begin = Clock::now();
  idle->Receive(UntilClosed, kTestTimeout, closed);
  CHECK(closed);
  CHECK(Clock::now() - begin < std::chrono::seconds(4));
  CHECK(daemon.Requests().empty());
}

// Guards against a stop that has no effect because the server does not run yet,
// and against a stop that waits for idle callers longer than 1 s. The check
// allows 4 s.
TEST_CASE("A stop without requests ends soon", "[http_frontend]") {
  for (int i = 0; i < 5; ++i) {
    FakeDaemon daemon;
    daemon.frontend.Stop();
  }
  FakeDaemon daemon;
  const auto idle = daemon.Connect();
  idle->Send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
  bool closed = false;
  idle->ReceiveResponse(kTestTimeout, closed);
  const Clock::time_point begin = Clock::now();
  daemon.frontend.Stop();
  CHECK(Clock::now() - begin < std::chrono::seconds(4));
}

// Guards against a daemon that is killed at the end of its grace period: after
// the requests were cancelled, the frontend kept each connection for 1 s until
// the caller closed it.
TEST_CASE("An abort does not wait for callers to close", "[http_frontend]") {
  FakeDaemon daemon;
  daemon.wait_for_cancel = true;
  const auto caller = daemon.Connect();
  REQUIRE(caller->Send("GET /slow HTTP/1.1\r\nHost: x\r\n\r\n"));
  // Waits until the frontend has received the request, since only then the stop
  // keeps the connection open.
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  std::thread stop([&] { daemon.frontend.Stop(); });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  daemon.frontend.Abort();
  const Clock::time_point begin = Clock::now();
  stop.join();
  CHECK(Clock::now() - begin < std::chrono::milliseconds(500));
  CHECK(daemon.saw_cancel);
}

// Guards against a response that is not sent because its handler took long.
TEST_CASE("The time of the handler does not shorten the write of a response",
          "[http_frontend]") {
  FakeDaemon daemon(10, MakePages(), std::chrono::milliseconds(300));
  daemon.respond = [](const HttpRequest&) {
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    return HttpResponse{200, {}, "done"};
  };
  const auto caller = daemon.Connect();
  caller->Send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
  bool closed = false;
  CHECK(Contains(caller->ReceiveResponse(kTestTimeout, closed), "done"));
}

// Guards against two daemons that listen on the same address without an error.
TEST_CASE("An address in use is refused", "[http_frontend]") {
  FakeDaemon daemon;
  CounterRegistry counters;
  HttpFrontend second(
      [](const HttpRequest&, const CancelCheck&) { return IngressReply{}; },
      counters, FrontendLimits{}, FrontendPages{});
  CHECK_FALSE(second.Start(kIp, daemon.port).ok());
}

// Guards against a response that contains the text of an internal error, or
// that reports a request as not run although it may have run.
TEST_CASE("An exception of the handler is an unknown outcome",
          "[http_frontend]") {
  FakeDaemon daemon;
  daemon.respond = [](const HttpRequest&) -> HttpResponse {
    throw std::runtime_error("internal text");
  };
  const auto caller = daemon.Connect();
  caller->Send("GET /a HTTP/1.1\r\nHost: a\r\n\r\n");
  bool closed = false;
  const std::string reply = caller->ReceiveResponse(kTestTimeout, closed);
  CHECK(reply.rfind("HTTP/1.1 502 ", 0) == 0);
  CHECK(Contains(reply, "Comfrey-Outcome: unknown\r\n"));
  CHECK_FALSE(Contains(reply, "internal text"));
}

}  // namespace
}  // namespace comfrey
