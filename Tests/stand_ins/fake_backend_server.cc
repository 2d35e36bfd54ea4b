// Stand-in for a backend server with gray failures.
//
// Any request outside /health and /control is run: it takes --delay_ms, and the
// response holds the name of the server, the method, the path, the caller's
// X-Request-Id and the body. PUT /control/fault sets a fault:
//   mode=ok|wrong|hang|truncate|shed|draining
//   share=0..100 (percent of the requests that the fault affects)
//   delay_ms=N
// /health reports "ok" in every mode but draining. GET /control/runs returns a
// line "<X-Request-Id> <runs>" for each request ID.

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "gflags/gflags.h"

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 8081, "port to listen on");
DEFINE_string(name, "backend", "name in the responses");
DEFINE_int32(delay_ms, 5, "service time in milliseconds");

namespace {

// A request that hangs ends after this time, so that the process can exit.
constexpr std::chrono::seconds kHangTime{30};

struct Backend {
  std::mutex mutex;
  std::map<std::string, int> runs;
  std::string mode = "ok";
  int share = 100;
  int request_count = 0;
  std::chrono::milliseconds delay{0};
  std::atomic<bool> stopping{false};
};

// Returns the mode for the next request. A share of p percent affects p of each
// 100 requests, evenly spaced.
std::string NextFault(Backend& backend) {
  const int n = backend.request_count++;
  const bool affected =
      (n + 1) * backend.share / 100 != n * backend.share / 100;
  return affected ? backend.mode : "ok";
}

void SleepUnlessStopping(Backend& backend, std::chrono::milliseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  while (!backend.stopping && std::chrono::steady_clock::now() < end) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    std::this_thread::sleep_for(std::min(left + std::chrono::milliseconds(1),
                                         std::chrono::milliseconds(20)));
  }
}

void HandleWork(Backend& backend,
                const httplib::Request& request,
                httplib::Response& response) {
  std::string fault;
  std::chrono::milliseconds delay{0};
  const std::string id = request.get_header_value("X-Request-Id");
  {
    const std::lock_guard<std::mutex> lock(backend.mutex);
    fault = NextFault(backend);
    delay = backend.delay;
    if (fault != "shed" && fault != "draining") {
      ++backend.runs[id];
    }
  }
  if (fault == "shed") {
    response.status = 503;
    response.set_header("Retry-After", "1");
    return;
  }
  if (fault == "draining") {
    response.status = 503;
    response.set_header("Draining", "true");
    response.set_header("Connection", "close");
    return;
  }
  SleepUnlessStopping(backend, fault == "hang" ? kHangTime : delay);
  if (fault == "wrong") {
    response.status = 500;
    response.set_content("internal error", "text/plain");
    return;
  }
  const std::string body = FLAGS_name + " " + request.method + " " +
                           request.target + " " + id + "\n" + request.body;
  if (fault == "truncate") {
    // Announces 10 bytes more than it sends, then closes the connection.
    response.set_content_provider(
        body.size() + 10, "text/plain",
        [body](std::size_t offset, std::size_t, httplib::DataSink& sink) {
          return offset == 0 && sink.write(body.data(), body.size());
        });
    return;
  }
  response.set_content(body, "text/plain");
}

void SetFault(Backend& backend, const httplib::Request& request) {
  const std::lock_guard<std::mutex> lock(backend.mutex);
  if (request.has_param("mode")) {
    backend.mode = request.get_param_value("mode");
  }
  if (request.has_param("share")) {
    backend.share = std::atoi(request.get_param_value("share").c_str());
  }
  if (request.has_param("delay_ms")) {
    backend.delay = std::chrono::milliseconds(
        std::atoi(request.get_param_value("delay_ms").c_str()));
  }
}

void AddRoutes(httplib::Server& server, Backend& backend) {
  server.Get("/health", [&](const auto&, auto& response) {
    const std::lock_guard<std::mutex> lock(backend.mutex);
    response.set_content(backend.mode == "draining" ? "draining" : "ok",
                         "text/plain");
  });
  server.Put("/control/fault",
             [&](const auto& request, auto&) { SetFault(backend, request); });
  server.Get("/control/runs", [&](const auto&, auto& response) {
    const std::lock_guard<std::mutex> lock(backend.mutex);
    std::string body;
    for (const auto& [id, runs] : backend.runs) {
      body += id + " " + std::to_string(runs) + "\n";
    }
    response.set_content(body, "text/plain");
  });
  const auto handle_work = [&](const httplib::Request& request,
                               httplib::Response& response) {
    HandleWork(backend, request, response);
  };
  server.Get(".*", handle_work);
  server.Post(".*", handle_work);
  server.Put(".*", handle_work);
  server.Delete(".*", handle_work);
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  Backend backend;
  backend.delay = std::chrono::milliseconds(FLAGS_delay_ms);
  httplib::Server server;
  constexpr std::size_t kWorkerThreads = 64;
  server.new_task_queue = [] {
    return new httplib::ThreadPool(kWorkerThreads);
  };
  server.set_keep_alive_max_count(1'000'000);
  server.set_tcp_nodelay(true);
  AddRoutes(server, backend);
  if (!server.bind_to_port(FLAGS_address.c_str(), FLAGS_port)) {
    std::cerr << "cannot listen on " << FLAGS_address << ":" << FLAGS_port
              << "\n";
    return 1;
  }
  return server.listen_after_bind() ? 0 : 1;
}
