#ifndef DAEMON_HTTP_FRONTEND_H_
#define DAEMON_HTTP_FRONTEND_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "absl/status/status.h"
#include "base/counters.h"
#include "daemon/daemon_pages.h"
#include "daemon/ingress.h"

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace comfrey {

/// \brief Limits towards callers.
struct FrontendLimits {
  std::size_t connections = 400;
  std::size_t body_bytes = 1 << 20;
  std::size_t header_bytes = 16 << 10;
};

/// \brief Reads of the daemon that the frontend serves under /comfrey/.
struct FrontendPages {
  std::function<bool()> ready;
  std::function<std::string()> status;
  std::function<std::string()> burn;
  std::function<std::string(const ExplainQuery&)> explain;
};

/// \brief HTTP/1.1 server for callers and operators' reads.
class HttpFrontend {
 public:
  HttpFrontend(Ingress& ingress,
               CounterRegistry& counters,
               FrontendLimits limits,
               FrontendPages pages);
  ~HttpFrontend();

  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  /// \brief Listens on the address; serves on threads of its own.
  absl::Status Start(const std::string& ip, int port);

  /// \brief Stops accepting connections and waits for the requests in flight
  /// and for idle connections; their last response says "Connection: close".
  void Stop();

 private:
  void AddRoutes();
  bool RejectEarly(const httplib::Request& request,
                   httplib::Response& response);
  void HandleRequest(const httplib::Request& request,
                     httplib::Response& response);

  Ingress& ingress;
  CounterRegistry& counters;
  FrontendLimits limits;
  FrontendPages pages;
  Metric& rejected;
  std::unique_ptr<httplib::Server> server;
  std::thread thread;
};

}  // namespace comfrey

#endif  // DAEMON_HTTP_FRONTEND_H_
