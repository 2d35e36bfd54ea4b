#include "daemon/owner_client.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "daemon/message_conversion.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

// A unary call without a reply after this time is repeated over a new
// connection.
constexpr std::chrono::milliseconds kCallTimeout{250};

template <typename Request, typename Reply>
using UnaryCall = grpc::Status (rpc::Peer::Stub::*)(grpc::ClientContext*,
                                                    const Request&,
                                                    Reply*);

// Performs a unary call over the pooled channel. If the call fails, removes the
// channel from the pool.
template <typename Request, typename Reply>
bool CallOnce(ChannelPool& channels,
              const std::string& address,
              UnaryCall<Request, Reply> method,
              const Request& request,
              Reply& reply,
              Clock::time_point deadline) {
  const std::shared_ptr<PeerChannel> channel = channels.Get(address);
  grpc::ClientContext context;
  context.set_deadline(ToSystemTime(deadline));
  context.set_wait_for_ready(true);
  if (((*channel->stub).*method)(&context, request, &reply).ok()) {
    return true;
  }
  channels.Drop(channel);
  return false;
}

// Performs a unary call, and repeats it once over a new connection if it fails.
// GetStamp and GetLoad do not use this: a connection to another region may take
// most of the time, and a repeated call would have to connect again.
template <typename Request, typename Reply>
bool CallWithRetry(ChannelPool& channels,
                   const std::string& address,
                   UnaryCall<Request, Reply> method,
                   const Request& request,
                   Reply& reply,
                   Clock::time_point deadline) {
  constexpr int kTries = 2;
  for (int i = 0; i < kTries && Clock::now() < deadline; ++i) {
    const Clock::time_point end =
        std::min<Clock::time_point>(deadline, Clock::now() + kCallTimeout);
    if (CallOnce(channels, address, method, request, reply, end)) {
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
                                       const ForwardLimits& limits) {
  const std::shared_ptr<PeerChannel> channel =
      this->channels.Get(this->AddressOf(ip));
  ForwardCallResult call = ForwardOnce(*channel, request, limits);
  if (call.transport == TransportOutcome::kReplied) {
    this->StoreStamp(ip, call.result.stamp());
  } else if (call.transport != TransportOutcome::kCancelled) {
    this->channels.Drop(channel);
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
    std::chrono::microseconds timeout) {
  rpc::OwnerStamp stamp;
  if (!CallOnce(this->channels, this->AddressOf(ip), &rpc::Peer::Stub::GetStamp,
                rpc::StampRequest(), stamp,
                std::min(deadline, Clock::now() + timeout))) {
    return std::nullopt;
  }
  this->StoreStamp(ip, stamp);
  return ReceivedStamp{FromProto(stamp), Clock::now()};
}

std::optional<rpc::LoadReply> OwnerClient::QueryLoad(
    const std::string& ip,
    const rpc::LoadRequest& request,
    TimePoint deadline,
    std::chrono::microseconds timeout) {
  rpc::LoadReply reply;
  if (!CallOnce(this->channels, this->AddressOf(ip), &rpc::Peer::Stub::GetLoad,
                request, reply, std::min(deadline, Clock::now() + timeout))) {
    return std::nullopt;
  }
  this->StoreStamp(ip, reply.stamp());
  return reply;
}

rpc::FenceReply OwnerClient::FenceAttempt(
    const std::string& ip,
    const rpc::FenceAttemptRequest& request,
    TimePoint deadline) {
  rpc::FenceReply reply;
  if (!CallWithRetry(this->channels, this->AddressOf(ip),
                     &rpc::Peer::Stub::FenceAttempt, request, reply,
                     deadline)) {
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
  if (!CallWithRetry(this->channels, this->AddressOf(IpOf(call.endpoint)),
                     &rpc::Peer::Stub::FenceKey, request, reply,
                     call.deadline)) {
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
