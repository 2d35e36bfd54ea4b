#ifndef DAEMON_INGRESS_ATTEMPT_H_
#define DAEMON_INGRESS_ATTEMPT_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "base/counters.h"
#include "config/config_version.h"
#include "config/daemon_settings.h"
#include "config/route_table.h"
#include "core/deliverable_response.h"
#include "core/http_message.h"
#include "core/key_placement.h"
#include "daemon/config_holder.h"
#include "daemon/endpoint_directory.h"
#include "daemon/ingress_reply.h"
#include "daemon/key_journal.h"
#include "daemon/owner_client.h"
#include "daemon/repeated_run_list.h"
#include "daemon/request_log.h"
#include "daemon/service_budgets.h"
#include "daemon/service_levels.h"
#include "peer.pb.h"

namespace comfrey {

/// \brief Identity of this daemon as an ingress.
struct IngressIdentity {
  std::string name;
  std::uint64_t incarnation = 0;
};

/// \brief The objects that an ingress uses; they must outlive it.
struct IngressDependencies {
  const ConfigHolder& config;
  EndpointDirectory& directory;
  ServiceBudgets& budgets;
  OwnerClient& owners;
  KeyJournal& journal;
  ServiceLevels& levels;
  CounterRegistry& counters;
  RequestLog& log;
  HeaderNames headers;
  /// Returns the name of the service whose backend server runs on this VM; may
  /// be empty.
  std::function<std::string()> local_service = [] { return std::string(); };
  /// Null without a registry.
  const RegistryConfirmation* confirmation = nullptr;
  /// Null if the calls of backend servers cannot be told from other requests.
  const RepeatedRunList* repeated_runs = nullptr;
};

/// \brief One request of a caller.
struct IngressRequest {
  HttpRequest message;
  const RouteMatch& match;
  ServiceId service;
  ConfigVersion version;
  std::optional<KeyId> key;
  std::string organisation;
  std::chrono::steady_clock::time_point read_at;
  std::chrono::steady_clock::time_point deadline;
  const CancelCheck& cancelled;
  RequestTrace& trace;
  /// Whether it may be a call of a run that is a repeat.
  bool of_repeat = false;
};

/// \brief One attempt to run a request, with its outcome.
struct IngressAttempt {
  std::string endpoint;
  std::string ip;
  rpc::ForwardRequest message;
  CallerOutcome outcome = CallerOutcome::kNotRun;
  rpc::RefusalReason reason = rpc::REFUSAL_NONE;
  /// The response of the backend server if the outcome is kAnswered.
  DeliverableResponse response;
  std::string detail;
  /// The state of the attempt at its owner after its reply was lost.
  std::optional<rpc::FenceState> fence;
  /// Whether a backend server may have received the request.
  bool sent = false;
  ChosenEndpoint chosen;
  std::chrono::steady_clock::time_point started_at;

  void SetOutcome(CallerOutcome new_outcome,
                  rpc::RefusalReason new_reason,
                  std::string new_detail);
  IngressReply ToReply();
};

/// \brief Sends attempts to the owners of endpoints and determines their
/// outcomes; thread-safe.
class AttemptSender {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  AttemptSender(const IngressIdentity& identity,
                const IngressDependencies& dependencies);

  /// \brief Returns the sequence number of the next attempt. It is unique
  /// within this incarnation.
  std::uint64_t NextSequence() const { return this->next_sequence.load(); }

  /// \brief Fills the ForwardRequest message of an attempt for its endpoint.
  void FillRequest(const IngressRequest& request, IngressAttempt& attempt);

  /// \brief Queries the load of an endpoint in another region before a request
  /// with a body is sent there. Returns whether to send the attempt; if not,
  /// sets its outcome.
  bool CheckRemoteLoad(const IngressRequest& request, IngressAttempt& attempt);

  /// \brief Sends an attempt with a filled message once and sets its outcome.
  void Send(const IngressRequest& request, IngressAttempt& attempt);

  /// \brief Sends an attempt of a request that must not run twice, and sets its
  /// outcome.
  void SendNonIdempotent(const IngressRequest& request,
                         IngressAttempt& attempt);

 private:
  bool AttachFreshStamp(const IngressRequest& request, IngressAttempt& attempt);
  void SetResponse(rpc::Answer& answer, IngressAttempt& attempt);
  void FenceAfterFailure(const IngressRequest& request,
                         IngressAttempt& attempt);
  void RecordNoReply(const IngressRequest& request,
                     IngressAttempt& attempt,
                     PeerCallEnd end,
                     TimePoint sent_at);
  void RecordPath(const IngressAttempt& attempt,
                  const ForwardCallResult& call,
                  TimePoint sent_at);

  IngressIdentity identity;
  IngressDependencies dependencies;
  std::atomic<std::uint64_t> next_sequence{1};
  Metric& fences;
  Metric& path_failures;
  /// Calls in which one end could not read the message of the other.
  Metric& unreadable;
};

}  // namespace comfrey

#endif  // DAEMON_INGRESS_ATTEMPT_H_
