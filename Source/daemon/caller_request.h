#ifndef DAEMON_CALLER_REQUEST_H_
#define DAEMON_CALLER_REQUEST_H_

#include <optional>
#include <string>
#include <vector>

#include "config/team_config.h"
#include "core/http_message.h"
#include "daemon/http_wire.h"
#include "daemon/ingress_reply.h"

namespace comfrey {

/// \brief One request of a caller as it is read from its connection.
struct CallerRequest {
  HttpRequest request;
  /// Reply to a request that is rejected before the handler; the connection is
  /// closed after it.
  std::optional<IngressReply> refusal;
  /// Whether the connection must be closed after the reply.
  bool close = false;
  /// The caller reset the connection, or closed it before a request began; no
  /// reply is sent.
  bool disconnected = false;
  int socket = -1;
  CallerLimits limits;
  /// The part of the body that is not read yet, if the request has a stream.
  std::optional<BodyProgress> unread;
  /// Why the stream of the body failed.
  WireError stream_error = WireError::kNone;
  /// Whether the caller waits for 100 Continue before it sends the body.
  bool expects_continue = false;
};

/// \brief Whether bytes of the request follow on the connection, so that no
/// other request can be read from it.
inline bool HasUnreadBody(const CallerRequest& caller) {
  return caller.unread && !caller.unread->ended;
}

/// \brief Reads one request from the connection `caller.socket`, within
/// `caller.limits`.
///
/// A body of more than 64 KiB becomes a stream, which reads from `reader` and
/// changes `caller`; both must outlive the handling of the request. The body of
/// a request with an idempotency key is always held.
void ReadCallerRequest(WireReader& reader, CallerRequest& caller);

/// \brief Parses the request line and checks the headers. Sets `close` if the
/// connection must be closed after the reply. Returns a refusal if the request
/// is malformed or not supported.
std::optional<IngressReply> ParseRequestHead(const MessageHead& head,
                                             HttpRequest& request,
                                             bool& close);

/// \brief Removes the hop-by-hop headers, including those that the Connection
/// header names, and the headers that are set again when the message is sent
/// on.
void RemoveConnectionHeaders(std::vector<HttpHeader>& headers);

/// \brief Makes the reply to a request that does not run.
IngressReply MakeRefusal(int status, const std::string& text);

}  // namespace comfrey

#endif  // DAEMON_CALLER_REQUEST_H_
