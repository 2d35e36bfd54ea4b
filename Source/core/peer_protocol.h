#ifndef CORE_PEER_PROTOCOL_H_
#define CORE_PEER_PROTOCOL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
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

/// \brief Time after which, with a probability of all but 1 in 100,000 per
/// dead member, every other member of a fleet holds it as dead.
///
/// The first probe comes within 12 s (each second, each of the n - 1 others
/// probes the member with probability 1 / (n - 1), so that none does for t
/// seconds with probability e^-t); the direct and the indirect ping time out;
/// the suspicion spreads within 4 s, lasts `kSuspicionTimeout` at each member,
/// and its end is noticed within 1 s.
constexpr std::chrono::milliseconds kDeathDetectionBound =
    std::chrono::seconds(12) + kPingTimeout + kPingThroughTimeout +
    std::chrono::seconds(4) + kSuspicionTimeout + std::chrono::seconds(1);

/// \brief Bytes per second that a daemon may send on membership; it receives
/// as much on average, which gives 7 KB/s in total with a reserve.
constexpr std::size_t kSendBytesPerSecond = 2500;

/// \brief Access to the configuration store, which belongs to the caller.
///
/// The functions must not call back into the protocol.
struct ConfigAccess {
  /// Versions of all teams that this daemon holds.
  std::function<std::vector<AnnouncedVersion>()> versions;
  /// Digest of these versions, the same on daemons with equal versions.
  std::function<std::uint64_t()> digest;
  std::function<std::optional<SubtreeValue>(const std::string& team)> look_up;
  /// Offers a value; returns whether it took effect as a newer version.
  std::function<bool(const SubtreeValue& subtree)> offer;
};

struct PeerSettings {
  /// Numeric addresses of the seeds, without this daemon's own.
  std::vector<std::string> seeds;
};

/// \brief Asks for the call `Ping`; `OnPingReply` or `OnPingTimeout` follows.
struct SendPing {
  std::uint64_t probe = 0;
  std::string address;
  PingRequest request;
  std::chrono::milliseconds timeout{kPingTimeout};
};

/// \brief Asks for the call `PingThrough`; `OnPingThroughReply` or
/// `OnPingThroughTimeout` follows.
struct SendPingThrough {
  std::uint64_t probe = 0;
  std::string address;
  PingThroughRequest request;
  std::chrono::milliseconds timeout{kPingThroughTimeout};
};

/// \brief Asks for the call `Exchange`; `OnExchangeReply` follows on success.
struct SendExchange {
  std::string address;
  ExchangeRequest request;
  std::chrono::milliseconds timeout{kExchangeTimeout};
};

/// \brief Asks for the call `Push`; `OnPushReply` follows on success.
struct SendPush {
  std::string address;
  PushRequest request;
  std::chrono::milliseconds timeout{kPushTimeout};
};

using PeerAction =
    std::variant<SendPing, SendPingThrough, SendExchange, SendPush>;

/// \brief A probe of a member that has not been answered.
struct Probe {
  std::string name;
  /// Indirect pings without a result.
  std::size_t pending_indirect_pings = 0;
  bool suspect_on_failure = true;
};

/// \brief Events since the start, for the counters of the daemon.
struct PeerStatistics {
  std::uint64_t suspicions = 0;
  std::uint64_t deaths = 0;
  std::uint64_t refutations = 0;
  std::uint64_t pauses = 0;
};

/// \brief State of membership and dissemination of one daemon.
///
/// The caller serialises all calls and performs the returned actions.
struct PeerProtocol {
  using Time = std::chrono::steady_clock::time_point;

  PeerSettings settings;
  ConfigAccess config;
  Membership membership;
  RumorBuffer rumors;
  PeerStatistics statistics;
  /// Members that reported the same configuration versions as this daemon has,
  /// since its start. A daemon is not ready before enough of them did.
  std::set<std::string> config_confirmed_by;
  /// Newest known contact of any daemon with the configuration service; a
  /// default value means none.
  Time newest_config_contact;

  Time started;
  Time last_tick;
  double send_tokens = 0;
  Time send_tokens_refilled_at;

  std::map<std::uint64_t, Probe> probes;
  std::uint64_t next_probe_id = 1;
  std::vector<std::string> probe_order;
  Time next_probe;
  Time next_expiry;
  Time next_dead_retry;
  Time next_seed_ping;
  std::chrono::milliseconds seed_backoff{0};
  std::vector<std::string> suspects_to_ping;

  Time next_exchange;
  std::size_t slices_left = 0;
  std::string slice_start;
  std::string exchange_address;
  /// Whether the last exchange sent the digest alone.
  bool last_exchange_digest_only = false;

  std::set<std::string> records_to_push;
  std::set<std::string> teams_to_announce;
  std::vector<std::string> neighbours;
  std::uint64_t neighbours_revision = 0;

  Time config_pull_at;
  std::string config_pull_address;
  std::uint64_t config_pull_digest = 0;
  std::chrono::milliseconds config_pull_backoff{0};
  Time config_pull_not_before;
  std::map<std::string, Time> requested_teams;

  /// Unpublished statuses, if they differ from the published ones.
  std::optional<std::vector<EndpointStatus>> pending_statuses;
  Time last_publication;
  double publication_tokens = 0;
  Time publication_tokens_refilled_at;
};

/// \brief Starts the protocol; `self` names the incarnation of the daemon.
PeerProtocol MakePeerProtocol(MemberRecord self,
                              PeerSettings settings,
                              ConfigAccess config,
                              PeerProtocol::Time now,
                              std::mt19937_64& rng);

/// \brief Advances the timers; call it about every 100 ms.
std::vector<PeerAction> Tick(PeerProtocol& protocol,
                             PeerProtocol::Time now,
                             std::mt19937_64& rng);

PingReply OnPing(PeerProtocol& protocol,
                 const PingRequest& request,
                 PeerProtocol::Time now,
                 std::mt19937_64& rng);
void OnPingReply(PeerProtocol& protocol,
                 std::uint64_t probe,
                 const PingReply& reply,
                 PeerProtocol::Time now);
std::vector<PeerAction> OnPingTimeout(PeerProtocol& protocol,
                                      std::uint64_t probe,
                                      PeerProtocol::Time now,
                                      std::mt19937_64& rng);

/// \brief Returns the ping to send to the target on behalf of the requester.
///
/// The caller answers the requester with the outcome, and passes a reply to
/// `OnPingReply` as well; a timeout needs no call.
SendPing OnPingThrough(PeerProtocol& protocol,
                       const PingThroughRequest& request,
                       PeerProtocol::Time now);
void OnPingThroughReply(PeerProtocol& protocol,
                        std::uint64_t probe,
                        const PingThroughReply& reply,
                        PeerProtocol::Time now);
void OnPingThroughTimeout(PeerProtocol& protocol,
                          std::uint64_t probe,
                          PeerProtocol::Time now);

ExchangeReply OnExchange(PeerProtocol& protocol,
                         const ExchangeRequest& request,
                         PeerProtocol::Time now,
                         std::mt19937_64& rng);
std::vector<PeerAction> OnExchangeReply(PeerProtocol& protocol,
                                        const std::string& address,
                                        const ExchangeReply& reply,
                                        PeerProtocol::Time now);

PushReply OnPush(PeerProtocol& protocol,
                 const PushRequest& request,
                 PeerProtocol::Time now);
std::vector<PeerAction> OnPushReply(PeerProtocol& protocol,
                                    const std::string& address,
                                    const PushReply& reply);

/// \brief Takes the statuses of all own endpoints, as often as they change.
///
/// A change of verdict or draining is published at once. Other changes are
/// published if they are large enough and within the rate limits.
void OnLocalStatusChange(PeerProtocol& protocol,
                         std::vector<EndpointStatus> statuses,
                         PeerProtocol::Time now);

/// \brief Announces a team's configuration that took effect on this daemon
/// from the configuration service.
void OnLocalConfigChange(PeerProtocol& protocol, const std::string& team);

/// \brief Notes that this daemon reached the configuration service.
void OnConfigContact(PeerProtocol& protocol, PeerProtocol::Time now);

/// \brief Publishes that this daemon is leaving.
void BeginLeaving(PeerProtocol& protocol, PeerProtocol::Time now);

}  // namespace comfrey

#endif  // CORE_PEER_PROTOCOL_H_
