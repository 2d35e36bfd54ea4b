#include "daemon/caller_pipeline.h"

#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "absl/strings/string_view.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

// Largest number of requests of one connection that are handled or wait for an
// earlier reply.
constexpr std::size_t kMaxDepth = 8;
// No further requests are started while the replies that wait for earlier ones
// take this much memory of the daemon, whose limit is 32 MB.
constexpr std::size_t kMaxHeldBytes = 4 << 20;

// Bytes behind a request that are read while it is handled, if the limit of the
// headers is smaller.
constexpr std::size_t kMinReadAhead = 16 << 10;

// Parses the request whose head is at the start of `bytes`. Returns the length
// of the head, or 0 if it is incomplete or if the request must be read like the
// first one of a connection: it is malformed or has a body.
std::size_t ParseAhead(absl::string_view bytes, CallerRequest& caller) {
  constexpr absl::string_view kHeadEnd = "\r\n\r\n";
  const std::size_t end = bytes.find(kHeadEnd);
  if (end == absl::string_view::npos ||
      end + kHeadEnd.size() > caller.limits.header_bytes) {
    return 0;
  }
  const std::size_t length = end + kHeadEnd.size();
  WireReader reader(std::string(bytes.substr(0, length)));
  MessageHead head;
  BodyFraming framing;
  if (ReadHead(reader, Clock::now(), length, head) != WireError::kNone ||
      ParseRequestHead(head, caller.request, caller.close) ||
      !DetermineFraming(head.headers, framing).empty() || framing.chunked ||
      framing.length > 0) {
    return 0;
  }
  RemoveConnectionHeaders(caller.request.headers);
  return length;
}

std::size_t SizeOf(const HttpResponse& response) {
  std::size_t size = response.body.size();
  for (const HttpHeader& header : response.headers) {
    size += header.name.size() + header.value.size();
  }
  return size;
}

}  // namespace

CallerPipeline::CallerPipeline(PipelineContext& context,
                               WireReader& reader,
                               int socket)
    : context(context), reader(reader), socket(socket) {}

CallerPipeline::~CallerPipeline() {
  this->cancelled = true;
  std::unique_lock<std::mutex> lock(this->mutex);
  this->changed.wait(lock, [this] {
    return std::all_of(this->requests.begin(), this->requests.end(),
                       [](const auto& request) { return request->done; });
  });
  for (const auto& request : this->requests) {
    this->context.held_bytes -= request->held_bytes;
  }
}

// Requests may be handled in parallel only if all of them are idempotent
// (RFC 9112, section 9.3.2).
bool CallerPipeline::MayReadBehind(const CallerRequest& caller) const {
  return this->context.is_idempotent && !caller.close && !caller.refusal &&
         !caller.request.stream && this->context.is_idempotent(caller.request);
}

bool CallerPipeline::ReadAhead(const CallerLimits& limits) {
  const WireError error =
      this->reader.FillAvailable(std::max(limits.header_bytes, kMinReadAhead));
  while (this->HasRoom() && this->StartNext(limits)) {
  }
  return error != WireError::kNone;
}

bool CallerPipeline::HasRoom() const {
  return !this->blocked && this->requests.size() < kMaxDepth &&
         this->context.held_bytes < kMaxHeldBytes;
}

// Starts the next request in the buffer; returns false if there is none that
// may be handled now.
bool CallerPipeline::StartNext(const CallerLimits& limits) {
  CallerRequest caller;
  caller.socket = this->socket;
  caller.limits = limits;
  const std::size_t length = ParseAhead(this->reader.Buffered(), caller);
  if (length == 0 || !this->context.is_idempotent(caller.request)) {
    return false;
  }
  this->reader.Skip(length);
  this->blocked = caller.close;
  this->Start(std::move(caller));
  return true;
}

void CallerPipeline::Start(CallerRequest caller) {
  auto request = std::make_unique<PipelinedRequest>();
  request->caller = std::move(caller);
  PipelinedRequest* const started = request.get();
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->requests.push_back(std::move(request));
  }
  this->context.workers.Submit([this, started] { this->Handle(*started); });
}

void CallerPipeline::Handle(PipelinedRequest& request) {
  IngressReply reply = this->context.handle(
      request.caller.request, [this] { return this->cancelled.load(); });
  const std::size_t size = SizeOf(reply.response);
  this->context.held_bytes += size;
  const std::lock_guard<std::mutex> lock(this->mutex);
  request.reply = std::move(reply);
  request.held_bytes = size;
  request.done = true;
  this->changed.notify_all();
}

std::unique_ptr<PipelinedRequest> CallerPipeline::TakeFirst(
    const CallerLimits& limits) {
  std::unique_lock<std::mutex> lock(this->mutex);
  PipelinedRequest& first = *this->requests.front();
  while (!first.done) {
    this->changed.wait_for(lock, kCancelPollPeriod);
    lock.unlock();
    if (this->ReadAhead(limits)) {
      this->cancelled = true;
    }
    lock.lock();
  }
  std::unique_ptr<PipelinedRequest> taken = std::move(this->requests.front());
  this->requests.pop_front();
  this->context.held_bytes -= taken->held_bytes;
  return taken;
}

}  // namespace comfrey
