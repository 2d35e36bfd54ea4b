#ifndef DAEMON_PEER_SERVER_H_
#define DAEMON_PEER_SERVER_H_

#include <grpcpp/server.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "daemon/key_journal.h"
#include "daemon/owner_service.h"
#include "daemon/peer_runner.h"
#include "daemon/worker_pool.h"
#include "peer.grpc.pb.h"

namespace comfrey {

/// \brief gRPC server for calls of other daemons and of comfreyctl.
class PeerServer
    : public rpc::Peer::WithCallbackMethod_Forward<
          rpc::Peer::WithCallbackMethod_ForwardUpload<rpc::Peer::Service>> {
 public:
  PeerServer(OwnerService& owner, KeyJournal& journal, PeerRunner& runner);

  /// \brief Starts to listen on "ip:port".
  absl::Status Start(const std::string& address);

  /// \brief Refuses new calls and waits until `deadline` for the calls in
  /// progress; cancels those that remain.
  void Shutdown(std::chrono::system_clock::time_point deadline);

  grpc::ServerWriteReactor<rpc::ForwardReply>* Forward(
      grpc::CallbackServerContext* context,
      const rpc::ForwardRequest* request) override;
  grpc::ServerBidiReactor<rpc::UploadPart, rpc::ForwardReply>* ForwardUpload(
      grpc::CallbackServerContext* context) override;
  grpc::Status GetStamp(grpc::ServerContext* context,
                        const rpc::StampRequest* request,
                        rpc::OwnerStamp* reply) override;
  grpc::Status GetLoad(grpc::ServerContext* context,
                       const rpc::LoadRequest* request,
                       rpc::LoadReply* reply) override;
  grpc::Status FenceAttempt(grpc::ServerContext* context,
                            const rpc::FenceAttemptRequest* request,
                            rpc::FenceReply* reply) override;
  grpc::Status FenceKey(grpc::ServerContext* context,
                        const rpc::FenceKeyRequest* request,
                        rpc::FenceReply* reply) override;
  grpc::Status RecoverKeys(grpc::ServerContext* context,
                           const rpc::RecoverKeysRequest* request,
                           rpc::RecoverKeysReply* reply) override;
  grpc::Status Ping(grpc::ServerContext* context,
                    const rpc::PingRequest* request,
                    rpc::PingReply* reply) override;
  grpc::Status PingThrough(grpc::ServerContext* context,
                           const rpc::PingThroughRequest* request,
                           rpc::PingThroughReply* reply) override;
  grpc::Status Exchange(grpc::ServerContext* context,
                        const rpc::ExchangeRequest* request,
                        rpc::ExchangeReply* reply) override;
  grpc::Status Push(grpc::ServerContext* context,
                    const rpc::PushRequest* request,
                    rpc::PushReply* reply) override;
  grpc::Status Drain(grpc::ServerContext* context,
                     const rpc::DrainRequest* request,
                     rpc::DrainReply* reply) override;

 private:
  OwnerService& owner;
  KeyJournal& journal;
  PeerRunner& runner;
  WorkerPool forward_workers;
  std::unique_ptr<grpc::Server> server;
};

}  // namespace comfrey

#endif  // DAEMON_PEER_SERVER_H_
