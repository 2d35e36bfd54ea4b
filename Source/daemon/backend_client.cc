#include "daemon/backend_client.h"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <utility>

#include "absl/strings/str_cat.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kConnectTimeout{250};
constexpr std::size_t kMaxIdleConnections = 16;

// Remaining time that the backend server may spend, in milliseconds.
constexpr char kTimeoutHeader[] = "Request-Timeout-Ms";

httplib::Request BuildRequest(const BackendCall& call, Clock::time_point now) {
  httplib::Request request;
  request.method = call.request->method;
  request.path = call.request->target;
  for (const HttpHeader& header : call.request->headers) {
    request.headers.emplace(header.name, header.value);
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.deadline - now);
  request.headers.erase(kTimeoutHeader);
  request.headers.emplace(kTimeoutHeader, absl::StrCat(left.count()));
  request.body = call.request->body;
  return request;
}

// A response without a length that is not chunked ends with the connection,
// so a cut response could not be told from a whole one.
bool HasDefiniteEnd(const std::string& method,
                    const httplib::Response& response) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return method == "HEAD" || response.status == kNoContent ||
         response.status == kNotModified ||
         response.has_header("Content-Length") ||
         response.has_header("Transfer-Encoding");
}

HttpResponse ConvertResponse(const httplib::Response& response) {
  HttpResponse converted;
  converted.status = response.status;
  for (const auto& [name, value] : response.headers) {
    converted.headers.push_back({name, value});
  }
  converted.body = response.body;
  return converted;
}

}  // namespace

BackendClient::BackendClient(std::string ip, int port, CallWatchdog& watchdog)
    : ip(std::move(ip)), port(port), watchdog(watchdog) {}

BackendClient::~BackendClient() = default;

BackendResult BackendClient::Call(const BackendCall& call) {
  BackendResult result;
  const std::string peer = absl::StrCat(this->ip, ":", this->port);
  const Clock::time_point start = Clock::now();
  if (start >= call.deadline) {
    result.error = absl::DeadlineExceededError(
        absl::StrCat("send to ", peer, ": the deadline passed before"));
    return result;
  }
  std::unique_ptr<httplib::Client> connection =
      this->TakeConnection(call.idempotent);
  const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
      call.deadline - start);
  connection->set_connection_timeout(
      std::min<std::chrono::microseconds>(kConnectTimeout, left));
  connection->set_read_timeout(left);
  connection->set_write_timeout(left);

  std::atomic<bool> stopped{false};
  const CallWatchdog::CallId watch =
      this->watchdog.Watch(call.deadline, call.cancelled, [&] {
        stopped = true;
        connection->stop();
      });
  const httplib::Result reply = connection->send(BuildRequest(call, start));
  this->watchdog.Remove(watch);
  const Clock::time_point end = Clock::now();
  result.latency =
      std::chrono::duration_cast<std::chrono::microseconds>(end - start);

  if (reply && HasDefiniteEnd(call.request->method, *reply)) {
    result.outcome = BackendOutcome::kAnswered;
    result.response = ConvertResponse(*reply);
    const bool close =
        reply->get_header_value("Connection") == "close" || stopped;
    if (!close) {
      this->ReturnConnection(std::move(connection));
    }
    return result;
  }
  if (reply.error() == httplib::Error::Connection ||
      reply.error() == httplib::Error::ConnectionTimeout) {
    result.outcome = BackendOutcome::kNotSent;
    result.error = absl::UnavailableError(absl::StrCat(
        "connect to ", peer, ": ", httplib::to_string(reply.error())));
    return result;
  }
  if (end >= call.deadline) {
    result.outcome = BackendOutcome::kTimedOut;
    result.error = absl::DeadlineExceededError(
        absl::StrCat("response from ", peer, ": deadline exceeded"));
    return result;
  }
  result.outcome =
      stopped ? BackendOutcome::kCancelled : BackendOutcome::kFailed;
  result.error = absl::UnavailableError(absl::StrCat(
      "response from ", peer, ": ",
      reply ? "no length and not chunked" : httplib::to_string(reply.error())));
  return result;
}

std::unique_ptr<httplib::Client> BackendClient::TakeConnection(
    bool idempotent) {
  // A backend server may close an idle connection at the moment it is reused;
  // then it is unknown whether the request ran. A new connection, about 1 ms,
  // avoids that for requests that must not run twice.
  if (idempotent) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->idle.empty()) {
      std::unique_ptr<httplib::Client> connection =
          std::move(this->idle.back());
      this->idle.pop_back();
      return connection;
    }
  }
  auto connection = std::make_unique<httplib::Client>(this->ip, this->port);
  connection->set_keep_alive(true);
  connection->set_tcp_nodelay(true);
  connection->set_decompress(false);
  connection->set_url_encode(false);
  return connection;
}

void BackendClient::ReturnConnection(
    std::unique_ptr<httplib::Client> connection) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->idle.size() < kMaxIdleConnections) {
    this->idle.push_back(std::move(connection));
  }
}

}  // namespace comfrey
