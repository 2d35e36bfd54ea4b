#include "daemon/owner_client.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <mutex>

#include "absl/strings/str_cat.h"
#include "daemon/message_conversion.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

// A unary call without a reply after this time is retried over a new
// connection.
constexpr std::chrono::milliseconds kCallTimeout{250};

template <typename Request, typename Reply>
using UnaryCall = void (rpc::Peer::StubInterface::async_interface::*)(
    grpc::ClientContext*,
    const Request*,
    Reply*,
    std::function<void(grpc::Status)>);

using AsyncPeer = rpc::Peer::StubInterface::async_interface;

// The end of a call, which gRPC reports on one of its threads.
class CallEnd {
 public:
  void Set(bool ok) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->succeeded = ok;
    this->ended_at = Clock::now();
    this->done = true;
    this->changed.notify_all();
  }

  // Waits for the end of the call, and cancels it when `cancelled` returns
  // true. Returns whether the call succeeded.
  bool Wait(grpc::ClientContext& context, const CancelCheck& cancelled) {
    std::unique_lock<std::mutex> lock(this->mutex);
    const auto is_done = [this] { return this->done; };
    while (!this->changed.wait_for(lock, kCancelPollPeriod, is_done)) {
      if (cancelled()) {
        context.TryCancel();
        this->changed.wait(lock, is_done);
      }
    }
    return this->succeeded;
  }

  // Returns when the call ended; valid after Wait.
  Clock::time_point EndedAt() const { return this->ended_at; }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  bool done = false;
  bool succeeded = false;
  Clock::time_point ended_at;
};

// A unary call that has been started over the pooled channel.
template <typename Request, typename Reply>
class StartedCall {
 public:
  StartedCall(ChannelPool& channels,
              const std::string& address,
              UnaryCall<Request, Reply> method,
              const Request& request,
              Reply& reply,
              Clock::time_point deadline)
      : channels(channels), channel(channels.Get(address)) {
    this->context.set_deadline(ToSystemTime(deadline));
    this->context.set_wait_for_ready(true);
    (this->channel->stub->async()->*method)(
        &this->context, &request, &reply,
        [this](const grpc::Status& status) { this->end.Set(status.ok()); });
  }

  StartedCall(const StartedCall&) = delete;
  StartedCall& operator=(const StartedCall&) = delete;

  // Waits for the end of the call; returns whether it succeeded. If the call
  // fails and is not cancelled, removes the channel from the pool.
  bool Wait(const CancelCheck& cancelled) {
    if (this->end.Wait(this->context, cancelled)) {
      return true;
    }
    if (!cancelled()) {
      this->channels.Remove(this->channel);
    }
    return false;
  }

  Clock::time_point EndedAt() const { return this->end.EndedAt(); }

 private:
  ChannelPool& channels;
  std::shared_ptr<PeerChannel> channel;
  grpc::ClientContext context;
  CallEnd end;
};

template <typename Request, typename Reply>
bool CallOnce(ChannelPool& channels,
              const std::string& address,
              UnaryCall<Request, Reply> method,
              const Request& request,
              Reply& reply,
              Clock::time_point deadline,
              const CancelCheck& cancelled) {
  StartedCall<Request, Reply> call(channels, address, method, request, reply,
                                   deadline);
  return call.Wait(cancelled);
}

// Performs a unary call, and retries it once over a new connection if it fails.
// GetStamp and GetLoad do not use this: a connection to another region may take
// most of the time, and a retry would have to connect again.
template <typename Request, typename Reply>
bool CallWithRetry(ChannelPool& channels,
                   const std::string& address,
                   UnaryCall<Request, Reply> method,
                   const Request& request,
                   Reply& reply,
                   Clock::time_point deadline,
                   const CancelCheck& cancelled) {
  constexpr int kTries = 2;
  for (int i = 0; i < kTries && Clock::now() < deadline && !cancelled(); ++i) {
    const Clock::time_point end =
        std::min<Clock::time_point>(deadline, Clock::now() + kCallTimeout);
    if (CallOnce(channels, address, method, request, reply, end, cancelled)) {
      return true;
    }
  }
  return false;
}

std::string IpOf(const std::string& endpoint) {
  return endpoint.substr(0, endpoint.rfind(':'));
}

}  // namespace

OwnerClient::OwnerClient(ChannelPool& channels, int peer_port)
    : channels(channels), peer_port(peer_port) {}

ForwardCallResult OwnerClient::Forward(const std::string& ip,
                                       const rpc::ForwardRequest& request,
                                       BodyStream* body,
                                       const ForwardLimits& limits) {
  const std::shared_ptr<PeerChannel> channel =
      this->channels.Get(this->AddressOf(ip));
  ForwardCallResult call = ForwardOnce(*channel, request, body, limits);
  if (call.transport == TransportOutcome::kReplied) {
    this->StoreStamp(ip, call.result.stamp());
  } else if (!call.cancelled) {
    this->channels.Remove(channel);
  }
  return call;
}

std::optional<ReceivedStamp> OwnerClient::StampOf(const std::string& ip) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->stamps.find(ip);
  return found == this->stamps.end() ? std::nullopt
                                     : std::make_optional(found->second);
}

std::optional<ReceivedStamp> OwnerClient::RefreshStamp(
    const std::string& ip,
    TimePoint deadline,
    std::chrono::microseconds timeout,
    const CancelCheck& cancelled) {
  rpc::OwnerStamp stamp;
  if (!CallOnce<rpc::StampRequest, rpc::OwnerStamp>(
          this->channels, this->AddressOf(ip), &AsyncPeer::GetStamp,
          rpc::StampRequest(), stamp,
          std::min(deadline, Clock::now() + timeout), cancelled)) {
    return std::nullopt;
  }
  this->StoreStamp(ip, stamp);
  return ReceivedStamp{FromProto(stamp), Clock::now()};
}

std::vector<std::optional<OwnerClient::TimePoint>> OwnerClient::RefreshStamps(
    const std::vector<std::string>& ips,
    TimePoint deadline,
    const CancelCheck& cancelled) {
  using StampCall = StartedCall<rpc::StampRequest, rpc::OwnerStamp>;
  const UnaryCall<rpc::StampRequest, rpc::OwnerStamp> method =
      &AsyncPeer::GetStamp;
  const rpc::StampRequest request;
  std::vector<rpc::OwnerStamp> stamps(ips.size());
  std::vector<std::unique_ptr<StampCall>> calls;
  calls.reserve(ips.size());
  for (std::size_t i = 0; i < ips.size(); ++i) {
    calls.push_back(std::make_unique<StampCall>(this->channels,
                                                this->AddressOf(ips[i]), method,
                                                request, stamps[i], deadline));
  }
  std::vector<std::optional<TimePoint>> replied_at(ips.size());
  for (std::size_t i = 0; i < ips.size(); ++i) {
    if (calls[i]->Wait(cancelled)) {
      this->StoreStamp(ips[i], stamps[i]);
      replied_at[i] = calls[i]->EndedAt();
    }
  }
  return replied_at;
}

std::optional<rpc::LoadReply> OwnerClient::QueryLoad(
    const std::string& ip,
    const rpc::LoadRequest& request,
    TimePoint deadline,
    std::chrono::microseconds timeout,
    const CancelCheck& cancelled) {
  rpc::LoadReply reply;
  if (!CallOnce<rpc::LoadRequest, rpc::LoadReply>(
          this->channels, this->AddressOf(ip), &AsyncPeer::GetLoad, request,
          reply, std::min(deadline, Clock::now() + timeout), cancelled)) {
    return std::nullopt;
  }
  this->StoreStamp(ip, reply.stamp());
  return reply;
}

rpc::FenceReply OwnerClient::FenceAttempt(
    const std::string& ip,
    const rpc::FenceAttemptRequest& request,
    TimePoint deadline,
    const CancelCheck& cancelled) {
  rpc::FenceReply reply;
  if (!CallWithRetry<rpc::FenceAttemptRequest, rpc::FenceReply>(
          this->channels, this->AddressOf(ip), &AsyncPeer::FenceAttempt,
          request, reply, deadline, cancelled)) {
    reply.set_state(rpc::FENCE_UNSPECIFIED);
  }
  return reply;
}

KeyFenceReply OwnerClient::FenceKey(const FenceKeyCall& call) {
  rpc::FenceKeyRequest request;
  request.set_team(call.key.team);
  request.set_service(call.key.service);
  request.set_idempotency_key(call.key.key);
  request.set_endpoint(call.endpoint);
  request.mutable_version()->set_generation(call.version.generation);
  request.mutable_version()->set_revision(call.version.revision);
  rpc::FenceReply reply;
  if (!CallWithRetry<rpc::FenceKeyRequest, rpc::FenceReply>(
          this->channels, this->AddressOf(IpOf(call.endpoint)),
          &AsyncPeer::FenceKey, request, reply, call.deadline,
          [] { return false; })) {
    return {};
  }
  return KeyFenceFromProto(reply);
}

std::string OwnerClient::AddressOf(const std::string& ip) const {
  return absl::StrCat(ip, ":", this->peer_port);
}

// Stores the stamp unless the stored one is newer. A stamp is newer if it has a
// greater incarnation, or the same incarnation and a greater uptime.
void OwnerClient::StoreStamp(const std::string& ip,
                             const rpc::OwnerStamp& message) {
  const OwnerStamp stamp = FromProto(message);
  const std::lock_guard<std::mutex> lock(this->mutex);
  ReceivedStamp& known = this->stamps[ip];
  if (known.stamp.incarnation < stamp.incarnation ||
      (known.stamp.incarnation == stamp.incarnation &&
       known.stamp.uptime <= stamp.uptime)) {
    known = {stamp, Clock::now()};
  }
}

}  // namespace comfrey
