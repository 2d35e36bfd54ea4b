#ifndef CORE_PEER_MESSAGE_H_
#define CORE_PEER_MESSAGE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace comfrey {

/// \brief Published state of an endpoint, as its owner sees it.
///
/// In a member record, `team`, `service`, `load` and `limit` are unset, and an
/// endpoint at the member's own address is abbreviated to ":port".
struct EndpointStatus {
  std::string endpoint;
  std::string team;
  std::string service;
  std::uint32_t verdict = 0;
  std::uint32_t reason = 0;
  std::uint32_t severity = 0;
  std::chrono::microseconds latency{0};
  bool draining = false;
  std::uint32_t load = 0;
  std::uint32_t limit = 0;
  std::chrono::microseconds full_for{0};
};

enum class MemberState : std::uint32_t {
  kAlive = 0,
  kSuspect = 1,
  kLeaving = 2,
  kDead = 3,
};

/// \brief State of one member, as known to the holder of the record.
///
/// Records are ordered by (incarnation, sequence). The member itself publishes
/// multiples of 4 as sequence numbers. Another member that claims that it is
/// suspect or dead publishes its record with sequence + 1 or sequence + 2.
struct MemberRecord {
  std::string name;
  std::string address;
  std::string region;
  std::string failure_domain;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  MemberState state = MemberState::kAlive;
  std::vector<EndpointStatus> endpoints;
};

struct MemberVersion {
  std::string name;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
};

/// \brief Version of a team's configuration; `digest` is the 64-bit xxHash of
/// the value. Generation 0 means that there is no configuration.
struct AnnouncedVersion {
  std::string team;
  std::uint64_t generation = 0;
  std::uint64_t revision = 0;
  std::uint64_t digest = 0;
};

/// \brief A team's configuration; in a push, an empty value announces the
/// version without the content.
struct SubtreeValue {
  std::string team;
  std::uint64_t generation = 0;
  std::uint64_t revision = 0;
  std::string value;
};

struct PingRequest {
  std::string sender;
  std::uint64_t incarnation = 0;
  std::vector<MemberRecord> rumors;
  std::uint64_t config_digest = 0;
  /// Age of the newest known contact with the configuration service; negative
  /// if there was none.
  std::chrono::microseconds config_age{-1};
};

struct PingReply {
  std::string responder;
  std::uint64_t incarnation = 0;
  std::vector<MemberRecord> rumors;
  std::uint64_t config_digest = 0;
  std::chrono::microseconds config_age{-1};
};

struct PingThroughRequest {
  std::string sender;
  std::string target_address;
};

struct PingThroughReply {
  bool reached = false;
  PingReply reply;
};

/// \brief Request for the member digest and optionally for records and
/// configuration that are newer at the responder.
///
/// `members` lists consecutive members in the circular order of names and
/// covers the range from the first to the last one. If these are the same
/// member, or if the list is empty, it covers all names.
struct ExchangeRequest {
  std::string sender;
  std::uint64_t member_digest = 0;
  std::vector<MemberVersion> members;
  std::vector<AnnouncedVersion> subtrees;
  bool wants_members = false;
  bool wants_subtrees = false;
};

/// \brief Records and configuration that are newer at the responder, and the
/// versions that the responder requests because they are newer at the
/// requester.
struct ExchangeReply {
  std::uint64_t member_digest = 0;
  std::vector<MemberRecord> members;
  std::vector<MemberVersion> wanted_members;
  std::vector<SubtreeValue> subtrees;
  std::vector<AnnouncedVersion> wanted_subtrees;
};

struct PushRequest {
  std::string sender;
  std::vector<MemberRecord> rumors;
  std::vector<SubtreeValue> subtrees;
};

/// \brief Request for the announced subtrees that are newer at the sender.
///
/// `subtrees` contains the versions that the receiver holds of them.
struct PushReply {
  std::vector<AnnouncedVersion> subtrees;
};

/// \brief Estimated overhead of HTTP/2 and gRPC framing per message, in bytes.
constexpr std::size_t kFramingBytes = 100;

/// \brief Size of a member record as an element of a repeated field, in bytes
/// of the protobuf encoding.
std::size_t EncodedSize(const MemberRecord& record);
std::size_t EncodedSize(const MemberVersion& version);

/// \brief Size of a message in the protobuf encoding, without framing.
std::size_t EncodedSize(const PingRequest& message);
std::size_t EncodedSize(const PingReply& message);
std::size_t EncodedSize(const PingThroughRequest& message);
std::size_t EncodedSize(const PingThroughReply& message);
std::size_t EncodedSize(const ExchangeRequest& message);
std::size_t EncodedSize(const ExchangeReply& message);
std::size_t EncodedSize(const PushRequest& message);
std::size_t EncodedSize(const PushReply& message);

}  // namespace comfrey

#endif  // CORE_PEER_MESSAGE_H_
