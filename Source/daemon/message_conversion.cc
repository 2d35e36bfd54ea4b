#include "daemon/message_conversion.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "daemon/http_wire.h"

namespace comfrey {
namespace {

template <typename Headers>
std::vector<HttpHeader> HeadersFromProto(const Headers& messages) {
  std::vector<HttpHeader> headers;
  headers.reserve(static_cast<std::size_t>(messages.size()));
  for (const rpc::Header& message : messages) {
    headers.push_back({message.name(), message.value()});
  }
  return headers;
}

void AddHeader(const HttpHeader& header, rpc::Header& message) {
  message.set_name(header.name);
  message.set_value(header.value);
}

std::chrono::microseconds AgeAt(std::chrono::steady_clock::time_point now,
                                std::chrono::steady_clock::time_point time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(now - time);
}

std::optional<KeyId> KeyOf(const std::string& team,
                           const std::string& service,
                           const std::string& key) {
  if (key.empty()) {
    return std::nullopt;
  }
  return KeyId{team, service, key};
}

}  // namespace

void ToProto(const AttemptId& id, rpc::AttemptId& message) {
  message.set_ingress(id.ingress);
  message.set_incarnation(id.incarnation);
  message.set_sequence(id.sequence);
}

AttemptId FromProto(const rpc::AttemptId& message) {
  return {message.ingress(), message.incarnation(), message.sequence()};
}

void ToProto(const DeliverableResponse& response, rpc::Answer& message) {
  message.set_status(response->status);
  for (const HttpHeader& header : response->headers) {
    AddHeader(header, *message.add_headers());
  }
  message.set_body(response->body);
}

bool HoldsResponse(const rpc::Answer& message) {
  constexpr int kFirstFinalStatus = 200;
  constexpr int kLastStatus = 599;
  return message.status() >= kFirstFinalStatus &&
         message.status() <= kLastStatus &&
         std::all_of(message.headers().begin(), message.headers().end(),
                     [](const rpc::Header& header) {
                       return IsValidHeader({header.name(), header.value()});
                     });
}

// A daemon of another release may send a response that must not be delivered,
// or none at all.
DeliverableResponse TakeResponse(rpc::Answer& message, RefusalMeaning meaning) {
  if (!HoldsResponse(message)) {
    return nullptr;
  }
  return MakeDeliverable({message.status(), HeadersFromProto(message.headers()),
                          std::move(*message.mutable_body())},
                         meaning);
}

void ToProto(const EndpointSummary& summary,
             std::chrono::steady_clock::time_point now,
             rpc::EndpointSummary& message) {
  message.set_median_latency_us(summary.median_latency.count());
  message.set_failed_permille(summary.failed_permille);
  message.set_midpoint_age_us(AgeAt(now, summary.midpoint).count());
  message.set_last_ok_sent_age_us(AgeAt(now, summary.last_ok_sent).count());
}

EndpointSummary FromProto(const rpc::EndpointSummary& message,
                          std::chrono::steady_clock::time_point now) {
  EndpointSummary summary;
  summary.median_latency =
      std::chrono::microseconds(message.median_latency_us());
  summary.failed_permille =
      static_cast<std::uint16_t>(message.failed_permille());
  summary.midpoint = now - std::chrono::microseconds(message.midpoint_age_us());
  summary.last_ok_sent =
      now - std::chrono::microseconds(message.last_ok_sent_age_us());
  return summary;
}

void ToProto(const KeyFenceReply& fence, rpc::FenceReply& message) {
  switch (fence.state) {
    case KeyFenceState::kFenced:
      message.set_state(rpc::FENCE_FENCED);
      break;
    case KeyFenceState::kRan:
      message.set_state(rpc::FENCE_DONE);
      break;
    case KeyFenceState::kUnknown:
      message.set_state(rpc::FENCE_UNKNOWN);
      break;
    case KeyFenceState::kUndecidable:
      message.set_state(rpc::FENCE_UNDECIDABLE);
      break;
  }
  message.set_request_hash(fence.request_hash);
  if (fence.response) {
    ToProto(fence.response, *message.mutable_answer());
  }
}

KeyFenceReply KeyFenceFromProto(rpc::FenceReply& message,
                                RefusalMeaning meaning) {
  KeyFenceReply fence;
  fence.request_hash = message.request_hash();
  switch (message.state()) {
    case rpc::FENCE_FENCED:
      fence.state = KeyFenceState::kFenced;
      break;
    case rpc::FENCE_DONE:
      fence.response = TakeResponse(*message.mutable_answer(), meaning);
      fence.state =
          fence.response ? KeyFenceState::kRan : KeyFenceState::kUnknown;
      break;
    case rpc::FENCE_UNKNOWN:
    case rpc::FENCE_RUNNING:
      fence.state = KeyFenceState::kUnknown;
      break;
    default:
      fence.state = KeyFenceState::kUndecidable;
      break;
  }
  return fence;
}

void ToProto(const OwnerStamp& stamp, rpc::OwnerStamp& message) {
  message.set_incarnation(stamp.incarnation);
  message.set_uptime_us(stamp.uptime.count());
}

OwnerStamp FromProto(const rpc::OwnerStamp& message) {
  return {message.incarnation(),
          std::chrono::microseconds(message.uptime_us())};
}

LedgerRequest LedgerRequestFromProto(const rpc::ForwardRequest& message) {
  LedgerRequest request;
  request.attempt = FromProto(message.attempt());
  request.key =
      KeyOf(message.team(), message.service(), message.idempotency_key());
  request.request_hash =
      HashRequest(message.method(), message.path(), message.body());
  request.stamp = FromProto(message.stamp());
  return request;
}

LedgerRequest LedgerRequestFromProto(const rpc::FenceAttemptRequest& message) {
  LedgerRequest request;
  request.attempt = FromProto(message.attempt());
  request.key =
      KeyOf(message.team(), message.service(), message.idempotency_key());
  request.request_hash = message.request_hash();
  request.stamp = FromProto(message.stamp());
  return request;
}

void ToProto(const JournalEntry& entry, rpc::JournalEntry& message) {
  ToProto(entry.attempt, *message.mutable_attempt());
  message.set_team(entry.key.team);
  message.set_service(entry.key.service);
  message.set_idempotency_key(entry.key.key);
  message.set_key_fence(entry.kind == JournalKind::kKeyFence);
  message.set_request_hash(entry.request_hash);
  message.set_owner_incarnation(entry.owner_incarnation);
  message.mutable_fenced_for()->set_generation(entry.fenced_for.generation);
  message.mutable_fenced_for()->set_revision(entry.fenced_for.revision);
  message.set_outcome(entry.response ? rpc::OUTCOME_ANSWERED
                                     : rpc::OUTCOME_UNKNOWN);
  if (entry.response) {
    ToProto(entry.response, *message.mutable_answer());
  }
}

JournalEntry TakeJournalEntry(rpc::JournalEntry& message,
                              const std::string& endpoint,
                              RefusalMeaning meaning) {
  JournalEntry entry;
  entry.kind =
      message.key_fence() ? JournalKind::kKeyFence : JournalKind::kAttempt;
  entry.endpoint = endpoint;
  entry.key = {message.team(), message.service(), message.idempotency_key()};
  entry.attempt = FromProto(message.attempt());
  entry.request_hash = message.request_hash();
  entry.owner_incarnation = message.owner_incarnation();
  entry.fenced_for = {message.fenced_for().generation(),
                      message.fenced_for().revision()};
  if (message.has_answer()) {
    entry.response = TakeResponse(*message.mutable_answer(), meaning);
  }
  return entry;
}

KeyPhase KeyPhaseOf(KeysState state) {
  switch (state) {
    case KeysState::kJoining:
      return KeyPhase::kJoining;
    case KeysState::kLeaving:
      return KeyPhase::kLeaving;
    case KeysState::kActive:
      break;
  }
  return KeyPhase::kActive;
}

HttpRequest RequestFromProto(const rpc::ForwardRequest& message) {
  return {message.method(), message.path(), HeadersFromProto(message.headers()),
          message.body()};
}

void RequestToProto(const HttpRequest& request, rpc::ForwardRequest& message) {
  message.set_method(request.method);
  message.set_path(request.target);
  for (const HttpHeader& header : request.headers) {
    AddHeader(header, *message.add_headers());
  }
  message.set_body(request.body);
}

}  // namespace comfrey
