#ifndef DAEMON_PEER_CALL_H_
#define DAEMON_PEER_CALL_H_

#include <grpcpp/generic/generic_stub.h>
#include <grpcpp/grpcpp.h>

#include <functional>
#include <string>
#include <utility>

#include "daemon/channel_pool.h"
#include "peer.pb.h"

namespace comfrey {

/// \brief How a call to a peer ended.
enum class PeerCallEnd {
  kReplied,     ///< The whole reply was read.
  kUnreadable,  ///< One end could not read the message of the other.
  /// The deadline of the request came before the end of the time that the peer
  /// has to reply. This says nothing about the peer or the path.
  kExpired,
  kFailed,  ///< The peer or the path to it failed.
};

/// \brief Classifies the end of a call. `reply_read` is whether a whole reply
/// was read.
PeerCallEnd PeerCallEndOf(const grpc::Status& status, bool reply_read);

/// \brief Describes the error of a call that did not end with a reply.
std::string DescribePeerError(PeerCallEnd end, const grpc::Status& status);

/// \brief A reply of a peer. If it could not be read completely, `message`
/// holds a part of it and must not be used.
template <typename Message>
struct PeerReply {
  Message message;
  bool complete = false;
};

/// \brief Name and reply type of the unary method with the given request.
template <typename Request>
struct PeerMethod;

template <>
struct PeerMethod<rpc::StampRequest> {
  using Reply = rpc::OwnerStamp;
  static constexpr char kPath[] = "/comfrey.rpc.Peer/GetStamp";
};

template <>
struct PeerMethod<rpc::LoadRequest> {
  using Reply = rpc::LoadReply;
  static constexpr char kPath[] = "/comfrey.rpc.Peer/GetLoad";
};

template <>
struct PeerMethod<rpc::FenceAttemptRequest> {
  using Reply = rpc::FenceReply;
  static constexpr char kPath[] = "/comfrey.rpc.Peer/FenceAttempt";
};

template <>
struct PeerMethod<rpc::FenceKeyRequest> {
  using Reply = rpc::FenceReply;
  static constexpr char kPath[] = "/comfrey.rpc.Peer/FenceKey";
};

template <>
struct PeerMethod<rpc::PingRequest> {
  using Reply = rpc::PingReply;
  static constexpr char kPath[] = "/comfrey.rpc.Peer/Ping";
};

template <>
struct PeerMethod<rpc::PingThroughRequest> {
  using Reply = rpc::PingThroughReply;
  static constexpr char kPath[] = "/comfrey.rpc.Peer/PingThrough";
};

template <>
struct PeerMethod<rpc::ExchangeRequest> {
  using Reply = rpc::ExchangeReply;
  static constexpr char kPath[] = "/comfrey.rpc.Peer/Exchange";
};

template <>
struct PeerMethod<rpc::PushRequest> {
  using Reply = rpc::PushReply;
  static constexpr char kPath[] = "/comfrey.rpc.Peer/Push";
};

template <typename Request>
using PeerReplyTo = PeerReply<typename PeerMethod<Request>::Reply>;

/// \brief Starts a unary call. All arguments must exist until `done` is called,
/// on a thread of gRPC.
///
/// The callback interface of gRPC reports a call as successful even if its
/// reply could not be parsed, so the calls of daemons are made with this
/// function and not with the generated stub.
template <typename Request>
void StartPeerCall(const PeerChannel& peer,
                   grpc::ClientContext& context,
                   const Request& request,
                   PeerReplyTo<Request>& reply,
                   std::function<void(PeerCallEnd, const grpc::Status&)> done) {
  grpc::TemplatedGenericStub<Request, PeerReplyTo<Request>> stub(peer.channel);
  stub.UnaryCall(&context, PeerMethod<Request>::kPath, grpc::StubOptions(),
                 &request, &reply,
                 [&reply, done = std::move(done)](const grpc::Status& status) {
                   done(PeerCallEndOf(status, reply.complete), status);
                 });
}

}  // namespace comfrey

namespace grpc {

/// \brief Lets gRPC read a PeerReply.
template <typename Message>
class SerializationTraits<comfrey::PeerReply<Message>, void> {
 public:
  static Status Deserialize(ByteBuffer* buffer,
                            comfrey::PeerReply<Message>* reply) {
    const Status status =
        SerializationTraits<Message>::Deserialize(buffer, &reply->message);
    reply->complete = status.ok();
    return status;
  }
};

}  // namespace grpc

#endif  // DAEMON_PEER_CALL_H_
