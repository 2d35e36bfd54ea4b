#include "daemon/backend_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "daemon/backend_response.h"
#include "daemon/http_wire.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kConnectTimeout{250};
// The memory limit of a daemon is 32 MB, and a larger response would take a
// large part of it.
constexpr std::size_t kMaxResponseBody = 8 << 20;
constexpr std::size_t kMaxProbeBody = 64 << 10;

// The reuse of a connection stops this long before the idle timeout of the
// backend server. A request that is sent later may reach a closed connection
// and be lost.
constexpr std::chrono::milliseconds kIdleMargin{1000};
constexpr std::chrono::seconds kDefaultIdleTimeout{5};
constexpr std::chrono::seconds kMaxIdleTimeout{60};
// How often a request that cannot be sent on at once checks whether the backend
// server has answered it already.
constexpr std::chrono::milliseconds kSendPollPeriod{50};
// Largest part of a response that is received before its request is sent.
constexpr std::size_t kMaxEarlyBytes = 16 << 10;
// Largest number of responses to other attempts that are skipped before the
// response to the current request.
constexpr int kMaxSkippedResponses = 3;

bool IsForwarded(const std::string& name, const HeaderNames& names) {
  return !IsHopByHopHeader(name) &&
         !absl::EqualsIgnoreCase(name, "Content-Length") &&
         !absl::EqualsIgnoreCase(name, "Expect") &&
         !absl::EqualsIgnoreCase(name, names.time_left);
}

// Returns why the backend server could parse the request as a different one, or
// "" if it cannot.
std::string ValidateRequest(const HttpRequest& request) {
  if (!IsToken(request.method)) {
    return "the method is not a token";
  }
  if (!IsValidTarget(request.target)) {
    return "the target contains a space or a control character";
  }
  for (const HttpHeader& header : request.headers) {
    if (!IsValidHeader(header)) {
      return "a header contains a control character";
    }
  }
  return "";
}

std::string BuildRequest(const BackendCall& call,
                         const std::string& peer,
                         const HeaderNames& names,
                         Clock::time_point now) {
  const HttpRequest& request = *call.request;
  std::string text =
      absl::StrCat(request.method, " ", request.target, " HTTP/1.1\r\n");
  if (FindHeader(request.headers, "Host").empty()) {
    absl::StrAppend(&text, "Host: ", peer, "\r\n");
  }
  for (const HttpHeader& header : request.headers) {
    if (IsForwarded(header.name, names)) {
      absl::StrAppend(&text, header.name, ": ", header.value, "\r\n");
    }
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.deadline - now);
  absl::StrAppend(&text, names.time_left, ": ", left.count(), "\r\n");
  if (request.stream && !request.stream->length) {
    absl::StrAppend(&text, "Transfer-Encoding: chunked\r\n");
  } else if (HasBody(request) ||
             (request.method != "GET" && request.method != "HEAD")) {
    absl::StrAppend(
        &text, "Content-Length: ",
        request.stream ? *request.stream->length : request.body.size(), "\r\n");
  }
  absl::StrAppend(&text, "\r\n", request.body);
  return text;
}

// Frames one part of a body that is sent in chunks.
std::string MakeChunk(const BodyPart& part) {
  std::string chunk;
  if (!part.bytes.empty()) {
    chunk =
        absl::StrCat(absl::Hex(part.bytes.size()), "\r\n", part.bytes, "\r\n");
  }
  if (part.kind == BodyPartKind::kEnd) {
    absl::StrAppend(&chunk, "0\r\n\r\n");
  }
  return chunk;
}

// Returns what was received after the interim responses (1xx), which say
// nothing about the request.
absl::string_view SkipInterimResponses(absl::string_view received) {
  constexpr absl::string_view kInterim = "HTTP/1.1 1";
  constexpr absl::string_view kHeadEnd = "\r\n\r\n";
  while (absl::StartsWith(received, kInterim)) {
    const std::size_t end = received.find(kHeadEnd);
    if (end == absl::string_view::npos) {
      return "";
    }
    received.remove_prefix(end + kHeadEnd.size());
  }
  return absl::StartsWith(kInterim, received) ? "" : received;
}

// Whether a response has arrived, or the connection has ended.
bool HasArrivedResponse(WireReader& reader) {
  return reader.FillAvailable(kMaxEarlyBytes) != WireError::kNone ||
         reader.Buffered().size() >= kMaxEarlyBytes ||
         !SkipInterimResponses(reader.Buffered()).empty();
}

// How the sending of a request ended.
enum class SendEnd {
  kSent,
  // The backend server does not take the request and has sent bytes or closed
  // the connection.
  kInterrupted,
  kFailed,          // The deadline passed, or the call was cancelled.
  kBodyIncomplete,  // The caller did not send the whole body in time.
};

// A request that is being sent over a connection.
struct Sending {
  HttpConnection& connection;
  Clock::time_point deadline;
  // Whether a response that arrives before the end of the request can be
  // attributed to it.
  bool attributable = false;
  std::size_t sent = 0;
};

// Sends bytes. A backend server may answer before it reads the whole request;
// as long as it takes bytes, it gets them, and otherwise its response is read.
SendEnd SendBytes(Sending& sending, absl::string_view bytes) {
  for (;;) {
    std::size_t count = 0;
    const Clock::time_point poll = std::min<Clock::time_point>(
        sending.deadline, Clock::now() + kSendPollPeriod);
    const WireError error = SendAll(sending.connection, poll, bytes, count);
    sending.sent += count;
    bytes.remove_prefix(count);
    if (error == WireError::kNone) {
      return SendEnd::kSent;
    }
    if (sending.attributable && HasArrivedResponse(sending.connection.reader)) {
      return SendEnd::kInterrupted;
    }
    if (error != WireError::kTimedOut || Clock::now() >= sending.deadline) {
      return SendEnd::kFailed;
    }
  }
}

// Sends the body of a request part by part, as it arrives.
SendEnd SendStream(Sending& sending,
                   const BackendCall& call,
                   const std::atomic<bool>& stopped) {
  BodyStream& stream = *call.request->stream;
  while (Clock::now() < call.deadline && !stopped) {
    const BodyPart part =
        ReadPart(stream, std::min<Clock::time_point>(
                             call.deadline, Clock::now() + kSendPollPeriod));
    if (part.kind == BodyPartKind::kFailed) {
      return SendEnd::kBodyIncomplete;
    }
    if (part.kind == BodyPartKind::kTimedOut) {
      continue;
    }
    const SendEnd end =
        SendBytes(sending, stream.length ? part.bytes : MakeChunk(part));
    if (end != SendEnd::kSent || part.kind == BodyPartKind::kEnd) {
      return end;
    }
  }
  return SendEnd::kBodyIncomplete;
}

// Returns why a complete response does not come from the backend server, or "".
// Checked only if backend servers sign their responses.
std::string ValidateResponse(const HttpResponse& response,
                             const HeaderNames& names) {
  constexpr int kFirstRedirection = 300;
  if (names.signature.empty()) {
    return "";
  }
  if (!FindHeader(response.headers, "Content-Encoding").empty()) {
    return "the response has a Content-Encoding that was not requested";
  }
  if (response.status < kFirstRedirection &&
      FindHeader(response.headers, names.signature).empty()) {
    return "the response lacks the signature header of the backend server";
  }
  return "";
}

bool HasAttemptId(const HttpRequest& request, const HeaderNames& names) {
  return !names.attempt_id.empty() &&
         !FindHeader(request.headers, names.attempt_id).empty();
}

// Which request a response belongs to.
enum class Attribution {
  kOwn,
  kOtherAttempt,
  kUndecidable,
};

// `id_required` is whether an earlier response to another attempt may arrive
// over the connection, so that a response without an id belongs to no certain
// request.
Attribution Attribute(const HttpResponse& response,
                      const HttpRequest& request,
                      const HeaderNames& names,
                      bool id_required) {
  if (!HasAttemptId(request, names)) {
    return Attribution::kOwn;
  }
  const absl::string_view echoed =
      FindHeader(response.headers, names.attempt_id);
  if (echoed.empty()) {
    return id_required ? Attribution::kUndecidable : Attribution::kOwn;
  }
  return echoed == FindHeader(request.headers, names.attempt_id)
             ? Attribution::kOwn
             : Attribution::kOtherAttempt;
}

// A faulty backend server may send a refusal once more over the same
// connection, where it would be taken for the refusal of the next request. An
// id does not exclude that, since the same attempt may be sent again. Without
// ids, a repeated error cannot be detected either.
bool MayBeRepeated(const HttpResponse& response, const HeaderNames& names) {
  constexpr int kRequestTimeout = 408;
  constexpr int kMisdirected = 421;
  constexpr int kTooManyRequests = 429;
  constexpr int kServerError = 500;
  constexpr int kUnavailable = 503;
  const bool refused =
      response.status == kRequestTimeout || response.status == kMisdirected ||
      response.status == kTooManyRequests || response.status == kUnavailable ||
      (!names.not_executed.empty() &&
       !FindHeader(response.headers, names.not_executed).empty());
  return refused ||
         (names.attempt_id.empty() && response.status >= kServerError);
}

// Returns how long the connection may be idle before its reuse: the timeout
// that the response announces, less a margin.
std::chrono::milliseconds ComputeIdleTimeout(const HttpResponse& response) {
  constexpr absl::string_view kTimeout = "timeout=";
  std::chrono::milliseconds idle = kDefaultIdleTimeout;
  const absl::string_view value = FindHeader(response.headers, "Keep-Alive");
  const std::size_t start = value.find(kTimeout);
  if (start != absl::string_view::npos) {
    const absl::string_view rest = value.substr(start + kTimeout.size());
    int seconds = 0;
    if (absl::SimpleAtoi(rest.substr(0, rest.find_first_not_of("0123456789")),
                         &seconds)) {
      idle = std::min<std::chrono::milliseconds>(std::chrono::seconds(seconds),
                                                 kMaxIdleTimeout);
    }
  }
  return idle - kIdleMargin;
}

}  // namespace

BackendClient::BackendClient(const std::string& ip,
                             int port,
                             CallWatchdog& watchdog,
                             BackendProtocol protocol,
                             const BackendLimits& limits)
    : peer(absl::StrCat(ip, ":", port)),
      watchdog(watchdog),
      protocol(std::move(protocol)),
      responses(limits.responses),
      pool(ip, port, limits.connections, watchdog.Timers()) {}

void BackendClient::SetConnectionLimit(std::size_t limit) {
  this->pool.SetLimit(limit);
}

BackendResult BackendClient::Call(const BackendCall& call) {
  const Clock::time_point start = Clock::now();
  BackendResult result = this->CallOnce(call, call.idempotent);
  // Only a request of which no byte was sent is sent again here. Others may
  // have run, so the ingress decides about them, which knows the budget for
  // retries.
  if (result.connection_stale && result.outcome == BackendOutcome::kNotSent) {
    result = this->CallOnce(call, false);
  }
  result.latency = std::chrono::duration_cast<std::chrono::microseconds>(
      Clock::now() - start);
  return result;
}

BackendResult BackendClient::CallOnce(const BackendCall& call,
                                      bool allow_reuse) {
  BackendResult result;
  const Clock::time_point start = Clock::now();
  const std::string invalid = ValidateRequest(*call.request);
  if (!invalid.empty()) {
    result.error = absl::InvalidArgumentError(
        absl::StrCat("send to ", this->peer, ": ", invalid));
    return result;
  }
  if (start >= call.deadline) {
    result.error = absl::DeadlineExceededError(
        absl::StrCat("send to ", this->peer,
                     ": the deadline passed before the request was sent"));
    return result;
  }
  // The backend server may close an idle connection between its check and its
  // use, and then it is unknown whether the request ran. A request that must
  // not run twice therefore gets a new connection, which takes about 1 ms.
  std::unique_ptr<HttpConnection> connection =
      allow_reuse && this->MayReuse(*call.request) ? this->pool.Take()
                                                   : nullptr;
  const bool reused = connection != nullptr;
  if (!connection) {
    std::string error;
    connection = this->pool.Open(
        std::min(call.deadline, start + kConnectTimeout), error);
    if (!connection) {
      result.error = absl::UnavailableError(
          absl::StrCat("connect to ", this->peer, ": ", error));
      return result;
    }
  }
  const bool keep = this->Exchange(call, *connection, reused, result);
  if (keep) {
    this->pool.Keep(std::move(connection));
  } else {
    this->pool.Close(std::move(connection));
  }
  return result;
}

bool BackendClient::Exchange(const BackendCall& call,
                             HttpConnection& connection,
                             bool reused,
                             BackendResult& result) {
  if (!reused && !IsOpenAndIdle(connection)) {
    result.error = absl::UnavailableError(absl::StrCat(
        "send to ", this->peer,
        ": the backend server sent bytes or closed the connection before the "
        "request was sent"));
    return false;
  }
  std::atomic<bool> stopped{false};
  const int socket = connection.socket;
  const CallWatchdog::CallId watch =
      this->watchdog.Watch(call.deadline, call.cancelled, [&stopped, socket] {
        stopped = true;
        ::shutdown(socket, SHUT_RDWR);
      });
  const HeaderNames& names = this->protocol.headers;
  const std::string request =
      BuildRequest(call, this->peer, names, Clock::now());
  Sending sending{connection, call.deadline, HasAttemptId(*call.request, names),
                  0};
  SendEnd send_end = SendBytes(sending, request);
  if (send_end == SendEnd::kSent && call.request->stream) {
    send_end = SendStream(sending, call, stopped);
  }
  const bool interrupted = send_end == SendEnd::kInterrupted;
  ReceivedResponse received;
  if (send_end == SendEnd::kSent || interrupted) {
    received =
        this->ReadOwnResponse(call, connection.reader, reused || interrupted);
    received.reusable = received.reusable && !interrupted;
  } else {
    received.error = "the request could not be sent completely";
  }
  this->watchdog.Remove(watch);
  // The shutdown of a cancelled call looks like the end of a response that ends
  // with its connection.
  if (stopped && received.error.empty() && received.ended_with_connection) {
    received.error = "the call was cancelled before the end of the response";
  }

  if (received.error.empty()) {
    result.outcome = BackendOutcome::kAnswered;
    result.response = std::move(received.response);
    connection.usable_until =
        Clock::now() + ComputeIdleTimeout(result.response);
    return received.reusable && !stopped &&
           !MayBeRepeated(result.response, names);
  }
  result.connection_stale = reused && !stopped && !received.timed_out &&
                            (!received.received_bytes || received.undecidable);
  if (sending.sent == 0 && !stopped) {
    result.error = absl::UnavailableError(
        absl::StrCat("send to ", this->peer, ": ", received.error));
    return false;
  }
  // A caller that sends its body slowly says nothing about the backend server.
  if (send_end == SendEnd::kBodyIncomplete) {
    result.outcome = BackendOutcome::kCancelled;
    result.error = absl::CancelledError(absl::StrCat(
        "send to ", this->peer, ": the body of the request did not arrive"));
    return false;
  }
  if (received.timed_out || Clock::now() >= call.deadline) {
    result.outcome = BackendOutcome::kTimedOut;
    result.error = absl::DeadlineExceededError(
        absl::StrCat("response from ", this->peer, ": deadline exceeded"));
    return false;
  }
  result.outcome =
      stopped ? BackendOutcome::kCancelled : BackendOutcome::kFailed;
  result.over_budget = received.over_budget;
  result.error = absl::UnavailableError(
      absl::StrCat("response from ", this->peer, ": ", received.error));
  return false;
}

ReceivedResponse BackendClient::Probe(const std::string& path,
                                      Clock::time_point deadline) {
  const std::string request =
      absl::StrCat("GET ", path, " HTTP/1.1\r\nHost: ", this->peer,
                   "\r\nConnection: close\r\n\r\n");
  ReceivedResponse received;
  std::unique_ptr<HttpConnection> connection =
      this->pool.Open(deadline, received.error);
  if (!connection) {
    return received;
  }
  std::size_t sent = 0;
  if (SendAll(*connection, deadline, request, sent) == WireError::kNone) {
    received = ReadResponse(connection->reader, "GET",
                            {kMaxProbeBody, true, nullptr}, deadline);
  } else {
    received.error = "the request could not be sent completely";
  }
  this->pool.Close(std::move(connection));
  return received;
}

// In a protocol with attempt ids, a response on a reused connection is matched
// to its request by the id alone.
bool BackendClient::MayReuse(const HttpRequest& request) const {
  return this->protocol.headers.attempt_id.empty() ||
         HasAttemptId(request, this->protocol.headers);
}

ReceivedResponse BackendClient::ReadOwnResponse(const BackendCall& call,
                                                WireReader& reader,
                                                bool reused) const {
  const HeaderNames& names = this->protocol.headers;
  const ResponseLimits limits{kMaxResponseBody, this->protocol.close_delimited,
                              this->responses};
  for (int skipped = 0; skipped <= kMaxSkippedResponses; ++skipped) {
    ReceivedResponse received =
        ReadResponse(reader, call.request->method, limits, call.deadline);
    if (!received.error.empty()) {
      return received;
    }
    switch (Attribute(received.response, *call.request, names,
                      reused || skipped > 0)) {
      case Attribution::kOwn:
        received.error = ValidateResponse(received.response, names);
        received.reusable = received.reusable && skipped == 0;
        return received;
      case Attribution::kUndecidable:
        received.error =
            "the response on a reused connection has no attempt id";
        received.undecidable = true;
        return received;
      case Attribution::kOtherAttempt:
        break;
    }
  }
  ReceivedResponse received;
  received.received_bytes = true;
  received.error = "only responses to other requests arrived";
  return received;
}

}  // namespace comfrey
