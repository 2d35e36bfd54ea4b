#include "daemon/peer_message_conversion.h"

namespace comfrey {
namespace {

using std::chrono::microseconds;

void MemberToProto(const MemberRecord& record, rpc::Member& message) {
  message.set_name(record.name);
  message.set_address(record.address);
  message.set_region(record.region);
  message.set_failure_domain(record.failure_domain);
  message.set_incarnation(record.incarnation);
  message.set_sequence(record.sequence);
  message.set_state(static_cast<std::uint32_t>(record.state));
  for (const EndpointStatus& status : record.endpoints) {
    ToProto(status, *message.add_endpoints());
  }
}

MemberRecord MemberFromProto(const rpc::Member& message) {
  MemberRecord record;
  record.name = message.name();
  record.address = message.address();
  record.region = message.region();
  record.failure_domain = message.failure_domain();
  record.incarnation = message.incarnation();
  record.sequence = message.sequence();
  record.state = static_cast<MemberState>(message.state());
  for (const rpc::EndpointStatus& status : message.endpoints()) {
    record.endpoints.push_back(FromProto(status));
  }
  return record;
}

void VersionToProto(const MemberVersion& version, rpc::MemberVersion& message) {
  message.set_name(version.name);
  message.set_incarnation(version.incarnation);
  message.set_sequence(version.sequence);
}

MemberVersion VersionFromProto(const rpc::MemberVersion& message) {
  return {message.name(), message.incarnation(), message.sequence()};
}

void SubtreeVersionToProto(const AnnouncedVersion& version,
                           rpc::SubtreeVersion& message) {
  message.set_team(version.team);
  message.mutable_version()->set_generation(version.generation);
  message.mutable_version()->set_revision(version.revision);
  message.set_digest(version.digest);
}

AnnouncedVersion SubtreeVersionFromProto(const rpc::SubtreeVersion& message) {
  return {message.team(), message.version().generation(),
          message.version().revision(), message.digest()};
}

void SubtreeToProto(const SubtreeValue& subtree, rpc::Subtree& message) {
  message.set_team(subtree.team);
  message.mutable_version()->set_generation(subtree.generation);
  message.mutable_version()->set_revision(subtree.revision);
  message.set_value(subtree.value);
}

SubtreeValue SubtreeFromProto(const rpc::Subtree& message) {
  return {message.team(), message.version().generation(),
          message.version().revision(), message.value()};
}

// Converts all elements of a repeated field.
template <typename From, typename Convert>
auto ConvertAll(const From& from, Convert convert) {
  std::vector<decltype(convert(*from.begin()))> to;
  to.reserve(static_cast<std::size_t>(from.size()));
  for (const auto& element : from) {
    to.push_back(convert(element));
  }
  return to;
}

}  // namespace

void ToProto(const EndpointStatus& status, rpc::EndpointStatus& message) {
  message.set_endpoint(status.endpoint);
  message.set_team(status.team);
  message.set_service(status.service);
  message.set_verdict(status.verdict);
  message.set_reason(status.reason);
  message.set_severity(status.severity);
  message.set_latency_us(status.latency.count());
  message.set_draining(status.draining);
  message.set_load(status.load);
  message.set_limit(status.limit);
  message.set_full_for_us(status.full_for.count());
}

EndpointStatus FromProto(const rpc::EndpointStatus& message) {
  EndpointStatus status;
  status.endpoint = message.endpoint();
  status.team = message.team();
  status.service = message.service();
  status.verdict = message.verdict();
  status.reason = message.reason();
  status.severity = message.severity();
  status.latency = microseconds(message.latency_us());
  status.draining = message.draining();
  status.load = message.load();
  status.limit = message.limit();
  status.full_for = microseconds(message.full_for_us());
  return status;
}

void ToProto(const PingRequest& request, rpc::PingRequest& message) {
  message.set_sender(request.sender);
  message.set_incarnation(request.incarnation);
  for (const MemberRecord& record : request.rumors) {
    MemberToProto(record, *message.add_rumors());
  }
  message.set_config_digest(request.config_digest);
  message.set_config_age_us(request.config_age.count());
}

PingRequest FromProto(const rpc::PingRequest& message) {
  return {message.sender(), message.incarnation(),
          ConvertAll(message.rumors(), &MemberFromProto),
          message.config_digest(), microseconds(message.config_age_us())};
}

void ToProto(const PingReply& reply, rpc::PingReply& message) {
  message.set_responder(reply.responder);
  message.set_incarnation(reply.incarnation);
  for (const MemberRecord& record : reply.rumors) {
    MemberToProto(record, *message.add_rumors());
  }
  message.set_config_digest(reply.config_digest);
  message.set_config_age_us(reply.config_age.count());
}

PingReply FromProto(const rpc::PingReply& message) {
  return {message.responder(), message.incarnation(),
          ConvertAll(message.rumors(), &MemberFromProto),
          message.config_digest(), microseconds(message.config_age_us())};
}

void ToProto(const PingThroughRequest& request,
             rpc::PingThroughRequest& message) {
  message.set_sender(request.sender);
  message.set_target_address(request.target_address);
}

PingThroughRequest FromProto(const rpc::PingThroughRequest& message) {
  return {message.sender(), message.target_address()};
}

void ToProto(const PingThroughReply& reply, rpc::PingThroughReply& message) {
  message.set_reached(reply.reached);
  ToProto(reply.reply, *message.mutable_reply());
}

PingThroughReply FromProto(const rpc::PingThroughReply& message) {
  return {message.reached(), FromProto(message.reply())};
}

void ToProto(const ExchangeRequest& request, rpc::ExchangeRequest& message) {
  message.set_sender(request.sender);
  message.set_member_digest(request.member_digest);
  for (const MemberVersion& version : request.members) {
    VersionToProto(version, *message.add_members());
  }
  for (const AnnouncedVersion& version : request.subtrees) {
    SubtreeVersionToProto(version, *message.add_subtrees());
  }
  message.set_wants_members(request.wants_members);
  message.set_wants_subtrees(request.wants_subtrees);
}

ExchangeRequest FromProto(const rpc::ExchangeRequest& message) {
  return {message.sender(),
          message.member_digest(),
          ConvertAll(message.members(), &VersionFromProto),
          ConvertAll(message.subtrees(), &SubtreeVersionFromProto),
          message.wants_members(),
          message.wants_subtrees()};
}

void ToProto(const ExchangeReply& reply, rpc::ExchangeReply& message) {
  message.set_member_digest(reply.member_digest);
  for (const MemberRecord& record : reply.members) {
    MemberToProto(record, *message.add_members());
  }
  for (const MemberVersion& version : reply.wanted_members) {
    VersionToProto(version, *message.add_wanted_members());
  }
  for (const SubtreeValue& subtree : reply.subtrees) {
    SubtreeToProto(subtree, *message.add_subtrees());
  }
  for (const AnnouncedVersion& version : reply.wanted_subtrees) {
    SubtreeVersionToProto(version, *message.add_wanted_subtrees());
  }
}

ExchangeReply FromProto(const rpc::ExchangeReply& message) {
  return {message.member_digest(),
          ConvertAll(message.members(), &MemberFromProto),
          ConvertAll(message.wanted_members(), &VersionFromProto),
          ConvertAll(message.subtrees(), &SubtreeFromProto),
          ConvertAll(message.wanted_subtrees(), &SubtreeVersionFromProto)};
}

void ToProto(const PushRequest& request, rpc::PushRequest& message) {
  message.set_sender(request.sender);
  for (const MemberRecord& record : request.rumors) {
    MemberToProto(record, *message.add_rumors());
  }
  for (const SubtreeValue& subtree : request.subtrees) {
    SubtreeToProto(subtree, *message.add_subtrees());
  }
}

PushRequest FromProto(const rpc::PushRequest& message) {
  return {message.sender(), ConvertAll(message.rumors(), &MemberFromProto),
          ConvertAll(message.subtrees(), &SubtreeFromProto)};
}

void ToProto(const PushReply& reply, rpc::PushReply& message) {
  for (const AnnouncedVersion& version : reply.subtrees) {
    SubtreeVersionToProto(version, *message.add_subtrees());
  }
}

PushReply FromProto(const rpc::PushReply& message) {
  return {ConvertAll(message.subtrees(), &SubtreeVersionFromProto)};
}

}  // namespace comfrey
