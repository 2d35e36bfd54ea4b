#ifndef CORE_PEER_STATE_H_
#define CORE_PEER_STATE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/membership.h"
#include "core/peer_message.h"
#include "core/rumor_buffer.h"

namespace comfrey {

constexpr std::chrono::milliseconds kProbePeriod{1000};
constexpr std::chrono::milliseconds kPingTimeout{500};
constexpr std::chrono::milliseconds kPingThroughTimeout{1000};
constexpr std::chrono::milliseconds kExchangeTimeout{2000};
constexpr std::chrono::milliseconds kPushTimeout{2000};
constexpr std::chrono::seconds kExchangePeriod{30};

/// \brief Time within which all other members of a fleet declare a dead member
/// dead; the probability that it takes longer is below 1 in 100,000 per dead
/// member.
///
/// It is the sum of these times:
/// - 12 s until the first probe of the member. In each second, each of the
///   n - 1 other members probes it with probability 1 / (n - 1), so that the
///   probability of no probe within t seconds is about e^-t.
/// - the timeouts of the direct and of the indirect ping
/// - 4 s until the suspicion has spread to all members
/// - `kSuspicionTimeout`
/// - 1 s until the next check for suspicions that have timed out
constexpr std::chrono::milliseconds kDeathDetectionBound =
    std::chrono::seconds(12) + kPingTimeout + kPingThroughTimeout +
    std::chrono::seconds(4) + kSuspicionTimeout + std::chrono::seconds(1);

/// \brief Access to the configuration store, which belongs to the caller.
///
/// The functions must not call back into the protocol.
struct ConfigAccess {
  /// Versions of all teams that this daemon holds.
  std::function<std::vector<AnnouncedVersion>()> versions;
  /// Digest of these versions; daemons with equal versions have equal digests.
  std::function<std::uint64_t()> digest;
  std::function<std::optional<SubtreeValue>(const std::string& team)> look_up;
  /// Applies a value to the store; returns whether it is newer and took effect.
  std::function<bool(const SubtreeValue& subtree)> apply;
};

struct PeerSettings {
  /// Numeric addresses of the seeds, without this daemon's own.
  std::vector<std::string> seeds;
};

/// \brief Call of `Ping`; the caller passes the result to `OnPingReply` or
/// `OnPingTimeout`.
struct SendPing {
  std::uint64_t probe = 0;
  std::string address;
  PingRequest request;
  std::chrono::milliseconds timeout{kPingTimeout};
};

/// \brief Call of `PingThrough`; the caller passes the result to
/// `OnPingThroughReply` or `OnPingThroughTimeout`.
struct SendPingThrough {
  std::uint64_t probe = 0;
  std::string address;
  PingThroughRequest request;
  std::chrono::milliseconds timeout{kPingThroughTimeout};
};

/// \brief Call of `Exchange`; the caller passes a reply to `OnExchangeReply`
/// and ignores a failure.
struct SendExchange {
  std::string address;
  ExchangeRequest request;
  std::chrono::milliseconds timeout{kExchangeTimeout};
};

/// \brief Call of `Push`; the caller passes a reply to `OnPushReply` and
/// ignores a failure.
struct SendPush {
  std::string address;
  PushRequest request;
  std::chrono::milliseconds timeout{kPushTimeout};
};

using PeerAction =
    std::variant<SendPing, SendPingThrough, SendExchange, SendPush>;

/// \brief A ping that has neither been answered nor failed yet.
struct Probe {
  /// Name of the pinged member; empty if a seed was pinged by its address.
  std::string name;
  /// Number of indirect pings that have no result yet.
  std::size_t pending_indirect_pings = 0;
  /// Whether the member becomes suspect if the direct and indirect pings fail.
  bool suspect_on_failure = true;
};

/// \brief Numbers of events since the start.
struct PeerStatistics {
  std::uint64_t suspicions = 0;
  std::uint64_t deaths = 0;
  std::uint64_t refutations = 0;
  std::uint64_t pauses = 0;
};

/// \brief State of membership and dissemination of one daemon.
///
/// The functions below are not thread-safe. The caller performs the actions
/// that they return.
struct PeerProtocol {
  using Time = std::chrono::steady_clock::time_point;

  PeerSettings settings;
  ConfigAccess config;
  Membership membership;
  RumorBuffer rumors;
  PeerStatistics statistics;
  /// Members that have reported the same configuration digest as this daemon's
  /// since its start. A joining daemon requests configuration in its exchanges
  /// until there are enough of them.
  std::set<std::string> config_confirmed_by;
  /// Time of the newest known contact of any daemon with the configuration
  /// service; a default value means that none is known.
  Time newest_config_contact;

  Time started;
  Time last_tick;
  double send_tokens = 0;
  Time send_tokens_refilled_at;

  std::map<std::uint64_t, Probe> probes;
  std::uint64_t next_probe_id = 1;
  /// Members that remain to be probed in this round, the next one last.
  std::vector<std::string> probe_order;
  Time next_probe;
  Time next_expiry;
  Time next_dead_retry;
  Time next_seed_ping;
  std::chrono::milliseconds seed_backoff{0};
  std::vector<std::string> suspects_to_ping;

  Time next_exchange;
  /// Number of exchanges that still have to compare a slice of the members. If
  /// it is 0, an exchange compares the digests only.
  std::size_t slices_left = 0;
  /// Name at which the next slice starts, in the circular order of names.
  std::string slice_start;
  /// Partner of the next exchange; if empty, it is chosen at random.
  std::string exchange_address;
  /// Whether the last exchange compares the digests only and has no reply yet.
  bool last_exchange_digest_only = false;

  /// Names of the members whose records the next tick pushes.
  std::set<std::string> records_to_push;
  std::set<std::string> teams_to_announce;
  std::vector<std::string> neighbours;
  /// Value of `live_revision` for which `neighbours` was selected.
  std::uint64_t neighbours_revision = 0;

  Time config_pull_at;
  /// Member to pull the configuration from; empty if no pull is scheduled.
  std::string config_pull_address;
  /// This daemon's configuration digest when the pull was scheduled. The pull
  /// is omitted if the digest has changed since.
  std::uint64_t config_pull_digest = 0;
  std::chrono::milliseconds config_pull_backoff{0};
  Time config_pull_not_before;
  /// Times until which the requested configuration of a team is not requested
  /// from another member.
  std::map<std::string, Time> requested_teams;

  /// Statuses to publish as soon as the rate limits permit it.
  std::optional<std::vector<EndpointStatus>> pending_statuses;
  Time last_publication;
  double publication_tokens = 0;
  Time publication_tokens_refilled_at;
};

}  // namespace comfrey

#endif  // CORE_PEER_STATE_H_
