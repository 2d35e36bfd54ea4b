#include "daemon/peer_server.h"

#include <grpcpp/grpcpp.h>

#include "absl/strings/str_cat.h"

namespace comfrey {
namespace {

constexpr int kMaxMessageBytes = 16 * 1024 * 1024;
// Peers send keepalive pings each 2 s while a call waits.
constexpr int kMinPingIntervalMs = 1000;

}  // namespace

PeerServer::PeerServer(OwnerService& owner,
                       KeyJournal& journal,
                       PeerRunner& runner)
    : owner(owner), journal(journal), runner(runner) {}

absl::Status PeerServer::Start(const std::string& address) {
  grpc::ServerBuilder builder;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials());
  builder.RegisterService(this);
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  // Two daemons on one port would split the forwards between two ledgers.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddChannelArgument(
      GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
      kMinPingIntervalMs);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  this->server = builder.BuildAndStart();
  if (!this->server) {
    return absl::UnavailableError(absl::StrCat(
        "listen on ", address, ": the address is in use or not local"));
  }
  return absl::OkStatus();
}

void PeerServer::Shutdown(std::chrono::system_clock::time_point deadline) {
  if (this->server) {
    this->server->Shutdown(deadline);
  }
}

grpc::Status PeerServer::Forward(
    grpc::ServerContext* context,
    const rpc::ForwardRequest* request,
    grpc::ServerWriter<rpc::ForwardReply>* writer) {
  ForwardHooks hooks;
  hooks.accepted = [&] {
    rpc::ForwardReply reply;
    *reply.mutable_accepted()->mutable_stamp() = this->owner.Stamp();
    writer->Write(reply);
  };
  hooks.cancelled = [context] { return context->IsCancelled(); };
  rpc::ForwardReply reply;
  *reply.mutable_result() = this->owner.Forward(*request, hooks);
  writer->Write(reply);
  return grpc::Status::OK;
}

grpc::Status PeerServer::GetStamp(grpc::ServerContext*,
                                  const rpc::StampRequest*,
                                  rpc::OwnerStamp* reply) {
  *reply = this->owner.Stamp();
  return grpc::Status::OK;
}

grpc::Status PeerServer::FenceAttempt(grpc::ServerContext*,
                                      const rpc::FenceAttemptRequest* request,
                                      rpc::FenceReply* reply) {
  *reply = this->owner.FenceAttempt(*request);
  return grpc::Status::OK;
}

grpc::Status PeerServer::FenceKey(grpc::ServerContext*,
                                  const rpc::FenceKeyRequest* request,
                                  rpc::FenceReply* reply) {
  *reply = this->owner.FenceKey(*request);
  return grpc::Status::OK;
}

grpc::Status PeerServer::RecoverKeys(grpc::ServerContext*,
                                     const rpc::RecoverKeysRequest* request,
                                     rpc::RecoverKeysReply* reply) {
  *reply = this->journal.Read(*request, std::chrono::steady_clock::now());
  return grpc::Status::OK;
}

grpc::Status PeerServer::Ping(grpc::ServerContext*,
                              const rpc::PingRequest* request,
                              rpc::PingReply* reply) {
  this->runner.HandlePing(*request, *reply);
  return grpc::Status::OK;
}

grpc::Status PeerServer::PingThrough(grpc::ServerContext*,
                                     const rpc::PingThroughRequest* request,
                                     rpc::PingThroughReply* reply) {
  this->runner.HandlePingThrough(*request, *reply);
  return grpc::Status::OK;
}

grpc::Status PeerServer::Exchange(grpc::ServerContext*,
                                  const rpc::ExchangeRequest* request,
                                  rpc::ExchangeReply* reply) {
  this->runner.HandleExchange(*request, *reply);
  return grpc::Status::OK;
}

grpc::Status PeerServer::Push(grpc::ServerContext*,
                              const rpc::PushRequest* request,
                              rpc::PushReply* reply) {
  this->runner.HandlePush(*request, *reply);
  return grpc::Status::OK;
}

grpc::Status PeerServer::Drain(grpc::ServerContext*,
                               const rpc::DrainRequest* request,
                               rpc::DrainReply* reply) {
  const DrainSource source =
      request->from_vm_list() ? DrainSource::kVmList : DrainSource::kOperator;
  const absl::StatusOr<std::size_t> in_flight =
      this->owner.Drain(request->endpoint(), source, request->draining());
  if (!in_flight.ok()) {
    return {grpc::StatusCode::NOT_FOUND,
            std::string(in_flight.status().message())};
  }
  reply->set_in_flight(static_cast<std::uint32_t>(*in_flight));
  return grpc::Status::OK;
}

}  // namespace comfrey
