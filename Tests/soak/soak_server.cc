#include "soak/soak_server.h"

#include <chrono>
#include <thread>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// More than the daemon opens: one for each of its 4 slots.
constexpr int kThreads = 8;
constexpr milliseconds kWorkTime{20};
constexpr milliseconds kSlowWorkTime{200};
constexpr milliseconds kPollPeriod{50};

std::string MakeResponse(int status,
                         const std::string& headers,
                         const std::string& body) {
  return absl::StrCat("HTTP/1.1 ", status, " X\r\n", headers,
                      "Content-Length: ", body.size(), "\r\n\r\n", body);
}

}  // namespace

std::string HeaderOf(const std::string& head, const std::string& name) {
  for (const absl::string_view line : absl::StrSplit(head, "\r\n")) {
    if (absl::StartsWithIgnoreCase(line, absl::StrCat(name, ": "))) {
      return std::string(line.substr(name.size() + 2));
    }
  }
  return "";
}

SoakServer::SoakServer(std::string instance,
                       int vm,
                       const std::string& ip,
                       SoakHistory& history)
    : instance(std::move(instance)),
      vm(vm),
      history(history),
      server(
          ip,
          [this](RawSocket& socket, int) { this->ServeConnection(socket); },
          kThreads) {}

SoakServer::~SoakServer() {
  this->stopping = true;
}

void SoakServer::ServeConnection(RawSocket& socket) {
  Request request;
  while (this->ReadRequest(socket, request) &&
         this->ServeRequest(socket, request)) {
  }
}

bool SoakServer::ReadRequest(RawSocket& socket, Request& request) {
  request = {};
  bool closed = false;
  while (!HasHead(request.head)) {
    request.head += socket.Receive(
        [&](const std::string& bytes) { return HasHead(request.head + bytes); },
        kPollPeriod, closed);
    if (closed || this->stopping) {
      return false;
    }
  }
  const std::string length = HeaderOf(request.head, "Content-Length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (request.body.size() < size && !closed && !this->stopping) {
    request.body += socket.Receive(
        [&](const std::string& bytes) {
          return request.body.size() + bytes.size() >= size;
        },
        kPollPeriod, closed);
  }
  return request.body.size() == size;
}

// Serves a request as the present fault says. Returns whether the connection
// stays open.
bool SoakServer::ServeRequest(RawSocket& socket, const Request& request) {
  const std::string id = HeaderOf(request.head, "X-Attempt");
  const std::string expected = HeaderOf(request.head, "X-Instance");
  if (expected != this->instance) {
    return socket.Send(MakeResponse(421, "X-Not-Run: 1\r\n", ""));
  }
  const ServerFault now = this->fault;
  if (now == ServerFault::kMarkedRefusal) {
    return socket.Send(MakeResponse(503, "X-Not-Run: 1\r\n", "full"));
  }
  const int status = now == ServerFault::kError             ? 500
                     : now == ServerFault::kUnmarkedRefusal ? 503
                                                            : 200;
  this->history.Add(SoakRun{id, request.body, this->instance, this->vm,
                            Clock::now(), status});
  std::this_thread::sleep_for(now == ServerFault::kSlow ? kSlowWorkTime
                                                        : kWorkTime);
  std::string headers =
      absl::StrCat("X-Attempt: ", id,
                   "\r\nX-Mark: ", SignatureOf(this->instance, id), "\r\n");
  if (now == ServerFault::kRawHeader) {
    absl::StrAppend(&headers, "X-Name: Kov\xe1", "cs\r\n");
  }
  const std::string response =
      MakeResponse(status, headers, ResponseBodyOf(id, request.body));
  switch (now) {
    case ServerFault::kLoseAnswer:
      socket.ResetOnClose();
      return false;
    case ServerFault::kTruncate:
      socket.Send(response.substr(0, response.size() - 2));
      return false;
    case ServerFault::kExtraAnswer:
      return socket.Send(response + response);
    default:
      return socket.Send(response);
  }
}

}  // namespace comfrey
