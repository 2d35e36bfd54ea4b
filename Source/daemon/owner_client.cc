#include "daemon/owner_client.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <utility>

#include "absl/strings/str_cat.h"
#include "daemon/message_conversion.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

// A unary call without a reply after this time is retried over a new
// connection.
constexpr std::chrono::milliseconds kCallTimeout{250};

// The end of a call, which gRPC reports on one of its threads.
class CallWaiter {
 public:
  void Set(PeerCallEnd call_end) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->end = call_end;
    this->ended_at = Clock::now();
    this->done = true;
    this->changed.notify_all();
  }

  // Waits for the end of the call, and cancels it when `cancelled` returns
  // true. Returns how the call ended.
  PeerCallEnd Wait(grpc::ClientContext& context, const CancelCheck& cancelled) {
    std::unique_lock<std::mutex> lock(this->mutex);
    const auto is_done = [this] { return this->done; };
    while (!this->changed.wait_for(lock, kCancelPollPeriod, is_done)) {
      if (cancelled()) {
        context.TryCancel();
        this->changed.wait(lock, is_done);
      }
    }
    return this->end;
  }

  // Returns when the call ended; valid after Wait.
  Clock::time_point EndedAt() const { return this->ended_at; }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  bool done = false;
  PeerCallEnd end = PeerCallEnd::kFailed;
  Clock::time_point ended_at;
};

// Time limits of a unary call.
struct CallLimits {
  // Deadline of the request for which the call is made.
  Clock::time_point deadline;
  // Time that the peer has to reply.
  std::chrono::microseconds timeout;
};

// A unary call that has been started over the pooled channel.
template <typename Request>
class StartedCall {
 public:
  StartedCall(ChannelPool& channels,
              const std::string& address,
              const Request& request,
              const CallLimits& limits)
      : channels(channels), channel(channels.Get(address)) {
    const Clock::time_point reply_deadline = Clock::now() + limits.timeout;
    const bool may_expire = limits.deadline < reply_deadline;
    this->context.set_deadline(
        ToSystemTime(std::min(limits.deadline, reply_deadline)));
    this->context.set_wait_for_ready(true);
    StartPeerCall(
        *this->channel, this->context, request, this->reply,
        [this, may_expire](PeerCallEnd end, const grpc::Status& status) {
          const bool expired =
              may_expire &&
              status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
          this->waiter.Set(expired ? PeerCallEnd::kExpired : end);
        });
  }

  StartedCall(const StartedCall&) = delete;
  StartedCall& operator=(const StartedCall&) = delete;

  // Waits for the end of the call. If the call fails and is not cancelled,
  // removes the channel from the pool.
  PeerCallEnd Wait(const CancelCheck& cancelled) {
    const PeerCallEnd end = this->waiter.Wait(this->context, cancelled);
    if (end == PeerCallEnd::kFailed && !cancelled()) {
      this->channels.Remove(this->channel);
    }
    return end;
  }

  // Valid after Wait returned kReplied.
  typename PeerMethod<Request>::Reply& Reply() { return this->reply.message; }

  Clock::time_point EndedAt() const { return this->waiter.EndedAt(); }

 private:
  ChannelPool& channels;
  std::shared_ptr<PeerChannel> channel;
  grpc::ClientContext context;
  PeerReplyTo<Request> reply;
  CallWaiter waiter;
};

// Performs a unary call. Sets `reply` only if it was read completely.
template <typename Request>
PeerCallEnd CallOnce(ChannelPool& channels,
                     const std::string& address,
                     const Request& request,
                     typename PeerMethod<Request>::Reply& reply,
                     const CallLimits& limits,
                     const CancelCheck& cancelled) {
  StartedCall<Request> call(channels, address, request, limits);
  const PeerCallEnd end = call.Wait(cancelled);
  if (end == PeerCallEnd::kReplied) {
    reply = std::move(call.Reply());
  }
  return end;
}

// Performs a unary call, and retries it once over a new connection if it fails.
// GetStamp and GetLoad do not use this: a connection to another region may take
// most of the time, and a retry would have to connect again.
template <typename Request>
PeerCallEnd CallWithRetry(ChannelPool& channels,
                          const std::string& address,
                          const Request& request,
                          typename PeerMethod<Request>::Reply& reply,
                          Clock::time_point deadline,
                          const CancelCheck& cancelled) {
  constexpr int kTries = 2;
  PeerCallEnd call_end = PeerCallEnd::kFailed;
  for (int i = 0; i < kTries && call_end == PeerCallEnd::kFailed &&
                  Clock::now() < deadline && !cancelled();
       ++i) {
    call_end = CallOnce(channels, address, request, reply,
                        {deadline, kCallTimeout}, cancelled);
  }
  return call_end;
}

std::string IpOf(const std::string& endpoint) {
  return endpoint.substr(0, endpoint.rfind(':'));
}

}  // namespace

OwnerClient::OwnerClient(ChannelPool& channels,
                         int peer_port,
                         RefusalMeaning meaning)
    : channels(channels), peer_port(peer_port), meaning(meaning) {}

ForwardCallResult OwnerClient::Forward(const std::string& ip,
                                       const rpc::ForwardRequest& request,
                                       BodyStream* body,
                                       const ForwardLimits& limits) {
  const std::shared_ptr<PeerChannel> channel =
      this->channels.Get(this->AddressOf(ip));
  ForwardCallResult call = ForwardOnce(*channel, request, body, limits);
  if (call.transport == TransportOutcome::kReplied) {
    this->StoreStamp(ip, call.result.stamp());
  } else if (call.path_failed) {
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

StampCallResult OwnerClient::RefreshStamp(const std::string& ip,
                                          TimePoint deadline,
                                          std::chrono::microseconds timeout,
                                          const CancelCheck& cancelled) {
  StampCallResult call;
  rpc::OwnerStamp stamp;
  call.end = CallOnce(this->channels, this->AddressOf(ip), rpc::StampRequest(),
                      stamp, {deadline, timeout}, cancelled);
  if (call.end == PeerCallEnd::kReplied) {
    this->StoreStamp(ip, stamp);
    call.stamp = {FromProto(stamp), Clock::now()};
  }
  return call;
}

std::vector<std::optional<OwnerClient::TimePoint>> OwnerClient::RefreshStamps(
    const std::vector<std::string>& ips,
    TimePoint deadline,
    const CancelCheck& cancelled) {
  using StampCall = StartedCall<rpc::StampRequest>;
  const rpc::StampRequest request;
  const CallLimits limits = {
      TimePoint::max(), std::chrono::duration_cast<std::chrono::microseconds>(
                            deadline - Clock::now())};
  std::vector<std::unique_ptr<StampCall>> calls;
  calls.reserve(ips.size());
  for (const std::string& ip : ips) {
    calls.push_back(std::make_unique<StampCall>(
        this->channels, this->AddressOf(ip), request, limits));
  }
  std::vector<std::optional<TimePoint>> replied_at(ips.size());
  for (std::size_t i = 0; i < ips.size(); ++i) {
    if (calls[i]->Wait(cancelled) == PeerCallEnd::kReplied) {
      this->StoreStamp(ips[i], calls[i]->Reply());
      replied_at[i] = calls[i]->EndedAt();
    }
  }
  return replied_at;
}

LoadCallResult OwnerClient::QueryLoad(const std::string& ip,
                                      const rpc::LoadRequest& request,
                                      TimePoint deadline,
                                      std::chrono::microseconds timeout,
                                      const CancelCheck& cancelled) {
  LoadCallResult call;
  call.end = CallOnce(this->channels, this->AddressOf(ip), request, call.reply,
                      {deadline, timeout}, cancelled);
  if (call.end == PeerCallEnd::kReplied) {
    this->StoreStamp(ip, call.reply.stamp());
  }
  return call;
}

rpc::FenceReply OwnerClient::FenceAttempt(
    const std::string& ip,
    const rpc::FenceAttemptRequest& request,
    TimePoint deadline,
    const CancelCheck& cancelled) {
  rpc::FenceReply reply;
  switch (CallWithRetry(this->channels, this->AddressOf(ip), request, reply,
                        deadline, cancelled)) {
    case PeerCallEnd::kReplied:
      break;
    case PeerCallEnd::kUnreadable:
      reply.set_state(rpc::FENCE_UNKNOWN);
      break;
    case PeerCallEnd::kExpired:
    case PeerCallEnd::kFailed:
      reply.set_state(rpc::FENCE_UNSPECIFIED);
      break;
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
  if (CallWithRetry(this->channels, this->AddressOf(IpOf(call.endpoint)),
                    request, reply, call.deadline,
                    [] { return false; }) != PeerCallEnd::kReplied) {
    return {};
  }
  return KeyFenceFromProto(reply, this->meaning);
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
