#include <httplib.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "catch2/catch.hpp"
#include "daemon/raw_socket.h"
#include "published_documents.h"
#include "system/registry_fleet.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;

// Guards against a success with an empty or short body that looks complete,
// since the backend server ended the connection within its response.
TEST_CASE("a response cut at any byte reaches no caller as a success") {
  const std::string whole =
      "HTTP/1.1 200 OK\r\nX-Mark: i-1\r\nX-Attempt: 7\r\n"
      "Content-Length: 5\r\n\r\nhello";
  constexpr std::size_t kStep = 1;
  std::atomic<std::size_t> cut{0};
  std::atomic<int> requests{0};
  RegistryFleet fleet;
  const RawServer server(
      AddressOf(1),
      [&](RawSocket& socket, int connection) {
        bool closed = false;
        const auto has_body = [](const std::string& bytes) {
          return absl::EndsWith(bytes, "\r\n\r\nbody");
        };
        if (!has_body(
                socket.Receive(has_body, std::chrono::seconds(1), closed))) {
          return;
        }
        ++requests;
        socket.Send(whole.substr(0, cut));
        if (connection % 2 == 0) {
          socket.ResetOnClose();
        }
      },
      4);
  REQUIRE(WaitFor(RegistryFleet::AreReady));
  fleet.registry.Put(MakeRegistrationKey("i-2"), RegistrationOf(2, true));
  fleet.registry.Put(
      MakeRegistrationKey("i-1"),
      MakeRegistration("booking",
                       absl::StrCat(AddressOf(1), ":", server.Port()), "a",
                       false));
  cut = whole.size();
  REQUIRE(WaitFor([&] {
    const httplib::Result result = RegistryFleet::Send(2, "/a/x");
    return requests > 0 && result && result->status == 200 &&
           result->body == "hello";
  }));
  requests = 0;
  int refusals = 0;
  for (cut = 0; cut < whole.size(); cut += kStep) {
    for (int vm = 1; vm <= 2; ++vm) {
      INFO(cut << " bytes");
      const httplib::Result result = RegistryFleet::Send(vm, "/a/x");
      const bool refused = result && result->status == 503;
      refusals += refused ? 1 : 0;
      CHECK((!result || result->status == 502 || refused));
    }
  }
  CHECK(requests > 0);
  INFO(refusals << " refusals");
  // A promise that the request did not run holds only for requests that the
  // backend server did not receive.
  CHECK(requests + refusals ==
        2 * static_cast<int>((whole.size() + kStep - 1) / kStep));
}

// Returns the peak of the resident memory of a process in KiB.
long ReadPeakMemoryKib(pid_t pid) {
  constexpr char kField[] = "VmHWM:";
  std::ifstream status(absl::StrCat("/proc/", pid, "/status"));
  std::string line;
  while (std::getline(status, line)) {
    if (absl::StartsWith(line, kField)) {
      return std::stol(line.substr(sizeof(kField) - 1));
    }
  }
  return 0;
}

// A response that never ends: its start, and what follows again and again.
struct EndlessResponse {
  std::string name;
  std::string start;
  std::string repeated;
};

std::vector<EndlessResponse> MakeEndlessResponses() {
  const std::string ok = "HTTP/1.1 200 OK\r\nX-Mark: i-1\r\nX-Attempt: 7\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string bytes(16 << 10, 'x');
  std::string lines;
  while (lines.size() < bytes.size()) {
    lines += "X: 1\r\n";
  }
  return {
      {"bytes that are no head", "", bytes},
      {"header line", ok + "X: ", bytes},
      {"header lines", ok, lines},
      {"body with a length", ok + "Content-Length: 99999999999\r\n\r\n", bytes},
      {"chunks", chunked, "4000\r\n" + bytes + "\r\n"},
      {"chunk line", chunked + "1;", bytes},
      {"trailer line", chunked + "0\r\nX: ", bytes},
      {"trailer lines", chunked + "0\r\n", lines}};
}

// Guards against a daemon that keeps bytes without end of a faulty backend
// server until its memory is exhausted, and with it the requests of all callers
// of its VM.
TEST_CASE("bytes without end leave the memory of both daemons bounded") {
  // Memory of the smallest VM.
  constexpr long kMaxMemoryKib = 163'840;
  constexpr int kRequests = 4;
  for (const EndlessResponse& endless : MakeEndlessResponses()) {
    std::atomic<int> received{0};
    std::atomic<bool> stopping{false};
    RegistryFleet fleet;
    const RawServer server(
        AddressOf(1),
        [&](RawSocket& socket, int /*connection*/) {
          bool closed = false;
          socket.Receive(HasHead, std::chrono::seconds(1), closed);
          ++received;
          socket.Send(endless.start);
          while (!stopping && socket.Send(endless.repeated)) {
          }
        },
        kRequests);
    REQUIRE(WaitFor(RegistryFleet::AreReady));
    fleet.registry.Put(MakeRegistrationKey("i-2"), RegistrationOf(2, true));
    fleet.registry.Put(
        MakeRegistrationKey("i-1"),
        MakeRegistration("booking",
                         absl::StrCat(AddressOf(1), ":", server.Port()), "a",
                         false));
    // The daemons have put the change in force when requests reach the server.
    CHECK(WaitFor([&] {
      std::vector<std::future<httplib::Result>> results;
      results.reserve(kRequests);
      for (int i = 0; i < kRequests; ++i) {
        results.push_back(std::async(
            std::launch::async, [] { return RegistryFleet::Send(2, "/a/x"); }));
      }
      for (std::future<httplib::Result>& pending : results) {
        const httplib::Result result = pending.get();
        // The backend server of the second VM may still answer at the start.
        CHECK((!result || result->status != 200 ||
               absl::StartsWith(result->body, "i-")));
      }
      return received > 0;
    }));
    stopping = true;
    const long owner = ReadPeakMemoryKib(fleet.first_daemon->Pid());
    const long ingress = ReadPeakMemoryKib(fleet.second_daemon->Pid());
    INFO(endless.name << ": " << owner << " KiB at the owner, " << ingress
                      << " KiB at the ingress, " << received << " responses");
    CHECK(owner > 0);
    CHECK(owner < kMaxMemoryKib);
    CHECK(ingress > 0);
    CHECK(ingress < kMaxMemoryKib);
    // Other callers of the VM are still served.
    fleet.registry.Put(MakeRegistrationKey("i-2"), RegistrationOf(2, false));
    CHECK(WaitFor([] {
      const httplib::Result result = RegistryFleet::Send(1, "/a/x");
      return result && result->status == 200;
    }));
  }
}

}  // namespace
}  // namespace comfrey
