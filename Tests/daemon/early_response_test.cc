#include <atomic>
#include <chrono>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "catch2/catch.hpp"
#include "daemon/owner_result.h"
#include "daemon/raw_socket.h"
#include "daemon/upload_fixture.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;

constexpr char kIp[] = "127.9.4.2";
constexpr std::chrono::seconds kTestTimeout{20};
constexpr std::size_t kPartBytes = 32 << 10;
// More than the buffers of a connection hold.
constexpr std::size_t kFastParts = 512;
constexpr std::size_t kSlowParts = 64;
constexpr milliseconds kSlowInterval{5};
constexpr milliseconds kResetDelay{100};

// How a backend server ends a connection while the upload is being written.
enum class Ending {
  kReset,
  kLateReset,
  kCloseUnread,  // The kernel resets it, because bytes are unread.
};

// How a caller sends its upload.
struct Upload {
  bool chunked = false;
  bool slow = false;
};

std::vector<Upload> AllUploads() {
  return {{false, false}, {false, true}, {true, false}, {true, true}};
}

BackendResult SendUpload(BackendFixture& fixture,
                         const Upload& upload,
                         bool idempotent = false) {
  const std::vector<std::string> parts(upload.slow ? kSlowParts : kFastParts,
                                       std::string(kPartBytes, 'x'));
  return fixture.Send(
      MakeStream(parts,
                 upload.chunked ? std::nullopt
                                : std::make_optional(parts.size() * kPartBytes),
                 BodyPartKind::kEnd,
                 upload.slow ? kSlowInterval : milliseconds(0)),
      kTestTimeout, idempotent);
}

// Receives the head and the first byte of the body.
void ReceiveStart(const RawSocket& socket) {
  bool closed = false;
  socket.Receive(HasHead, kTestTimeout, closed);
  socket.Receive([](const std::string& bytes) { return !bytes.empty(); },
                 kTestTimeout, closed);
}

// Receives the rest of a body that ReceiveStart began to receive. Returns
// whether all of it arrived.
bool ReceiveRest(const RawSocket& socket, const Upload& upload) {
  constexpr std::size_t kChunkFraming = 8;  // "8000\r\n" and "\r\n".
  constexpr std::size_t kLastChunk = 5;     // "0\r\n\r\n".
  const std::size_t parts = upload.slow ? kSlowParts : kFastParts;
  const std::size_t bytes =
      upload.chunked ? parts * (kPartBytes + kChunkFraming) + kLastChunk
                     : parts * kPartBytes;
  return socket.Discard(bytes - 1, kTestTimeout);
}

// Answers early and ends the connection.
RawServer::Handler AnswerAndEnd(const std::string& answer, Ending ending) {
  return [answer, ending](RawSocket& socket, int) {
    ReceiveStart(socket);
    socket.Send(answer);
    if (ending == Ending::kLateReset) {
      std::this_thread::sleep_for(kResetDelay);
    }
    if (ending != Ending::kCloseUnread) {
      socket.ResetOnClose();
    }
  };
}

std::string MakeHead(const std::string& version, const std::string& framing) {
  return absl::StrCat(version, " 200 OK\r\nX-Attempt: 7\r\n", framing, "\r\n");
}

std::string Describe(const Upload& upload, Ending ending) {
  return absl::StrCat("chunked ", upload.chunked, ", slow ", upload.slow,
                      ", ending ", static_cast<int>(ending));
}

// Guards against a part of a response that is delivered as a whole one. A
// socket reports its reset once: after a send that failed, a read returns an
// end of file, which also ends a sound response without a length.
TEST_CASE("an early response that is reset is not complete",
          "[early_response]") {
  const std::vector<std::string> answers = {
      MakeHead("HTTP/1.1", "") + "part",
      MakeHead("HTTP/1.0", "") + "part",
      MakeHead("HTTP/1.1", ""),
      MakeHead("HTTP/1.1", "Content-Length: 5\r\n") + "part",
      MakeHead("HTTP/1.0", "Content-Length: 5\r\n") + "part",
      MakeHead("HTTP/1.1", "Transfer-Encoding: chunked\r\n") + "4\r\npart\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n" + MakeHead("HTTP/1.1", "") + "part"};
  for (const std::string& answer : answers) {
    for (const Upload& upload : AllUploads()) {
      for (const Ending ending :
           {Ending::kReset, Ending::kLateReset, Ending::kCloseUnread}) {
        INFO(answer << "\n" << Describe(upload, ending));
        BackendFixture fixture(kIp, AnswerAndEnd(answer, ending));
        const BackendResult result = SendUpload(fixture, upload);
        CHECK(result.outcome == BackendOutcome::kFailed);
        CHECK(result.response.status == 0);
        CHECK(result.response.body.empty());
        HeaderNames names;
        names.not_executed = "X-Not-Run";
        CHECK(
            ToResult(result, ClassifyReply(result, names), nullptr).outcome() ==
            rpc::OUTCOME_UNKNOWN);
      }
    }
  }
}

// Guards against the same over a connection that was used before.
TEST_CASE("a reset early response on a kept connection is not complete",
          "[early_response]") {
  const std::string sound =
      MakeHead("HTTP/1.1", "Content-Length: 3\r\n") + "own";
  for (const Upload& upload : AllUploads()) {
    for (const Ending ending :
         {Ending::kReset, Ending::kLateReset, Ending::kCloseUnread}) {
      INFO(Describe(upload, ending));
      const RawServer::Handler answer_and_end =
          AnswerAndEnd(MakeHead("HTTP/1.1", "") + "part", ending);
      std::atomic<int> connections{0};
      BackendFixture fixture(kIp, [&](RawSocket& socket, int connection) {
        ++connections;
        bool closed = false;
        socket.Receive(HasHead, kTestTimeout, closed);
        socket.Send(sound);
        answer_and_end(socket, connection);
      });
      REQUIRE(fixture.Send(nullptr).response.body == "own");
      const BackendResult result = SendUpload(fixture, upload, true);
      CHECK(connections == 1);
      CHECK(result.outcome == BackendOutcome::kFailed);
      CHECK(result.response.body.empty());
    }
  }
}

// Guards against a whole response that is lost because the backend server does
// not read the rest of the request.
TEST_CASE("an early response with a length is whole before a reset",
          "[early_response]") {
  const std::vector<std::string> answers = {
      MakeHead("HTTP/1.1", "Content-Length: 3\r\n") + "own",
      MakeHead("HTTP/1.0", "Content-Length: 3\r\n") + "own",
      MakeHead("HTTP/1.1", "Transfer-Encoding: chunked\r\n") +
          "3\r\nown\r\n0\r\n\r\n"};
  for (const std::string& answer : answers) {
    for (const Upload& upload : AllUploads()) {
      for (const Ending ending :
           {Ending::kReset, Ending::kLateReset, Ending::kCloseUnread}) {
        INFO(answer << "\n" << Describe(upload, ending));
        BackendFixture fixture(kIp, AnswerAndEnd(answer, ending));
        const BackendResult result = SendUpload(fixture, upload);
        CHECK(result.outcome == BackendOutcome::kAnswered);
        CHECK(result.response.body == "own");
      }
    }
  }
}

// Guards against a whole response that is not seen until the deadline, because
// it stands behind an interim response and the rest of the request is not read.
TEST_CASE("an early response behind an interim one is delivered",
          "[early_response]") {
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string whole =
      MakeHead("HTTP/1.1", "Content-Length: 5\r\n") + "whole";
  for (const bool reset : {false, true}) {
    for (const bool chunked : {false, true}) {
      INFO("reset " << reset << ", chunked " << chunked);
      std::promise<void> done;
      BackendFixture fixture(kIp, [&](RawSocket& socket, int) {
        ReceiveStart(socket);
        socket.Send(interim);
        std::this_thread::sleep_for(kResetDelay);
        socket.Send(interim + whole);
        if (reset) {
          std::this_thread::sleep_for(kResetDelay);
          socket.ResetOnClose();
        } else {
          done.get_future().wait();
        }
      });
      const BackendResult result = SendUpload(fixture, {chunked, false});
      done.set_value();
      CHECK(result.outcome == BackendOutcome::kAnswered);
      CHECK(result.response.body == "whole");
      CHECK(result.latency < std::chrono::seconds(5));
    }
  }
}

// Guards against a sound response without a length that is taken for a part,
// because it began before the backend server had read the request.
TEST_CASE("an early response may end with its connection after the body",
          "[early_response]") {
  for (const char* version : {"HTTP/1.1", "HTTP/1.0"}) {
    for (const bool early : {false, true}) {
      for (const Upload& upload : AllUploads()) {
        INFO(version << " early " << early << ", chunked " << upload.chunked
                     << ", slow " << upload.slow);
        BackendFixture fixture(kIp, [&](RawSocket& socket, int) {
          const std::string head = MakeHead(version, "");
          ReceiveStart(socket);
          socket.Send(early ? head + "who" : "");
          if (ReceiveRest(socket, upload)) {
            socket.Send(early ? "le" : head + "whole");
          }
        });
        const BackendResult result = SendUpload(fixture, upload);
        CHECK(result.outcome == BackendOutcome::kAnswered);
        CHECK(result.response.body == "whole");
      }
    }
  }
}

}  // namespace
}  // namespace comfrey
