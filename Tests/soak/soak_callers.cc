#include "soak/soak_callers.h"

#include <chrono>
#include <memory>
#include <random>
#include <stdexcept>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "soak/soak_server.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kTimeLeft{3000};
// A response may come this much after the time of its request is over.
constexpr milliseconds kResponseSlack{3000};
constexpr milliseconds kReconnectPause{50};
constexpr int kMaxPauseMs = 40;
constexpr int kRequestsPerLeaving = 20;
constexpr std::size_t kStatusBegin = 9;
constexpr std::size_t kStatusSize = 3;

std::unique_ptr<RawSocket> TryConnect(const std::string& ip, int port) {
  try {
    return RawSocket::Connect(ip, port);
  } catch (const std::runtime_error&) {
    std::this_thread::sleep_for(kReconnectPause);
    return nullptr;
  }
}

// Takes the parts of a response. One that ends before its length says so
// itself, and is no response to the request.
void ParseResponse(const std::string& response, SoakRequest& request) {
  const std::size_t head_end = response.find("\r\n\r\n");
  if (head_end == std::string::npos) {
    return;
  }
  const std::string head = response.substr(0, head_end);
  const std::string body = response.substr(head_end + 4);
  std::size_t length = 0;
  if (absl::SimpleAtoi(HeaderOf(head, "Content-Length"), &length) &&
      body.size() < length) {
    return;
  }
  if (absl::SimpleAtoi(head.substr(kStatusBegin, kStatusSize),
                       &request.status)) {
    request.signature = HeaderOf(head, "X-Mark");
    request.response = body;
  }
}

}  // namespace

bool ExchangeSoakRequest(const RawSocket& socket,
                         const std::string& target,
                         SoakRequest& request) {
  const bool sent = socket.Send(absl::StrCat(
      "POST ", target, " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt: ",
      request.id, "\r\nX-Left: ", kTimeLeft.count(),
      "\r\nContent-Length: ", request.body.size(), "\r\n\r\n", request.body));
  request.sent_at = Clock::now();
  request.ended_at = request.sent_at;
  if (!sent || request.left) {
    return false;
  }
  bool closed = false;
  const std::string response =
      socket.ReceiveResponse(kTimeLeft + kResponseSlack, closed);
  request.ended_at = Clock::now();
  ParseResponse(response, request);
  request.timed_out = request.status == 0 && !closed;
  return request.status != 0 && !closed &&
         !absl::StrContains(response, "Connection: close\r\n");
}

void SoakCallers::Start(int vm,
                        const std::string& ip,
                        int port,
                        std::uint64_t seed) {
  const int caller = static_cast<int>(this->threads.size());
  this->threads.emplace_back([=] { this->Run(vm, ip, port, caller, seed); });
}

void SoakCallers::Stop() {
  this->stopping = true;
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  this->threads.clear();
}

void SoakCallers::Run(int vm,
                      const std::string& ip,
                      int port,
                      int caller,
                      std::uint64_t seed) {
  std::mt19937_64 rng(seed);
  std::unique_ptr<RawSocket> socket;
  for (int n = 0; !this->stopping; ++n) {
    if (!socket) {
      socket = TryConnect(ip, port);
      continue;
    }
    SoakRequest request;
    request.id = absl::StrCat(caller, "-", n);
    request.vm = vm;
    request.idempotent = rng() % 2 == 0;
    request.body = absl::StrCat("body of ", request.id);
    request.left = rng() % kRequestsPerLeaving == 0;
    const bool open = ExchangeSoakRequest(
        *socket, request.idempotent ? "/look/x" : "/order/x", request);
    this->history.Add(std::move(request));
    if (!open) {
      socket.reset();
    }
    std::this_thread::sleep_for(
        milliseconds(static_cast<int>(rng() % kMaxPauseMs)));
  }
}

}  // namespace comfrey
