#include "daemon/upload_fixture.h"

#include <thread>
#include <utility>

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

BackendProtocol MakeProtocol(bool with_ids) {
  BackendProtocol protocol;
  protocol.headers.attempt_id = with_ids ? "X-Attempt" : "";
  protocol.close_delimited = with_ids;
  return protocol;
}

}  // namespace

std::shared_ptr<BodyStream> MakeStream(std::vector<std::string> parts,
                                       std::optional<std::size_t> length,
                                       BodyPartKind end,
                                       std::chrono::milliseconds interval) {
  auto stream = std::make_shared<BodyStream>();
  stream->length = length;
  auto left = std::make_shared<std::vector<std::string>>(std::move(parts));
  stream->read = [left, end, interval](Clock::time_point deadline) {
    if (left->empty()) {
      if (end == BodyPartKind::kTimedOut) {
        std::this_thread::sleep_until(deadline);
      }
      return BodyPart{end, {}};
    }
    std::this_thread::sleep_for(interval);
    BodyPart part{BodyPartKind::kBytes, left->front()};
    left->erase(left->begin());
    return part;
  };
  return stream;
}

BackendFixture::BackendFixture(const std::string& ip,
                               RawServer::Handler handler,
                               bool with_ids)
    : server(ip, std::move(handler)),
      watchdog(this->timers),
      client(ip, this->server.Port(), this->watchdog, MakeProtocol(with_ids)) {}

BackendResult BackendFixture::Send(std::shared_ptr<BodyStream> stream,
                                   std::chrono::milliseconds time,
                                   bool idempotent) {
  HttpRequest request{"POST", "/u", {{"X-Attempt", "7"}}, "", nullptr};
  request.stream = std::move(stream);
  return this->client.Call(
      {&request, idempotent, Clock::now() + time, [] { return false; }});
}

}  // namespace comfrey
