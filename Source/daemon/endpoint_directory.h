#ifndef DAEMON_ENDPOINT_DIRECTORY_H_
#define DAEMON_ENDPOINT_DIRECTORY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "config/config_store.h"
#include "config/daemon_settings.h"
#include "core/endpoint_selector.h"
#include "core/path_health.h"
#include "core/placement.h"
#include "core/retry_budget.h"
#include "peer.pb.h"

namespace comfrey {

/// \brief Where this daemon is, for the choice of near endpoints.
struct Location {
  std::string region;
  std::string failure_domain;
};

/// \brief What membership tells of the owner of endpoints.
struct OwnerView {
  /// IP number.
  std::string ip;
  Location location;
  bool dead = false;
  bool leaving = false;
  std::vector<rpc::EndpointStatus> endpoints;
};

/// \brief Names a service of a team.
struct ServiceId {
  std::string team;
  std::string service;
};

inline bool operator<(const ServiceId& a, const ServiceId& b) {
  return std::tie(a.team, a.service) < std::tie(b.team, b.service);
}

/// \brief The endpoint to which a request is offered next.
struct ChosenEndpoint {
  std::string address;
  std::string ip;
  /// Empty if it is not known.
  std::string instance;
  PlacementMode mode = PlacementMode::kRunNow;
  /// With PlacementMode::kSpare: the longest wait for which it is queued.
  std::chrono::microseconds max_wait{0};
  /// What the choice rests on, for the log: "failure domain", "region" or
  /// "other region", the wait that its owner expected, and how old the last
  /// reply of the owner is; 0 if there was none.
  absl::string_view distance;
  bool remote = false;  ///< In another region.
  /// Round trip to its owner; 0 if it is not known.
  std::chrono::microseconds round_trip{0};
  std::chrono::microseconds expected_wait{0};
  std::chrono::steady_clock::duration status_age{0};
};

/// \brief What became of one request at the endpoints that were tried, by
/// address.
using TriedEndpoints = std::map<std::string, AskResult>;

/// \brief One endpoint as the ingress sees it, for reports.
struct EndpointSnapshot {
  ServiceId service;
  std::string address;
  EndpointView view;
  VerdictReason reason = VerdictReason::kNone;
  std::chrono::microseconds latency{0};
  bool in_use = false;
  /// Percent of its full share of requests, if in use.
  unsigned share = 100;
  bool ejection_honoured = false;
};

/// \brief What the ingress knows of all endpoints of the fleet; thread-safe.
class EndpointDirectory {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  EndpointDirectory(std::string name,
                    Location location,
                    RepeatLimit repeats = {});

  void ApplyConfig(const ConfigStore& store);

  /// \brief Adopts the state of an owner from membership.
  void ApplyOwner(const OwnerView& owner);

  /// \brief Applies the records that were held back in favour of newer
  /// replies; called each second.
  void ApplyPendingRecords();

  /// \brief Chooses the endpoint to which a request is offered next, or nothing
  /// if none is left. The request counts as in progress there until `Finish`.
  std::optional<ChosenEndpoint> Choose(const ServiceId& service,
                                       const RankConfig& rank,
                                       const TriedEndpoints& tried);
  void Finish(const ServiceId& service, const std::string& address);

  /// \brief Wait that the owners expect for work of the rank at the endpoint
  /// where it is shortest.
  std::chrono::microseconds ShortestWait(const ServiceId& service,
                                         const std::string& rank);

  /// \brief Owners in other regions that are to be connected before work is
  /// sent there, and are not yet; each trial ends with RecordAccepted or
  /// RecordFailure.
  std::vector<std::string> UnconnectedStandbys();

  /// \brief Owners whose path is suspect and is to be tried now; each trial
  /// ends with RecordAccepted or RecordFailure.
  std::vector<std::string> BeginDueTrials();

  /// \brief Adopts the status that came with a reply of an owner.
  void RecordReply(const ServiceId& service,
                   const std::string& rank,
                   const rpc::Result& result,
                   TimePoint now);

  void RecordAccepted(const std::string& ip, TimePoint sent_at, TimePoint now);
  void RecordFailure(const std::string& ip,
                     PathFailure failure,
                     TimePoint sent_at,
                     TimePoint now);
  std::chrono::microseconds AcceptTimeoutOf(const std::string& ip);

  /// \brief Adds recent summaries of the other endpoints of the service.
  void AddSiblingSummaries(const ServiceId& service,
                           rpc::ForwardRequest& request);

  void CountFirstAttempt(const ServiceId& service);
  bool TakeRetryOf(const ServiceId& service,
                   RepeatPolicy repeat,
                   AttemptEnd previous);
  /// \brief Gives back a retry that no backend server received.
  /// \brief Charges the budget of the service for a repeat by an owner.
  void ChargeRetryOf(const ServiceId& service);
  void ReturnRetryOf(const ServiceId& service);

  std::vector<EndpointSnapshot> Report();

 private:
  struct RankForecast {
    /// The owner refuses further work until this time.
    TimePoint full_until;
    /// Time at which queued work would start.
    TimePoint free_at;
  };

  struct Endpoint {
    std::string address;
    std::string ip;
    std::string instance;
    /// The configuration says that the backend server leaves.
    bool configured_draining = false;
    EndpointView view;
    std::uint16_t in_flight = 0;
    TimePoint suspect_until;
    /// Chosen as one of the endpoints of another region that get work first.
    bool standby = false;
    VerdictReason reason = VerdictReason::kNone;
    std::chrono::microseconds latency{0};
    std::optional<EndpointSummary> summary;
    /// When a reply of the owner last brought its status.
    TimePoint replied_at;
    /// A published record was held back because of that reply.
    bool record_pending = false;
    std::map<std::string, RankForecast> forecasts;
  };

  struct Service {
    unsigned floor_percent = 0;
    std::vector<Endpoint> endpoints;
    CapacityPlan plan;
    bool plan_is_current = false;
    RetryBudget budget;
  };

  void ApplyOwnerTo(const OwnerView& owner, Service& service);
  void ApplyStatus(const rpc::EndpointStatus& status, Endpoint& endpoint);
  void UpdateReachability(const std::string& ip, bool was_clear);
  std::vector<EndpointView> MakeViews(const Service& service) const;
  void UpdatePlan(Service& service);
  PlacementHint HintFor(const Endpoint& endpoint,
                        const std::string& rank,
                        const TriedEndpoints& tried,
                        TimePoint now) const;
  void ConfigureEndpointView(const EndpointConfig& config, Endpoint& endpoint);
  void ChooseStandbys(Service& service) const;
  void ConfigureRetryBudget(Service& service, int daemons) const;

  std::string name;
  Location location;
  RepeatLimit repeats;
  std::mutex mutex;
  std::mt19937_64 rng;
  std::map<ServiceId, Service> services;
  std::map<std::string, OwnerView> owners;
  std::map<std::string, PathHealth> paths;
};

}  // namespace comfrey

#endif  // DAEMON_ENDPOINT_DIRECTORY_H_
