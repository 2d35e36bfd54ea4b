#include "daemon/peer_server.h"

#include <grpcpp/grpcpp.h>

#include "absl/strings/str_cat.h"

namespace comfrey {
namespace {

constexpr int kMaxMessageBytes = 16 * 1024 * 1024;
// Peers send keepalive pings each 2 s while a call waits.
constexpr int kMinPingIntervalMs = 1000;

}  // namespace

PeerServer::PeerServer(OwnerService& owner, std::uint64_t incarnation)
    : owner(owner), incarnation(incarnation) {}

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
    reply.mutable_accepted()->set_owner_incarnation(this->incarnation);
    writer->Write(reply);
  };
  hooks.cancelled = [context] { return context->IsCancelled(); };
  rpc::ForwardReply reply;
  *reply.mutable_result() = this->owner.Forward(*request, hooks);
  reply.mutable_result()->set_owner_incarnation(this->incarnation);
  writer->Write(reply);
  return grpc::Status::OK;
}

}  // namespace comfrey
