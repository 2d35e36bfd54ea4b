#include "daemon/http_frontend.h"

#include <httplib.h>

#include <chrono>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "daemon/connection_pool.h"

namespace comfrey {
namespace {

constexpr std::chrono::seconds kReadTimeout{5};
constexpr std::chrono::seconds kWriteTimeout{5};
// A graceful shutdown waits this long for idle connections.
constexpr std::chrono::seconds kKeepAliveTimeout{5};
constexpr std::size_t kKeepAliveRequests = 1'000'000;

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kUnsupportedMediaType = 415;
constexpr int kHeaderTooLarge = 431;
constexpr int kUnavailable = 503;

std::size_t HeaderBytes(const httplib::Request& request) {
  std::size_t bytes = request.target.size();
  for (const auto& [name, value] : request.headers) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

// Returns why the framing of the body is ambiguous, or "". Two parsers that
// read different lengths would let a caller smuggle a second request.
std::string AmbiguousFraming(const httplib::Request& request) {
  const std::size_t lengths = request.get_header_value_count("Content-Length");
  const std::size_t encodings =
      request.get_header_value_count("Transfer-Encoding");
  if (lengths > 1 || encodings > 1) {
    return "Content-Length or Transfer-Encoding is given more than once";
  }
  if (lengths == 1 && encodings == 1) {
    return "both Content-Length and Transfer-Encoding are given";
  }
  if (encodings == 1 &&
      !absl::EqualsIgnoreCase(request.get_header_value("Transfer-Encoding"),
                              "chunked")) {
    return "only the transfer encoding chunked is supported";
  }
  const std::string length = request.get_header_value("Content-Length");
  if (lengths == 1 &&
      (length.empty() ||
       length.find_first_not_of("0123456789") != std::string::npos)) {
    return "Content-Length is not a number";
  }
  return "";
}

std::size_t BodyLength(const httplib::Request& request) {
  std::size_t length = 0;
  const bool valid =
      absl::SimpleAtoi(request.get_header_value("Content-Length"), &length);
  return valid ? length : 0;
}

// Headers that describe the connection or that the receiver sets anew.
bool IsForwarded(const std::string& name) {
  return !IsHopByHopHeader(name) &&
         !absl::EqualsIgnoreCase(name, "Content-Length") &&
         !absl::EqualsIgnoreCase(name, "Expect") &&
         // Pseudo headers that the library adds to each request.
         name != "REMOTE_ADDR" && name != "REMOTE_PORT" &&
         name != "LOCAL_ADDR" && name != "LOCAL_PORT";
}

HttpRequest ConvertRequest(const httplib::Request& request) {
  HttpRequest converted;
  converted.method = request.method;
  converted.target = request.target;
  converted.body = request.body;
  for (const auto& [name, value] : request.headers) {
    if (IsForwarded(name)) {
      converted.headers.push_back({name, value});
    }
  }
  return converted;
}

// The library would cut the response to the ranges that the caller asked for,
// or compress it, although the backend server has already decided on both. The
// request object is the library's own and is not const.
void DisableResponseRewriting(const httplib::Request& request) {
  auto& mutable_request = const_cast<httplib::Request&>(request);
  mutable_request.ranges.clear();
  mutable_request.headers.erase("Accept-Encoding");
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

void WriteHeaders(const HttpResponse& reply, httplib::Response& response) {
  response.status = reply.status;
  for (const HttpHeader& header : reply.headers) {
    if (!IsHopByHopHeader(header.name) &&
        !absl::EqualsIgnoreCase(header.name, "Content-Length")) {
      response.headers.emplace(header.name, header.value);
    }
  }
}

// Writes the response and closes the connection after it. The library closes
// only where the caller asked for it, or where a content provider fails; so
// the provider writes the whole body and then reports failure.
void WriteAndClose(const HttpResponse& reply, httplib::Response& response) {
  WriteHeaders(reply, response);
  response.headers.erase("Content-Type");
  response.set_header("Connection", "close");
  const std::string body = reply.body.empty() ? "\n" : reply.body;
  response.set_content_provider(
      body.size(), "text/plain",
      [body](std::size_t, std::size_t, httplib::DataSink& sink) {
        sink.write(body.data(), body.size());
        return false;
      });
}

// Whether the request of this thread reached the handler that forwards it. If
// not, the library itself refused it.
thread_local bool reached_handler = false;

}  // namespace

HttpFrontend::HttpFrontend(Ingress& ingress,
                           CounterRegistry& counters,
                           FrontendLimits limits,
                           FrontendPages pages)
    : ingress(ingress),
      counters(counters),
      limits(limits),
      pages(std::move(pages)),
      rejected(counters.Counter("comfrey_frontend_rejected_total")),
      server(std::make_unique<httplib::Server>()) {
  const std::size_t connections = this->limits.connections;
  this->server->new_task_queue = [connections] {
    return new ConnectionPool(connections);
  };
  this->server->set_payload_max_length(this->limits.body_bytes);
  this->server->set_read_timeout(kReadTimeout);
  this->server->set_write_timeout(kWriteTimeout);
  this->server->set_keep_alive_timeout(kKeepAliveTimeout.count());
  this->server->set_keep_alive_max_count(kKeepAliveRequests);
  this->server->set_tcp_nodelay(true);
  this->AddRoutes();
}

HttpFrontend::~HttpFrontend() {
  this->Stop();
}

absl::Status HttpFrontend::Start(const std::string& ip, int port) {
  if (!this->server->bind_to_port(ip, port)) {
    return absl::UnavailableError(
        absl::StrCat("listen for callers on ", ip, ":", port,
                     ": the address is in use or not local"));
  }
  this->thread = std::thread([this] { this->server->listen_after_bind(); });
  return absl::OkStatus();
}

void HttpFrontend::Stop() {
  this->server->stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void HttpFrontend::AddRoutes() {
  this->server->set_pre_routing_handler(
      [this](const httplib::Request& request, httplib::Response& response) {
        return this->RejectEarly(request, response)
                   ? httplib::Server::HandlerResponse::Handled
                   : httplib::Server::HandlerResponse::Unhandled;
      });
  this->server->set_error_handler(httplib::Server::HandlerWithResponse(
      [this](const httplib::Request&, httplib::Response& response) {
        if (std::exchange(reached_handler, false) ||
            response.has_header("Comfrey-Outcome")) {
          return httplib::Server::HandlerResponse::Unhandled;
        }
        // The body may not have been read to its end, so what follows on this
        // connection is not a new request.
        this->rejected.Add();
        WriteAndClose(OwnReply(CallerOutcome::kNotRun, response.status,
                               "the request is malformed or too large")
                          .response,
                      response);
        return httplib::Server::HandlerResponse::Handled;
      }));
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
  this->server->Get("/comfrey/readyz", [this](const auto&, auto& response) {
    const bool ready = this->pages.ready();
    response.status = ready ? 200 : kUnavailable;
    response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
  });
  const auto handle = [this](const httplib::Request& request,
                             httplib::Response& response) {
    this->HandleRequest(request, response);
  };
  this->server->Get(".*", handle);
  this->server->Post(".*", handle);
  this->server->Put(".*", handle);
  this->server->Patch(".*", handle);
  this->server->Delete(".*", handle);
  this->server->Options(".*", handle);
}

bool HttpFrontend::RejectEarly(const httplib::Request& request,
                               httplib::Response& response) {
  reached_handler = false;
  IngressReply reply;
  const std::string framing = AmbiguousFraming(request);
  if (ConnectionPool::OverLimit()) {
    reply = OwnReply(CallerOutcome::kNotRun, kUnavailable,
                     "the limit of caller connections is reached");
  } else if (HeaderBytes(request) > this->limits.header_bytes) {
    reply = OwnReply(CallerOutcome::kNotRun, kHeaderTooLarge,
                     absl::StrCat("the headers exceed ",
                                  this->limits.header_bytes, " bytes"));
  } else if (BodyLength(request) > this->limits.body_bytes) {
    reply = OwnReply(
        CallerOutcome::kNotRun, kContentTooLarge,
        absl::StrCat("the body exceeds ", this->limits.body_bytes, " bytes"));
  } else if (!framing.empty()) {
    reply = OwnReply(CallerOutcome::kNotRun, kBadRequest, framing);
  } else if (request.has_header("Content-Encoding")) {
    reply = OwnReply(CallerOutcome::kNotRun, kUnsupportedMediaType,
                     "encoded request bodies are not supported");
  } else {
    return false;
  }
  this->rejected.Add();
  // The body was not read, so the connection cannot be used again.
  WriteAndClose(reply.response, response);
  return true;
}

void HttpFrontend::HandleRequest(const httplib::Request& request,
                                 httplib::Response& response) {
  reached_handler = true;
  const HttpRequest converted = ConvertRequest(request);
  DisableResponseRewriting(request);
  IngressReply reply = this->pages.ready()
                           ? this->ingress.Handle(converted)
                           : OwnReply(CallerOutcome::kNotRun, kUnavailable,
                                      "the daemon has no configuration yet");
  WriteHeaders(reply.response, response);
  response.body = std::move(reply.response.body);
}

}  // namespace comfrey
