#ifndef DAEMON_MESSAGE_CONVERSION_H_
#define DAEMON_MESSAGE_CONVERSION_H_

#include "core/attempt_id.h"
#include "core/http_message.h"
#include "peer.pb.h"

namespace comfrey {

/// \brief Conversions between core types and the messages of peer.proto.
void ToProto(const AttemptId& id, rpc::AttemptId& message);
AttemptId FromProto(const rpc::AttemptId& message);

void ToProto(const HttpResponse& response, rpc::Answer& message);
HttpResponse FromProto(const rpc::Answer& message);

/// \brief Returns the HTTP request that a Forward call carries.
HttpRequest RequestFromProto(const rpc::ForwardRequest& message);

/// \brief Fills method, path, headers and body of a Forward call.
void RequestToProto(const HttpRequest& request, rpc::ForwardRequest& message);

}  // namespace comfrey

#endif  // DAEMON_MESSAGE_CONVERSION_H_
