#include <httplib.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "catch2/catch.hpp"
#include "daemon/broken_responses.h"
#include "daemon/raw_socket.h"
#include "published_documents.h"
#include "system/registry_fleet.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;

// Makes the backend server of the first VM the only one that is in use.
void UseOnlyFirst(RegistryFleet& fleet, int port) {
  fleet.registry.Put(MakeRegistrationKey("i-2"), RegistrationOf(2, true));
  fleet.registry.Put(
      MakeRegistrationKey("i-1"),
      MakeRegistration("booking", absl::StrCat(AddressOf(1), ":", port), "a",
                       false));
}

// A backend server on the first VM that sends the same bytes in response to
// each request with the body "body", and closes or resets the connection.
class FixedResponseBackend {
 public:
  FixedResponseBackend()
      : server(
            AddressOf(1),
            [this](RawSocket& socket, int) { this->Serve(socket); },
            4) {}

  void SetResponse(const BrokenResponse& new_response) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->response = new_response;
  }

  int Port() const { return this->server.Port(); }

  std::atomic<int> requests{0};

 private:
  void Serve(RawSocket& socket) {
    bool closed = false;
    const auto has_body = [](const std::string& bytes) {
      return absl::EndsWith(bytes, "\r\n\r\nbody");
    };
    if (!has_body(socket.Receive(has_body, std::chrono::seconds(1), closed))) {
      return;
    }
    ++this->requests;
    const std::lock_guard<std::mutex> lock(this->mutex);
    socket.Send(this->response.bytes);
    if (this->response.reset) {
      socket.ResetOnClose();
    }
  }

  std::mutex mutex;
  BrokenResponse response;
  RawServer server;
};

// Returns the value of a counter of the daemon of a VM, or -1.
long ReadCounter(int vm, const std::string& name) {
  httplib::Client client(AddressOf(vm), kCallerPort);
  const httplib::Result metrics = client.Get("/comfrey/metrics");
  const std::size_t line =
      metrics ? metrics->body.find("\n" + name + " ") : std::string::npos;
  return line == std::string::npos
             ? -1
             : std::stol(metrics->body.substr(line + name.size() + 2));
}

constexpr char kFields[] = "X-Mark: i-1\r\nX-Attempt: 7\r\n";
constexpr char kBody[] = "hello";

// Sends a request over each of the two daemons for each response. Checks that
// callers get 502, or 503 for a request that did not reach the backend server.
void CheckNoneDelivered(const std::vector<BrokenResponse>& responses) {
  FixedResponseBackend backend;
  backend.SetResponse({"sound", MakeSoundResponse(kFields, kBody)});
  RegistryFleet fleet;
  REQUIRE(WaitFor(RegistryFleet::AreReady));
  UseOnlyFirst(fleet, backend.Port());
  REQUIRE(WaitFor([&] {
    const httplib::Result result = RegistryFleet::Send(2, "/a/x");
    return backend.requests > 0 && result && result->status == 200 &&
           result->body == kBody;
  }));
  backend.requests = 0;
  int refusals = 0;
  int sent = 0;
  for (const BrokenResponse& response : responses) {
    backend.SetResponse(response);
    for (const int vm : {1, 2}) {
      INFO(response.name << ", reset " << response.reset << ", VM " << vm);
      const httplib::Result result = RegistryFleet::Send(vm, "/a/x");
      const bool refused = result && result->status == 503;
      refusals += refused ? 1 : 0;
      ++sent;
      CHECK((!result || result->status == 502 || refused));
    }
  }
  CHECK(backend.requests > 0);
  INFO(refusals << " refusals");
  // A promise that the request did not run holds only for requests that the
  // backend server did not receive.
  CHECK(backend.requests + refusals == sent);
  CHECK(ReadCounter(1, "comfrey_owner_backend_failures_total") >=
        backend.requests);
}

// Guards against a success with an empty or short body that looks complete,
// since the backend server ended the connection within its response.
TEST_CASE("a response cut at any byte reaches no caller as a success") {
  const std::string whole = MakeSoundResponse(kFields, kBody);
  std::vector<BrokenResponse> cuts;
  for (std::size_t cut = 0; cut < whole.size(); ++cut) {
    for (const bool reset : {false, true}) {
      cuts.push_back(
          {absl::StrCat(cut, " bytes"), whole.substr(0, cut), reset});
    }
  }
  CheckNoneDelivered(cuts);
}

// Guards against a response with a status or a header that is none, or a part
// of a response, that a caller gets as the response to its request.
TEST_CASE("a broken response reaches no caller") {
  CheckNoneDelivered(MakeBrokenResponses(kFields, kBody));
}

// A long upload.
struct Upload {
  int vm = 1;  // The VM of its caller.
  bool chunked = false;
  bool slow = false;
};

// Sends an upload and returns the response, or the part of it that arrived.
std::string SendUpload(const Upload& upload) {
  constexpr int kPartBytes = 32 << 10;
  constexpr int kParts = 30;  // Less than the limit of 1 MiB.
  constexpr milliseconds kSlowInterval{10};
  const std::string part(kPartBytes, 'x');
  const auto caller = RawSocket::Connect(AddressOf(upload.vm), kCallerPort);
  bool sent = caller->Send(absl::StrCat(
      "POST /a/upload HTTP/1.1\r\nHost: shop.example\r\nX-Attempt: 7\r\n"
      "X-Left: 8000\r\nConnection: close\r\n",
      upload.chunked ? "Transfer-Encoding: chunked"
                     : absl::StrCat("Content-Length: ", kParts * kPartBytes),
      "\r\n\r\n"));
  for (int i = 0; i < kParts && sent; ++i) {
    sent = caller->Send(upload.chunked ? "8000\r\n" + part + "\r\n" : part);
    std::this_thread::sleep_for(upload.slow ? kSlowInterval : milliseconds(0));
  }
  if (sent && upload.chunked) {
    caller->Send("0\r\n\r\n");
  }
  bool closed = false;
  return caller->Receive([](const std::string&) { return false; }, kTestTimeout,
                         closed);
}

// Runs requests with the body "body", and answers uploads with a part of a
// response without a length, then resets the connection.
class ResettingBackend {
 public:
  ResettingBackend()
      : server(
            AddressOf(1),
            [this](RawSocket& socket, int) { this->Serve(socket); },
            4) {}

  int Port() const { return this->server.Port(); }

  std::atomic<int> uploads{0};
  std::atomic<int> runs{0};

 private:
  void Serve(RawSocket& socket) {
    bool closed = false;
    const std::string head = socket.Receive(HasHead, kTestTimeout, closed);
    const std::string answer = absl::StrCat("HTTP/1.1 200 OK\r\n", kFields);
    const bool upload = absl::StrContains(head, "/a/upload");
    if (closed || !socket.Discard(upload ? 1 : 4, kTestTimeout)) {
      return;
    }
    if (upload) {
      ++this->uploads;
      socket.Send(answer + "\r\npart");
      socket.ResetOnClose();
    } else {
      ++this->runs;
      socket.Send(answer + "Connection: close\r\nContent-Length: 3\r\n\r\nown");
    }
  }

  RawServer server;
};

// Guards against a part of a response that a caller gets as a whole one: it has
// no length, and the backend server resets the connection while the upload is
// being written.
TEST_CASE("an upload whose response is reset reaches no caller as a success") {
  RegistryFleet fleet;
  ResettingBackend backend;
  REQUIRE(WaitFor(RegistryFleet::AreReady));
  UseOnlyFirst(fleet, backend.Port());
  REQUIRE(WaitFor([&] {
    const httplib::Result result = RegistryFleet::Send(2, "/a/x");
    return backend.runs > 0 && result && result->body == "own";
  }));
  int refusals = 0;
  int sent = 0;
  for (const Upload& upload : std::vector<Upload>{{1, false, false},
                                                  {1, false, true},
                                                  {1, true, false},
                                                  {1, true, true},
                                                  {2, false, false},
                                                  {2, false, true},
                                                  {2, true, false},
                                                  {2, true, true}}) {
    constexpr int kRepeats = 3;
    for (int i = 0; i < kRepeats; ++i) {
      INFO("VM " << upload.vm << ", chunked " << upload.chunked << ", slow "
                 << upload.slow);
      const std::string response = SendUpload(upload);
      const bool refused = absl::StartsWith(response, "HTTP/1.1 503 ");
      refusals += refused ? 1 : 0;
      ++sent;
      INFO(response);
      CHECK((refused || absl::StartsWith(response, "HTTP/1.1 502 ")));
      CHECK_FALSE(absl::StrContains(response, "\r\n\r\npart"));
    }
  }
  CHECK(backend.uploads > 0);
  // A promise that the request did not run holds only for requests that the
  // backend server did not receive.
  CHECK(backend.uploads + refusals == sent);
}

// Guards against requests of others that fail, and daemons that count as
// unreachable, because the responses to uploads are reset.
TEST_CASE("uploads whose response is reset leave other requests alone") {
  constexpr int kUploads = 12;
  RegistryFleet fleet;
  ResettingBackend backend;
  REQUIRE(WaitFor(RegistryFleet::AreReady));
  UseOnlyFirst(fleet, backend.Port());
  REQUIRE(WaitFor([&] {
    RegistryFleet::Send(2, "/a/x");
    return backend.runs > 0;
  }));
  // The requests of others can go to the second backend server.
  const int earlier_runs = fleet.backend_two.runs;
  fleet.registry.Put(MakeRegistrationKey("i-2"), RegistrationOf(2, false));
  REQUIRE(WaitFor([&] {
    RegistryFleet::Send(2, "/a/x");
    return fleet.backend_two.runs > earlier_runs;
  }));
  std::atomic<bool> done{false};
  std::atomic<int> served{0};
  std::atomic<int> failed{0};
  std::vector<std::thread> callers;
  for (const int vm : {1, 2}) {
    callers.emplace_back([&, vm] {
      while (!done) {
        std::this_thread::sleep_for(milliseconds(5));
        const httplib::Result result = RegistryFleet::Send(vm, "/a/x");
        const bool ok = result && result->status == 200;
        ++(ok ? served : failed);
      }
    });
  }
  for (int i = 0; i < kUploads; ++i) {
    SendUpload({1 + i % 2, i % 4 >= 2, true});
  }
  done = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(backend.uploads > 0);
  CHECK(served > 0);
  CHECK(failed == 0);
  for (const int vm : {1, 2}) {
    CHECK(ReadCounter(vm, "comfrey_ingress_path_failures_total") == 0);
  }
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
    UseOnlyFirst(fleet, server.Port());
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
