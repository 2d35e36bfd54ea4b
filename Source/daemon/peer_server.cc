#include "daemon/peer_server.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

#include "absl/strings/str_cat.h"

namespace comfrey {
namespace {

constexpr int kMaxMessageBytes = 16 * 1024 * 1024;
// Peers send a keepalive ping every 2 s while a call waits. gRPC closes a
// connection whose pings arrive more often than this interval allows.
constexpr int kMinPingIntervalMs = 1000;

// Maximum number of forwarded requests that are queued or running. Each of them
// blocks a thread.
constexpr std::size_t kMaxForwardedRequests = 1024;

// Sends the replies to one Forward call. A synchronous handler could detect a
// cancellation only with a call into gRPC that may block; the reactor is
// notified of it instead. It is deleted when both the call and its worker are
// done.
class ForwardReactor : public grpc::ServerWriteReactor<rpc::ForwardReply> {
 public:
  static ForwardReactor* Create() {
    auto call = std::make_shared<ForwardReactor>();
    call->self = call;
    return call.get();
  }

  std::shared_ptr<ForwardReactor> Share() { return this->self; }

  bool Cancelled() const { return this->cancelled; }

  void SendAccepted(const rpc::OwnerStamp& stamp) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    *this->accepted.mutable_accepted()->mutable_stamp() = stamp;
    this->writing = true;
    this->StartWrite(&this->accepted);
  }

  void SendResult(rpc::Result result) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    *this->final_reply.mutable_result() = std::move(result);
    this->has_result = true;
    this->FinishIfIdle();
  }

  void OnWriteDone(bool /*ok*/) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->writing = false;
    this->FinishIfIdle();
  }

  void OnCancel() override { this->cancelled = true; }

  void OnDone() override { this->self.reset(); }

 private:
  void FinishIfIdle() {
    if (this->has_result && !this->writing) {
      this->StartWriteAndFinish(&this->final_reply, grpc::WriteOptions(),
                                grpc::Status::OK);
    }
  }

  std::shared_ptr<ForwardReactor> self;
  std::mutex mutex;
  rpc::ForwardReply accepted;
  rpc::ForwardReply final_reply;
  bool writing = false;
  bool has_result = false;
  std::atomic<bool> cancelled{false};
};

}  // namespace

PeerServer::PeerServer(OwnerService& owner,
                       KeyJournal& journal,
                       PeerRunner& runner)
    : owner(owner),
      journal(journal),
      runner(runner),
      forward_workers(kMaxForwardedRequests) {}

absl::Status PeerServer::Start(const std::string& address) {
  grpc::ServerBuilder builder;
  builder.AddListeningPort(address, grpc::InsecureServerCredentials());
  builder.RegisterService(this);
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  // With SO_REUSEPORT, a second daemon could listen on the same port, and
  // forwarded requests would be split between the ledgers of both daemons.
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

grpc::ServerWriteReactor<rpc::ForwardReply>* PeerServer::Forward(
    grpc::CallbackServerContext* /*context*/,
    const rpc::ForwardRequest* request) {
  ForwardReactor* reactor = ForwardReactor::Create();
  // gRPC keeps the request until the call ends, which is after SendResult.
  this->forward_workers.Submit([this, request, call = reactor->Share()] {
    ForwardCallbacks callbacks;
    callbacks.accepted = [&] { call->SendAccepted(this->owner.Stamp()); };
    callbacks.cancelled = [call] { return call->Cancelled(); };
    call->SendResult(this->owner.Forward(*request, callbacks));
  });
  return reactor;
}

grpc::Status PeerServer::GetStamp(grpc::ServerContext*,
                                  const rpc::StampRequest*,
                                  rpc::OwnerStamp* reply) {
  *reply = this->owner.Stamp();
  return grpc::Status::OK;
}

grpc::Status PeerServer::GetLoad(grpc::ServerContext*,
                                 const rpc::LoadRequest* request,
                                 rpc::LoadReply* reply) {
  *reply = this->owner.Load(*request);
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
