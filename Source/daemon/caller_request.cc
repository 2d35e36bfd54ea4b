#include "daemon/caller_request.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

// Limit for the whole body, as CallerLimits::header_timeout is for the whole
// head. A limit for each read would let a caller that sends single bytes at
// intervals hold a connection indefinitely. A stream has the deadline of its
// request instead.
constexpr std::chrono::seconds kBodyTimeout{10};
constexpr std::chrono::seconds kContinueTimeout{5};
// A larger body is read while it is sent on.
constexpr std::size_t kMaxHeldBodyBytes = 64 << 10;
// The record of an idempotency key has a hash of the whole body, so the body of
// a request with a key is held, and forwarded in one message.
constexpr std::size_t kMaxKeyedBodyBytes = 3 << 20;
constexpr std::size_t kBodyPartBytes = 32 << 10;
constexpr char kKeyHeader[] = "Idempotency-Key";
// Longest request target: the longest request line that the library accepts,
// less the other parts of the line.
constexpr std::size_t kMaxTarget = 8000;

constexpr int kBadRequest = 400;
constexpr int kRequestTimeout = 408;
constexpr int kContentTooLarge = 413;
constexpr int kTargetTooLong = 414;
constexpr int kUnsupportedMediaType = 415;
constexpr int kExpectationFailed = 417;
constexpr int kHeaderTooLarge = 431;
constexpr int kNotImplemented = 501;

constexpr std::array<absl::string_view, 7> kMethods = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

void SendContinue(CallerRequest& caller) {
  if (!caller.expects_continue) {
    return;
  }
  caller.expects_continue = false;
  std::size_t sent = 0;
  WriteAll(caller.socket, Clock::now() + kContinueTimeout,
           "HTTP/1.1 100 Continue\r\n\r\n", sent);
}

IngressReply MakeReadRefusal(WireError error, const CallerLimits& limits) {
  switch (error) {
    case WireError::kTimedOut:
      return MakeRefusal(kRequestTimeout, "the request did not arrive in time");
    case WireError::kHeadTooLarge:
      return MakeRefusal(
          kHeaderTooLarge,
          absl::StrCat("the headers exceed ", limits.header_bytes, " bytes"));
    case WireError::kBodyTooLarge:
      return MakeRefusal(
          kContentTooLarge,
          absl::StrCat("the body exceeds ", limits.body_bytes, " bytes"));
    case WireError::kClosed:
    case WireError::kReset:
      return MakeRefusal(kBadRequest, "the request ended early");
    case WireError::kNone:
    case WireError::kMalformed:
    case WireError::kOverBudget:
      break;
  }
  return MakeRefusal(kBadRequest, "the request is malformed");
}

// Converts the target "http://host/path" to "/path" and sets the Host header to
// "host" (RFC 9112, section 3.2.2).
void ConvertAbsoluteForm(HttpRequest& request) {
  constexpr absl::string_view kScheme = "http://";
  if (!absl::StartsWithIgnoreCase(request.target, kScheme)) {
    return;
  }
  const std::string rest = request.target.substr(kScheme.size());
  const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
  for (HttpHeader& header : request.headers) {
    if (absl::EqualsIgnoreCase(header.name, "Host")) {
      header.value = rest.substr(0, end);
    }
  }
  request.target = rest.substr(end);
  if (request.target.empty() || request.target.front() != '/') {
    request.target.insert(0, "/");
  }
}

// Reads the body until it ends or has more than `max_bytes`.
WireError HoldBody(WireReader& reader,
                   std::size_t max_bytes,
                   CallerRequest& caller) {
  SendContinue(caller);
  const Clock::time_point deadline = Clock::now() + kBodyTimeout;
  BodyBuffer body;
  body.max_bytes = caller.limits.body_bytes;
  WireError error = WireError::kNone;
  while (error == WireError::kNone && !caller.unread->ended &&
         body.bytes.size() <= max_bytes) {
    error =
        ReadBodyPart(reader, deadline, kBodyPartBytes, *caller.unread, body);
  }
  caller.request.body = std::move(body.bytes);
  return error;
}

// Reads the bytes that have arrived, up to kBodyPartBytes, and waits for the
// first of them.
BodyPart ReadStream(WireReader& reader,
                    Clock::time_point deadline,
                    CallerRequest& caller) {
  SendContinue(caller);
  BodyBuffer body;
  body.max_bytes = kBodyPartBytes;
  WireError error = WireError::kNone;
  do {
    error = ReadBodyPart(reader, deadline, kBodyPartBytes - body.bytes.size(),
                         *caller.unread, body);
  } while (error == WireError::kNone && !caller.unread->ended &&
           body.bytes.size() < kBodyPartBytes &&
           (reader.HasBufferedBytes() ||
            WaitForSocket(caller.socket, POLLIN, Clock::now())));
  BodyPart part;
  part.bytes = std::move(body.bytes);
  if (caller.unread->ended) {
    part.kind = BodyPartKind::kEnd;
  } else if (error == WireError::kNone ||
             (error == WireError::kTimedOut && !part.bytes.empty())) {
    part.kind = BodyPartKind::kBytes;
  } else if (error == WireError::kTimedOut) {
    part.kind = BodyPartKind::kTimedOut;
  } else {
    caller.stream_error = error;
  }
  return part;
}

// Lets the request be forwarded while the rest of its body is read. The bytes
// that were read before become the first part.
void AttachStream(WireReader& reader,
                  std::optional<std::size_t> length,
                  CallerRequest& caller) {
  auto stream = std::make_shared<BodyStream>();
  stream->length = length;
  auto held = std::make_shared<std::string>();
  std::swap(*held, caller.request.body);
  stream->read = [&reader, &caller, held](Clock::time_point deadline) {
    if (!held->empty()) {
      BodyPart first{BodyPartKind::kBytes, {}};
      std::swap(first.bytes, *held);
      return first;
    }
    return ReadStream(reader, deadline, caller);
  };
  caller.request.stream = std::move(stream);
}

}  // namespace

IngressReply MakeRefusal(int status, const std::string& text) {
  return MakeLocalReply(CallerOutcome::kNotRun, status, text);
}

std::optional<IngressReply> ParseRequestHead(const MessageHead& head,
                                             HttpRequest& request,
                                             bool& close) {
  const std::vector<std::string> parts = absl::StrSplit(head.start_line, ' ');
  if (parts.size() != 3 || !IsToken(parts[0]) || !IsValidTarget(parts[1]) ||
      (parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0")) {
    return MakeRefusal(kBadRequest, "the request line is malformed");
  }
  const bool old_version = parts[2] == "HTTP/1.0";
  close = old_version || HasConnectionOption(head.headers, "close");
  request.method = parts[0];
  request.target = parts[1];
  if (request.target.size() > kMaxTarget) {
    return MakeRefusal(kTargetTooLong, absl::StrCat("the target exceeds ",
                                                    kMaxTarget, " bytes"));
  }
  if (std::find(kMethods.begin(), kMethods.end(), request.method) ==
      kMethods.end()) {
    return MakeRefusal(kNotImplemented, "the method is not supported");
  }
  const auto hosts = std::count_if(
      head.headers.begin(), head.headers.end(), [](const HttpHeader& header) {
        return absl::EqualsIgnoreCase(header.name, "Host");
      });
  if (hosts > 1 || (hosts == 0 && !old_version)) {
    return MakeRefusal(kBadRequest, "the header Host is missing or repeated");
  }
  if (old_version && !FindHeader(head.headers, "Transfer-Encoding").empty()) {
    return MakeRefusal(kBadRequest, "HTTP/1.0 has no transfer encodings");
  }
  if (!FindHeader(head.headers, "Content-Encoding").empty()) {
    return MakeRefusal(kUnsupportedMediaType,
                       "encoded request bodies are not supported");
  }
  const absl::string_view expect = FindHeader(head.headers, "Expect");
  if (!expect.empty() && !absl::EqualsIgnoreCase(expect, "100-continue")) {
    return MakeRefusal(kExpectationFailed,
                       "the only supported expectation is 100-continue");
  }
  request.headers = head.headers;
  ConvertAbsoluteForm(request);
  if (request.target.front() != '/' &&
      !(request.method == "OPTIONS" && request.target == "*")) {
    return MakeRefusal(kBadRequest, "the target is not a path");
  }
  return std::nullopt;
}

void RemoveConnectionHeaders(std::vector<HttpHeader>& headers) {
  const std::vector<HttpHeader> all = headers;
  const auto removed = [&all](const HttpHeader& header) {
    return IsHopByHopHeader(header.name) ||
           absl::EqualsIgnoreCase(header.name, "Content-Length") ||
           absl::EqualsIgnoreCase(header.name, "Expect") ||
           HasConnectionOption(all, header.name);
  };
  headers.erase(std::remove_if(headers.begin(), headers.end(), removed),
                headers.end());
}

void ReadCallerRequest(WireReader& reader, CallerRequest& caller) {
  MessageHead head;
  CallerLimits& limits = caller.limits;
  WireError error = ReadHead(reader, Clock::now() + limits.header_timeout,
                             limits.header_bytes, head);
  if (error != WireError::kNone) {
    caller.disconnected =
        error == WireError::kReset ||
        (error == WireError::kClosed && head.start_line.empty() &&
         !reader.HasBufferedBytes());
    caller.refusal = MakeReadRefusal(error, limits);
    return;
  }
  caller.refusal = ParseRequestHead(head, caller.request, caller.close);
  if (caller.refusal) {
    return;
  }
  BodyFraming framing;
  const std::string ambiguous = DetermineFraming(head.headers, framing);
  if (!ambiguous.empty()) {
    caller.refusal = MakeRefusal(kBadRequest, ambiguous);
    return;
  }
  const bool keyed =
      limits.idempotency_keys && !FindHeader(head.headers, kKeyHeader).empty();
  if (keyed) {
    limits.body_bytes = std::min(limits.body_bytes, kMaxKeyedBodyBytes);
  }
  if (framing.length > limits.body_bytes) {
    caller.refusal = MakeReadRefusal(WireError::kBodyTooLarge, limits);
    return;
  }
  const bool has_body = framing.chunked || framing.length > 0;
  caller.expects_continue = has_body && !reader.HasBufferedBytes() &&
                            !FindHeader(head.headers, "Expect").empty();
  RemoveConnectionHeaders(caller.request.headers);
  caller.unread.emplace(framing, limits.body_bytes);
  if (!keyed && framing.length > kMaxHeldBodyBytes) {
    AttachStream(reader, framing.length, caller);
    return;
  }
  error =
      HoldBody(reader, keyed ? limits.body_bytes : kMaxHeldBodyBytes, caller);
  if (error != WireError::kNone) {
    caller.refusal = MakeReadRefusal(error, limits);
  } else if (HasUnreadBody(caller)) {
    AttachStream(reader, std::nullopt, caller);
  }
}

}  // namespace comfrey
