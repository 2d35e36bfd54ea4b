// Stand-in for the platform's read-only configuration service.
//
// Daemons read GET /v1/tree and GET /v1/vms. Tests control the stand-in with:
//   PUT /control/value?path=P     sets the value of a path
//   PUT /control/vms              sets the VM list
//   PUT /control/stale?on=1       makes later reads return the present state
//   PUT /control/revision?value=N sets all revisions, as after a restore
//   GET /control/calls            returns the number of reads

#include <httplib.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <iostream>
#include <map>
#include <mutex>
#include <string>

#include "gflags/gflags.h"

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 7300, "port to listen on");

namespace {

struct Value {
  std::uint64_t revision = 0;
  std::string text;
};

struct Tree {
  std::uint64_t revision = 0;
  std::map<std::string, Value> values;
  std::string vms;
};

struct Service {
  std::mutex mutex;
  std::condition_variable changed;
  Tree tree;
  Tree stale_tree;
  bool stale = false;
  std::uint64_t calls = 0;
};

const Tree& VisibleTree(const Service& service) {
  return service.stale ? service.stale_tree : service.tree;
}

std::uint64_t NumberParam(const httplib::Request& request, const char* name) {
  return request.has_param(name)
             ? std::strtoull(request.get_param_value(name).c_str(), nullptr, 10)
             : 0;
}

void HandleTree(Service& service,
                const httplib::Request& request,
                httplib::Response& response) {
  const std::uint64_t after = NumberParam(request, "after");
  const std::chrono::milliseconds wait(NumberParam(request, "wait"));
  const std::string prefix = request.get_param_value("prefix");
  std::unique_lock<std::mutex> lock(service.mutex);
  ++service.calls;
  service.changed.wait_for(
      lock, wait, [&] { return VisibleTree(service).revision > after; });
  const Tree& tree = VisibleTree(service);
  std::string body = "revision " + std::to_string(tree.revision) + "\n";
  for (const auto& [path, value] : tree.values) {
    if (value.revision <= after || path.rfind(prefix, 0) != 0) {
      continue;
    }
    body += "path " + path + " " + std::to_string(value.revision) + " " +
            std::to_string(value.text.size()) + "\n" + value.text;
  }
  response.set_content(body, "text/plain");
}

void AddReaderRoutes(httplib::Server& server, Service& service) {
  server.Get("/v1/tree", [&](const auto& request, auto& response) {
    HandleTree(service, request, response);
  });
  server.Get("/v1/vms", [&](const auto&, auto& response) {
    const std::lock_guard<std::mutex> lock(service.mutex);
    ++service.calls;
    response.set_content(VisibleTree(service).vms, "text/plain");
  });
}

void AddControlRoutes(httplib::Server& server, Service& service) {
  server.Put("/control/value", [&](const auto& request, auto&) {
    const std::lock_guard<std::mutex> lock(service.mutex);
    ++service.tree.revision;
    service.tree.values[request.get_param_value("path")] = {
        service.tree.revision, request.body};
    service.changed.notify_all();
  });
  server.Put("/control/vms", [&](const auto& request, auto&) {
    const std::lock_guard<std::mutex> lock(service.mutex);
    service.tree.vms = request.body;
  });
  server.Put("/control/stale", [&](const auto& request, auto&) {
    const std::lock_guard<std::mutex> lock(service.mutex);
    service.stale = NumberParam(request, "on") != 0;
    service.stale_tree = service.tree;
    service.changed.notify_all();
  });
  server.Put("/control/revision", [&](const auto& request, auto&) {
    const std::lock_guard<std::mutex> lock(service.mutex);
    service.tree.revision = NumberParam(request, "value");
    for (auto& [path, value] : service.tree.values) {
      value.revision = service.tree.revision;
    }
    service.changed.notify_all();
  });
  server.Get("/control/calls", [&](const auto&, auto& response) {
    const std::lock_guard<std::mutex> lock(service.mutex);
    response.set_content(std::to_string(service.calls), "text/plain");
  });
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  Service service;
  httplib::Server server;
  // A read that waits for a change occupies a worker thread.
  constexpr std::size_t kWorkerThreads = 128;
  server.new_task_queue = [] {
    return new httplib::ThreadPool(kWorkerThreads);
  };
  AddReaderRoutes(server, service);
  AddControlRoutes(server, service);
  if (!server.bind_to_port(FLAGS_address.c_str(), FLAGS_port)) {
    std::cerr << "cannot listen on " << FLAGS_address << ":" << FLAGS_port
              << "\n";
    return 1;
  }
  return server.listen_after_bind() ? 0 : 1;
}
