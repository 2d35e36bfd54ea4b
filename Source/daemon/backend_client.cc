#include "daemon/backend_client.h"

#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "daemon/http_wire.h"

namespace comfrey {

/// \brief One connection to a backend server; owns the socket.
struct BackendConnection {
  explicit BackendConnection(int socket) : socket(socket), reader(socket) {}
  ~BackendConnection() { ::close(this->socket); }

  BackendConnection(const BackendConnection&) = delete;
  BackendConnection& operator=(const BackendConnection&) = delete;

  int socket;
  WireReader reader;
  /// An idle connection is not reused after this time, since the backend server
  /// may close it.
  std::chrono::steady_clock::time_point usable_until;
};

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kConnectTimeout{250};
constexpr std::size_t kMaxIdleConnections = 16;
constexpr std::size_t kMaxResponseHead = 64 << 10;
// The memory limit of a daemon is 32 MB, and a larger response would take a
// large part of it.
constexpr std::size_t kMaxResponseBody = 8 << 20;
// Largest number of interim responses (1xx) before the final response.
constexpr int kMaxInterimResponses = 16;

constexpr int kSwitchingProtocols = 101;
constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

// The reuse of a connection stops this long before the idle timeout of the
// backend server. A request that is sent later may reach a closed connection
// and be lost.
constexpr std::chrono::milliseconds kIdleMargin{1000};
constexpr std::chrono::seconds kDefaultIdleTimeout{5};
constexpr std::chrono::seconds kMaxIdleTimeout{60};
// Largest number of responses to other attempts that are skipped before the
// response to the current request.
constexpr int kMaxMismatchedResponses = 3;

// Result of reading one response.
struct ReceivedResponse {
  std::string error;  // Empty if the response is complete.
  bool timed_out = false;
  bool received_bytes = false;
  bool reusable = false;  // Whether the connection may be reused.
  HttpResponse response;
};

bool IsForwarded(const std::string& name, const HeaderNames& names) {
  return !IsHopByHopHeader(name) &&
         !absl::EqualsIgnoreCase(name, "Content-Length") &&
         !absl::EqualsIgnoreCase(name, "Expect") &&
         !absl::EqualsIgnoreCase(name, names.time_left);
}

// Returns why the backend server could parse the request as a different one, or
// "" if it cannot.
std::string ValidateRequest(const HttpRequest& request) {
  if (!IsToken(request.method)) {
    return "the method is not a token";
  }
  if (!IsValidTarget(request.target)) {
    return "the target contains a space or a control character";
  }
  for (const HttpHeader& header : request.headers) {
    if (!IsValidHeader(header)) {
      return "a header contains a control character";
    }
  }
  return "";
}

std::string BuildRequest(const BackendCall& call,
                         const std::string& peer,
                         const HeaderNames& names,
                         Clock::time_point now) {
  const HttpRequest& request = *call.request;
  std::string text =
      absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n");
  if (FindHeader(request.headers, "Host").empty()) {
    absl::StrAppend(&text, "Host: ", peer, "\r\n");
  }
  for (const HttpHeader& header : request.headers) {
    if (IsForwarded(header.name, names)) {
      absl::StrAppend(&text, header.name, ": ", header.value, "\r\n");
    }
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.deadline - now);
  absl::StrAppend(&text, names.time_left, ": ", left.count(), "\r\n");
  if (!request.body.empty() ||
      (request.method != "GET" && request.method != "HEAD")) {
    absl::StrAppend(&text, "Content-Length: ", request.body.size(), "\r\n");
  }
  absl::StrAppend(&text, "\r\n", request.body);
  return text;
}

// Returns the status of a line such as "HTTP/1.1 200 OK", or 0 if the line is
// malformed.
int ParseStatusLine(absl::string_view line) {
  constexpr std::size_t kVersionLength = 9;
  constexpr std::size_t kStatusLength = 3;
  if (!absl::StartsWith(line, "HTTP/1.1 ") &&
      !absl::StartsWith(line, "HTTP/1.0 ")) {
    return 0;
  }
  const absl::string_view digits = line.substr(kVersionLength, kStatusLength);
  const absl::string_view rest =
      line.substr(std::min(line.size(), kVersionLength + kStatusLength));
  int status = 0;
  if (digits.size() != kStatusLength ||
      digits.find_first_not_of("0123456789") != absl::string_view::npos ||
      !absl::SimpleAtoi(digits, &status) || status < 100 || status > 599 ||
      !(rest.empty() || rest.front() == ' ')) {
    return 0;
  }
  return status;
}

std::string DescribeError(WireError error) {
  switch (error) {
    case WireError::kNone:
      return "";
    case WireError::kReset:
      return "the connection was reset before the end of the response";
    case WireError::kClosed:
      return "the connection was closed before the end of the response";
    case WireError::kTimedOut:
      return "deadline exceeded";
    case WireError::kMalformed:
      return "the response is malformed";
    case WireError::kHeadTooLarge:
      return "the headers of the response are too large";
    case WireError::kBodyTooLarge:
      return absl::StrCat("the body of the response exceeds ", kMaxResponseBody,
                          " bytes");
  }
  return "";
}

ReceivedResponse Fail(ReceivedResponse received, WireError error) {
  received.error = DescribeError(error);
  received.timed_out = error == WireError::kTimedOut;
  return received;
}

// Returns why a complete response does not come from the backend server, or "".
// Checked only if backend servers sign their responses.
std::string ValidateResponse(const HttpResponse& response,
                             const HeaderNames& names) {
  constexpr int kFirstRedirection = 300;
  if (names.signature.empty()) {
    return "";
  }
  if (!FindHeader(response.headers, "Content-Encoding").empty()) {
    return "the response has a Content-Encoding that was not requested";
  }
  if (response.status < kFirstRedirection &&
      FindHeader(response.headers, names.signature).empty()) {
    return "the response lacks the signature header of the backend server";
  }
  return "";
}

// Whether the response is a late one to another attempt.
bool BelongsToOtherAttempt(const HttpResponse& response,
                           const HttpRequest& request,
                           const HeaderNames& names) {
  if (names.attempt_id.empty()) {
    return false;
  }
  const absl::string_view sent = FindHeader(request.headers, names.attempt_id);
  const absl::string_view echoed =
      FindHeader(response.headers, names.attempt_id);
  return !sent.empty() && !echoed.empty() && sent != echoed;
}

// Returns how long the connection may be idle before its reuse: the timeout
// that the response announces, less a margin.
std::chrono::milliseconds ComputeIdleTimeout(const HttpResponse& response) {
  constexpr absl::string_view kTimeout = "timeout=";
  std::chrono::milliseconds idle = kDefaultIdleTimeout;
  const absl::string_view value = FindHeader(response.headers, "Keep-Alive");
  const std::size_t start = value.find(kTimeout);
  if (start != absl::string_view::npos) {
    const absl::string_view rest = value.substr(start + kTimeout.size());
    int seconds = 0;
    if (absl::SimpleAtoi(rest.substr(0, rest.find_first_not_of("0123456789")),
                         &seconds)) {
      idle = std::min<std::chrono::milliseconds>(std::chrono::seconds(seconds),
                                                 kMaxIdleTimeout);
    }
  }
  return idle - kIdleMargin;
}

ReceivedResponse ReadResponse(WireReader& reader,
                              const std::string& method,
                              bool close_delimited,
                              Clock::time_point deadline) {
  ReceivedResponse received;
  MessageHead head;
  int status = 0;
  for (int interim = 0; status < kOk; ++interim) {
    head = MessageHead{};
    const WireError error = ReadHead(reader, deadline, kMaxResponseHead, head);
    if (error != WireError::kNone) {
      received.received_bytes = interim > 0 || reader.HasBufferedBytes() ||
                                !head.start_line.empty() ||
                                error == WireError::kMalformed;
      return Fail(std::move(received), error);
    }
    received.received_bytes = true;
    status = ParseStatusLine(head.start_line);
    if (status == 0 || status == kSwitchingProtocols ||
        interim >= kMaxInterimResponses) {
      return Fail(std::move(received), WireError::kMalformed);
    }
  }
  BodyFraming framing;
  received.error = DetermineFraming(head.headers, framing);
  if (!received.error.empty()) {
    return received;
  }
  if (framing.chunked && !absl::StartsWith(head.start_line, "HTTP/1.1")) {
    received.error = "the response is chunked, but its version is HTTP/1.0";
    return received;
  }
  const bool without_body =
      method == "HEAD" || status == kNoContent || status == kNotModified;
  if (!without_body) {
    // Without a length and without chunks, the response ends when the
    // connection closes, so a truncated response looks like a complete one.
    const bool ends_with_connection = !framing.chunked && !framing.has_length;
    if (ends_with_connection && !close_delimited) {
      received.error = "the response has no length and is not chunked";
      return received;
    }
    const WireError error =
        ends_with_connection
            ? reader.ReadUntilClose(deadline, kMaxResponseBody,
                                    received.response.body)
            : ReadBody(reader, deadline, framing, kMaxResponseBody,
                       received.response.body);
    if (error != WireError::kNone) {
      return Fail(std::move(received), error);
    }
  }
  received.response.status = status;
  received.response.headers = std::move(head.headers);
  // Bytes that follow the response belong to no request, so the connection is
  // not reused.
  received.reusable =
      absl::StartsWith(head.start_line, "HTTP/1.1") &&
      !HasConnectionOption(received.response.headers, "close") &&
      !reader.HasBufferedBytes();
  return received;
}

// Returns a connected socket, or -1 with the cause in `error`.
int Connect(const std::string& ip,
            int port,
            Clock::time_point deadline,
            std::string& error) {
  addrinfo hints{};
  hints.ai_socktype = SOCK_STREAM;
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
  addrinfo* address = nullptr;
  if (::getaddrinfo(ip.c_str(), std::to_string(port).c_str(), &hints,
                    &address) != 0) {
    error = "the endpoint address is not an IP address";
    return -1;
  }
  const std::unique_ptr<addrinfo, decltype(&::freeaddrinfo)> owner(
      address, &::freeaddrinfo);
  const int socket = ::socket(address->ai_family,
                              SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket < 0) {
    error = std::strerror(errno);
    return -1;
  }
  const int enabled = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  int code = 0;
  if (::connect(socket, address->ai_addr, address->ai_addrlen) != 0) {
    code = errno;
    if (code == EINPROGRESS) {
      socklen_t length = sizeof(code);
      if (!WaitForSocket(socket, POLLOUT, deadline)) {
        code = ETIMEDOUT;
      } else if (::getsockopt(socket, SOL_SOCKET, SO_ERROR, &code, &length) !=
                 0) {
        code = errno;
      }
    }
  }
  if (code != 0) {
    error = std::strerror(code);
    ::close(socket);
    return -1;
  }
  return socket;
}

// Whether the connection is open and has no unread bytes. Before a request is
// sent, received bytes are a late or unsolicited response, and an end of file
// means that the backend server closed the connection.
bool IsOpenAndIdle(const BackendConnection& connection) {
  return !connection.reader.HasBufferedBytes() &&
         !WaitForSocket(connection.socket, POLLIN, Clock::time_point{});
}

}  // namespace

BackendClient::BackendClient(std::string ip,
                             int port,
                             CallWatchdog& watchdog,
                             BackendProtocol protocol)
    : ip(std::move(ip)),
      port(port),
      watchdog(watchdog),
      protocol(std::move(protocol)) {}

BackendClient::~BackendClient() = default;

BackendResult BackendClient::Call(const BackendCall& call) {
  const Clock::time_point start = Clock::now();
  bool should_retry = false;
  BackendResult result = this->CallOnce(call, call.idempotent, should_retry);
  if (should_retry) {
    result = this->CallOnce(call, false, should_retry);
    result.retried = true;
    if (result.outcome == BackendOutcome::kNotSent) {
      // The request may have reached the backend server over the first
      // connection.
      result.outcome = BackendOutcome::kFailed;
    }
  }
  result.latency = std::chrono::duration_cast<std::chrono::microseconds>(
      Clock::now() - start);
  return result;
}

BackendResult BackendClient::CallOnce(const BackendCall& call,
                                      bool allow_reuse,
                                      bool& should_retry) {
  should_retry = false;
  BackendResult result;
  const std::string peer = absl::StrCat(this->ip, ":", this->port);
  const Clock::time_point start = Clock::now();
  const std::string invalid = ValidateRequest(*call.request);
  if (!invalid.empty()) {
    result.error = absl::InvalidArgumentError(
        absl::StrCat("send to ", peer, ": ", invalid));
    return result;
  }
  if (start >= call.deadline) {
    result.error = absl::DeadlineExceededError(absl::StrCat(
        "send to ", peer, ": the deadline passed before the request was sent"));
    return result;
  }
  // The backend server may close an idle connection between its check and its
  // use, and then it is unknown whether the request ran. A request that must
  // not run twice therefore gets a new connection, which takes about 1 ms. An
  // idempotent request is retried over a new connection.
  std::unique_ptr<BackendConnection> connection =
      allow_reuse ? this->TakeConnection() : nullptr;
  const bool reused = connection != nullptr;
  if (!connection) {
    std::string error;
    const int socket =
        Connect(this->ip, this->port,
                std::min(call.deadline, start + kConnectTimeout), error);
    if (socket < 0) {
      result.error = absl::UnavailableError(
          absl::StrCat("connect to ", peer, ": ", error));
      return result;
    }
    connection = std::make_unique<BackendConnection>(socket);
    if (!IsOpenAndIdle(*connection)) {
      result.error = absl::UnavailableError(absl::StrCat(
          "send to ", peer,
          ": the backend server sent bytes or closed the connection before the "
          "request was sent"));
      return result;
    }
  }

  std::atomic<bool> stopped{false};
  const int socket = connection->socket;
  const CallWatchdog::CallId watch =
      this->watchdog.Watch(call.deadline, call.cancelled, [&stopped, socket] {
        stopped = true;
        ::shutdown(socket, SHUT_RDWR);
      });
  const HeaderNames& names = this->protocol.headers;
  const std::string request = BuildRequest(call, peer, names, start);
  std::size_t sent = 0;
  ReceivedResponse received;
  if (WriteAll(socket, call.deadline, request, sent)) {
    int mismatched = 0;
    do {
      received = ReadResponse(connection->reader, call.request->method,
                              this->protocol.close_delimited, call.deadline);
    } while (received.error.empty() &&
             BelongsToOtherAttempt(received.response, *call.request, names) &&
             ++mismatched <= kMaxMismatchedResponses);
    if (mismatched > kMaxMismatchedResponses) {
      received.error = "only responses to other requests arrived";
    } else if (received.error.empty()) {
      received.error = ValidateResponse(received.response, names);
    }
  } else {
    received.error = "the request could not be sent completely";
  }
  this->watchdog.Remove(watch);

  if (received.error.empty()) {
    result.outcome = BackendOutcome::kAnswered;
    result.response = std::move(received.response);
    if (received.reusable && !stopped) {
      connection->reader.ReleaseBuffer();
      connection->usable_until =
          Clock::now() + ComputeIdleTimeout(result.response);
      this->ReturnConnection(std::move(connection));
    }
    return result;
  }
  should_retry = reused && !stopped && !received.timed_out &&
                 !received.received_bytes && Clock::now() < call.deadline;
  if (sent == 0 && !stopped) {
    result.error = absl::UnavailableError(
        absl::StrCat("send to ", peer, ": ", received.error));
    return result;
  }
  if (received.timed_out || Clock::now() >= call.deadline) {
    result.outcome = BackendOutcome::kTimedOut;
    result.error = absl::DeadlineExceededError(
        absl::StrCat("response from ", peer, ": deadline exceeded"));
    return result;
  }
  result.outcome =
      stopped ? BackendOutcome::kCancelled : BackendOutcome::kFailed;
  result.error = absl::UnavailableError(
      absl::StrCat("response from ", peer, ": ", received.error));
  return result;
}

std::unique_ptr<BackendConnection> BackendClient::TakeConnection() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  while (!this->idle.empty()) {
    std::unique_ptr<BackendConnection> connection =
        std::move(this->idle.back());
    this->idle.pop_back();
    if (Clock::now() < connection->usable_until && IsOpenAndIdle(*connection)) {
      return connection;
    }
  }
  return nullptr;
}

void BackendClient::ReturnConnection(
    std::unique_ptr<BackendConnection> connection) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->idle.size() < kMaxIdleConnections) {
    this->idle.push_back(std::move(connection));
  }
}

}  // namespace comfrey
