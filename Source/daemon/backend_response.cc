#include "daemon/backend_response.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxResponseHead = 64 << 10;
// Largest number of interim responses (1xx) before the final response.
constexpr int kMaxInterimResponses = 16;

constexpr int kSwitchingProtocols = 101;
constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

// Returns the status of a line such as "HTTP/1.1 200 OK", or 0 if the line is
// malformed.
int ParseStatusLine(absl::string_view line) {
  constexpr std::size_t kVersionLength = 9;
  constexpr std::size_t kStatusLength = 3;
  if (!absl::StartsWith(line, "HTTP/1.1 ") &&
      !absl::StartsWith(line, "HTTP/1.0 ")) {
    return 0;
  }
  const absl::string_view digits = line.substr(kVersionLength, kStatusLength);
  const absl::string_view rest =
      line.substr(std::min(line.size(), kVersionLength + kStatusLength));
  int status = 0;
  if (digits.size() != kStatusLength ||
      digits.find_first_not_of("0123456789") != absl::string_view::npos ||
      !absl::SimpleAtoi(digits, &status) || status < 100 || status > 599 ||
      !(rest.empty() || rest.front() == ' ')) {
    return 0;
  }
  return status;
}

std::string DescribeError(WireError error, const ResponseLimits& limits) {
  switch (error) {
    case WireError::kNone:
      return "";
    case WireError::kReset:
      return "the connection was reset before the end of the response";
    case WireError::kClosed:
      return "the connection was closed before the end of the response";
    case WireError::kTimedOut:
      return "deadline exceeded";
    case WireError::kMalformed:
      return "the response is malformed";
    case WireError::kHeadTooLarge:
      return "the headers of the response are too large";
    case WireError::kBodyTooLarge:
      return absl::StrCat("the response is too large: its body exceeds ",
                          limits.body_bytes, " bytes");
    case WireError::kOverBudget:
      return "the daemon receives too many large responses at the same time";
  }
  return "";
}

ReceivedResponse Fail(ReceivedResponse received,
                      WireError error,
                      const ResponseLimits& limits) {
  received.error = DescribeError(error, limits);
  received.timed_out = error == WireError::kTimedOut;
  received.ended_early =
      error == WireError::kClosed || error == WireError::kReset;
  received.over_budget = error == WireError::kOverBudget;
  return received;
}

}  // namespace

ReceivedResponse ReadResponse(WireReader& reader,
                              const std::string& method,
                              const ResponseLimits& limits,
                              Clock::time_point deadline) {
  ReceivedResponse received;
  MessageHead head;
  int status = 0;
  for (int interim = 0; status < kOk; ++interim) {
    head = MessageHead{};
    const WireError error = ReadHead(reader, deadline, kMaxResponseHead, head);
    if (error != WireError::kNone) {
      received.received_bytes = interim > 0 || reader.HasBufferedBytes() ||
                                !head.start_line.empty() ||
                                error == WireError::kMalformed;
      received.undecidable =
          interim == 0 &&
          (error == WireError::kMalformed || error == WireError::kHeadTooLarge);
      return Fail(std::move(received), error, limits);
    }
    received.received_bytes = true;
    status = ParseStatusLine(head.start_line);
    if (status == 0 || status == kSwitchingProtocols ||
        interim >= kMaxInterimResponses) {
      received.undecidable = status == 0 && interim == 0;
      return Fail(std::move(received), WireError::kMalformed, limits);
    }
  }
  BodyFraming framing;
  received.error = DetermineFraming(head.headers, framing);
  if (!received.error.empty()) {
    return received;
  }
  if (framing.chunked && !absl::StartsWith(head.start_line, "HTTP/1.1")) {
    received.error = "the response is chunked, but its version is HTTP/1.0";
    return received;
  }
  const bool without_body =
      method == "HEAD" || status == kNoContent || status == kNotModified;
  if (!without_body) {
    // Without a length and without chunks, the response ends when the
    // connection closes, so a truncated response looks like a complete one.
    const bool ends_with_connection = !framing.chunked && !framing.has_length;
    if (ends_with_connection && !limits.close_delimited) {
      received.error = "the response has no length and is not chunked";
      return received;
    }
    ResponseReservation reservation(limits.budget);
    BodyBuffer body;
    body.max_bytes = limits.body_bytes;
    body.reservation = &reservation;
    const WireError error = ends_with_connection
                                ? reader.ReadUntilClose(deadline, body)
                                : ReadBody(reader, deadline, framing, body);
    received.response.body = std::move(body.bytes);
    received.ended_with_connection = ends_with_connection;
    if (error != WireError::kNone) {
      return Fail(std::move(received), error, limits);
    }
  }
  received.response.status = status;
  received.response.headers = std::move(head.headers);
  // Bytes that follow the response belong to no request, so the connection is
  // not reused.
  received.reusable =
      absl::StartsWith(head.start_line, "HTTP/1.1") &&
      !HasConnectionOption(received.response.headers, "close") &&
      !reader.HasBufferedBytes();
  return received;
}

}  // namespace comfrey
