#include "daemon/forward_call.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <string>

#include "absl/strings/str_cat.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

// The owner replies at the deadline at the latest. This additional time allows
// for the reply to arrive.
constexpr std::chrono::milliseconds kReplyGrace{50};

// Receives the replies of one Forward call on gRPC's threads.
class ForwardReactor : public grpc::ClientReadReactor<rpc::ForwardReply> {
 public:
  ForwardReactor(rpc::Peer::Stub& stub, const rpc::ForwardRequest& request) {
    stub.async()->Forward(&this->context, &request, this);
    this->StartRead(&this->reply);
    this->StartCall();
  }

  void OnReadDone(bool ok) override {
    if (!ok) {
      return;
    }
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (this->reply.has_result()) {
        this->result = this->reply.result();
        this->has_result = true;
      }
      this->accepted = true;
      this->changed.notify_all();
    }
    this->StartRead(&this->reply);
  }

  void OnDone(const grpc::Status& final_status) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->status = final_status;
    this->done = true;
    this->changed.notify_all();
  }

  // Waits until the owner accepts or the call ends, at most until the deadline.
  // Returns whether the request was cancelled before.
  bool WaitAccepted(Clock::time_point deadline, const CancelCheck& cancelled) {
    std::unique_lock<std::mutex> lock(this->mutex);
    return this->WaitUntil(lock, deadline, cancelled,
                           [this] { return this->accepted || this->done; });
  }

  // Waits for the end of the call, and cancels it at the deadline or when the
  // request is cancelled. Returns whether the request was cancelled.
  bool WaitDone(Clock::time_point deadline, const CancelCheck& cancelled) {
    std::unique_lock<std::mutex> lock(this->mutex);
    const auto is_done = [this] { return this->done; };
    const bool stopped = this->WaitUntil(lock, deadline, cancelled, is_done);
    if (!this->done) {
      this->context.TryCancel();
      this->changed.wait(lock, is_done);
    }
    return stopped;
  }

  bool Accepted() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->accepted;
  }

  bool HasResult() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->has_result;
  }

  rpc::Result TakeResult() { return std::move(this->result); }
  const grpc::Status& Status() const { return this->status; }

 private:
  template <typename Condition>
  bool WaitUntil(std::unique_lock<std::mutex>& lock,
                 Clock::time_point deadline,
                 const CancelCheck& cancelled,
                 const Condition& condition) {
    for (Clock::time_point now = Clock::now(); !condition() && now < deadline;
         now = Clock::now()) {
      this->changed.wait_until(
          lock, std::min<Clock::time_point>(deadline, now + kCancelPollPeriod),
          condition);
      if (!condition() && cancelled()) {
        return true;
      }
    }
    return false;
  }

  grpc::ClientContext context;
  rpc::ForwardReply reply;
  std::mutex mutex;
  std::condition_variable changed;
  bool accepted = false;
  bool has_result = false;
  bool done = false;
  rpc::Result result;
  grpc::Status status;
};

absl::Status CallError(absl::string_view action,
                       const std::string& address,
                       const std::string& cause) {
  return absl::UnavailableError(
      absl::StrCat(action, " ", address, ": ", cause));
}

constexpr char kCancelledError[] = "the request was cancelled";

// Waits until the connection is open. Returns false at the deadline, or if the
// request is cancelled before.
bool WaitConnected(grpc::Channel& channel,
                   Clock::time_point deadline,
                   const CancelCheck& cancelled) {
  do {
    const Clock::time_point poll =
        std::min<Clock::time_point>(deadline, Clock::now() + kCancelPollPeriod);
    if (channel.WaitForConnected(ToSystemTime(poll))) {
      return true;
    }
  } while (Clock::now() < deadline && !cancelled());
  return false;
}

}  // namespace

std::chrono::system_clock::time_point ToSystemTime(Clock::time_point time) {
  return std::chrono::system_clock::now() +
         std::chrono::duration_cast<std::chrono::system_clock::duration>(
             time - Clock::now());
}

ForwardCallResult ForwardOnce(PeerChannel& owner,
                              const rpc::ForwardRequest& request,
                              const ForwardLimits& limits) {
  const Clock::time_point start = Clock::now();
  const Clock::time_point accept_deadline =
      std::min(limits.deadline, start + limits.accept_timeout);
  ForwardCallResult call;
  // The call starts only when the connection is open. Without a connection, the
  // owner certainly did not receive the request.
  if (!WaitConnected(*owner.channel, accept_deadline, limits.cancelled)) {
    call.transport = TransportOutcome::kNotSent;
    call.cancelled = Clock::now() < accept_deadline;
    call.error =
        CallError("connect to", owner.address,
                  call.cancelled ? kCancelledError : "no connection in time");
    return call;
  }
  // The accept time starts here, since the handshake of a new connection takes
  // additional round trips.
  const Clock::time_point sent_at = Clock::now();
  ForwardReactor reactor(*owner.stub, request);
  call.cancelled = reactor.WaitAccepted(
      std::min(limits.deadline, sent_at + limits.accept_timeout),
      limits.cancelled);
  call.accept_time = std::chrono::duration_cast<std::chrono::microseconds>(
      Clock::now() - sent_at);
  const bool accepted_in_time = reactor.Accepted();
  const bool cancelled_later = reactor.WaitDone(
      accepted_in_time ? limits.deadline + kReplyGrace : Clock::now(),
      limits.cancelled);
  call.cancelled = call.cancelled || cancelled_later;
  call.accepted = reactor.Accepted();
  if (reactor.HasResult()) {
    call.transport = TransportOutcome::kReplied;
    call.result = reactor.TakeResult();
    return call;
  }
  if (call.cancelled) {
    call.transport = TransportOutcome::kCancelled;
    call.error = CallError("forward to", owner.address, kCancelledError);
    return call;
  }
  if (!accepted_in_time) {
    call.transport = TransportOutcome::kNotAccepted;
    call.error =
        CallError("forward to", owner.address,
                  reactor.Status().error_code() == grpc::StatusCode::CANCELLED
                      ? "accept timeout"
                      : reactor.Status().error_message());
    return call;
  }
  const bool timed_out = Clock::now() >= limits.deadline;
  call.transport =
      timed_out ? TransportOutcome::kTimedOut : TransportOutcome::kFailed;
  call.error = CallError("forward to", owner.address,
                         timed_out ? "no result by the deadline"
                                   : reactor.Status().error_message());
  return call;
}

}  // namespace comfrey
