#include <httplib.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "catch2/catch.hpp"
#include "daemon/raw_socket.h"
#include "fake_registry.h"
#include "published_documents.h"
#include "system/fleet.h"
#include "system/process.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr int kRegistryPort = 7300;
constexpr int kCallerPort = 8080;
constexpr int kReadyPort = 8082;
constexpr int kBackendPort = 8081;
constexpr std::chrono::seconds kTestTimeout{20};

std::string AddressOf(int vm) {
  return absl::StrCat(LoopbackPrefix(), vm);
}

bool WaitFor(const std::function<bool()>& condition) {
  const Clock::time_point begin = Clock::now();
  while (!condition()) {
    if (Clock::now() - begin > kTestTimeout) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return true;
}

// A backend server that adds its signature to responses and runs only requests
// that expect its own instance.
class SigningBackend {
 public:
  explicit SigningBackend(int vm) : instance(absl::StrCat("i-", vm)) {
    const auto handle_work = [this](const httplib::Request& request,
                                    httplib::Response& response) {
      if (request.get_header_value("X-Instance") != this->instance) {
        response.status = 421;
        return;
      }
      ++this->runs;
      std::this_thread::sleep_for(milliseconds(this->delay_ms));
      response.set_header("X-Mark", this->instance);
      response.set_header("X-Attempt", request.get_header_value("X-Attempt"));
      response.set_header("X-Key", request.get_header_value("Idempotency-Key"));
      response.set_content(
          absl::StrCat(this->instance, " ", request.target, " ",
                       request.get_header_value("X-Caller"), " ",
                       request.get_header_value("X-Left").empty() ? "" : "left",
                       " ", request.body),
          "text/plain");
    };
    this->server.Get(".*", handle_work);
    this->server.Post(".*", handle_work);
    this->server.bind_to_port(AddressOf(vm), kBackendPort);
    this->thread = std::thread([this] { this->server.listen_after_bind(); });
  }
  ~SigningBackend() {
    this->server.stop();
    this->thread.join();
  }

  std::string instance;
  std::atomic<int> runs{0};
  std::atomic<int> delay_ms{0};

 private:
  httplib::Server server;
  std::thread thread;
};

std::string RegistrationOf(int vm, bool draining) {
  return MakeRegistration(
      "booking", absl::StrCat(AddressOf(vm), ":", kBackendPort), "a", draining);
}

// A registry, and two VMs with one backend server and one daemon each.
struct RegistryFleet {
  explicit RegistryFleet(std::string grace_period = "6s")
      : grace(std::move(grace_period)),
        registry(AddressOf(250), kRegistryPort),
        directory(std::filesystem::temp_directory_path() /
                  absl::StrCat("comfrey-registry-", getpid())) {
    std::filesystem::create_directories(this->directory);
    this->registry.Put(platform::kConfigKey, MakeConfiguration(3, "/a/"));
    for (int vm = 1; vm <= 2; ++vm) {
      this->registry.Put(MakeRegistrationKey(absl::StrCat("i-", vm)),
                         RegistrationOf(vm, false));
      this->WriteSettings(vm, "booking");
    }
    this->registry.Put(MakeRegistrationKey("i-9"), "no registration");
    this->first_daemon = this->StartDaemon(1);
    this->second_daemon = this->StartDaemon(2);
  }
  ~RegistryFleet() { std::filesystem::remove_all(this->directory); }

  std::string SettingsFile(int vm) const {
    return (this->directory / absl::StrCat(vm, ".ini")).string();
  }

  void WriteSettings(int vm, const std::string& local_service) const {
    RegistryVm settings;
    settings.name = absl::StrCat("vm-", vm);
    settings.ip = AddressOf(vm);
    settings.region = "r";
    settings.failure_domain = "a";
    settings.local_service = local_service;
    settings.registry = absl::StrCat(AddressOf(250), ":", kRegistryPort);
    settings.grace = this->grace;
    std::ofstream(this->SettingsFile(vm)) << MakeRegistrySettings(settings);
  }

  std::unique_ptr<Process> StartDaemon(int vm) const {
    return std::make_unique<Process>(
        "Source/daemon/comfreyd", std::vector<std::string>{absl::StrCat(
                                      "--settings=", this->SettingsFile(vm))});
  }

  static bool IsReady(int vm) {
    httplib::Client client(AddressOf(vm), kReadyPort);
    const httplib::Result result = client.Get("/ready");
    return result && result->status == 200;
  }

  static httplib::Result Send(int vm,
                              const std::string& target,
                              const std::string& host = "shop.example") {
    httplib::Client client(AddressOf(vm), kCallerPort);
    client.set_read_timeout(kTestTimeout);
    return client.Post(target,
                       {{"Host", host},
                        {"X-Attempt", "7"},
                        {"X-Left", "4000"},
                        {"X-Caller", "forged"}},
                       "body", "text/plain");
  }

  std::string grace;
  SigningBackend backend_one{1};
  SigningBackend backend_two{2};
  FakeRegistry registry;
  std::filesystem::path directory;
  std::unique_ptr<Process> first_daemon;
  std::unique_ptr<Process> second_daemon;
};

// Guards against missing or forged headers, against a published route that is
// not in force, against new requests to an endpoint that is draining, and
// against a daemon that loses its configuration when the registry fails.
TEST_CASE("a fleet with a registry serves what is published") {
  RegistryFleet fleet;
  REQUIRE(WaitFor(
      [] { return RegistryFleet::IsReady(1) && RegistryFleet::IsReady(2); }));

  const httplib::Result served = RegistryFleet::Send(1, "/a/b?c=d");
  REQUIRE(served);
  CHECK(served->status == 200);
  CHECK_THAT(served->body, Catch::Contains("/a/b?c=d booking left body"));
  CHECK(served->get_header_value("X-Mark") == served->body.substr(0, 3));
  CHECK(RegistryFleet::Send(1, "/b/x")->status == 404);
  CHECK(RegistryFleet::Send(1, "/a/x", "other.example")->status == 404);

  fleet.registry.Put(platform::kConfigKey, MakeConfiguration(5, "/b/"));
  CHECK(WaitFor([] { return RegistryFleet::Send(2, "/b/x")->status == 200; }));
  CHECK(RegistryFleet::Send(2, "/a/x")->status == 404);

  fleet.registry.Put(MakeRegistrationKey("i-1"), RegistrationOf(1, true));
  std::this_thread::sleep_for(milliseconds(2500));
  const int runs = fleet.backend_one.runs;
  for (int i = 0; i < 10; ++i) {
    CHECK(RegistryFleet::Send(1, "/b/x")->status == 200);
  }
  CHECK(fleet.backend_one.runs == runs);

  fleet.registry.SetUnavailable(true);
  std::this_thread::sleep_for(milliseconds(1500));
  CHECK(RegistryFleet::Send(1, "/b/x")->status == 200);
  fleet.registry.SetUnavailable(false);
}

// Guards against orders that are always refused because their header
// Idempotency-Key counts as a key, which no owner can confirm with a registry,
// and against a header that the backend server does not get.
TEST_CASE("with a registry Idempotency-Key is a header like any other") {
  RegistryFleet fleet;
  REQUIRE(WaitFor(
      [] { return RegistryFleet::IsReady(1) && RegistryFleet::IsReady(2); }));
  httplib::Client client(AddressOf(1), kCallerPort);
  // The route is not idempotent.
  const httplib::Result result =
      client.Post("/a/b",
                  {{"Host", "shop.example"},
                   {"X-Attempt", "8"},
                   {"X-Left", "4000"},
                   {"Idempotency-Key", "order-4711"}},
                  "body", "text/plain");
  REQUIRE(result);
  CHECK(result->status == 200);
  CHECK(result->get_header_value("X-Key") == "order-4711");
}

// Guards against a daemon that waits for the response to a watch that the
// registry never sends, and meanwhile serves by a configuration that was
// replaced.
TEST_CASE("a watch that is never answered does not hide a configuration") {
  constexpr std::chrono::seconds kMaxAge{4};
  constexpr std::chrono::milliseconds kApplyTime{2500};
  RegistryFleet fleet;
  REQUIRE(WaitFor(
      [] { return RegistryFleet::IsReady(1) && RegistryFleet::IsReady(2); }));
  // The watches that follow this change arrive while the registry is silent.
  fleet.registry.Put(platform::kConfigKey, MakeConfiguration(4, "/a/"));
  std::this_thread::sleep_for(milliseconds(200));
  fleet.registry.SetSilent(true);
  std::this_thread::sleep_for(milliseconds(1200));
  fleet.registry.SetSilent(false);
  std::this_thread::sleep_for(kMaxAge - kApplyTime);
  fleet.registry.Put(platform::kConfigKey, MakeConfiguration(5, "/b/"));
  std::this_thread::sleep_for(kApplyTime);
  for (const int vm : {1, 2}) {
    CHECK(RegistryFleet::Send(vm, "/b/x")->status == 200);
    CHECK(RegistryFleet::Send(vm, "/a/x")->status == 404);
  }
}

// Guards against a planned stop that ends the process at once because a thread
// does not block the signal, that still reports the daemon as ready, or that
// takes longer than the configured grace. Also guards against a reload that
// loses requests.
TEST_CASE(
    "a daemon with a registry reloads and stops without losing requests") {
  RegistryFleet fleet;
  REQUIRE(WaitFor(
      [] { return RegistryFleet::IsReady(1) && RegistryFleet::IsReady(2); }));
  fleet.WriteSettings(1, "survey");
  fleet.first_daemon->SendSignal(SIGHUP);
  CHECK(WaitFor([] {
    return RegistryFleet::Send(1, "/a/x")->body.find(" survey ") !=
           std::string::npos;
  }));

  fleet.backend_one.delay_ms = 1500;
  fleet.backend_two.delay_ms = 1500;
  auto in_flight = std::async(std::launch::async,
                              [] { return RegistryFleet::Send(1, "/a/slow"); });
  std::this_thread::sleep_for(milliseconds(300));
  const Clock::time_point begin = Clock::now();
  fleet.first_daemon->SendSignal(SIGTERM);
  CHECK(WaitFor([] { return !RegistryFleet::IsReady(1); }));
  CHECK(Clock::now() - begin < std::chrono::seconds(1));
  const httplib::Result result = in_flight.get();
  REQUIRE(result);
  CHECK(result->status == 200);
  CHECK(fleet.first_daemon->WaitForExit(std::chrono::seconds(10)) == 0);
  CHECK(Clock::now() - begin < std::chrono::seconds(6));
}

// Guards against a process that is killed at the end of its grace period.
TEST_CASE("a stop with slow backend servers ends within its grace period") {
  RegistryFleet fleet("2s");
  REQUIRE(WaitFor(
      [] { return RegistryFleet::IsReady(1) && RegistryFleet::IsReady(2); }));
  fleet.backend_one.delay_ms = 3800;
  fleet.backend_two.delay_ms = 3800;
  std::vector<std::future<httplib::Result>> in_flight;
  for (int vm : {1, 2, 1, 2}) {
    in_flight.push_back(std::async(std::launch::async, [vm] {
      return RegistryFleet::Send(vm, "/a/slow");
    }));
  }
  REQUIRE(WaitFor(
      [&] { return fleet.backend_one.runs + fleet.backend_two.runs == 4; }));
  REQUIRE(fleet.backend_one.runs > 0);
  const Clock::time_point begin = Clock::now();
  fleet.first_daemon->SendSignal(SIGTERM);
  CHECK(fleet.first_daemon->WaitForExit(std::chrono::seconds(10)) == 0);
  const auto took =
      std::chrono::duration_cast<milliseconds>(Clock::now() - begin);
  CHECK(took.count() < 2000);
  for (std::future<httplib::Result>& result : in_flight) {
    CHECK(result.get());
  }
}

// Guards against a healthy backend server that gets nothing while its daemon
// still takes requests of callers during a planned stop.
TEST_CASE("a stopping daemon goes on using its backend server") {
  RegistryFleet fleet;
  REQUIRE(WaitFor(
      [] { return RegistryFleet::IsReady(1) && RegistryFleet::IsReady(2); }));
  std::atomic<bool> done{false};
  std::atomic<int> failed{0};
  std::thread callers([&] {
    while (!done) {
      const httplib::Result result = RegistryFleet::Send(2, "/a/x");
      failed += result && result->status == 200 ? 0 : 1;
    }
  });
  fleet.first_daemon->SendSignal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(1000));
  const int runs = fleet.backend_one.runs;
  std::this_thread::sleep_for(milliseconds(1000));
  CHECK(fleet.backend_one.runs > runs);
  CHECK(fleet.first_daemon->WaitForExit(std::chrono::seconds(10)) == 0);
  done = true;
  callers.join();
  CHECK(failed == 0);
}

// Guards against requests that are broken off before the last sixth of grace.
TEST_CASE("a stop with a short grace period completes what ends within it") {
  RegistryFleet fleet("1200ms");
  REQUIRE(WaitFor(
      [] { return RegistryFleet::IsReady(1) && RegistryFleet::IsReady(2); }));
  fleet.backend_one.delay_ms = 850;
  fleet.backend_two.delay_ms = 850;
  auto in_flight = std::async(std::launch::async,
                              [] { return RegistryFleet::Send(1, "/a/slow"); });
  REQUIRE(WaitFor(
      [&] { return fleet.backend_one.runs + fleet.backend_two.runs == 1; }));
  fleet.first_daemon->SendSignal(SIGTERM);
  const httplib::Result result = in_flight.get();
  REQUIRE(result);
  CHECK(result->status == 200);
}

// Guards against a large body that is changed, cut or refused between the
// daemons, and against one that uses up the tries of its request.
TEST_CASE("a large body passes two daemons unchanged") {
  RegistryFleet fleet;
  REQUIRE(WaitFor(
      [] { return RegistryFleet::IsReady(1) && RegistryFleet::IsReady(2); }));
  fleet.registry.Put(MakeRegistrationKey("i-1"), RegistrationOf(1, true));
  // The daemon on the first VM has learned of the drain once several requests
  // in a row go to the second one.
  REQUIRE(WaitFor([&] {
    constexpr int kRequests = 10;
    const int runs = fleet.backend_two.runs;
    for (int i = 0; i < kRequests; ++i) {
      RegistryFleet::Send(1, "/a/x");
    }
    return fleet.backend_two.runs == runs + kRequests;
  }));
  std::string body;
  for (int i = 0; body.size() < 900'000; ++i) {
    absl::StrAppend(&body, i, ",");
  }
  httplib::Client client(AddressOf(1), kCallerPort);
  client.set_read_timeout(kTestTimeout);
  const httplib::Headers headers = {
      {"Host", "shop.example"}, {"X-Attempt", "7"}, {"X-Left", "8000"}};
  const auto send_chunks = [&body](std::size_t offset,
                                   httplib::DataSink& sink) {
    constexpr std::size_t kChunk = 50'000;
    sink.write(body.data() + offset, std::min(kChunk, body.size() - offset));
    if (offset + kChunk >= body.size()) {
      sink.done();
    }
    return true;
  };
  for (int i = 0; i < 3; ++i) {
    const int runs = fleet.backend_two.runs;
    const httplib::Result by_length =
        client.Post("/a/u", headers, body, "image/jpeg");
    REQUIRE(by_length);
    CHECK(by_length->status == 200);
    CHECK(absl::EndsWith(by_length->body, " left " + body));
    const httplib::Result by_chunks =
        client.Post("/a/u", headers, send_chunks, "image/jpeg");
    REQUIRE(by_chunks);
    CHECK(by_chunks->status == 200);
    CHECK(absl::EndsWith(by_chunks->body, " left " + body));
    CHECK(fleet.backend_two.runs == runs + 2);
  }
}

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
  REQUIRE(WaitFor(
      [] { return RegistryFleet::IsReady(1) && RegistryFleet::IsReady(2); }));
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
    REQUIRE(WaitFor(
        [] { return RegistryFleet::IsReady(1) && RegistryFleet::IsReady(2); }));
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
