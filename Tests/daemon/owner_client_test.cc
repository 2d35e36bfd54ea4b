#include "daemon/owner_client.h"

#include <grpcpp/generic/async_generic_service.h>
#include <grpcpp/grpcpp.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "daemon/raw_socket.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds kTrialTimeout{300};
constexpr int kOwners = 8;

// Accepts a connection and sends nothing until it is closed.
void StaySilent(RawSocket& socket, int /*connection*/) {
  bool closed = false;
  socket.Receive([](const std::string&) { return false; },
                 std::chrono::seconds(5), closed);
}

// Guards against owners that stay out of use because the trials of other
// suspect paths come first and each waits for its timeout.
TEST_CASE("the trials of suspect paths do not wait for each other",
          "[owner_client]") {
  const RawServer first("127.9.6.1", StaySilent);
  std::vector<std::string> ips = {"127.9.6.1"};
  for (int i = 2; i <= kOwners; ++i) {
    ips.push_back("127.9.6." + std::to_string(i));
  }
  ChannelPool channels(16);
  OwnerClient owners(channels, first.Port());
  const Clock::time_point begin = Clock::now();
  const std::vector<std::optional<Clock::time_point>> replied_at =
      owners.RefreshStamps(ips, begin + kTrialTimeout, [] { return false; });
  const auto took =
      std::chrono::duration_cast<milliseconds>(Clock::now() - begin);
  CHECK(replied_at ==
        std::vector<std::optional<Clock::time_point>>(ips.size()));
  CHECK(took < 2 * kTrialTimeout);
}

constexpr char kOwnerIp[] = "127.9.6.20";
constexpr milliseconds kCallTime{1000};

// Sends the same bytes as the reply to each call.
class ReplyWithBytes : public grpc::ServerGenericBidiReactor {
 public:
  explicit ReplyWithBytes(const std::string& bytes) {
    const grpc::Slice slice(bytes);
    this->reply = grpc::ByteBuffer(&slice, 1);
    this->StartRead(&this->request);
  }

  void OnReadDone(bool ok) override {
    if (ok) {
      this->StartWriteAndFinish(&this->reply, {}, grpc::Status::OK);
    } else {
      this->Finish(grpc::Status::CANCELLED);
    }
  }

  void OnDone() override { delete this; }

 private:
  grpc::ByteBuffer request;
  grpc::ByteBuffer reply;
};

// An owner whose reply to each call is the same bytes.
class RawOwner : public grpc::CallbackGenericService {
 public:
  explicit RawOwner(std::string reply) : reply(std::move(reply)) {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(std::string(kOwnerIp) + ":0",
                             grpc::InsecureServerCredentials(), &this->port);
    builder.RegisterCallbackGenericService(this);
    this->server = builder.BuildAndStart();
  }
  ~RawOwner() override {
    this->server->Shutdown(std::chrono::system_clock::now());
  }

  grpc::ServerGenericBidiReactor* CreateReactor(
      grpc::GenericCallbackServerContext*) override {
    return new ReplyWithBytes(this->reply);
  }

  int port = 0;

 private:
  std::string reply;
  std::unique_ptr<grpc::Server> server;
};

// Returns a reply whose first fields can be read, and whose last one ends
// early.
template <typename Message>
std::string CutReply(const Message& message) {
  // The tag of field 15 with a length of 100 bytes, of which one follows.
  return message.SerializeAsString() + "\x7a\x64x";
}

// Guards against a part of a reply that is taken for the whole, for example a
// stored response without its body that reaches a caller as a success.
TEST_CASE("a reply that ends early is not used", "[owner_client]") {
  const auto never = [] { return false; };
  ChannelPool channels(4);
  {
    rpc::FenceReply done;
    done.set_state(rpc::FENCE_DONE);
    done.mutable_answer()->set_status(200);
    const RawOwner owner(CutReply(done));
    OwnerClient owners(channels, owner.port);
    const rpc::FenceReply reply =
        owners.FenceAttempt(kOwnerIp, {}, Clock::now() + kCallTime, never);
    CHECK(rpc::FenceState_Name(reply.state()) == "FENCE_UNKNOWN");
    CHECK_FALSE(reply.has_answer());
    FenceKeyCall fence;
    fence.endpoint = std::string(kOwnerIp) + ":1";
    fence.deadline = Clock::now() + kCallTime;
    CHECK(owners.FenceKey(fence).state == KeyFenceState::kUndecidable);
  }
  rpc::OwnerStamp stamp;
  stamp.set_incarnation(7);
  const RawOwner owner(CutReply(stamp));
  OwnerClient owners(channels, owner.port);
  CHECK(
      owners.RefreshStamp(kOwnerIp, Clock::now() + kCallTime, kCallTime, never)
          .end == PeerCallEnd::kUnreadable);
  CHECK_FALSE(
      owners.RefreshStamps({kOwnerIp}, Clock::now() + kCallTime, never)[0]);
  CHECK_FALSE(owners.StampOf(kOwnerIp));
}

// Guards against an owner that counts as unreachable because one message could
// not be read.
TEST_CASE("a message that cannot be read leaves the connection in use",
          "[owner_client]") {
  ChannelPool channels(4);
  const RawOwner owner("\x7a\x64x");
  OwnerClient owners(channels, owner.port);
  const std::string address = kOwnerIp + (":" + std::to_string(owner.port));
  const std::shared_ptr<PeerChannel> channel = channels.Get(address);
  const ForwardCallResult call = owners.Forward(
      kOwnerIp, {}, nullptr, {Clock::now() + kCallTime, kCallTime});
  CHECK(call.transport == TransportOutcome::kUnreadable);
  CHECK(owners
            .QueryLoad(kOwnerIp, {}, Clock::now() + kCallTime, kCallTime,
                       [] { return false; })
            .end == PeerCallEnd::kUnreadable);
  CHECK(channels.Get(address) == channel);
}

// Guards against a path that counts as failed because the requests on it have
// less time than a peer, and against one that never fails for that reason.
TEST_CASE("only a call that lasts its time shows that a path failed",
          "[owner_client]") {
  constexpr milliseconds kShort{50};
  constexpr milliseconds kLong{300};
  const auto never = [] { return false; };
  const RawServer silent(kOwnerIp, StaySilent);
  const std::string address = kOwnerIp + (":" + std::to_string(silent.Port()));
  for (const bool request_ends_first : {true, false}) {
    INFO(request_ends_first);
    const milliseconds left = request_ends_first ? kShort : kLong;
    const milliseconds timeout = request_ends_first ? kLong : kShort;
    const PeerCallEnd end =
        request_ends_first ? PeerCallEnd::kExpired : PeerCallEnd::kFailed;
    ChannelPool channels(4);
    OwnerClient owners(channels, silent.Port());
    const std::shared_ptr<PeerChannel> channel = channels.Get(address);
    CHECK(owners.RefreshStamp(kOwnerIp, Clock::now() + left, timeout, never)
              .end == end);
    CHECK((channels.Get(address) == channel) == request_ends_first);
    const std::shared_ptr<PeerChannel> next = channels.Get(address);
    const ForwardCallResult call = owners.Forward(
        kOwnerIp, {}, nullptr, {Clock::now() + left, timeout, never});
    CHECK(call.path_failed == !request_ends_first);
    CHECK((channels.Get(address) == next) == request_ends_first);
  }
}

}  // namespace
}  // namespace comfrey
