#include "daemon/http_frontend.h"

#include <httplib.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <optional>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "daemon/connection_pool.h"
#include "daemon/http_wire.h"

namespace comfrey {

/// \brief One request of a caller and the reply to it.
struct HttpFrontend::Exchange {
  HttpRequest request;
  // Reply to a request that is rejected before the handler; the connection is
  // closed after it.
  std::optional<IngressReply> refusal;
  // Set if the reply comes from the handler or is a refusal; not set for a
  // page.
  std::optional<HttpResponse> reply;
  bool close = false;
  // The caller reset the connection, or closed it before a request began; no
  // reply is sent.
  bool disconnected = false;
  int socket = -1;
  CallerLimits limits;
};

/// \brief Server of the HTTP library that accepts connections and writes
/// responses. Requests are read by the frontend.
class CallerServer : public httplib::Server {
 public:
  explicit CallerServer(std::function<void(int)> serve)
      : serve(std::move(serve)) {}

  /// \brief Replaces the library's backlog of 5 connections. In a burst, the
  /// connections beyond the backlog wait for a TCP retransmission.
  void RaiseBacklog() const {
    constexpr int kBacklog = 512;
    ::listen(this->svr_sock_, kBacklog);
  }

  /// \brief Routes the request in `stream` and writes the response to it.
  bool Respond(httplib::Stream& stream) {
    bool closed = false;
    return this->process_request(stream, false, closed, nullptr);
  }

 private:
  bool process_and_close_socket(socket_t socket) override {
    this->serve(socket);
    return true;
  }

  std::function<void(int)> serve;
};

thread_local HttpFrontend::Exchange* HttpFrontend::current = nullptr;

namespace {

using Clock = std::chrono::steady_clock;

// Limit for the whole body, as CallerLimits::header_timeout is for the whole
// head. A limit for each read would let a caller that sends single bytes at
// intervals hold a connection indefinitely.
constexpr std::chrono::seconds kBodyTimeout{10};
// Limit for the write of one piece of at most kWriteSize bytes.
constexpr std::chrono::seconds kWriteTimeout{5};
constexpr std::size_t kWriteSize = 64 << 10;
// A request is forwarded to the owner in one message, which limits the size of
// its body.
constexpr std::size_t kMaxBodyBytes = 3 << 20;
// Closing a socket with unread bytes resets the connection, and the caller may
// receive the reset before the reply. The connection is therefore read until
// the caller closes it, for at most this time.
constexpr std::chrono::seconds kCloseTimeout{1};
constexpr std::chrono::milliseconds kClosePollPeriod{100};
// One thread refuses all connections beyond the limit, one after the other. It
// waits only for the time that a request needs to arrive from a caller, which
// is a few milliseconds.
constexpr std::chrono::milliseconds kRefuseTimeout{20};
constexpr std::chrono::seconds kStartTimeout{5};
// Longest request target: the longest request line that the library accepts,
// less the other parts of the line.
constexpr std::size_t kMaxTarget = 8000;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kTargetTooLong = 414;
constexpr int kUnsupportedMediaType = 415;
constexpr int kExpectationFailed = 417;
constexpr int kHeaderTooLarge = 431;
constexpr int kNotImplemented = 501;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

constexpr std::array<absl::string_view, 7> kMethods = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
constexpr char kPagePrefix[] = "/comfrey/";

// Stream between the library and a connection. It gives the library a request
// that is already checked, and sends the response that the library writes.
class ReplyStream : public httplib::Stream {
 public:
  ReplyStream(int connection,
              std::string input,
              std::chrono::milliseconds timeout)
      : connection(connection), input(std::move(input)), timeout(timeout) {}

  using httplib::Stream::write;

  bool is_readable() const override { return true; }
  bool is_writable() const override { return true; }

  ssize_t read(char* bytes, std::size_t size) override {
    const std::size_t count =
        std::min(size, this->input.size() - this->position);
    std::memcpy(bytes, this->input.data() + this->position, count);
    this->position += count;
    return static_cast<ssize_t>(count);
  }

  ssize_t write(const char* bytes, std::size_t size) override {
    if (this->failed) {
      return -1;
    }
    // The library calls the handler through this stream too, so the time counts
    // from the first write.
    if (!this->deadline) {
      this->deadline = Clock::now() + this->timeout;
    }
    for (std::size_t written = 0; written < size;) {
      const absl::string_view piece(bytes + written,
                                    std::min(size - written, kWriteSize));
      std::size_t sent = 0;
      const Clock::time_point limit = std::min<Clock::time_point>(
          *this->deadline, Clock::now() + kWriteTimeout);
      if (!WriteAll(this->connection, limit, piece, sent)) {
        this->failed = true;
        return -1;
      }
      written += sent;
    }
    return static_cast<ssize_t>(size);
  }

  void get_remote_ip_and_port(std::string& /*ip*/,
                              int& /*port*/) const override {}
  void get_local_ip_and_port(std::string& /*ip*/,
                             int& /*port*/) const override {}
  socket_t socket() const override { return this->connection; }

  bool Failed() const { return this->failed; }

 private:
  int connection;
  std::string input;
  std::size_t position = 0;
  std::chrono::milliseconds timeout;
  // Limit for the whole response; set at the first write.
  std::optional<Clock::time_point> deadline;
  bool failed = false;
};

// Counts one request for the time of its handler, also if it throws.
class CountWhileAlive {
 public:
  explicit CountWhileAlive(std::atomic<int>& count) : count(count) { ++count; }
  ~CountWhileAlive() { --this->count; }

  CountWhileAlive(const CountWhileAlive&) = delete;
  CountWhileAlive& operator=(const CountWhileAlive&) = delete;

 private:
  std::atomic<int>& count;
};

// Whether the caller has closed or reset its connection.
bool HasDisconnected(int socket) {
  char byte = 0;
  const ssize_t count =
      ::recv(socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                        errno != EINTR);
}

IngressReply MakeRefusal(int status, const std::string& text) {
  return MakeLocalReply(CallerOutcome::kNotRun, status, text);
}

IngressReply MakeReadRefusal(WireError error, const CallerLimits& limits) {
  switch (error) {
    case WireError::kTimedOut:
      return MakeRefusal(kRequestTimeout, "the request did not arrive in time");
    case WireError::kHeadTooLarge:
      return MakeRefusal(
          kHeaderTooLarge,
          absl::StrCat("the headers exceed ", limits.header_bytes, " bytes"));
    case WireError::kBodyTooLarge:
      return MakeRefusal(
          kContentTooLarge,
          absl::StrCat("the body exceeds ", limits.body_bytes, " bytes"));
    case WireError::kClosed:
    case WireError::kReset:
      return MakeRefusal(kBadRequest, "the request ended early");
    case WireError::kNone:
    case WireError::kMalformed:
    case WireError::kOverBudget:
      break;
  }
  return MakeRefusal(kBadRequest, "the request is malformed");
}

// Converts the target "http://host/path" to "/path" and sets the Host header to
// "host" (RFC 9112, section 3.2.2).
void ConvertAbsoluteForm(HttpRequest& request) {
  constexpr absl::string_view kScheme = "http://";
  if (!absl::StartsWithIgnoreCase(request.target, kScheme)) {
    return;
  }
  const std::string rest = request.target.substr(kScheme.size());
  const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
  for (HttpHeader& header : request.headers) {
    if (absl::EqualsIgnoreCase(header.name, "Host")) {
      header.value = rest.substr(0, end);
    }
  }
  request.target = rest.substr(end);
  if (request.target.empty() || request.target.front() != '/') {
    request.target.insert(0, "/");
  }
}

// Parses the request line and checks the headers. Sets `close` if the
// connection must be closed after the reply. Returns a refusal if the request
// is malformed or not supported.
std::optional<IngressReply> ParseRequestHead(const MessageHead& head,
                                             HttpRequest& request,
                                             bool& close) {
  const std::vector<std::string> parts = absl::StrSplit(head.start_line, ' ');
  if (parts.size() != 3 || !IsToken(parts[0]) || !IsValidTarget(parts[1]) ||
      (parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0")) {
    return MakeRefusal(kBadRequest, "the request line is malformed");
  }
  const bool old_version = parts[2] == "HTTP/1.0";
  close = old_version || HasConnectionOption(head.headers, "close");
  request.method = parts[0];
  request.target = parts[1];
  if (request.target.size() > kMaxTarget) {
    return MakeRefusal(kTargetTooLong, absl::StrCat("the target exceeds ",
                                                    kMaxTarget, " bytes"));
  }
  if (std::find(kMethods.begin(), kMethods.end(), request.method) ==
      kMethods.end()) {
    return MakeRefusal(kNotImplemented, "the method is not supported");
  }
  const auto hosts = std::count_if(
      head.headers.begin(), head.headers.end(), [](const HttpHeader& header) {
        return absl::EqualsIgnoreCase(header.name, "Host");
      });
  if (hosts > 1 || (hosts == 0 && !old_version)) {
    return MakeRefusal(kBadRequest, "the header Host is missing or repeated");
  }
  if (old_version && !FindHeader(head.headers, "Transfer-Encoding").empty()) {
    return MakeRefusal(kBadRequest, "HTTP/1.0 has no transfer encodings");
  }
  if (!FindHeader(head.headers, "Content-Encoding").empty()) {
    return MakeRefusal(kUnsupportedMediaType,
                       "encoded request bodies are not supported");
  }
  const absl::string_view expect = FindHeader(head.headers, "Expect");
  if (!expect.empty() && !absl::EqualsIgnoreCase(expect, "100-continue")) {
    return MakeRefusal(kExpectationFailed,
                       "the only supported expectation is 100-continue");
  }
  request.headers = head.headers;
  ConvertAbsoluteForm(request);
  if (request.target.front() != '/' &&
      !(request.method == "OPTIONS" && request.target == "*")) {
    return MakeRefusal(kBadRequest, "the target is not a path");
  }
  return std::nullopt;
}

// Removes the hop-by-hop headers, including those that the Connection header
// names, and the headers that are set again when the message is sent on.
void RemoveConnectionHeaders(std::vector<HttpHeader>& headers) {
  const std::vector<HttpHeader> all = headers;
  const auto removed = [&all](const HttpHeader& header) {
    return IsHopByHopHeader(header.name) ||
           absl::EqualsIgnoreCase(header.name, "Content-Length") ||
           absl::EqualsIgnoreCase(header.name, "Expect") ||
           HasConnectionOption(all, header.name);
  };
  headers.erase(std::remove_if(headers.begin(), headers.end(), removed),
                headers.end());
}

ExplainQuery ReadExplainQuery(const httplib::Request& request) {
  ExplainQuery query;
  query.method = request.get_param_value("method");
  query.target = request.get_param_value("target");
  query.key = request.get_param_value("key");
  const std::size_t count = request.get_param_value_count("header");
  for (std::size_t i = 0; i < count; ++i) {
    const std::string header = request.get_param_value("header", i);
    const std::pair<absl::string_view, absl::string_view> parts =
        absl::StrSplit(header, absl::MaxSplits(':', 1));
    query.headers.push_back(
        {std::string(absl::StripAsciiWhitespace(parts.first)),
         std::string(absl::StripAsciiWhitespace(parts.second))});
  }
  return query;
}

// Closes the write side and reads until the caller closes the connection, so
// that a reset does not discard the reply. An abort ends the wait, since the
// process could otherwise be killed before the wait ends.
void CloseAfterReply(int socket,
                     Clock::time_point deadline,
                     const std::atomic<bool>& aborting) {
  ::shutdown(socket, SHUT_WR);
  std::array<char, 4096> bytes;
  while (Clock::now() < deadline && !aborting) {
    const Clock::time_point poll =
        std::min<Clock::time_point>(deadline, Clock::now() + kClosePollPeriod);
    if (WaitForSocket(socket, POLLIN, poll) &&
        ::recv(socket, bytes.data(), bytes.size(), MSG_DONTWAIT) <= 0) {
      return;
    }
  }
}

}  // namespace

HttpFrontend::HttpFrontend(Ingress& ingress,
                           CounterRegistry& counters,
                           FrontendLimits limits,
                           FrontendPages pages)
    : HttpFrontend(
          [&ingress](const HttpRequest& request, const CancelCheck& cancelled) {
            return ingress.Handle(request, cancelled);
          },
          counters,
          limits,
          std::move(pages)) {}

HttpFrontend::HttpFrontend(Handler handler,
                           CounterRegistry& counters,
                           FrontendLimits limits,
                           FrontendPages pages)
    : handler(std::move(handler)),
      counters(counters),
      limits(limits),
      pages(std::move(pages)),
      rejected(counters.Counter("comfrey_frontend_rejected_total")),
      stop_event(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      server(std::make_unique<CallerServer>(
          [this](int socket) { this->ServeConnection(socket); })) {
  const std::size_t connections = this->limits.connections;
  this->server->new_task_queue = [connections] {
    return new ConnectionPool(connections);
  };
  this->server->set_tcp_nodelay(true);
  // By default the library sets SO_REUSEPORT, with which a second daemon could
  // listen on the same address and receive part of the connections.
  this->server->set_socket_options([](socket_t socket) {
    const int enabled = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
  });
  this->AddRoutes();
}

HttpFrontend::~HttpFrontend() {
  this->Stop();
  ::close(this->stop_event);
}

absl::Status HttpFrontend::Start(const std::string& ip, int port) {
  if (!this->server->bind_to_port(ip, port)) {
    return absl::UnavailableError(
        absl::StrCat("listen for callers on ", ip, ":", port,
                     ": the address is in use or not local"));
  }
  this->server->RaiseBacklog();
  this->thread = std::thread([this] { this->server->listen_after_bind(); });
  // Waits until the library accepts connections, because an earlier stop would
  // have no effect.
  const Clock::time_point deadline = Clock::now() + kStartTimeout;
  while (!this->server->is_running() && Clock::now() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return absl::OkStatus();
}

void HttpFrontend::Stop() {
  if (!this->stopping) {
    this->stop_time = Clock::now();
    this->stopping = true;
    ::eventfd_write(this->stop_event, 1);
  }
  this->server->stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void HttpFrontend::AddRoutes() {
  this->server->Get("/comfrey/metrics", [this](const auto&, auto& response) {
    response.set_content(this->counters.Render(), "text/plain");
  });
  this->server->Get("/comfrey/status", [this](const auto&, auto& response) {
    response.set_content(this->pages.status(), "application/json");
  });
  this->server->Get("/comfrey/burn", [this](const auto&, auto& response) {
    response.set_content(this->pages.burn(), "application/json");
  });
  this->server->Get(
      "/comfrey/explain", [this](const auto& request, auto& response) {
        response.set_content(this->pages.explain(ReadExplainQuery(request)),
                             "application/json");
      });
  const auto readiness = [this](const auto&, auto& response) {
    const bool ready = this->pages.accepting_callers
                           ? this->pages.accepting_callers()
                           : this->pages.ready();
    response.status = ready ? 200 : kUnavailable;
    response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
  };
  this->server->Get("/comfrey/readyz", readiness);
  if (!this->pages.ready_path.empty()) {
    this->server->Get(this->pages.ready_path, readiness);
  }
  this->server->Get(".*", [this](const auto&, auto& response) {
    this->HandleRequest(response);
  });
  this->server->set_exception_handler([](const auto&, auto& response,
                                         const std::exception_ptr&) {
    // Replaces the default reply of the library, which contains the text of the
    // exception.
    current->reply = MakeLocalReply(CallerOutcome::kUnknown, kBadGateway,
                                    "the daemon failed to handle the request")
                         .response;
    response.status = current->reply->status;
    response.body = current->reply->body;
  });
  this->server->set_post_routing_handler(
      [this](const auto&, auto& response) { this->CompleteHeaders(response); });
}

void HttpFrontend::ServeConnection(int socket) {
  const ConnectionAction action = ConnectionPool::CurrentAction();
  if (action == ConnectionAction::kServe) {
    this->ServeRequests(socket);
  } else {
    this->RefuseConnection(socket, action);
  }
  ::close(socket);
}

void HttpFrontend::ServeRequests(int socket) {
  WireReader reader(socket);
  for (;;) {
    reader.ReleaseBuffer();
    if (!reader.HasBufferedBytes() && !this->WaitForRequest(socket)) {
      return;
    }
    Exchange exchange;
    exchange.socket = socket;
    exchange.limits = this->EffectiveLimits();
    this->ReadRequest(reader, socket, exchange);
    if (exchange.disconnected || !this->Reply(socket, exchange)) {
      return;
    }
    if (exchange.close) {
      CloseAfterReply(socket, Clock::now() + kCloseTimeout, this->aborting);
      return;
    }
  }
}

// Returns the limits of the configuration in force, or those of the settings if
// it has none.
CallerLimits HttpFrontend::EffectiveLimits() const {
  CallerLimits limits;
  limits.header_bytes = this->limits.header_bytes;
  limits.body_bytes = this->limits.body_bytes;
  if (this->pages.caller_limits) {
    limits = this->pages.caller_limits().value_or(limits);
    limits.body_bytes = std::min(limits.body_bytes, kMaxBodyBytes);
  }
  return limits;
}

bool HttpFrontend::IsPage(const HttpRequest& request) const {
  return this->pages.enabled &&
         (request.method == "GET" || request.method == "HEAD") &&
         (absl::StartsWith(request.target, kPagePrefix) ||
          (!this->pages.ready_path.empty() &&
           request.target == this->pages.ready_path));
}

bool HttpFrontend::WaitForRequest(int socket) const {
  const Clock::time_point idle_since = Clock::now();
  std::array<pollfd, 2> entries = {pollfd{socket, POLLIN, 0},
                                   pollfd{this->stop_event, POLLIN, 0}};
  const std::chrono::milliseconds timeout =
      this->EffectiveLimits().idle_timeout;
  int ready = 0;
  do {
    ready = ::poll(entries.data(), entries.size(),
                   static_cast<int>(timeout.count()));
  } while (ready < 0 && errno == EINTR);
  if (ready <= 0) {
    return false;
  }
  if (entries[0].revents != 0) {
    return true;
  }
  const Clock::time_point deadline = std::min<Clock::time_point>(
      this->stop_time.load() + this->limits.stop_idle_time,
      idle_since + timeout);
  return WaitForSocket(socket, POLLIN, deadline);
}

void HttpFrontend::ReadRequest(WireReader& reader,
                               int socket,
                               Exchange& exchange) const {
  MessageHead head;
  const CallerLimits& limits = exchange.limits;
  WireError error = ReadHead(reader, Clock::now() + limits.header_timeout,
                             limits.header_bytes, head);
  if (error != WireError::kNone) {
    exchange.disconnected =
        error == WireError::kReset ||
        (error == WireError::kClosed && head.start_line.empty() &&
         !reader.HasBufferedBytes());
    exchange.refusal = MakeReadRefusal(error, limits);
    return;
  }
  exchange.refusal = ParseRequestHead(head, exchange.request, exchange.close);
  if (exchange.refusal) {
    return;
  }
  BodyFraming framing;
  const std::string ambiguous = DetermineFraming(head.headers, framing);
  if (!ambiguous.empty()) {
    exchange.refusal = MakeRefusal(kBadRequest, ambiguous);
    return;
  }
  if (framing.length > limits.body_bytes) {
    exchange.refusal = MakeReadRefusal(WireError::kBodyTooLarge, limits);
    return;
  }
  const bool has_body = framing.chunked || framing.length > 0;
  if (has_body && !reader.HasBufferedBytes() &&
      !FindHeader(head.headers, "Expect").empty()) {
    std::size_t sent = 0;
    WriteAll(socket, Clock::now() + kWriteTimeout,
             "HTTP/1.1 100 Continue\r\n\r\n", sent);
  }
  error = ReadBody(reader, Clock::now() + kBodyTimeout, framing,
                   limits.body_bytes, exchange.request.body);
  if (error != WireError::kNone) {
    exchange.refusal = MakeReadRefusal(error, limits);
    return;
  }
  RemoveConnectionHeaders(exchange.request.headers);
}

void HttpFrontend::RefuseConnection(int socket, ConnectionAction action) {
  Exchange exchange;
  exchange.refusal =
      MakeRefusal(kUnavailable, "the limit of caller connections is reached");
  // The reply is sent without reading the request, since a slow caller would
  // delay the other connections beyond the limit. The write does not block,
  // because the send buffer of a new connection is empty.
  if (this->Reply(socket, exchange) && action == ConnectionAction::kRefuse &&
      !this->stopping) {
    CloseAfterReply(socket, Clock::now() + kRefuseTimeout, this->aborting);
  }
}

bool HttpFrontend::Reply(int socket, Exchange& exchange) {
  const bool head_only = exchange.request.method == "HEAD";
  const bool page = !exchange.refusal && this->IsPage(exchange.request);
  // The library gets neither the headers nor the body of the request. Otherwise
  // it would apply a Range header to the response of the backend server or
  // compress it, although the backend server has already handled both headers.
  ReplyStream stream(
      socket,
      absl::StrCat(head_only ? "HEAD " : "GET ",
                   page ? exchange.request.target : std::string("/"),
                   " HTTP/1.1\r\n\r\n"),
      this->limits.response_timeout);
  exchange.close = exchange.close || exchange.refusal.has_value();
  current = &exchange;
  const bool written = this->server->Respond(stream);
  current = nullptr;
  return written && !stream.Failed();
}

void HttpFrontend::HandleRequest(httplib::Response& response) {
  Exchange& exchange = *current;
  IngressReply reply;
  if (exchange.refusal) {
    this->rejected.Add();
    reply = std::move(*exchange.refusal);
  } else if (this->stopping) {
    // An endpoint that works on it at the end of the grace period would be
    // broken off.
    this->rejected.Add();
    exchange.close = true;
    reply = MakeRefusal(kUnavailable, "the daemon is stopping");
  } else if (!this->pages.ready()) {
    reply = MakeRefusal(kUnavailable, "the daemon has no configuration yet");
  } else {
    const int socket = exchange.socket;
    const CountWhileAlive counted(this->in_progress);
    reply = this->handler(exchange.request, [this, socket] {
      return this->aborting || HasDisconnected(socket);
    });
  }
  response.status = reply.response.status;
  if (response.status != kNoContent && response.status != kNotModified) {
    response.body = std::move(reply.response.body);
  }
  exchange.reply = std::move(reply.response);
}

void HttpFrontend::CompleteHeaders(httplib::Response& response) const {
  Exchange& exchange = *current;
  if (exchange.reply) {
    const std::string length = response.get_header_value("Content-Length");
    response.headers.clear();
    const bool without_body = response.status == kNoContent ||
                              response.status == kNotModified ||
                              exchange.request.method == "HEAD";
    // A response to HEAD or with status 304 may state the length that a GET
    // response would have.
    const std::string stated(
        FindHeader(exchange.reply->headers, "Content-Length"));
    if (!without_body) {
      response.set_header("Content-Length", length);
    } else if (!stated.empty() && response.status != kNoContent) {
      response.set_header("Content-Length", stated);
    }
    RemoveConnectionHeaders(exchange.reply->headers);
    for (const HttpHeader& header : exchange.reply->headers) {
      response.headers.emplace(header.name, header.value);
    }
  }
  exchange.close = exchange.close || this->stopping;
  response.headers.erase("Connection");
  response.headers.erase("Keep-Alive");
  if (exchange.close) {
    response.set_header("Connection", "close");
  } else {
    response.set_header(
        "Keep-Alive",
        absl::StrCat("timeout=", std::chrono::floor<std::chrono::seconds>(
                                     exchange.limits.idle_timeout)
                                     .count()));
  }
}

}  // namespace comfrey
