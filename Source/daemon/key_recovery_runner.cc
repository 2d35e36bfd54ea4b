#include "daemon/key_recovery_runner.h"

#include <grpcpp/grpcpp.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "absl/strings/str_cat.h"
#include "daemon/forward_call.h"
#include "daemon/message_conversion.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kCallTimeout{1000};

JournalExcerpt TakeExcerpt(rpc::RecoverKeysReply& reply,
                           const std::string& endpoint,
                           RefusalMeaning meaning) {
  JournalExcerpt excerpt;
  excerpt.complete = reply.complete();
  for (rpc::JournalEntry& entry : *reply.mutable_entries()) {
    excerpt.entries.push_back(TakeJournalEntry(entry, endpoint, meaning));
  }
  return excerpt;
}

}  // namespace

KeyRecoveryRunner::KeyRecoveryRunner(OwnerService& owner,
                                     KeyJournal& journal,
                                     ChannelPool& channels,
                                     int peer_port,
                                     RefusalMeaning meaning,
                                     RecoveryMembership membership)
    : owner(owner),
      journal(journal),
      channels(channels),
      peer_port(peer_port),
      meaning(meaning),
      membership(std::move(membership)) {}

void KeyRecoveryRunner::ReadMissingJournals() {
  std::vector<MemberRecord> members;
  for (const std::shared_ptr<OwnedEndpoint>& endpoint :
       this->owner.Endpoints()) {
    {
      const std::lock_guard<std::mutex> lock(endpoint->mutex);
      if (IsRecovered(endpoint->keyed.recovery, Clock::now())) {
        continue;
      }
    }
    if (members.empty()) {
      members = this->membership.members();
    }
    if (members.empty()) {
      return;
    }
    this->RecoverEndpoint(*endpoint, members);
  }
}

void KeyRecoveryRunner::RecoverEndpoint(
    OwnedEndpoint& endpoint,
    const std::vector<MemberRecord>& members) {
  std::vector<std::string> names;
  names.reserve(members.size());
  for (const MemberRecord& member : members) {
    names.push_back(member.name);
  }
  std::vector<std::string> missing;
  {
    const std::lock_guard<std::mutex> lock(endpoint.mutex);
    SetExpectedMembers(endpoint.keyed.recovery, names);
    missing = MissingMembers(endpoint.keyed.recovery);
  }
  rpc::RecoverKeysRequest request;
  request.set_endpoint(endpoint.identity.endpoint.address);
  request.set_owner_incarnation(endpoint.identity.incarnation);
  for (const MemberRecord& member : members) {
    if (std::find(missing.begin(), missing.end(), member.name) ==
        missing.end()) {
      continue;
    }
    rpc::RecoverKeysReply reply;
    if (!this->ReadJournalOf(member, request, reply)) {
      continue;
    }
    const std::lock_guard<std::mutex> lock(endpoint.mutex);
    MergeJournal(endpoint.keyed.recovery, endpoint.keyed.ledger, member.name,
                 TakeExcerpt(reply, request.endpoint(), this->meaning),
                 Clock::now());
    if (IsRecovered(endpoint.keyed.recovery, Clock::now())) {
      spdlog::info("recovered the idempotency keys of {}", request.endpoint());
      return;
    }
  }
}

bool KeyRecoveryRunner::ReadJournalOf(const MemberRecord& member,
                                      const rpc::RecoverKeysRequest& request,
                                      rpc::RecoverKeysReply& reply) {
  if (member.name == this->membership.own_name) {
    reply = this->journal.Read(request, Clock::now());
    return true;
  }
  const std::shared_ptr<PeerChannel> channel =
      this->channels.Get(absl::StrCat(member.address, ":", this->peer_port));
  grpc::ClientContext context;
  context.set_deadline(ToSystemTime(Clock::now() + kCallTimeout));
  return channel->stub->RecoverKeys(&context, request, &reply).ok();
}

}  // namespace comfrey
