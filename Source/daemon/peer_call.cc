#include "daemon/peer_call.h"

#include "absl/strings/str_cat.h"

namespace comfrey {

// Only a status that came over a working connection, or that this end set while
// it read a message, says that a message is at fault. It says nothing about the
// path, which other requests use. gRPC reports a message that a server cannot
// parse as unimplemented or internal, and one that is too large as exhausted.
PeerCallEnd PeerCallEndOf(const grpc::Status& status, bool reply_read) {
  switch (status.error_code()) {
    case grpc::StatusCode::OK:
      return reply_read ? PeerCallEnd::kReplied : PeerCallEnd::kUnreadable;
    case grpc::StatusCode::INVALID_ARGUMENT:
    case grpc::StatusCode::RESOURCE_EXHAUSTED:
    case grpc::StatusCode::UNIMPLEMENTED:
    case grpc::StatusCode::INTERNAL:
      return PeerCallEnd::kUnreadable;
    default:
      return PeerCallEnd::kFailed;
  }
}

std::string DescribePeerError(PeerCallEnd end, const grpc::Status& status) {
  if (end == PeerCallEnd::kFailed) {
    return status.error_message();
  }
  return status.ok() ? "the reply cannot be read"
                     : absl::StrCat("the message was not read: ",
                                    status.error_message());
}

}  // namespace comfrey
