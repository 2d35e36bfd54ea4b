#include "core/peer_config.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <tuple>
#include <utility>

#include "core/membership.h"

namespace comfrey {
namespace {

using Time = PeerProtocol::Time;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// Delay of a pull after another member reported a different configuration
// digest. A push normally delivers the change within this time.
constexpr milliseconds kConfigPullDelay{500};
constexpr milliseconds kConfigPullBackoff{1000};
constexpr milliseconds kMaxConfigPullBackoff{30'000};
constexpr milliseconds kRequestedValueTimeout{1000};
// The exchanges of a new daemon request configuration until this many members
// have reported the same configuration digest as its own.
constexpr std::size_t kConfirmingPeers = 4;
// A message takes another configuration value until the values exceed this
// limit, so that at least one value is sent regardless of its size.
constexpr std::size_t kMaxSubtreeBytes = 65'536;

// Added to an age in a received message, which does not include the transit
// time of the message.
constexpr microseconds kTransitAllowance{50'000};

bool IsOlder(const AnnouncedVersion& a, const AnnouncedVersion& b) {
  return std::tie(a.generation, a.revision, a.digest) <
         std::tie(b.generation, b.revision, b.digest);
}

std::map<std::string, AnnouncedVersion> VersionsByTeam(
    std::vector<AnnouncedVersion> versions) {
  std::map<std::string, AnnouncedVersion> by_team;
  for (AnnouncedVersion& version : versions) {
    by_team[version.team] = std::move(version);
  }
  return by_team;
}

}  // namespace

void OnLocalConfigChange(PeerProtocol& protocol, const std::string& team) {
  protocol.teams_to_announce.insert(team);
}

void OnConfigContact(PeerProtocol& protocol, Time now) {
  protocol.newest_config_contact =
      std::max(protocol.newest_config_contact, now);
}

void UpdateConfigContact(PeerProtocol& protocol, microseconds age, Time now) {
  if (age < microseconds(0)) {
    return;
  }
  protocol.newest_config_contact =
      std::max(protocol.newest_config_contact, now - age - kTransitAllowance);
}

microseconds ConfigAge(const PeerProtocol& protocol, Time now) {
  if (protocol.newest_config_contact == Time()) {
    return microseconds(-1);
  }
  return std::chrono::duration_cast<microseconds>(
      now - protocol.newest_config_contact);
}

void ConfirmConfig(PeerProtocol& protocol,
                   const std::string& peer,
                   std::uint64_t digest) {
  if (digest == protocol.config.digest()) {
    protocol.config_confirmed_by.insert(peer);
  }
}

bool NeedsConfigConfirmation(const PeerProtocol& protocol) {
  return protocol.config_confirmed_by.size() < kConfirmingPeers;
}

void ScheduleConfigPull(PeerProtocol& protocol,
                        const std::string& peer,
                        std::uint64_t digest,
                        Time now) {
  const std::uint64_t own = protocol.config.digest();
  if (digest == own) {
    return;
  }
  const MemberRecord* member = FindMember(protocol.membership, peer);
  const bool pull_scheduled = !protocol.config_pull_address.empty() &&
                              protocol.config_pull_digest == own;
  if (member == nullptr || pull_scheduled ||
      now < protocol.config_pull_not_before) {
    return;
  }
  protocol.config_pull_address = member->address;
  protocol.config_pull_digest = own;
  protocol.config_pull_at = now + kConfigPullDelay;
}

void PullConfig(PeerProtocol& protocol,
                Time now,
                std::vector<PeerAction>& actions) {
  if (protocol.config_pull_address.empty() || now < protocol.config_pull_at) {
    return;
  }
  std::string address;
  address.swap(protocol.config_pull_address);
  if (protocol.config.digest() != protocol.config_pull_digest) {
    return;
  }
  protocol.config_pull_backoff =
      std::clamp(protocol.config_pull_backoff * 2, kConfigPullBackoff,
                 kMaxConfigPullBackoff);
  protocol.config_pull_not_before = now + protocol.config_pull_backoff;
  SendExchange exchange;
  exchange.address = std::move(address);
  exchange.request.sender = protocol.membership.self;
  exchange.request.member_digest = protocol.membership.digest;
  exchange.request.subtrees = protocol.config.versions();
  exchange.request.wants_subtrees = true;
  actions.emplace_back(std::move(exchange));
}

void ApplyToStore(PeerProtocol& protocol, const SubtreeValue& subtree) {
  protocol.requested_teams.erase(subtree.team);
  // A value that the store rejects as invalid or old is not announced.
  if (protocol.config.apply(subtree)) {
    protocol.teams_to_announce.insert(subtree.team);
    protocol.config_pull_backoff = milliseconds(0);
  }
}

void CompareSubtrees(const PeerProtocol& protocol,
                     const ExchangeRequest& request,
                     ExchangeReply& reply) {
  const auto theirs = VersionsByTeam(request.subtrees);
  const auto ours = VersionsByTeam(protocol.config.versions());
  std::size_t bytes = 0;
  for (const auto& [team, version] : ours) {
    const auto found = theirs.find(team);
    if ((found != theirs.end() && !IsOlder(found->second, version)) ||
        bytes > kMaxSubtreeBytes) {
      continue;
    }
    if (auto subtree = protocol.config.look_up(team)) {
      bytes += subtree->value.size();
      reply.subtrees.push_back(std::move(*subtree));
    }
  }
  for (const auto& [team, version] : theirs) {
    const auto found = ours.find(team);
    if (found == ours.end() || IsOlder(found->second, version)) {
      reply.wanted_subtrees.push_back(version);
    }
  }
}

std::vector<AnnouncedVersion> ReceiveSubtrees(
    PeerProtocol& protocol,
    const std::vector<SubtreeValue>& subtrees,
    Time now) {
  std::vector<AnnouncedVersion> requested;
  if (subtrees.empty()) {
    return requested;
  }
  const auto ours = VersionsByTeam(protocol.config.versions());
  for (const SubtreeValue& subtree : subtrees) {
    if (!subtree.value.empty()) {
      ApplyToStore(protocol, subtree);
      continue;
    }
    AnnouncedVersion held;
    held.team = subtree.team;
    const auto found = ours.find(subtree.team);
    if (found != ours.end()) {
      held = found->second;
    }
    // Several neighbours announce the same change. Request the value from only
    // one of them at a time.
    Time& requested_until = protocol.requested_teams[subtree.team];
    if (std::tie(held.generation, held.revision) <
            std::tie(subtree.generation, subtree.revision) &&
        now >= requested_until) {
      requested_until = now + kRequestedValueTimeout;
      requested.push_back(std::move(held));
    }
  }
  return requested;
}

std::vector<SubtreeValue> LookUpSubtrees(
    const PeerProtocol& protocol,
    const std::vector<AnnouncedVersion>& wanted) {
  std::vector<SubtreeValue> subtrees;
  std::size_t bytes = 0;
  for (const AnnouncedVersion& version : wanted) {
    auto subtree = protocol.config.look_up(version.team);
    if (subtree && bytes <= kMaxSubtreeBytes) {
      bytes += subtree->value.size();
      subtrees.push_back(std::move(*subtree));
    }
  }
  return subtrees;
}

}  // namespace comfrey
