#include "daemon/forward_call.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <string>
#include <type_traits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "daemon/peer_call.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

// The owner replies at the deadline at the latest. This additional time allows
// for the reply to arrive.
constexpr std::chrono::milliseconds kReplyGrace{50};

// Receives the replies of one call on gRPC's threads. `Base` is the reactor of
// the call.
template <typename Base>
class ReplyReceiver : public Base {
 public:
  void OnReadDone(bool ok) override {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (ok) {
        this->Store(this->reply);
      } else {
        this->ended = true;
      }
      this->changed.notify_all();
    }
    if (ok) {
      this->StartRead(&this->reply);
    }
  }

  void OnDone(const grpc::Status& final_status) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->status = final_status;
    this->done = true;
    this->ended = true;
    this->changed.notify_all();
  }

  // Waits until the owner accepts or the call ends, at most until the deadline.
  // Returns whether the request was cancelled before.
  bool WaitAccepted(Clock::time_point deadline, const CancelCheck& cancelled) {
    std::unique_lock<std::mutex> lock(this->mutex);
    return this->WaitUntil(lock, deadline, cancelled,
                           [this] { return this->accepted || this->ended; });
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

  // Whether no further reply can arrive.
  bool Ended() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->ended;
  }

  bool HasResult() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->has_result;
  }

  rpc::Result TakeResult() { return std::move(this->result); }
  const grpc::Status& Status() const { return this->status; }

 protected:
  // Waits for the condition. Returns whether the request was cancelled before.
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
  bool body_requested = false;
  bool has_result = false;
  // Whether no further reply can arrive.
  bool ended = false;
  bool done = false;

 private:
  void Store(rpc::ForwardReply& received) {
    if (received.has_result()) {
      this->result = std::move(*received.mutable_result());
      this->has_result = true;
    }
    this->body_requested =
        this->body_requested || received.has_body_requested();
    this->accepted = true;
  }

  rpc::Result result;
  grpc::Status status;
};

// A call whose request is one message.
class ForwardReactor
    : public ReplyReceiver<grpc::ClientReadReactor<rpc::ForwardReply>> {
 public:
  ForwardReactor(rpc::Peer::Stub& stub, const rpc::ForwardRequest& request) {
    stub.async()->Forward(&this->context, &request, this);
    this->StartRead(&this->reply);
    this->StartCall();
  }
};

// A call whose request is a head and the parts of a body.
class UploadReactor
    : public ReplyReceiver<
          grpc::ClientBidiReactor<rpc::UploadPart, rpc::ForwardReply>> {
 public:
  UploadReactor(rpc::Peer::Stub& stub, const rpc::ForwardRequest& request) {
    *this->part.mutable_head() = request;
    stub.async()->ForwardUpload(&this->context, this);
    // The parts are written by another thread than those of gRPC, so the call
    // must not end before EndBody.
    this->AddHold();
    this->StartRead(&this->reply);
    this->StartWrite(&this->part);
    this->StartCall();
  }

  void OnWriteDone(bool ok) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->writing = false;
    this->ended = this->ended || !ok;
    this->changed.notify_all();
  }

  // Sends the body once the owner asks for it. Returns whether the request was
  // cancelled before; the call is cancelled if the body cannot be read, see
  // BodyFailed.
  bool SendBody(BodyStream& body,
                Clock::time_point deadline,
                const CancelCheck& cancelled) {
    bool stopped = false;
    {
      std::unique_lock<std::mutex> lock(this->mutex);
      stopped = this->WaitUntil(lock, deadline, cancelled, [this] {
        return this->body_requested || this->IsOver();
      });
    }
    bool sending = this->MaySend();
    while (sending && !stopped && Clock::now() < deadline) {
      const BodyPart next =
          ReadPart(body, std::min<Clock::time_point>(
                             deadline, Clock::now() + kCancelPollPeriod));
      if (next.kind == BodyPartKind::kFailed) {
        this->body_failed = true;
        this->context.TryCancel();
        break;
      }
      if (next.kind == BodyPartKind::kTimedOut) {
        stopped = cancelled();
        sending = this->MaySend();
        continue;
      }
      stopped = this->SendPart(next, deadline, cancelled);
      sending = next.kind == BodyPartKind::kBytes && this->MaySend();
    }
    this->RemoveHold();
    return stopped;
  }

  // Whether the call was cancelled because the body could not be read; valid
  // after SendBody.
  bool BodyFailed() const { return this->body_failed; }

 private:
  bool IsOver() const { return this->has_result || this->ended; }

  bool MaySend() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->body_requested && !this->IsOver();
  }

  // Sends a part and waits until gRPC has taken it, so that at most one part is
  // held. Returns whether the request was cancelled.
  bool SendPart(const BodyPart& next,
                Clock::time_point deadline,
                const CancelCheck& cancelled) {
    std::unique_lock<std::mutex> lock(this->mutex);
    const auto written = [this] { return !this->writing || this->IsOver(); };
    if (this->WaitUntil(lock, deadline, cancelled, written)) {
      return true;
    }
    if (this->writing || this->IsOver()) {
      return false;
    }
    this->part.Clear();
    this->part.set_body(next.bytes);
    this->part.set_last(next.kind == BodyPartKind::kEnd);
    this->writing = true;
    lock.unlock();
    this->StartWrite(&this->part);
    lock.lock();
    return this->WaitUntil(lock, deadline, cancelled, written);
  }

  rpc::UploadPart part;
  // Whether `part` is being written. The constructor writes the head.
  bool writing = true;
  bool body_failed = false;
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

namespace {

// Waits for the replies of a call that was started, and sends the body of an
// upload.
template <typename Reactor>
ForwardCallResult AwaitResult(const std::string& address,
                              Reactor& reactor,
                              BodyStream* body,
                              const ForwardLimits& limits) {
  ForwardCallResult call;
  // The accept time starts here, since the handshake of a new connection takes
  // additional round trips.
  const Clock::time_point sent_at = Clock::now();
  const Clock::time_point accept_deadline = sent_at + limits.accept_timeout;
  call.cancelled = reactor.WaitAccepted(
      std::min(limits.deadline, accept_deadline), limits.cancelled);
  call.accept_time = std::chrono::duration_cast<std::chrono::microseconds>(
      Clock::now() - sent_at);
  const bool accepted_in_time = reactor.Accepted();
  const bool ended_in_time = reactor.Ended();
  bool body_failed = false;
  if constexpr (std::is_same_v<Reactor, UploadReactor>) {
    const Clock::time_point body_deadline =
        accepted_in_time && !call.cancelled ? limits.deadline : sent_at;
    const bool cancelled_in_body =
        reactor.SendBody(*body, body_deadline, limits.cancelled);
    call.cancelled = call.cancelled || cancelled_in_body;
    body_failed = reactor.BodyFailed();
  }
  // The status of a call whose replies have ended shows why they ended.
  const Clock::time_point done_deadline =
      accepted_in_time ? limits.deadline + kReplyGrace
      : ended_in_time  ? Clock::now() + limits.accept_timeout
                       : Clock::now();
  const bool cancelled_later =
      reactor.WaitDone(done_deadline, limits.cancelled);
  call.cancelled = call.cancelled || cancelled_later;
  call.accepted = reactor.Accepted();
  if (reactor.HasResult()) {
    call.transport = TransportOutcome::kReplied;
    call.result = reactor.TakeResult();
    return call;
  }
  if (call.cancelled) {
    call.transport = TransportOutcome::kCancelled;
    call.error = CallError("forward to", address, kCancelledError);
    return call;
  }
  const PeerCallEnd end = PeerCallEndOf(reactor.Status(), false);
  if (end == PeerCallEnd::kUnreadable) {
    call.transport = TransportOutcome::kUnreadable;
    call.error = CallError("forward to", address,
                           DescribePeerError(end, reactor.Status()));
    return call;
  }
  if (!accepted_in_time) {
    call.transport = TransportOutcome::kNotAccepted;
    call.path_failed = ended_in_time || accept_deadline <= limits.deadline;
    call.error =
        CallError("forward to", address,
                  reactor.Status().error_code() == grpc::StatusCode::CANCELLED
                      ? "accept timeout"
                      : reactor.Status().error_message());
    return call;
  }
  const bool timed_out = Clock::now() >= limits.deadline;
  call.transport =
      timed_out ? TransportOutcome::kTimedOut : TransportOutcome::kFailed;
  call.path_failed = !timed_out && !body_failed;
  call.error = CallError("forward to", address,
                         timed_out ? "no result by the deadline"
                                   : reactor.Status().error_message());
  return call;
}

}  // namespace

ForwardCallResult ForwardOnce(PeerChannel& owner,
                              const rpc::ForwardRequest& request,
                              BodyStream* body,
                              const ForwardLimits& limits) {
  const Clock::time_point accept_deadline =
      Clock::now() + limits.accept_timeout;
  const Clock::time_point connect_deadline =
      std::min(limits.deadline, accept_deadline);
  // The call starts only when the connection is open. Without a connection, the
  // owner certainly did not receive the request.
  if (!WaitConnected(*owner.channel, connect_deadline, limits.cancelled)) {
    ForwardCallResult call;
    call.transport = TransportOutcome::kNotSent;
    call.cancelled = Clock::now() < connect_deadline;
    call.path_failed = !call.cancelled && accept_deadline <= limits.deadline;
    call.error =
        CallError("connect to", owner.address,
                  call.cancelled ? kCancelledError : "no connection in time");
    return call;
  }
  if (body != nullptr) {
    UploadReactor reactor(*owner.stub, request);
    return AwaitResult(owner.address, reactor, body, limits);
  }
  ForwardReactor reactor(*owner.stub, request);
  return AwaitResult(owner.address, reactor, nullptr, limits);
}

}  // namespace comfrey
