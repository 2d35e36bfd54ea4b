#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "catch2/catch.hpp"
#include "daemon/backend_client.h"
#include "daemon/http_frontend.h"
#include "daemon/raw_socket.h"
#include "daemon/upload_fixture.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr char kIp[] = "127.9.4.1";
constexpr std::chrono::seconds kTestTimeout{20};
constexpr std::size_t kBodyLimit = 4 << 20;
constexpr std::size_t kLargeBody = 3 << 20;

// A body in which each position can be recognised.
std::string MakeBody(std::size_t size) {
  std::string body;
  for (std::size_t i = 0; body.size() < size; ++i) {
    absl::StrAppend(&body, i, ",");
  }
  return body.substr(0, size);
}

std::string MakeChunks(const std::string& body, std::size_t chunk_size) {
  std::string chunks;
  for (std::size_t i = 0; i < body.size(); i += chunk_size) {
    const std::string chunk = body.substr(i, chunk_size);
    absl::StrAppend(&chunks, absl::Hex(chunk.size()), "\r\n", chunk, "\r\n");
  }
  return chunks + "0\r\n\r\n";
}

// What a handler read of the body of a request.
struct ReadBody {
  std::string bytes;
  BodyPartKind end = BodyPartKind::kFailed;
};

ReadBody ReadWholeBody(const HttpRequest& request) {
  if (!request.stream) {
    return {request.body, BodyPartKind::kEnd};
  }
  ReadBody read;
  for (;;) {
    const BodyPart part =
        ReadPart(*request.stream, Clock::now() + kTestTimeout);
    read.bytes += part.bytes;
    if (part.kind != BodyPartKind::kBytes) {
      read.end = part.kind;
      return read;
    }
  }
}

// A frontend whose handler is set by the test.
class TestFrontend {
 public:
  using Handler = std::function<void(const HttpRequest&)>;

  explicit TestFrontend(Handler handler, std::size_t body_limit = kBodyLimit)
      : port(RawServer(kIp, [](RawSocket&, int) {}).Port()),
        frontend(
            [this, handler = std::move(handler)](const HttpRequest& request,
                                                 const CancelCheck& cancelled) {
              this->wait(cancelled);
              handler(request);
              return IngressReply{
                  this->outcome,
                  {this->outcome == CallerOutcome::kAnswered ? 200 : 502,
                   {},
                   request.target}};
            },
            this->counters,
            {10, body_limit, 16 << 10},
            MakePages()) {
    REQUIRE(this->frontend.Start(kIp, this->port).ok());
  }

  std::unique_ptr<RawSocket> Connect() const {
    return RawSocket::Connect(kIp, this->port);
  }

  // Called before the handler.
  std::function<void(const CancelCheck&)> wait = [](const CancelCheck&) {};
  // Outcome of all requests.
  std::atomic<CallerOutcome> outcome{CallerOutcome::kAnswered};

 private:
  static FrontendPages MakePages() {
    FrontendPages pages;
    pages.ready = [] { return true; };
    return pages;
  }

  int port;
  CounterRegistry counters;
  HttpFrontend frontend;
};

const std::string kPost = "POST /u HTTP/1.1\r\nHost: a\r\n";
const std::string kGet = "GET /next HTTP/1.1\r\nHost: a\r\n\r\n";

std::string WithLength(const std::string& body) {
  return absl::StrCat(kPost, "Content-Length: ", body.size(), "\r\n\r\n", body);
}

std::string WithChunks(const std::string& body, std::size_t chunk_size) {
  return absl::StrCat(kPost, "Transfer-Encoding: chunked\r\n\r\n",
                      MakeChunks(body, chunk_size));
}

// Guards against orders that run for callers that have left, since the close of
// the connection stands behind a body that waits for a slot.
TEST_CASE("a caller that leaves while its body is unread is noticed",
          "[upload]") {
  constexpr milliseconds kMaxNoticeTime{500};
  const bool chunked = GENERATE(true, false);
  INFO(chunked);
  std::promise<void> arrived;
  std::promise<Clock::time_point> noticed;
  TestFrontend frontend([](const HttpRequest&) {});
  frontend.wait = [&](const CancelCheck& cancelled) {
    CHECK_FALSE(cancelled());
    arrived.set_value();
    const Clock::time_point end = Clock::now() + 4 * kMaxNoticeTime;
    while (!cancelled() && Clock::now() < end) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    noticed.set_value(Clock::now());
  };
  const std::string body = MakeBody(90'000);
  auto caller = frontend.Connect();
  REQUIRE(caller->Send(chunked ? WithChunks(body, 7000) : WithLength(body)));
  arrived.get_future().wait();
  const Clock::time_point left_at = Clock::now();
  caller.reset();
  CHECK(noticed.get_future().get() - left_at < kMaxNoticeTime);
}

// Guards against bytes of a large body that are lost, changed or taken for the
// next request.
TEST_CASE("a large body reaches the handler unchanged", "[upload]") {
  const std::string body = MakeBody(kLargeBody);
  const std::string small = MakeBody(60'000);
  struct Case {
    std::string name;
    std::string request;
    const std::string& body;
    bool stream;
    std::optional<std::size_t> length;
  };
  for (const Case& test :
       {Case{"length", WithLength(body), body, true, body.size()},
        Case{"one chunk", WithChunks(body, body.size()), body, true, {}},
        Case{"chunks", WithChunks(body, 999), body, true, {}},
        Case{"small", WithLength(small), small, false, {}},
        Case{"small chunks", WithChunks(small, 7777), small, false, {}}}) {
    INFO(test.name);
    std::promise<ReadBody> read;
    std::atomic<int> requests{0};
    const TestFrontend frontend([&](const HttpRequest& request) {
      if (requests++ == 0) {
        CHECK((request.stream != nullptr) == test.stream);
        CHECK((request.stream ? request.stream->length : std::nullopt) ==
              test.length);
        read.set_value(ReadWholeBody(request));
      }
    });
    const auto caller = frontend.Connect();
    REQUIRE(caller->Send(test.request + kGet));
    bool closed = false;
    CHECK(absl::EndsWith(caller->ReceiveResponse(kTestTimeout, closed), "/u"));
    CHECK(
        absl::EndsWith(caller->ReceiveResponse(kTestTimeout, closed), "/next"));
    const ReadBody result = read.get_future().get();
    CHECK(result.end == BodyPartKind::kEnd);
    CHECK((result.bytes == test.body));
  }
}

// Guards against a daemon that reads a large body into its memory while nobody
// takes it.
TEST_CASE("a body that is not taken stays with its caller", "[upload]") {
  // More than the buffers of both sockets hold.
  const std::string body = MakeBody(40 << 20);
  std::promise<void> release;
  const TestFrontend frontend(
      [&](const HttpRequest& request) {
        release.get_future().wait();
        CHECK((ReadWholeBody(request).bytes == body));
      },
      body.size());
  const auto caller = frontend.Connect();
  std::atomic<bool> sent{false};
  std::thread sender([&] {
    CHECK(caller->Send(WithLength(body)));
    sent = true;
  });
  std::this_thread::sleep_for(milliseconds(300));
  CHECK_FALSE(sent);
  release.set_value();
  bool closed = false;
  CHECK(absl::EndsWith(caller->ReceiveResponse(kTestTimeout, closed), "/u"));
  sender.join();
}

// Guards against a body that looks complete although its caller stopped, and
// against bytes of an unread body that are taken for a request.
TEST_CASE("an incomplete or unread body ends its connection", "[upload]") {
  std::promise<ReadBody> read;
  const TestFrontend frontend([&](const HttpRequest& request) {
    if (request.target == "/u") {
      read.set_value(ReadWholeBody(request));
    }
  });
  {
    const auto caller = frontend.Connect();
    const std::string request = WithLength(MakeBody(kLargeBody));
    REQUIRE(caller->Send(request.substr(0, request.size() - 1)));
    caller->ShutdownWrite();
    CHECK(read.get_future().get().end == BodyPartKind::kFailed);
  }
  const auto caller = frontend.Connect();
  REQUIRE(
      caller->Send("POST /unread HTTP/1.1\r\nHost: a\r\nContent-Length: "
                   "200000\r\n\r\n" +
                   kGet));
  bool closed = false;
  const std::string reply = caller->Receive(
      [](const std::string&) { return false; }, kTestTimeout, closed);
  CHECK(closed);
  CHECK(absl::StrContains(reply, "Connection: close"));
  CHECK(absl::EndsWith(reply, "/unread"));
}

// Guards against a body beyond the limit that is forwarded as a whole, and
// against an answer of the backend server that is replaced.
TEST_CASE("a large body beyond the limit is refused", "[upload]") {
  struct Case {
    std::string name;
    bool chunked;
    CallerOutcome outcome;
    std::string reply;
  };
  const std::string body = MakeBody(kBodyLimit + 1);
  for (const Case& test :
       {Case{"length", false, CallerOutcome::kUnknown, "HTTP/1.1 413 "},
        Case{"chunks", true, CallerOutcome::kUnknown, "HTTP/1.1 413 "},
        Case{"early answer", true, CallerOutcome::kAnswered,
             "HTTP/1.1 200 "}}) {
    INFO(test.name);
    std::atomic<bool> complete{false};
    TestFrontend frontend([&](const HttpRequest& request) {
      complete = ReadWholeBody(request).end != BodyPartKind::kFailed;
    });
    frontend.outcome = test.outcome;
    const auto caller = frontend.Connect();
    std::thread sender([&] {
      caller->Send(test.chunked ? WithChunks(body, 50'000)
                                : WithLength(body).substr(0, 1000));
    });
    bool closed = false;
    CHECK(absl::StartsWith(caller->ReceiveResponse(kTestTimeout, closed),
                           test.reply));
    sender.join();
    CHECK_FALSE(complete);
  }
}

// Guards against a body that is requested before it can be sent on.
TEST_CASE("100 Continue for a large body is sent when it is read", "[upload]") {
  std::promise<void> release;
  const TestFrontend frontend([&](const HttpRequest& request) {
    release.get_future().wait();
    CHECK((ReadWholeBody(request).bytes == MakeBody(100'000)));
  });
  const auto caller = frontend.Connect();
  REQUIRE(caller->Send(
      kPost + "Expect: 100-continue\r\nContent-Length: 100000\r\n\r\n"));
  bool closed = false;
  CHECK(caller->Receive(HasHead, milliseconds(200), closed).empty());
  release.set_value();
  CHECK(caller->Receive(HasHead, kTestTimeout, closed) ==
        "HTTP/1.1 100 Continue\r\n\r\n");
  REQUIRE(caller->Send(MakeBody(100'000)));
  CHECK(absl::EndsWith(caller->ReceiveResponse(kTestTimeout, closed), "/u"));
}

const std::string kOwnAnswer =
    "HTTP/1.1 200 OK\r\nX-Attempt: 7\r\nContent-Length: 3\r\n\r\nown";

std::string BodyOf(const std::string& request) {
  const std::size_t end = request.find("\r\n\r\n");
  return end == std::string::npos ? "" : request.substr(end + 4);
}

// Guards against a body that reaches the backend server changed.
TEST_CASE("a streamed body reaches the backend server unchanged", "[upload]") {
  const std::string body = MakeBody(kLargeBody);
  for (const bool chunked : {false, true}) {
    const std::string expected = chunked ? MakeChunks(body, 32'768) : body;
    std::promise<std::string> received;
    BackendFixture fixture(kIp, [&](RawSocket& socket, int) {
      bool closed = false;
      received.set_value(socket.Receive(
          [&](const std::string& bytes) {
            return absl::EndsWith(bytes, expected.substr(expected.size() - 20));
          },
          kTestTimeout, closed));
      socket.Send(kOwnAnswer);
    });
    std::vector<std::string> parts;
    for (std::size_t i = 0; i < body.size(); i += 32'768) {
      parts.push_back(body.substr(i, 32'768));
    }
    const BackendResult result = fixture.Send(MakeStream(
        parts, chunked ? std::nullopt : std::make_optional(body.size()),
        BodyPartKind::kEnd));
    CHECK(result.outcome == BackendOutcome::kAnswered);
    const std::string request = received.get_future().get();
    CHECK((BodyOf(request) == expected));
    CHECK(absl::StrContains(request, "Transfer-Encoding: chunked") == chunked);
    CHECK(absl::StrContains(request, absl::StrCat("Content-Length: ",
                                                  body.size())) != chunked);
  }
}

// Guards against other bytes in place of the rest of a body that the backend
// server reads after its answer.
TEST_CASE("a backend server that answers early gets exactly the rest",
          "[upload]") {
  const std::string body = MakeBody(kLargeBody);
  std::promise<std::string> received;
  BackendFixture fixture(kIp, [&](RawSocket& socket, int) {
    bool closed = false;
    std::string request = socket.Receive(HasHead, kTestTimeout, closed);
    request += socket.Receive(
        [](const std::string& bytes) { return bytes.size() > 100; },
        kTestTimeout, closed);
    socket.Send(kOwnAnswer);
    request += socket.Receive(
        [&](const std::string& bytes) {
          return request.size() + bytes.size() > body.size();
        },
        kTestTimeout, closed);
    request += socket.Receive([](const std::string&) { return false; },
                              milliseconds(200), closed);
    received.set_value(request);
  });
  const BackendResult result =
      fixture.Send(MakeStream({body}, body.size(), BodyPartKind::kEnd));
  CHECK(result.outcome == BackendOutcome::kAnswered);
  CHECK(result.response.body == "own");
  CHECK((BodyOf(received.get_future().get()) == body));
}

// Guards against an answer that is lost because the backend server does not
// read the rest of the body, and against one that belongs to no certain
// request.
TEST_CASE("an early answer is delivered if the rest is not read", "[upload]") {
  for (const bool with_ids : {true, false}) {
    for (const bool closes : {true, false}) {
      INFO("ids " << with_ids << ", closes " << closes);
      std::promise<void> done;
      BackendFixture fixture(
          kIp,
          [&](RawSocket& socket, int) {
            bool closed = false;
            socket.Receive(HasHead, kTestTimeout, closed);
            socket.Send(kOwnAnswer);
            if (!closes) {
              done.get_future().wait();
            }
          },
          with_ids);
      const std::string body(16 << 20, 'x');
      const BackendResult result =
          fixture.Send(MakeStream({body}, body.size(), BodyPartKind::kEnd),
                       milliseconds(3000));
      done.set_value();
      if (with_ids && !closes) {
        CHECK(result.outcome == BackendOutcome::kAnswered);
        CHECK(result.response.body == "own");
      } else if (!with_ids) {
        CHECK(result.outcome != BackendOutcome::kAnswered);
        CHECK(result.outcome != BackendOutcome::kNotSent);
      }
    }
  }
}

// Guards against a backend server that is blamed for a caller which stops, and
// against an incomplete body that looks like a complete one.
TEST_CASE("a body that stops is not completed and is no fault", "[upload]") {
  for (const BodyPartKind end :
       {BodyPartKind::kFailed, BodyPartKind::kTimedOut}) {
    for (const bool chunked : {false, true}) {
      std::promise<std::string> received;
      BackendFixture fixture(kIp, [&](RawSocket& socket, int) {
        bool closed = false;
        received.set_value(socket.Receive(
            [](const std::string&) { return false; }, kTestTimeout, closed));
      });
      const BackendResult result = fixture.Send(
          MakeStream({"abc"}, chunked ? std::nullopt : std::make_optional(5UL),
                     end),
          milliseconds(500));
      CHECK(result.outcome == BackendOutcome::kCancelled);
      CHECK(BodyOf(received.get_future().get()) ==
            (chunked ? "3\r\nabc\r\n" : "abc"));
    }
  }
}

}  // namespace
}  // namespace comfrey
