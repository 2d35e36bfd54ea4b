#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "catch2/catch.hpp"
#include "daemon/ingress.h"
#include "daemon/peer_server.h"
#include "daemon/raw_socket.h"
#include "google/protobuf/descriptor.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::seconds;

constexpr char kIp[] = "127.9.8.1";
constexpr seconds kTestTimeout{20};
// Obsolete text in a header may have any byte from 0x80 (RFC 9110, section
// 5.5). These are not UTF-8.
const std::string kName =
    "Kov\xe1"
    "cs \x80\xff";
// More than the largest body that is forwarded in one message.
constexpr std::size_t kUploadBytes = 100'000;
// Less than the shortest accept timeout of a path, which is 250 ms.
constexpr std::chrono::milliseconds kShortDeadline{40};

int FreePort() {
  return RawServer(kIp, [](RawSocket&, int) {}).Port();
}

std::shared_ptr<ConfigStore> MakeStore(int backend_port) {
  EndpointConfig endpoint;
  endpoint.ip = kIp;
  endpoint.port = static_cast<std::uint16_t>(backend_port);
  endpoint.address = absl::StrCat(kIp, ":", backend_port);
  ServiceConfig service;
  service.name = "service";
  service.slots = 4;
  service.queue_limit = 16;
  service.endpoints = {endpoint};
  RankConfig rank;
  rank.name = "rank";
  rank.urgency = 1;
  rank.target = seconds(5);
  RouteConfig safe;
  safe.name = "safe";
  safe.service = service.name;
  safe.rank = rank.name;
  safe.path = "/safe";
  safe.repeat_safe = true;
  safe.deadline = kTestTimeout;
  RouteConfig order = safe;
  order.name = "order";
  order.path = "/order";
  order.repeat_safe = false;
  RouteConfig hurried = safe;
  hurried.name = "hurried";
  hurried.path = "/hurried";
  hurried.deadline = kShortDeadline;
  RouteConfig hurried_order = hurried;
  hurried_order.name = "hurried-order";
  hurried_order.path = "/hurried-order";
  hurried_order.repeat_safe = false;
  // No stamp is ever fresh enough for this service, as for an order that was
  // read before its ingress paused.
  ServiceConfig stale = service;
  stale.name = "stale";
  stale.key_retention = std::chrono::microseconds(0);
  RouteConfig stale_order = order;
  stale_order.name = "stale-order";
  stale_order.service = stale.name;
  stale_order.path = "/stale-order";
  TeamConfig team;
  team.team = "team";
  team.services = {service, stale};
  team.ranks = {rank};
  team.routes = {safe, order, hurried, hurried_order, stale_order};
  auto store = std::make_shared<ConfigStore>();
  ReplaceTeam(*store, {1, 1}, team);
  return store;
}

// Whether the bytes are a request with its head and its body.
bool HasWholeRequest(const std::string& bytes) {
  const std::size_t head_end = bytes.find("\r\n\r\n");
  const std::size_t length = bytes.find("Content-Length: ");
  if (head_end == std::string::npos) {
    return false;
  }
  const std::size_t body_size =
      length > head_end ? 0 : std::stoul(bytes.substr(length + 16));
  return bytes.size() >= head_end + 4 + body_size;
}

// An ingress and an owner that speak over a real connection, and a backend
// server that returns the header X-Name of each request.
class PeerPath {
 public:
  PeerPath()
      : peer_port(FreePort()),
        backend(
            kIp,
            [](RawSocket& socket, int) { ServeConnection(socket); },
            4) {
    const std::shared_ptr<const ConfigStore> store =
        MakeStore(this->backend.Port());
    this->config.Replace(store);
    this->directory.ApplyConfig(*store);
    this->levels.ApplyConfig(*store);
    this->owner.ApplyConfig(*store);
    REQUIRE(this->server.Start(absl::StrCat(kIp, ":", this->peer_port)).ok());
  }
  ~PeerPath() { this->server.Shutdown(std::chrono::system_clock::now()); }

  HttpRequest MakeRequest(const std::string& path, const std::string& name) {
    return {
        "POST", "/team" + path, {{"Host", "a"}, {"X-Name", name}}, "plates"};
  }

  IngressReply Send(const HttpRequest& request) {
    return this->ingress.Handle(request, [] { return false; });
  }

  // Sends a request whose owner neither accepts nor refuses it while it waits.
  IngressReply SendToBusyOwner(const HttpRequest& request) {
    const std::lock_guard<std::mutex> busy(
        this->owner.Endpoints().front()->mutex);
    return this->Send(request);
  }

  // The connection over which requests are forwarded.
  std::shared_ptr<PeerChannel> Connection() {
    return this->channels.Get(absl::StrCat(kIp, ":", this->peer_port));
  }

  std::int64_t Count(const std::string& counter) {
    return this->counters.Counter(counter).Value();
  }

 private:
  static void ServeConnection(RawSocket& socket) {
    bool closed = false;
    const std::string request =
        socket.Receive(HasWholeRequest, kTestTimeout, closed);
    const std::size_t begin = request.find("X-Name: ");
    if (begin == std::string::npos) {
      return;
    }
    const std::string line =
        request.substr(begin, request.find("\r\n", begin) - begin);
    socket.Send(absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n", line,
                             "\r\nConnection: close\r\n\r\nstruck"));
  }

  int peer_port;
  RawServer backend;
  ConfigHolder config;
  CounterRegistry counters;
  TimerService timers;
  CallWatchdog watchdog{this->timers};
  RequestLog log{this->counters};
  ChannelPool channels{4};
  EndpointDirectory directory{"vm-1", {"r", "a"}};
  ServiceBudgets budgets;
  OwnerClient owners{this->channels, this->peer_port};
  KeyJournal journal{Clock::now() - std::chrono::hours(1)};
  ServiceLevels levels;
  OwnerService owner{{kIp, 1, Clock::now(), std::chrono::system_clock::now()},
                     this->watchdog,
                     this->counters,
                     this->log,
                     [](const FenceKeyCall&) { return KeyFenceReply(); }};
  PeerRunner runner{{}, {}, this->peer_port, this->channels, this->counters,
                    {}};
  PeerServer server{this->owner, this->journal, this->runner};
  Ingress ingress{{"vm-1", 1},
                  {this->config,
                   this->directory,
                   this->budgets,
                   this->owners,
                   this->journal,
                   this->levels,
                   this->counters,
                   this->log,
                   {}}};
};

// Adds a body that is forwarded in parts.
void AddUpload(HttpRequest& request) {
  auto stream = std::make_shared<BodyStream>();
  stream->length = kUploadBytes;
  stream->read = [left = kUploadBytes](Clock::time_point) mutable {
    const std::size_t size = std::min<std::size_t>(left, 32 << 10);
    left -= size;
    return BodyPart{left == 0 ? BodyPartKind::kEnd : BodyPartKind::kBytes,
                    std::string(size, 'x')};
  };
  request.body.clear();
  request.stream = std::move(stream);
}

// Guards against a field of a message between daemons that cannot hold the
// bytes of other programs: the message could not be parsed.
TEST_CASE("all text between daemons may have any byte", "[peer_path]") {
  const google::protobuf::FileDescriptor* file =
      rpc::ForwardRequest::descriptor()->file();
  REQUIRE(file->message_type_count() > 0);
  for (int i = 0; i < file->message_type_count(); ++i) {
    const google::protobuf::Descriptor* message = file->message_type(i);
    for (int j = 0; j < message->field_count(); ++j) {
      INFO(message->field(j)->full_name());
      CHECK(message->field(j)->type() !=
            google::protobuf::FieldDescriptor::TYPE_STRING);
    }
  }
}

// Guards against requests that fail, and responses that arrive without their
// body, because a header has bytes from 0x80.
TEST_CASE("header bytes from 0x80 pass both ways unchanged", "[peer_path]") {
  PeerPath path;
  for (const char* route : {"/safe", "/order"}) {
    for (const bool upload : {false, true}) {
      INFO(route << " upload " << upload);
      HttpRequest request = path.MakeRequest(route, kName);
      request.headers.push_back({"X-Organisation", kName});
      if (upload) {
        AddUpload(request);
      }
      const IngressReply reply = path.Send(request);
      CHECK(reply.outcome == CallerOutcome::kAnswered);
      CHECK(reply.response.status == 200);
      CHECK(FindHeader(reply.response.headers, "X-Name") == kName);
      CHECK(reply.response.body == "struck");
    }
  }
  CHECK(path.Count("comfrey_ingress_unreadable_messages_total") == 0);
}

// Guards against orders that are refused because a header of another caller's
// request makes their owner count as unreachable.
TEST_CASE("bytes from 0x80 in one request leave others alone", "[peer_path]") {
  constexpr int kRequests = 60;
  constexpr int kUnusualEach = 6;
  PeerPath path;
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    const bool unusual = i % kUnusualEach == 0;
    const IngressReply reply =
        path.Send(path.MakeRequest("/order", unusual ? kName : "Kovacs"));
    served += reply.response.status == 200 ? 1 : 0;
  }
  CHECK(served == kRequests);
  CHECK(path.Count("comfrey_ingress_path_failures_total") == 0);
}

// Sends orders, and one unusual request in six of them. Returns how many of the
// orders are served.
template <typename SendUnusual>
int CountServedOrders(PeerPath& path, int orders, SendUnusual send_unusual) {
  constexpr int kOrdersPerUnusual = 5;
  int served = 0;
  for (int i = 0; i < orders; ++i) {
    if (i % kOrdersPerUnusual == 0) {
      send_unusual();
    }
    const IngressReply reply = path.Send(path.MakeRequest("/order", "Kovacs"));
    served += reply.response.status == 200 ? 1 : 0;
  }
  return served;
}

// Guards against orders of others that are refused because the deadline of one
// request, which is shorter than the time that a path has, is taken for a dead
// path.
TEST_CASE("a short deadline of one request leaves others alone",
          "[peer_path]") {
  constexpr int kOrders = 15;
  const std::string route = GENERATE("/hurried", "/hurried-order");
  INFO(route);
  PeerPath path;
  REQUIRE(path.Send(path.MakeRequest("/order", "Kovacs")).response.status ==
          200);
  const std::shared_ptr<PeerChannel> connection = path.Connection();
  CHECK(CountServedOrders(path, kOrders, [&] {
          path.SendToBusyOwner(path.MakeRequest(route, "Kovacs"));
        }) == kOrders);
  CHECK(path.Count("comfrey_ingress_path_failures_total") == 0);
  CHECK(path.Connection() == connection);
}

// Guards against orders of others that are refused because a request is too old
// for any stamp, which is taken for an owner that cannot be reached.
TEST_CASE("a stale order leaves others alone", "[peer_path]") {
  constexpr int kOrders = 15;
  PeerPath path;
  CHECK(CountServedOrders(path, kOrders, [&] {
          const IngressReply reply =
              path.Send(path.MakeRequest("/stale-order", "Kovacs"));
          CHECK(reply.outcome == CallerOutcome::kNotRun);
        }) == kOrders);
}

// Guards against a connection that is given up, with the requests of others on
// their way to it, because the body of one upload breaks off.
TEST_CASE("a body that breaks off leaves the connection in use",
          "[peer_path]") {
  for (const char* route : {"/safe", "/order"}) {
    INFO(route);
    PeerPath path;
    REQUIRE(path.Send(path.MakeRequest("/order", "Kovacs")).response.status ==
            200);
    const std::shared_ptr<PeerChannel> connection = path.Connection();
    HttpRequest request = path.MakeRequest(route, "Kovacs");
    AddUpload(request);
    request.stream->read = [first = true](Clock::time_point) mutable {
      const BodyPartKind kind =
          first ? BodyPartKind::kBytes : BodyPartKind::kFailed;
      first = false;
      return BodyPart{kind, kind == BodyPartKind::kBytes ? "x" : ""};
    };
    CHECK(path.Send(request).response.status >= 500);
    CHECK(path.Connection() == connection);
    CHECK(path.Count("comfrey_ingress_path_failures_total") == 0);
  }
}

}  // namespace
}  // namespace comfrey
