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
#include "core/endpoint_selector.h"
#include "core/path_health.h"
#include "core/placement.h"
#include "daemon/service_id.h"
#include "peer.pb.h"

namespace comfrey {

/// \brief Location of a daemon, by which near endpoints are preferred.
struct Location {
  std::string region;
  std::string failure_domain;
};

/// \brief State of an owner of endpoints according to membership.
struct OwnerView {
  /// IP address.
  std::string ip;
  Location location;
  bool dead = false;
  bool leaving = false;
  std::vector<rpc::EndpointStatus> endpoints;
};

/// \brief The endpoint that is tried next for a request.
struct ChosenEndpoint {
  std::string address;
  std::string ip;
  /// Instance of the backend server; empty if it is not known.
  std::string instance;
  PlacementMode mode = PlacementMode::kRunNow;
  /// With PlacementMode::kSpare: the longest expected wait for which the
  /// request is queued.
  std::chrono::microseconds max_wait{0};
  /// "failure domain", "region" or "other region", for the log.
  absl::string_view distance;
  bool remote = false;  ///< In another region.
  /// Round trip to its owner; 0 if it is not known.
  std::chrono::microseconds round_trip{0};
  /// Wait that its owner expected, for the log.
  std::chrono::microseconds expected_wait{0};
  /// Age of the last reply of the owner, for the log; 0 if there was none.
  std::chrono::steady_clock::duration status_age{0};
  /// Write of the registry that it was read from, and the time since the
  /// registry last confirmed that there is no later one, for the log.
  RegistryRevision registration;
  std::optional<std::chrono::steady_clock::duration> registry_age;
};

/// \brief Results of one request at the endpoints that were tried, by address.
using TriedEndpoints = std::map<std::string, OfferResult>;

/// \brief State of one endpoint at the ingress, for reports.
struct EndpointSnapshot {
  ServiceId service;
  std::string address;
  EndpointView view;
  VerdictReason reason = VerdictReason::kNone;
  std::chrono::microseconds latency{0};
  bool in_use = false;
  /// Percentage of its full share of requests, if it is in use.
  unsigned share = 100;
  bool ejection_honoured = false;
};

/// \brief State of all endpoints of the fleet at the ingress; thread-safe.
class EndpointDirectory {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  EndpointDirectory(std::string name, Location location);

  void ApplyConfig(const ConfigStore& store);

  /// \brief Applies the state of an owner from membership.
  void ApplyOwner(const OwnerView& owner);

  /// \brief Applies the published records that were deferred because a reply
  /// had brought a newer status; called every second.
  void ApplyPendingRecords();

  /// \brief Chooses the endpoint that is tried next for a request, or nothing
  /// if none is left. The request counts as in flight there until `Finish`.
  std::optional<ChosenEndpoint> Choose(const ServiceId& service,
                                       const RankConfig& rank,
                                       const TriedEndpoints& tried);
  void Finish(const ServiceId& service, const std::string& address);

  /// \brief Returns the shortest wait that an owner of the service expects for
  /// a request of the rank.
  std::chrono::microseconds ShortestWait(const ServiceId& service,
                                         const std::string& rank);

  /// \brief Returns the owners of standby endpoints, in other regions, to which
  /// no connection has been made yet. The caller connects to each and reports
  /// the result by RecordAccepted or RecordFailure.
  std::vector<std::string> UnconnectedStandbys();

  /// \brief Begins the due trials of suspect paths, and of paths whose check
  /// was requested, and returns their owners. The caller reports the result of
  /// each trial by RecordAccepted or RecordFailure.
  std::vector<std::string> BeginDueTrials();

  /// \brief Applies the status in a reply of an owner.
  void RecordReply(const ServiceId& service,
                   const std::string& rank,
                   const rpc::Result& result,
                   TimePoint now);

  void RecordAccepted(const std::string& ip, TimePoint sent_at, TimePoint now);
  void RecordFailure(const std::string& ip,
                     PathFailure failure,
                     TimePoint sent_at,
                     TimePoint now);
  /// \brief Requests a trial of the path to an owner after a call that ended
  /// for a reason of its own, see RequestCheck.
  void RequestPathCheck(const std::string& ip);
  std::chrono::microseconds AcceptTimeoutOf(const std::string& ip);

  /// \brief Adds recent summaries of the other endpoints of the service to a
  /// forwarded request, unless it is sent to another region.
  void AddSiblingSummaries(const ServiceId& service,
                           rpc::ForwardRequest& request);

  std::vector<EndpointSnapshot> Report();

 private:
  struct RankForecast {
    /// The queue is expected to be full until this time.
    TimePoint full_until;
    /// Time at which a newly queued request would start.
    TimePoint free_at;
    /// Time of the reply that contained `free_at`.
    TimePoint reported_at;
  };

  /// How this ingress uses an endpoint, for the log.
  enum class EndpointUse {
    kInUse,
    kEjected,
    kUnreachable,  ///< The path to its owner is suspect.
    kDraining,     ///< It or its owner is leaving.
  };

  struct Endpoint {
    std::string address;
    std::string ip;
    std::string instance;
    std::chrono::system_clock::time_point started_at;
    RegistryRevision registration;
    /// Whether the configuration says that the backend server is draining.
    bool configured_draining = false;
    EndpointView view;
    EndpointUse use = EndpointUse::kInUse;
    std::uint16_t in_flight = 0;
    TimePoint suspect_until;
    /// Whether this endpoint of another region is kept connected and preferred.
    bool standby = false;
    VerdictReason reason = VerdictReason::kNone;
    std::chrono::microseconds latency{0};
    std::optional<EndpointSummary> summary;
    /// Time of the last reply of the owner that contained the status.
    TimePoint replied_at;
    /// Until this time the endpoint stays out of use because of that status;
    /// the epoch if the status does not take it out of use.
    TimePoint out_of_use_until;
    /// Whether a published record was deferred because of that reply.
    bool record_pending = false;
    std::map<std::string, RankForecast> forecasts;
  };

  struct Service {
    unsigned floor_percent = 0;
    std::vector<Endpoint> endpoints;
    CapacityPlan plan;
    bool plan_is_current = false;
  };

  void ApplyOwnerTo(const OwnerView& owner, Service& service);
  void ApplyStatus(const rpc::EndpointStatus& status, Endpoint& endpoint);
  TimePoint OutOfUseUntil(const Endpoint& endpoint,
                          const rpc::Result& result,
                          TimePoint now) const;
  void ExpireStatuses(Service& service, TimePoint now);
  void UpdateReachability(const std::string& ip, bool was_clear);
  std::vector<EndpointView> MakeViews(const Service& service) const;
  void UpdatePlan(Service& service);
  void LogUseChanges(Service& service) const;
  static const char* UseName(EndpointUse use);
  PlacementHint HintFor(const Endpoint& endpoint,
                        const std::string& rank,
                        const TriedEndpoints& tried,
                        TimePoint now) const;
  void ConfigureEndpointView(const EndpointConfig& config, Endpoint& endpoint);
  void ChooseStandbys(Service& service) const;

  std::string name;
  Location location;
  std::mutex mutex;
  std::mt19937_64 rng;
  std::map<ServiceId, Service> services;
  std::map<std::string, OwnerView> owners;
  std::map<std::string, PathHealth> paths;
};

}  // namespace comfrey

#endif  // DAEMON_ENDPOINT_DIRECTORY_H_
