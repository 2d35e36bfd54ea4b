#include "core/peer_message.h"

namespace comfrey {
namespace {

// All fields of the messages have numbers below 16, so each tag is one byte.
constexpr std::size_t kTagBytes = 1;

std::size_t VarintSize(std::uint64_t value) {
  std::size_t bytes = 1;
  for (; value >= 0x80; value >>= 7) {
    ++bytes;
  }
  return bytes;
}

// Fields with the default value are not encoded in proto3.
std::size_t NumberField(std::uint64_t value) {
  return value == 0 ? 0 : kTagBytes + VarintSize(value);
}

std::size_t TimeField(std::chrono::microseconds value) {
  return NumberField(static_cast<std::uint64_t>(value.count()));
}

std::size_t NestedField(std::size_t bytes) {
  return kTagBytes + VarintSize(bytes) + bytes;
}

std::size_t TextField(const std::string& text) {
  return text.empty() ? 0 : NestedField(text.size());
}

std::size_t VersionField(std::uint64_t generation, std::uint64_t revision) {
  return NestedField(NumberField(generation) + NumberField(revision));
}

std::size_t StatusField(const EndpointStatus& status) {
  return NestedField(TextField(status.endpoint) + TextField(status.team) +
                     TextField(status.service) + NumberField(status.verdict) +
                     NumberField(status.reason) + NumberField(status.severity) +
                     TimeField(status.latency) +
                     NumberField(status.draining ? 1 : 0) +
                     NumberField(status.load) + NumberField(status.limit) +
                     TimeField(status.full_for));
}

std::size_t Field(const MemberRecord& record) {
  return EncodedSize(record);
}

std::size_t Field(const MemberVersion& version) {
  return EncodedSize(version);
}

std::size_t Field(const AnnouncedVersion& version) {
  return NestedField(TextField(version.team) +
                     VersionField(version.generation, version.revision) +
                     NumberField(version.digest));
}

std::size_t Field(const SubtreeValue& subtree) {
  return NestedField(TextField(subtree.team) +
                     VersionField(subtree.generation, subtree.revision) +
                     TextField(subtree.value));
}

template <typename T>
std::size_t RepeatedField(const std::vector<T>& values) {
  std::size_t bytes = 0;
  for (const T& value : values) {
    bytes += Field(value);
  }
  return bytes;
}

}  // namespace

std::size_t EncodedSize(const MemberRecord& record) {
  std::size_t bytes =
      TextField(record.name) + TextField(record.address) +
      TextField(record.region) + TextField(record.failure_domain) +
      NumberField(record.incarnation) + NumberField(record.sequence) +
      NumberField(static_cast<std::uint64_t>(record.state));
  for (const EndpointStatus& status : record.endpoints) {
    bytes += StatusField(status);
  }
  return NestedField(bytes);
}

std::size_t EncodedSize(const MemberVersion& version) {
  return NestedField(TextField(version.name) +
                     NumberField(version.incarnation) +
                     NumberField(version.sequence));
}

std::size_t EncodedSize(const PingRequest& message) {
  return TextField(message.sender) + NumberField(message.incarnation) +
         RepeatedField(message.rumors) + NumberField(message.config_digest) +
         TimeField(message.config_age);
}

std::size_t EncodedSize(const PingReply& message) {
  return TextField(message.responder) + NumberField(message.incarnation) +
         RepeatedField(message.rumors) + NumberField(message.config_digest) +
         TimeField(message.config_age);
}

std::size_t EncodedSize(const PingThroughRequest& message) {
  return TextField(message.sender) + TextField(message.target_address);
}

std::size_t EncodedSize(const PingThroughReply& message) {
  return NumberField(message.reached ? 1 : 0) +
         (message.reached ? NestedField(EncodedSize(message.reply)) : 0);
}

std::size_t EncodedSize(const ExchangeRequest& message) {
  return TextField(message.sender) + NumberField(message.member_digest) +
         RepeatedField(message.members) + RepeatedField(message.subtrees) +
         NumberField(message.wants_members ? 1 : 0) +
         NumberField(message.wants_subtrees ? 1 : 0);
}

std::size_t EncodedSize(const ExchangeReply& message) {
  return NumberField(message.member_digest) + RepeatedField(message.members) +
         RepeatedField(message.wanted_members) +
         RepeatedField(message.subtrees) +
         RepeatedField(message.wanted_subtrees);
}

std::size_t EncodedSize(const PushRequest& message) {
  return TextField(message.sender) + RepeatedField(message.rumors) +
         RepeatedField(message.subtrees);
}

std::size_t EncodedSize(const PushReply& message) {
  return RepeatedField(message.subtrees);
}

}  // namespace comfrey
