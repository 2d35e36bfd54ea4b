#include "daemon/peer_server.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

#include "absl/strings/str_cat.h"

namespace comfrey {
namespace {

constexpr int kMaxMessageBytes = 16 * 1024 * 1024;
// Bytes of one upload that may be on the way to the owner.
constexpr int kUploadWindowBytes = 64 * 1024;
// Peers send a keepalive ping every 2 s while a call waits. gRPC closes a
// connection whose pings arrive more often than this interval allows.
constexpr int kMinPingIntervalMs = 1000;

// Maximum number of forwarded requests that are queued or running. Each of them
// blocks a thread.
constexpr std::size_t kMaxForwardedRequests = 1024;

// Sends the replies to one forwarded request. A synchronous handler could
// detect a cancellation only with a call into gRPC that may block; the reactor
// is notified of it instead. `Base` is the reactor of the call.
template <typename Base>
class ReplySender : public Base {
 public:
  bool Cancelled() const { return this->cancelled; }

  void SendAccepted(const rpc::OwnerStamp& stamp) {
    rpc::ForwardReply reply;
    *reply.mutable_accepted()->mutable_stamp() = stamp;
    this->Send(std::move(reply));
  }

  void SendResult(rpc::Result&& result) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    *this->final_reply.mutable_result() = std::move(result);
    this->has_result = true;
    this->StartNextWrite();
  }

  void OnWriteDone(bool /*ok*/) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->writing = false;
    this->StartNextWrite();
  }

 protected:
  void Send(rpc::ForwardReply reply) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->pending.push_back(std::move(reply));
    this->StartNextWrite();
  }

  std::mutex mutex;
  std::atomic<bool> cancelled{false};

 private:
  void StartNextWrite() {
    if (this->writing) {
      return;
    }
    if (!this->pending.empty()) {
      this->current = std::move(this->pending.front());
      this->pending.pop_front();
      this->writing = true;
      this->StartWrite(&this->current);
    } else if (this->has_result) {
      this->StartWriteAndFinish(&this->final_reply, grpc::WriteOptions(),
                                grpc::Status::OK);
    }
  }

  std::deque<rpc::ForwardReply> pending;
  rpc::ForwardReply current;
  rpc::ForwardReply final_reply;
  bool writing = false;
  bool has_result = false;
};

// Replies to a request that is one message. It is deleted when both the call
// and its worker are done.
class ForwardReactor
    : public ReplySender<grpc::ServerWriteReactor<rpc::ForwardReply>> {
 public:
  static ForwardReactor* Create() {
    auto call = std::make_shared<ForwardReactor>();
    call->self = call;
    return call.get();
  }

  std::shared_ptr<ForwardReactor> Share() { return this->self; }

  void OnCancel() override { this->cancelled = true; }

  void OnDone() override { this->self.reset(); }

 private:
  std::shared_ptr<ForwardReactor> self;
};

// Replies to an upload and receives the parts of its body. A part is received
// only when the previous one was taken, which keeps the others back at the
// ingress.
class UploadReactor
    : public ReplySender<
          grpc::ServerBidiReactor<rpc::UploadPart, rpc::ForwardReply>> {
 public:
  using Clock = std::chrono::steady_clock;
  using HeadFunction =
      std::function<void(const std::shared_ptr<UploadReactor>&)>;

  // Calls `on_head` when the head has arrived.
  static UploadReactor* Create(HeadFunction on_head) {
    auto call = std::make_shared<UploadReactor>();
    call->self = call;
    call->on_head = std::move(on_head);
    call->StartRead(&call->received);
    return call.get();
  }

  const rpc::ForwardRequest& Head() const { return this->head; }

  void OnReadDone(bool ok) override {
    if (this->on_head) {
      this->HandleHead(ok);
      return;
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->reading = false;
    this->part_arrived = ok;
    this->body_ended = this->body_ended || !ok;
    this->changed.notify_all();
  }

  void OnCancel() override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->cancelled = true;
    this->changed.notify_all();
  }

  void OnDone() override { this->self.reset(); }

  // Waits for the next part of the body. The first call asks for it.
  BodyPart ReadBody(Clock::time_point deadline) {
    if (!this->requested) {
      this->requested = true;
      rpc::ForwardReply reply;
      reply.mutable_body_requested();
      this->Send(std::move(reply));
    }
    std::unique_lock<std::mutex> lock(this->mutex);
    if (!this->reading && !this->part_arrived && !this->body_ended) {
      this->reading = true;
      this->StartRead(&this->received);
    }
    this->changed.wait_until(lock, deadline, [this] {
      return this->part_arrived || this->body_ended || this->cancelled;
    });
    BodyPart part;
    if (this->part_arrived) {
      this->part_arrived = false;
      this->body_ended = this->received.last();
      part.kind = this->body_ended ? BodyPartKind::kEnd : BodyPartKind::kBytes;
      part.bytes = std::move(*this->received.mutable_body());
    } else if (!this->body_ended && !this->cancelled) {
      part.kind = BodyPartKind::kTimedOut;
    }
    return part;
  }

 private:
  void HandleHead(bool ok) {
    const HeadFunction handle = std::move(this->on_head);
    this->on_head = nullptr;
    if (!ok || !this->received.has_head()) {
      this->Finish({grpc::StatusCode::INVALID_ARGUMENT,
                    "the first message of an upload is not its head"});
      return;
    }
    this->head = std::move(*this->received.mutable_head());
    handle(this->self);
  }

  std::shared_ptr<UploadReactor> self;
  HeadFunction on_head;
  rpc::ForwardRequest head;
  rpc::UploadPart received;
  std::condition_variable changed;
  bool requested = false;
  bool reading = false;
  bool part_arrived = false;
  bool body_ended = false;
};

// Makes the body that the owner reads from an upload.
std::shared_ptr<BodyStream> MakeStream(
    const std::shared_ptr<UploadReactor>& call) {
  auto stream = std::make_shared<BodyStream>();
  if (call->Head().has_body_length()) {
    stream->length = call->Head().body_length();
  }
  stream->read = [call](UploadReactor::Clock::time_point deadline) {
    return call->ReadBody(deadline);
  };
  return stream;
}

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
  // By default gRPC enlarges the window of a stream to the bandwidth of the
  // connection: 64 uploads of 12 MB to a slow backend server took 305 MiB.
  builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_STREAM_LOOKAHEAD_BYTES,
                             kUploadWindowBytes);
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

grpc::ServerBidiReactor<rpc::UploadPart, rpc::ForwardReply>*
PeerServer::ForwardUpload(grpc::CallbackServerContext* /*context*/) {
  return UploadReactor::Create(
      [this](const std::shared_ptr<UploadReactor>& call) {
        this->forward_workers.Submit([this, call] {
          ForwardCallbacks callbacks;
          callbacks.accepted = [&] { call->SendAccepted(this->owner.Stamp()); };
          callbacks.cancelled = [call] { return call->Cancelled(); };
          callbacks.body = MakeStream(call);
          call->SendResult(this->owner.Forward(call->Head(), callbacks));
        });
      });
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
