#ifndef DAEMON_PEER_SERVER_H_
#define DAEMON_PEER_SERVER_H_

#include <grpcpp/server.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "daemon/owner_service.h"
#include "peer.grpc.pb.h"

namespace comfrey {

/// \brief gRPC server for other daemons and comfreyctl.
class PeerServer : public rpc::Peer::Service {
 public:
  PeerServer(OwnerService& owner, std::uint64_t incarnation);

  /// \brief Starts to listen on "ip:port".
  absl::Status Start(const std::string& address);

  /// \brief Refuses new calls and waits for those in flight until `deadline`.
  void Shutdown(std::chrono::system_clock::time_point deadline);

  grpc::Status Forward(grpc::ServerContext* context,
                       const rpc::ForwardRequest* request,
                       grpc::ServerWriter<rpc::ForwardReply>* writer) override;

 private:
  OwnerService& owner;
  std::uint64_t incarnation;
  std::unique_ptr<grpc::Server> server;
};

}  // namespace comfrey

#endif  // DAEMON_PEER_SERVER_H_
