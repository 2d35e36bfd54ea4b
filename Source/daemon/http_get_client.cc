#include "daemon/http_get_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

absl::Status StoppedError() {
  return absl::CancelledError("the client was stopped");
}

}  // namespace

HttpGetClient::HttpGetClient(std::string ip,
                             int port,
                             const ResponseLimits& limits,
                             std::chrono::microseconds connect_timeout)
    : ip(std::move(ip)),
      port(port),
      peer(absl::StrCat(this->ip, ":", port)),
      limits(limits),
      connect_timeout(connect_timeout) {}

absl::StatusOr<HttpResponse> HttpGetClient::Get(const std::string& target,
                                                TimePoint deadline) {
  const Clock::time_point begin = Clock::now();
  const absl::Status connected = this->Connect(deadline);
  if (!connected.ok()) {
    return connected;
  }
  bool reusable = false;
  absl::StatusOr<HttpResponse> response =
      this->Exchange(target, deadline, reusable);
  if (!reusable) {
    this->CloseConnection();
  }
  if (this->IsStopped()) {
    return StoppedError();
  }
  if (absl::IsDeadlineExceeded(response.status())) {
    const auto waited =
        std::chrono::duration_cast<milliseconds>(Clock::now() - begin);
    return absl::DeadlineExceededError(
        absl::StrCat("no complete response after ", waited.count(), " ms"));
  }
  return response;
}

void HttpGetClient::Abandon() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->connection) {
    ::shutdown(this->connection->socket, SHUT_RDWR);
  }
}

void HttpGetClient::Stop() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->stopped = true;
  }
  this->Abandon();
}

absl::Status HttpGetClient::Connect(TimePoint deadline) {
  if (this->IsStopped()) {
    return StoppedError();
  }
  if (this->connection && IsOpenAndIdle(*this->connection)) {
    return absl::OkStatus();
  }
  this->CloseConnection();
  std::string error;
  std::unique_ptr<HttpConnection> opened = OpenConnection(
      this->ip, this->port,
      std::min(deadline, Clock::now() + this->connect_timeout), error);
  if (!opened) {
    return absl::UnavailableError(error);
  }
  EnableKeepalive(*opened);
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->stopped) {
    return StoppedError();
  }
  this->connection = std::move(opened);
  return absl::OkStatus();
}

absl::StatusOr<HttpResponse> HttpGetClient::Exchange(const std::string& target,
                                                     TimePoint deadline,
                                                     bool& reusable) {
  const std::string request = absl::StrCat(
      "GET ", target, " HTTP/1.1\r\nHost: ", this->peer, "\r\n\r\n");
  std::size_t sent = 0;
  const WireError error = SendAll(*this->connection, deadline, request, sent);
  if (error != WireError::kNone) {
    return error == WireError::kTimedOut
               ? absl::DeadlineExceededError("send")
               : absl::UnavailableError(
                     "the connection ended before the request was sent");
  }
  ReceivedResponse received =
      ReadResponse(this->connection->reader, "GET", this->limits, deadline);
  if (received.timed_out) {
    return absl::DeadlineExceededError(received.error);
  }
  if (!received.error.empty()) {
    return received.ended_early ? absl::UnavailableError(received.error)
                                : absl::DataLossError(received.error);
  }
  reusable = received.reusable;
  return std::move(received.response);
}

void HttpGetClient::CloseConnection() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->connection.reset();
}

bool HttpGetClient::IsStopped() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->stopped;
}

}  // namespace comfrey
