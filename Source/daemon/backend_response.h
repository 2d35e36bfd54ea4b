#ifndef DAEMON_BACKEND_RESPONSE_H_
#define DAEMON_BACKEND_RESPONSE_H_

#include <chrono>
#include <cstddef>
#include <string>

#include "core/http_message.h"
#include "daemon/http_wire.h"
#include "daemon/response_budget.h"

namespace comfrey {

/// \brief Limits of one response.
struct ResponseLimits {
  std::size_t body_bytes = 0;
  /// Whether the end of the connection may mark the end of a response without a
  /// length.
  bool close_delimited = false;
  /// Shared by all responses of the daemon; may be null.
  ResponseBudget* budget = nullptr;
};

/// \brief Result of reading one response.
struct ReceivedResponse {
  std::string error;  ///< Empty if the response is complete.
  bool timed_out = false;
  /// Whether the connection ended before the response did.
  bool ended_early = false;
  bool received_bytes = false;
  /// Whether the response, or the bytes that are none, may follow the response
  /// to an earlier request.
  bool undecidable = false;
  bool reusable = false;  ///< Whether the connection may be reused.
  /// Whether the end of the connection marked the end of the response.
  bool ended_with_connection = false;
  /// Whether the daemon had no memory left for the response.
  bool over_budget = false;
  HttpResponse response;
};

/// \brief Reads the response to a request with the given method. Interim
/// responses (1xx) are skipped.
ReceivedResponse ReadResponse(WireReader& reader,
                              const std::string& method,
                              const ResponseLimits& limits,
                              std::chrono::steady_clock::time_point deadline);

}  // namespace comfrey

#endif  // DAEMON_BACKEND_RESPONSE_H_
