#ifndef DAEMON_PEER_MESSAGE_CONVERSION_H_
#define DAEMON_PEER_MESSAGE_CONVERSION_H_

#include "core/peer_message.h"
#include "peer.pb.h"

namespace comfrey {

/// \brief Convert between the messages of core/peer_message.h and those of
/// peer.proto.
void ToProto(const EndpointStatus& status, rpc::EndpointStatus& message);
EndpointStatus FromProto(const rpc::EndpointStatus& message);

void ToProto(const PingRequest& request, rpc::PingRequest& message);
PingRequest FromProto(const rpc::PingRequest& message);

void ToProto(const PingReply& reply, rpc::PingReply& message);
PingReply FromProto(const rpc::PingReply& message);

void ToProto(const PingThroughRequest& request,
             rpc::PingThroughRequest& message);
PingThroughRequest FromProto(const rpc::PingThroughRequest& message);

void ToProto(const PingThroughReply& reply, rpc::PingThroughReply& message);
PingThroughReply FromProto(const rpc::PingThroughReply& message);

void ToProto(const ExchangeRequest& request, rpc::ExchangeRequest& message);
ExchangeRequest FromProto(const rpc::ExchangeRequest& message);

void ToProto(const ExchangeReply& reply, rpc::ExchangeReply& message);
ExchangeReply FromProto(const rpc::ExchangeReply& message);

void ToProto(const PushRequest& request, rpc::PushRequest& message);
PushRequest FromProto(const rpc::PushRequest& message);

void ToProto(const PushReply& reply, rpc::PushReply& message);
PushReply FromProto(const rpc::PushReply& message);

}  // namespace comfrey

#endif  // DAEMON_PEER_MESSAGE_CONVERSION_H_
