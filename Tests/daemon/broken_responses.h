#ifndef TESTS_DAEMON_BROKEN_RESPONSES_H_
#define TESTS_DAEMON_BROKEN_RESPONSES_H_

#include <string>
#include <vector>

#include "daemon/raw_socket.h"

namespace comfrey {

/// \brief A response that no reader may use.
struct BrokenResponse {
  std::string name;
  std::string bytes;
  /// Whether the connection is reset after the bytes; otherwise it is closed.
  bool reset = false;
};

/// \brief Returns the ways in which a response with this body can be broken:
/// its status, a field name, its framing, an interim response, a trailer, or a
/// cut. `fields` are header lines that each of them has.
std::vector<BrokenResponse> MakeBrokenResponses(const std::string& fields,
                                                const std::string& body);

/// \brief Returns a sound response with the body, framed by its length.
std::string MakeSoundResponse(const std::string& fields,
                              const std::string& body);

/// \brief Receives the head of a request, sends the response and ends the
/// connection.
void SendBroken(RawSocket& socket, const BrokenResponse& response);

}  // namespace comfrey

#endif  // TESTS_DAEMON_BROKEN_RESPONSES_H_
