#include "fake_daemon.h"

#include <algorithm>
#include <utility>

namespace comfrey {
namespace {

constexpr int kInFlight = 4;
constexpr std::chrono::milliseconds kChunkInterval{20};

void Serve(const FakePage& page, httplib::Response& response) {
  std::this_thread::sleep_for(page.delay);
  response.status = page.status;
  if (page.streamed_bytes == 0) {
    response.set_content(page.body, "text/plain");
    return;
  }
  response.set_content_provider(
      page.streamed_bytes, "text/plain",
      [chunk_size = page.chunk_size](std::size_t, std::size_t length,
                                     httplib::DataSink& sink) {
        std::this_thread::sleep_for(kChunkInterval);
        const std::string data(std::min(chunk_size, length), ' ');
        return sink.write(data.data(), data.size());
      });
}

}  // namespace

FakeDaemon::FakeDaemon(std::string ip,
                       const std::map<std::string, FakePage>& pages)
    : ip(std::move(ip)) {
  for (const auto& [path, page] : pages) {
    this->http.Get(path, [this, page = page](const httplib::Request& request,
                                             httplib::Response& response) {
      std::vector<std::string> received;
      for (const auto& [name, value] : request.params) {
        received.push_back(name + "=" + value);
      }
      this->parameters = std::move(received);
      Serve(page, response);
    });
  }
  this->http_port = this->http.bind_to_any_port(this->ip);
  grpc::ServerBuilder builder;
  builder.AddListeningPort(this->ip + ":0", grpc::InsecureServerCredentials(),
                           &this->peer_port);
  builder.RegisterService(this);
  this->peer = builder.BuildAndStart();
  this->http_thread = std::thread([this] { this->http.listen_after_bind(); });
  // Until the server runs, stop() in the destructor would have no effect.
  while (!this->http.is_running()) {
    std::this_thread::yield();
  }
}

FakeDaemon::~FakeDaemon() {
  this->http.stop();
  this->http_thread.join();
  this->peer->Shutdown();
}

std::string FakeDaemon::HttpAddress() const {
  return this->ip + ":" + std::to_string(this->http_port);
}

std::string FakeDaemon::PeerAddress() const {
  return this->ip + ":" + std::to_string(this->peer_port);
}

grpc::Status FakeDaemon::Drain(grpc::ServerContext* /*context*/,
                               const rpc::DrainRequest* request,
                               rpc::DrainReply* reply) {
  std::this_thread::sleep_for(this->drain_delay.load());
  this->drains.push_back(*request);
  reply->set_in_flight(kInFlight);
  return this->drain_status;
}

}  // namespace comfrey
