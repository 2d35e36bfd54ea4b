#ifndef DAEMON_HTTP_FRONTEND_H_
#define DAEMON_HTTP_FRONTEND_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "absl/status/status.h"
#include "base/counters.h"
#include "daemon/caller_pipeline.h"
#include "daemon/daemon_pages.h"
#include "daemon/ingress.h"

namespace httplib {
struct Response;
}  // namespace httplib

namespace comfrey {

class CallerServer;
enum class ConnectionAction;

/// \brief Limits on the connections and requests of callers.
struct FrontendLimits {
  std::size_t connections = 400;
  std::size_t body_bytes = 1 << 20;
  std::size_t header_bytes = 16 << 10;
  /// Limit for the write of a whole response.
  std::chrono::milliseconds response_timeout{30'000};
  /// After Stop, an idle connection is read for this long, since its caller may
  /// have sent a request before it could learn of the stop.
  std::chrono::milliseconds stop_idle_time{1000};
};

/// \brief Callbacks for the pages of the daemon, which the frontend serves
/// under /comfrey/.
struct FrontendPages {
  /// Whether the daemon can handle requests.
  std::function<bool()> ready;
  /// Whether the readiness page reports that callers may connect. If it is not
  /// set, `ready` is used.
  std::function<bool()> accepting_callers;
  /// Limits of the published configuration, if it has any.
  std::function<std::optional<CallerLimits>()> caller_limits;
  /// Whether a request is idempotent, so that it may be handled before an
  /// earlier one of its connection is answered. If it is not set, the requests
  /// of a connection are handled one after the other.
  std::function<bool(const HttpRequest&)> is_idempotent;
  /// Additional path of the readiness page; empty for none.
  std::string ready_path;
  /// Whether the pages are served. If false, all paths are available to
  /// callers.
  bool enabled = true;
  std::function<std::string()> status;
  std::function<std::string()> burn;
  std::function<std::string(const ExplainQuery&)> explain;
};

/// \brief HTTP/1.1 server for the requests of callers and for the pages that
/// operators read.
///
/// Requests are parsed and checked by `http_wire`. The HTTP library accepts the
/// connections, serves the pages and writes the responses.
class HttpFrontend {
 public:
  using Handler =
      std::function<IngressReply(const HttpRequest&, const CancelCheck&)>;

  HttpFrontend(Ingress& ingress,
               CounterRegistry& counters,
               FrontendLimits limits,
               FrontendPages pages);
  HttpFrontend(Handler handler,
               CounterRegistry& counters,
               FrontendLimits limits,
               FrontendPages pages);
  ~HttpFrontend();

  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  /// \brief Listens on the address and starts the threads that serve it.
  absl::Status Start(const std::string& ip, int port);

  /// \brief Stops accepting connections and waits for the requests in flight,
  /// whose responses have the header "Connection: close". A request that
  /// arrives on an idle connection within 1 s is refused.
  void Stop();

  /// \brief Cancels the requests in flight, so that Stop returns soon.
  void Abort() { this->aborting = true; }
  bool IsAborting() const { return this->aborting; }

  /// \brief Returns the number of requests that the handler has not answered.
  int CountInProgress() const { return this->in_progress; }

 private:
  struct Exchange;

  void AddRoutes();
  void ServeConnection(int socket);
  void ServeRequests(int socket);
  CallerLimits EffectiveLimits() const;
  bool IsPage(const HttpRequest& request) const;
  bool WaitForRequest(int socket) const;
  void RefuseConnection(int socket, ConnectionAction action);
  IngressReply Handle(const HttpRequest& request, const CancelCheck& cancelled);
  IngressReply HandleSafely(const HttpRequest& request,
                            const CancelCheck& cancelled);
  bool Reply(int socket, Exchange& exchange);
  void HandleRequest(httplib::Response& response);
  void CompleteHeaders(httplib::Response& response) const;

  // Exchange of the calling thread, for the callbacks of the HTTP library.
  static thread_local Exchange* current;

  Handler handler;
  CounterRegistry& counters;
  FrontendLimits limits;
  FrontendPages pages;
  Metric& rejected;
  // Becomes readable when the frontend stops, which wakes the threads of idle
  // connections.
  int stop_event;
  std::atomic<bool> stopping{false};
  std::atomic<bool> aborting{false};
  std::atomic<int> in_progress{0};
  std::atomic<std::chrono::steady_clock::time_point> stop_time{};
  PipelineContext pipelines;
  std::unique_ptr<CallerServer> server;
  std::thread thread;
};

}  // namespace comfrey

#endif  // DAEMON_HTTP_FRONTEND_H_
