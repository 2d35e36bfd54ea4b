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
#include "daemon/caller_request.h"
#include "daemon/connection_pool.h"
#include "daemon/http_wire.h"
#include "daemon/reply_stream.h"

namespace comfrey {

/// \brief One request of a caller and the reply to it.
struct HttpFrontend::Exchange {
  explicit Exchange(CallerPipeline& pipeline) : pipeline(pipeline) {}

  CallerPipeline& pipeline;
  CallerRequest caller;
  // The reply to a request that was handled before an earlier one was answered.
  std::optional<IngressReply> early_reply;
  // Set if the reply comes from the handler or is a refusal; not set for a
  // page.
  std::optional<HttpResponse> reply;
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
// Threads for the requests that callers send behind others.
constexpr std::size_t kPipelineThreads = 64;
constexpr int kContentTooLarge = 413;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

constexpr char kPagePrefix[] = "/comfrey/";

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

IngressReply MakeHandlerFailure() {
  return MakeLocalReply(CallerOutcome::kUnknown, kBadGateway,
                        "the daemon failed to handle the request");
}

// Whether the caller has closed or reset its connection. The end of the
// connection may stand behind bytes of a body that is not read yet.
bool HasDisconnected(int socket) {
  char byte = 0;
  const ssize_t count =
      ::recv(socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (count > 0) {
    pollfd entry{socket, POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) > 0;
  }
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                        errno != EINTR);
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
      pipelines(kPipelineThreads),
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
  this->pipelines.is_idempotent = this->pages.is_idempotent;
  this->pipelines.handle = [this](const HttpRequest& request,
                                  const CancelCheck& cancelled) {
    return this->HandleSafely(request, cancelled);
  };
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
  this->server->set_exception_handler(
      [](const auto&, auto& response, const std::exception_ptr&) {
        // Replaces the default reply of the library, which contains the text of
        // the exception.
        current->reply = MakeHandlerFailure().response;
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
  CallerPipeline pipeline(this->pipelines, reader, socket);
  for (;;) {
    Exchange exchange(pipeline);
    if (pipeline.IsEmpty()) {
      reader.ReleaseBuffer();
      if (!reader.HasBufferedBytes() && !this->WaitForRequest(socket)) {
        return;
      }
      exchange.caller.socket = socket;
      exchange.caller.limits = this->EffectiveLimits();
      ReadCallerRequest(reader, exchange.caller);
    } else {
      std::unique_ptr<PipelinedRequest> first =
          pipeline.TakeFirst(this->EffectiveLimits());
      exchange.caller = std::move(first->caller);
      exchange.early_reply = std::move(first->reply);
    }
    if (exchange.caller.disconnected || !this->Reply(socket, exchange)) {
      return;
    }
    if (exchange.caller.close) {
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

void HttpFrontend::RefuseConnection(int socket, ConnectionAction action) {
  WireReader reader(socket);
  CallerPipeline pipeline(this->pipelines, reader, socket);
  Exchange exchange(pipeline);
  exchange.caller.refusal =
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
  const bool head_only = exchange.caller.request.method == "HEAD";
  const bool page =
      !exchange.caller.refusal && this->IsPage(exchange.caller.request);
  // The library gets neither the headers nor the body of the request. Otherwise
  // it would apply a Range header to the response of the backend server or
  // compress it, although the backend server has already handled both headers.
  ReplyStream stream(
      socket,
      absl::StrCat(head_only ? "HEAD " : "GET ",
                   page ? exchange.caller.request.target : std::string("/"),
                   " HTTP/1.1\r\n\r\n"),
      this->limits.response_timeout);
  exchange.caller.close =
      exchange.caller.close || exchange.caller.refusal.has_value();
  current = &exchange;
  const bool written = this->server->Respond(stream);
  current = nullptr;
  return written && !stream.Failed();
}

// Passes a request to the handler, unless the daemon is stopping: an endpoint
// that works on it at the end of the grace period would be broken off.
IngressReply HttpFrontend::Handle(const HttpRequest& request,
                                  const CancelCheck& cancelled) {
  if (this->stopping) {
    this->rejected.Add();
    return MakeRefusal(kUnavailable, "the daemon is stopping");
  }
  if (!this->pages.ready()) {
    return MakeRefusal(kUnavailable, "the daemon has no configuration yet");
  }
  const CountWhileAlive counted(this->in_progress);
  return this->handler(request, cancelled);
}

// As Handle, on a thread of the pool, where an exception would end the process.
IngressReply HttpFrontend::HandleSafely(const HttpRequest& request,
                                        const CancelCheck& cancelled) {
  try {
    return this->Handle(
        request, [this, &cancelled] { return this->aborting || cancelled(); });
  } catch (const std::exception&) {
    return MakeHandlerFailure();
  }
}

void HttpFrontend::HandleRequest(httplib::Response& response) {
  Exchange& exchange = *current;
  IngressReply reply;
  if (exchange.caller.refusal) {
    this->rejected.Add();
    reply = std::move(*exchange.caller.refusal);
  } else if (exchange.early_reply) {
    reply = std::move(*exchange.early_reply);
  } else {
    const CallerRequest& caller = exchange.caller;
    const bool read_behind = exchange.pipeline.MayReadBehind(caller);
    if (read_behind) {
      exchange.pipeline.ReadAhead(caller.limits);
    }
    reply = this->Handle(caller.request, [this, &exchange, read_behind] {
      const CallerRequest& handled = exchange.caller;
      return this->aborting ||
             (read_behind ? exchange.pipeline.ReadAhead(handled.limits)
                          : HasDisconnected(handled.socket));
    });
  }
  if (exchange.caller.stream_error == WireError::kBodyTooLarge &&
      reply.outcome == CallerOutcome::kUnknown) {
    // The backend server has received a part of the body, so this does not say
    // that the request did not run.
    reply = MakeLocalReply(
        CallerOutcome::kUnknown, kContentTooLarge,
        absl::StrCat("the body exceeds ", exchange.caller.limits.body_bytes,
                     " bytes"));
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
                              exchange.caller.request.method == "HEAD";
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
  // The rest of a body that was not sent on cannot be told from a request.
  // During a stop, the requests behind this one that are being handled are
  // answered before the connection is closed.
  exchange.caller.close = exchange.caller.close ||
                          HasUnreadBody(exchange.caller) ||
                          (this->stopping && exchange.pipeline.IsEmpty());
  response.headers.erase("Connection");
  response.headers.erase("Keep-Alive");
  if (exchange.caller.close) {
    response.set_header("Connection", "close");
  } else {
    response.set_header(
        "Keep-Alive",
        absl::StrCat("timeout=", std::chrono::floor<std::chrono::seconds>(
                                     exchange.caller.limits.idle_timeout)
                                     .count()));
  }
}

}  // namespace comfrey
