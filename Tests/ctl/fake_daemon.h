#ifndef TESTS_CTL_FAKE_DAEMON_H_
#define TESTS_CTL_FAKE_DAEMON_H_

#include <grpcpp/grpcpp.h>
#include <httplib.h>

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "peer.grpc.pb.h"

namespace comfrey {

/// \brief A page that a fake daemon serves.
struct FakePage {
  std::string body;
  int status = 200;
  /// Delay before the response.
  std::chrono::milliseconds delay{0};
  /// Size of a body that is sent instead of `body`, in chunks of `chunk_size`
  /// bytes, one every 20 ms; 0 to send `body`.
  std::size_t streamed_bytes = 0;
  std::size_t chunk_size = 1;
};

/// \brief A fake daemon that serves fixed pages over HTTP and the Drain call
/// over gRPC, on free ports of an IP address.
///
/// Access to `parameters` and `drains` is not synchronised, so read them only
/// after the request has ended.
class FakeDaemon : private rpc::Peer::Service {
 public:
  FakeDaemon(std::string ip, const std::map<std::string, FakePage>& pages);
  ~FakeDaemon() override;

  std::string HttpAddress() const;
  std::string PeerAddress() const;

  /// Query parameters of the last request for a page, in the form name=value.
  std::vector<std::string> parameters;
  std::vector<rpc::DrainRequest> drains;
  grpc::Status drain_status;
  std::atomic<std::chrono::milliseconds> drain_delay{
      std::chrono::milliseconds(0)};

 private:
  grpc::Status Drain(grpc::ServerContext* context,
                     const rpc::DrainRequest* request,
                     rpc::DrainReply* reply) override;

  std::string ip;
  int http_port = 0;
  int peer_port = 0;
  httplib::Server http;
  std::thread http_thread;
  std::unique_ptr<grpc::Server> peer;
};

}  // namespace comfrey

#endif  // TESTS_CTL_FAKE_DAEMON_H_
