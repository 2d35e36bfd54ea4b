#include "platform/registry_client.h"

#include <httplib.h>

#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "absl/strings/escaping.h"
#include "catch2/catch.hpp"
#include "daemon/broken_responses.h"
#include "daemon/raw_socket.h"
#include "nlohmann/json.hpp"

namespace comfrey::platform {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr char kIp[] = "127.9.3.1";
constexpr milliseconds kWatchWait{200};

json MakeRegistrationItem(const std::string& key, int revision) {
  const std::string value =
      R"({"service":"huvo","address":"10.1.0.9:8080","zone":"a",)"
      R"("version":"v1","slots":4,"state":"ready","cold_remaining":"0ms",)"
      R"("sequence":7})";
  return {{"key", key},
          {"value", absl::Base64Escape(value)},
          {"rev", revision},
          {"create_revision", revision},
          {"lease", 0}};
}

// A registry whose responses are set by the test.
class FakeStore {
 public:
  using Handler =
      std::function<void(const httplib::Request&, httplib::Response&)>;

  FakeStore() {
    for (const char* path : {"/kv-key", "/kv-range", "/kv-watch"}) {
      this->server.Get(path, [this](const auto& request, auto& response) {
        this->handler(request, response);
      });
    }
    this->port = this->server.bind_to_any_port(kIp);
    this->thread = std::thread([this] { this->server.listen_after_bind(); });
    while (!this->server.is_running()) {
      std::this_thread::yield();
    }
  }
  ~FakeStore() {
    this->server.stop();
    this->thread.join();
  }

  FakeStore(const FakeStore&) = delete;
  FakeStore& operator=(const FakeStore&) = delete;

  int port = 0;
  Handler handler;

 private:
  httplib::Server server;
  std::thread thread;
};

void SetJsonBody(httplib::Response& response, const json& body) {
  response.set_content(body.dump(), "application/json");
}

// Guards against a listing that ends after its first page, or that loses
// changes made during the listing.
TEST_CASE("all pages are listed, from the oldest revision") {
  FakeStore store;
  store.handler = [](const httplib::Request& request,
                     httplib::Response& response) {
    if (request.path == "/kv-key") {
      CHECK(request.get_param_value("key") == "op/config");
      response.status = 404;
      SetJsonBody(response, {{"store_revision", 7}});
      return;
    }
    CHECK(request.get_param_value("prefix") == "servers/");
    const bool first = !request.has_param("after");
    if (!first) {
      CHECK(request.get_param_value("after") == "servers/i 1&x");
    }
    SetJsonBody(response,
                {{"items", json::array({MakeRegistrationItem(
                               first ? "servers/i 1&x" : "servers/i-2", 5)})},
                 {"has_more", first},
                 {"store_revision", first ? 8 : 9}});
  };
  RegistryClient client(kIp, store.port);
  const auto update = client.ReadAll();
  REQUIRE(update.ok());
  CHECK(update->complete);
  CHECK(update->revision == RegistryRevision{0, 8});
  CHECK_FALSE(update->config);
  REQUIRE(update->registrations.size() == 2);
  CHECK(update->registrations[0].instance == "i 1&x");
  CHECK(update->registrations[1].instance == "i-2");
}

// Guards against a listing that is half of one era and half of another, and
// against one that fails because a response names no era or an unreadable one.
TEST_CASE("a listing is of one era") {
  struct Case {
    std::string first;
    std::string second;
    bool ok;
    std::uint64_t era;
    bool problem;
  };
  for (const Case& c : std::vector<Case>{{"3", "3", true, 3, false},
                                         {"3", "4", false, 0, false},
                                         {"3", "", true, 3, false},
                                         {"", "3", true, 3, false},
                                         {"3", "-x\t", true, 3, true},
                                         {"", "", true, 0, false}}) {
    INFO(c.first << " and " << c.second);
    FakeStore store;
    store.handler = [&](const httplib::Request& request,
                        httplib::Response& response) {
      const bool last = request.path == "/kv-key";
      const std::string& era = last ? c.second : c.first;
      if (!era.empty()) {
        response.set_header("Store-Era", era);
      }
      response.status = last ? 404 : 200;
      SetJsonBody(response, {{"items", json::array()}, {"store_revision", 8}});
    };
    RegistryClient client(kIp, store.port);
    const auto update = client.ReadAll();
    CHECK(update.ok() == c.ok);
    if (!update.ok()) {
      CHECK(absl::IsAborted(update.status()));
      continue;
    }
    CHECK(update->revision == RegistryRevision{c.era, 8});
    CHECK(update->era_problem.empty() == !c.problem);
  }
}

// Guards against a daemon without a configuration until the second one is
// published: the first one was published after its key was found missing and
// before the listing, whose revision includes it.
TEST_CASE("a configuration published during the listing is not missed") {
  FakeStore store;
  bool published = false;
  store.handler = [&](const httplib::Request& request,
                      httplib::Response& response) {
    if (request.path == "/kv-range") {
      published = true;
      SetJsonBody(response, {{"items", json::array()},
                             {"has_more", false},
                             {"store_revision", 8}});
    } else if (published) {
      SetJsonBody(
          response,
          {{"key", "op/config"},
           {"value", absl::Base64Escape(R"({"version":"r4","resources":[]})")},
           {"rev", 8},
           {"store_revision", 8}});
    } else {
      response.status = 404;
    }
  };
  RegistryClient client(kIp, store.port);
  const auto update = client.ReadAll();
  REQUIRE(update.ok());
  REQUIRE(update->config);
  CHECK(update->config->version == 4);
  CHECK(update->revision == RegistryRevision{0, 8});
}

// Guards against an endless listing if the registry always reports more items.
TEST_CASE("a page without items ends the listing") {
  FakeStore store;
  store.handler = [](const httplib::Request& request,
                     httplib::Response& response) {
    if (request.path == "/kv-key") {
      response.status = 404;
      return;
    }
    SetJsonBody(
        response,
        {{"items", json::array()}, {"has_more", true}, {"store_revision", 8}});
  };
  RegistryClient client(kIp, store.port);
  CHECK(client.ReadAll().ok());
}

// Guards against an odd item that ends the process or the listing.
TEST_CASE("odd items of a page do not end the listing") {
  FakeStore store;
  int pages = 0;
  store.handler = [&](const httplib::Request& request,
                      httplib::Response& response) {
    if (request.path == "/kv-key") {
      SetJsonBody(response,
                  json::object({{"key", 7}, {"store_revision", "x"}}));
      return;
    }
    ++pages;
    const json odd = json::array(
        {MakeRegistrationItem("servers/i-1", 5), 7, nullptr, json::array(),
         json::object({{"key", 9}}), json::object({{"key", json::array()}})});
    SetJsonBody(response, {{"items", request.has_param("after")
                                         ? json::array({json::array(), 8})
                                         : odd},
                           {"has_more", true},
                           {"store_revision", -1}});
  };
  RegistryClient client(kIp, store.port);
  const auto update = client.ReadAll();
  REQUIRE(update.ok());
  CHECK(update->registrations.size() == 1);
  CHECK(pages == 2);
}

// Guards against changes that are missed or that are read repeatedly.
TEST_CASE("a watch asks for changes after a revision") {
  FakeStore store;
  store.handler = [](const httplib::Request& request,
                     httplib::Response& response) {
    CHECK(request.get_param_value("after") == "41");
    CHECK(request.get_param_value("wait_ms") == "200");
    SetJsonBody(
        response,
        {{"events",
          json::array(
              {MakeRegistrationItem("servers/i-1", 42),
               {{"key", "servers/i-2"}, {"rev", 43}, {"deleted", true}}})},
         {"store_revision", 43}});
  };
  RegistryClient client(kIp, store.port);
  const auto update = client.Watch({0, 41}, kWatchWait);
  REQUIRE(update.ok());
  CHECK_FALSE(update->complete);
  CHECK(update->revision == RegistryRevision{0, 43});
  REQUIRE(update->registrations.size() == 2);
  CHECK(update->registrations[0].endpoint);
  CHECK_FALSE(update->registrations[1].endpoint);
}

// Guards against an error status or a truncated or malformed response that is
// taken as an empty registry.
TEST_CASE("a response with an error status or a malformed body is an error") {
  struct Case {
    std::string name;
    int status;
    std::string body;
    absl::StatusCode code;
  };
  const std::vector<Case> cases = {
      {"history gone", 410, "{}", absl::StatusCode::kOutOfRange},
      {"too many", 429, "{}", absl::StatusCode::kResourceExhausted},
      {"busy", 503, "", absl::StatusCode::kUnavailable},
      {"not JSON", 200, "{\"events\":[", absl::StatusCode::kUnavailable},
      {"no events", 200, "{}", absl::StatusCode::kUnavailable},
      {"other type", 200, "{\"events\":7}", absl::StatusCode::kUnavailable},
      {"list", 200, "[]", absl::StatusCode::kUnavailable},
  };
  FakeStore store;
  RegistryClient client(kIp, store.port);
  for (const Case& c : cases) {
    INFO(c.name);
    store.handler = [&](const httplib::Request& request,
                        httplib::Response& response) {
      response.status = c.status;
      response.set_content(c.body, "application/json");
      if (request.path == "/kv-key") {
        response.status = 404;
      }
    };
    CHECK(client.Watch({0, 1}, kWatchWait).status().code() == c.code);
    CHECK_FALSE(client.ReadAll().ok());
  }
}

// Guards against a reader that waits forever for a registry that has stopped
// responding.
TEST_CASE("a watch without a response ends at its timeout or at Stop") {
  FakeStore store;
  std::atomic<bool> release{false};
  store.handler = [&](const httplib::Request&, httplib::Response&) {
    while (!release) {
      std::this_thread::sleep_for(milliseconds(10));
    }
  };
  RegistryClient client(kIp, store.port);
  const Clock::time_point begin = Clock::now();
  CHECK_FALSE(client.Watch({0, 1}, kWatchWait).ok());
  CHECK(Clock::now() - begin < std::chrono::seconds(4));
  std::thread stopper([&] {
    std::this_thread::sleep_for(milliseconds(100));
    client.Stop();
  });
  const Clock::time_point second = Clock::now();
  CHECK_FALSE(client.Watch({0, 1}, std::chrono::seconds(20)).ok());
  CHECK(Clock::now() - second < std::chrono::seconds(5));
  stopper.join();
  release = true;
}

// Serves one connection after the other: sends `start`, then `repeated` at
// intervals until the client closes the connection.
RawServer::Handler SendWithoutEnd(const std::string& start,
                                  const std::string& repeated,
                                  milliseconds interval) {
  return [=](RawSocket& socket, int /*connection*/) {
    bool closed = false;
    socket.Receive(HasHead, std::chrono::seconds(5), closed);
    socket.Send(start);
    while (!closed && socket.Send(repeated)) {
      socket.Receive(HasHead, interval, closed);
    }
  };
}

// Guards against a read that lasts as long as the registry sends bytes, so that
// the daemon misses all changes meanwhile, and against a response without end
// that takes the memory of the daemon.
TEST_CASE("a response without end is given up") {
  struct Case {
    std::string name;
    std::string start;
    std::string repeated;
    milliseconds interval;
    absl::StatusCode code;
  };
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string block(64 << 10, ' ');
  const std::vector<Case> cases = {
      {"slow head", head, "X: 1\r\n", milliseconds(50),
       absl::StatusCode::kDeadlineExceeded},
      {"slow body", chunked, "1\r\n{\r\n", milliseconds(50),
       absl::StatusCode::kDeadlineExceeded},
      {"head", head, "X: 1\r\n", milliseconds(0),
       absl::StatusCode::kUnavailable},
      {"body", chunked, "10000\r\n" + block + "\r\n", milliseconds(0),
       absl::StatusCode::kUnavailable},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    const RawServer server(kIp,
                           SendWithoutEnd(c.start, c.repeated, c.interval));
    RegistryClient client(kIp, server.Port());
    const Clock::time_point begin = Clock::now();
    CHECK(client.Watch({0, 1}, kWatchWait).status().code() == c.code);
    CHECK(Clock::now() - begin < std::chrono::seconds(3));
  }
}

// Guards against a listing, a watch, a configuration or a revision that is
// taken from a response which is not HTTP, or which is not whole.
TEST_CASE("a broken response of the registry is an error") {
  const json body = {
      {"items", json::array({MakeRegistrationItem("servers/i-1", 5)})},
      {"events", json::array({MakeRegistrationItem("servers/i-1", 5)})},
      {"has_more", false},
      {"store_revision", 8}};
  std::vector<BrokenResponse> responses = MakeBrokenResponses("", body.dump());
  // The end of a document shows the end of a response without a length.
  const std::string no_length = "HTTP/1.1 200 OK\r\n\r\n" + body.dump();
  for (const bool reset : {false, true}) {
    responses.push_back({"cut without a length",
                         no_length.substr(0, no_length.size() - 1), reset});
  }
  for (const BrokenResponse& broken : responses) {
    INFO(broken.name);
    const RawServer server(
        kIp, [&](RawSocket& socket, int) { SendBroken(socket, broken); });
    RegistryClient client(kIp, server.Port());
    CHECK_FALSE(client.ReadAll().ok());
    CHECK_FALSE(client.Watch({0, 1}, kWatchWait).ok());
    CHECK_FALSE(client.ReadRevision().ok());
  }
}

// Guards against changes that are never seen, because the registry withheld
// them from the watch that ended while they were made.
TEST_CASE("an empty response does not advance the watch") {
  FakeStore store;
  store.handler = [](const httplib::Request&, httplib::Response& response) {
    SetJsonBody(response, {{"events", json::array()}, {"store_revision", 50}});
  };
  RegistryClient client(kIp, store.port);
  const auto update = client.Watch({0, 41}, kWatchWait);
  REQUIRE(update.ok());
  CHECK(update->revision == RegistryRevision{0, 41});
}

// Guards against an error without the address of the registry.
TEST_CASE("the error for an unreachable registry contains its address") {
  int port = 0;
  {
    const FakeStore store;
    port = store.port;
  }
  RegistryClient client(kIp, port);
  const auto update = client.ReadAll();
  REQUIRE_FALSE(update.ok());
  CHECK(std::string(update.status().message()).find(kIp) != std::string::npos);
}

}  // namespace
}  // namespace comfrey::platform
