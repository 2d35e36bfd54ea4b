#include "daemon/daemon.h"

#include <signal.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "daemon/peer_message_conversion.h"
#include "daemon/stop_phases.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxChannels = 128;
constexpr char kTeamPrefix[] = "/comfreywood/teams/";

constexpr std::chrono::milliseconds kTickPeriod{100};
constexpr std::chrono::milliseconds kSlowTickPeriod{1000};
constexpr std::chrono::milliseconds kEndpointProbePeriod{1000};
constexpr std::chrono::milliseconds kRecoveryPeriod{500};
constexpr std::chrono::milliseconds kVmListPeriod{2000};
constexpr std::chrono::milliseconds kDrainPollPeriod{20};
// Time for which a stopping daemon refuses forwarded requests before its server
// ends. The other daemons learn from the refusals that it leaves; a request
// that meets the end of the server has an unknown outcome.
constexpr std::chrono::milliseconds kRefusalTime{300};
// The daemon tests suspect paths with messages of its own, not with requests of
// callers.
constexpr std::chrono::milliseconds kPathTrialPeriod{200};
constexpr std::chrono::milliseconds kPathTrialTimeout{600};
// Number of paths that are tested at the same time. One after the other, the
// trials of 82 suspect paths kept some of them out of use for 15 s after a
// partition. The number is limited, since each trial opens a connection.
constexpr std::size_t kConcurrentPathTrials = 16;
constexpr int kNotFound = 404;
// Calls of peers that are still in progress after this time are cancelled.
constexpr std::chrono::milliseconds kPeerServerShutdownTimeout{100};
// Time after the start by which anti-entropy has delivered the records of all
// members. Key recovery begins only then, because it needs the journals of all
// members.
constexpr std::chrono::seconds kMembershipSettleTime{5};

OwnerView ToOwnerView(const MemberRecord& member) {
  OwnerView view;
  view.ip = member.address;
  view.location = {member.region, member.failure_domain};
  view.dead = IsDead(member);
  view.leaving = member.state == MemberState::kLeaving;
  for (const EndpointStatus& status : member.endpoints) {
    rpc::EndpointStatus message;
    ToProto(status, message);
    view.endpoints.push_back(std::move(message));
  }
  return view;
}

// Request handler of the addresses that serve only pages.
IngressReply RespondNotFound(const HttpRequest& /*request*/,
                             const CancelCheck& /*cancelled*/) {
  return MakeLocalReply(CallerOutcome::kNotRun, kNotFound, "no such page");
}

// A stop does not wait for idle connections of the addresses that serve only
// pages, since their requests may be repeated.
FrontendLimits MakePageLimits() {
  FrontendLimits limits;
  limits.stop_idle_time = std::chrono::milliseconds(0);
  return limits;
}

}  // namespace

Daemon::Daemon(DaemonSettings daemon_settings,
               std::uint64_t incarnation,
               RegistrySource registry)
    : settings(std::move(daemon_settings)),
      incarnation(incarnation),
      started_at(Clock::now()),
      started_at_wall(std::chrono::system_clock::now()),
      watchdog(this->timers),
      request_log(this->counters),
      channels(kMaxChannels),
      directory(this->settings.name,
                {this->settings.region, this->settings.failure_domain}),
      budgets(this->settings.retry_budget),
      journal(this->started_at),
      owner_client(this->channels,
                   this->settings.peer_port,
                   RefusalMeaningOf(this->settings.backend.headers)),
      confirmation(this->started_at),
      owner(
          {this->settings.address, incarnation, this->started_at,
           this->started_at_wall},
          this->watchdog,
          this->counters,
          this->request_log,
          [this](const FenceKeyCall& call) { return this->FenceKey(call); },
          this->settings.backend,
          this->HasRegistry() ? &this->confirmation : nullptr,
          &this->repeated_runs),
      keeper(static_cast<std::size_t>(this->settings.bootstrap_peers),
             this->settings.seeds.size(),
             this->counters,
             [this](const std::shared_ptr<const ConfigStore>& store) {
               this->owner.ApplyConfig(*store);
               this->directory.ApplyConfig(*store);
               this->budgets.ApplyConfig(*store);
               this->journal.ApplyConfig(*store);
               this->levels.ApplyConfig(*store);
             }),
      runner(this->SelfRecord(),
             this->settings.seeds,
             this->settings.peer_port,
             this->channels,
             this->counters,
             {this->keeper.Access(), [this] { return !this->keeper.Ready(); },
              [this](const PeerConfirmation& confirmation) {
                this->OnPeerConfirmation(confirmation);
              }}),
      peer_server(this->owner, this->journal, this->runner),
      ingress({this->settings.name, incarnation},
              {this->keeper.Holder(), this->directory, this->budgets,
               this->owner_client, this->journal, this->levels, this->counters,
               this->request_log, this->settings.backend.headers,
               [this] { return this->LocalService(); },
               this->HasRegistry() ? &this->confirmation : nullptr,
               &this->repeated_runs}),
      pages({this->settings, incarnation, this->started_at, this->leaving,
             this->keeper, this->runner, this->directory, this->owner,
             this->levels}),
      frontend(this->ingress,
               this->counters,
               {static_cast<std::size_t>(this->settings.max_connections),
                this->settings.max_body_bytes, this->settings.max_header_bytes},
               this->MakeCallerPages()),
      status_frontend(RespondNotFound,
                      this->counters,
                      MakePageLimits(),
                      this->MakePages()),
      ready_frontend(RespondNotFound,
                     this->counters,
                     MakePageLimits(),
                     this->MakePages()),
      config_watcher(
          ConfigServiceClient(this->settings.config_service.ip,
                              this->settings.config_service.port),
          this->counters,
          {[this](const ServiceValue& value) { this->OnConfigValue(value); },
           [this](TimePoint requested_at) {
             this->OnConfigContact(requested_at);
           }}),
      registry_watcher(
          std::move(registry),
          this->counters,
          this->confirmation,
          [this](const RegistryView& view) { this->ApplyRegistryView(view); }),
      prober(this->owner, this->counters),
      recovery(
          this->owner,
          this->journal,
          this->channels,
          this->settings.peer_port,
          RefusalMeaningOf(this->settings.backend.headers),
          {[this] { return this->RecoveryMembers(); }, this->settings.name}),
      vm_list(ConfigServiceClient(this->settings.config_service.ip,
                                  this->settings.config_service.port),
              this->channels,
              this->settings.peer_port,
              this->counters,
              [this] { return this->config_watcher.IsReader(); }),
      probe_thread(kEndpointProbePeriod, [this] { this->prober.ProbeAll(); }),
      recovery_thread(kRecoveryPeriod,
                      [this] { this->recovery.ReadMissingJournals(); }),
      vm_list_thread(kVmListPeriod, [this] { this->vm_list.ReadOnce(); }),
      path_trial_thread(kPathTrialPeriod, [this] { this->RunDuePathTrials(); }),
      local_service(this->settings.local_service) {}

Daemon::~Daemon() {
  this->timers.Stop();
}

MemberRecord Daemon::SelfRecord() const {
  MemberRecord self;
  self.name = this->settings.name;
  self.address = this->settings.address;
  self.region = this->settings.region;
  self.failure_domain = this->settings.failure_domain;
  self.incarnation = this->incarnation;
  return self;
}

absl::Status Daemon::Start() {
  const int peer_port = this->settings.peer_listen_port != 0
                            ? this->settings.peer_listen_port
                            : this->settings.peer_port;
  const std::string peer_address =
      absl::StrCat(this->settings.address, ":", peer_port);
  absl::Status peer = this->peer_server.Start(peer_address);
  if (!peer.ok()) {
    return peer;
  }
  this->channels.OpenSelfChannel(peer_address);
  absl::Status http = this->StartFrontends();
  if (!http.ok()) {
    return http;
  }
  this->SubscribeTimers();
  this->StartWatchers();
  this->path_trial_thread.Start();
  return absl::OkStatus();
}

absl::Status Daemon::StartFrontends() {
  const SocketAddress callers = CallerAddress(this->settings);
  struct Listener {
    HttpFrontend& frontend;
    std::optional<SocketAddress> address;
  };
  for (const Listener& listener :
       {Listener{this->frontend, callers},
        Listener{this->status_frontend, this->settings.status_listen},
        Listener{this->ready_frontend, this->settings.ready_listen}}) {
    if (!listener.address) {
      continue;
    }
    absl::Status status =
        listener.frontend.Start(listener.address->ip, listener.address->port);
    if (!status.ok()) {
      return status;
    }
  }
  spdlog::info("daemon {} listens for callers on {}", this->settings.name,
               FormatSocketAddress(callers));
  return absl::OkStatus();
}

// A registry lists the endpoints and publishes the configuration to every
// daemon. With a registry, the daemon therefore needs no configuration service,
// peers, VM list or probes.
void Daemon::StartWatchers() {
  if (this->HasRegistry()) {
    this->registry_watcher.Start();
    return;
  }
  this->config_watcher.Start();
  this->probe_thread.Start();
  this->recovery_thread.Start();
  this->vm_list_thread.Start();
}

void Daemon::StopWatchers() {
  this->registry_watcher.Stop();
  this->recovery_thread.Stop();
  this->probe_thread.Stop();
  this->vm_list_thread.Stop();
  this->config_watcher.Stop();
}

FrontendPages Daemon::MakePages() {
  FrontendPages pages;
  pages.ready = [this] { return this->keeper.Ready(); };
  pages.accepting_callers = [this] {
    return this->keeper.Ready() && !this->leaving;
  };
  pages.caller_limits = [this] { return this->PublishedLimits(); };
  pages.ready_path = this->settings.ready_path;
  pages.enabled = true;
  pages.status = [this] { return this->pages.Status(); };
  pages.burn = [this] { return this->pages.Burn(); };
  pages.explain = [this](const ExplainQuery& query) {
    return this->pages.Explain(query);
  };
  return pages;
}

// If the pages have an address of their own, the address for callers serves no
// pages, so that callers can use all paths.
FrontendPages Daemon::MakeCallerPages() {
  FrontendPages pages = this->MakePages();
  pages.enabled = !this->settings.status_listen;
  pages.is_idempotent = [this](const HttpRequest& request) {
    return this->ingress.IsIdempotent(request);
  };
  return pages;
}

std::string Daemon::LocalService() {
  const std::lock_guard<std::mutex> lock(this->local_service_mutex);
  return this->local_service;
}

void Daemon::Reload(const DaemonSettings& next) {
  {
    const std::lock_guard<std::mutex> lock(this->local_service_mutex);
    if (this->local_service != next.local_service) {
      spdlog::info("settings: the local service is \"{}\", was \"{}\"",
                   next.local_service, this->local_service);
      this->local_service = next.local_service;
    }
  }
  if (next.registry != this->settings.registry) {
    spdlog::warn(
        "settings: the registry changed; restart the daemon to use it");
  }
}

std::optional<CallerLimits> Daemon::PublishedLimits() {
  const std::shared_ptr<const ConfigStore> store = this->keeper.Current();
  const auto team = store->subtrees.find(kRegistryTeam);
  return team == store->subtrees.end() ? std::nullopt
                                       : team->second->config->caller_limits;
}

void Daemon::ApplyRegistryView(const RegistryView& view) {
  std::optional<TeamConfig> team =
      BuildRegistryTeam(view, {this->settings.regions, this->settings.floor});
  if (team) {
    this->keeper.ApplyTeam(*std::move(team));
  }
}

void Daemon::RunDuePathTrials() {
  std::vector<std::string> ips = this->directory.BeginDueTrials();
  for (std::string& ip : this->directory.UnconnectedStandbys()) {
    ips.push_back(std::move(ip));
  }
  for (std::size_t begin = 0; begin < ips.size() && !this->stopping;
       begin += kConcurrentPathTrials) {
    const std::size_t end = std::min(begin + kConcurrentPathTrials, ips.size());
    this->RunPathTrials({ips.begin() + static_cast<std::ptrdiff_t>(begin),
                         ips.begin() + static_cast<std::ptrdiff_t>(end)});
  }
}

void Daemon::RunPathTrials(const std::vector<std::string>& ips) {
  const TimePoint sent_at = Clock::now();
  const std::vector<std::optional<TimePoint>> replied_at =
      this->owner_client.RefreshStamps(
          ips, sent_at + kPathTrialTimeout,
          [this] { return this->stopping.load(); });
  if (this->stopping) {
    return;
  }
  const TimePoint now = Clock::now();
  for (std::size_t i = 0; i < ips.size(); ++i) {
    if (replied_at[i]) {
      this->directory.RecordAccepted(ips[i], sent_at, *replied_at[i]);
    } else {
      this->directory.RecordFailure(ips[i], PathFailure::kTransport, sent_at,
                                    now);
    }
  }
}

void Daemon::SubscribeTimers() {
  this->timers.Subscribe(kTickPeriod,
                         [this](TimePoint now) { this->Tick(now); });
  this->timers.Subscribe(kSlowTickPeriod,
                         [this](TimePoint now) { this->SlowTick(now); });
}

void Daemon::Stop() {
  spdlog::info("daemon {} is leaving", this->settings.name);
  const TimePoint begin = Clock::now();
  const StopPhases phases = PlanStop(this->settings.max_drain_time);
  this->leaving = true;
  const TimePoint abort_at = begin + phases.abort;
  this->runner.BeginLeaving();
  this->owner.BeginStop(abort_at);
  std::this_thread::sleep_until(begin + phases.close);
  this->owner.DrainForShutdown();
  const TimePoint drained_at = Clock::now();
  const TimerService::SubscriptionId abort =
      this->timers.Subscribe(kTickPeriod, [this, abort_at](TimePoint now) {
        if (now >= abort_at && !this->frontend.IsAborting()) {
          spdlog::warn("stop: {} requests of callers are aborted",
                       this->frontend.CountInProgress());
          this->frontend.Abort();
          this->owner.AbortBackendCalls();
        }
      });
  this->stopping = true;
  spdlog::info("stop: no more connections, {} requests of callers in progress",
               this->frontend.CountInProgress());
  this->frontend.Stop();
  spdlog::info("stop: all callers are answered");
  this->timers.Unsubscribe(abort);
  for (HttpFrontend* pages : {&this->status_frontend, &this->ready_frontend}) {
    pages->Abort();
    pages->Stop();
  }
  this->WaitForForwardedRequests(abort_at);
  std::this_thread::sleep_until(
      std::min<TimePoint>(drained_at + kRefusalTime, abort_at));
  // Ends the calls to backend servers that remain, which the server of the
  // peers would wait for. The timers run on, since they end these calls.
  this->owner.AbortBackendCalls();
  this->peer_server.Shutdown(std::chrono::system_clock::now() +
                             kPeerServerShutdownTimeout);
  this->StopWatchers();
  this->path_trial_thread.Stop();
  this->timers.Stop();
  spdlog::info("daemon {} stopped", this->settings.name);
}

// Waits until no forwarded request is queued or running at this daemon. The
// endpoints are draining already; Drain is called because it returns the number
// of requests in flight.
void Daemon::WaitForForwardedRequests(TimePoint deadline) {
  while (Clock::now() < deadline) {
    const absl::StatusOr<std::size_t> in_flight =
        this->owner.Drain("", DrainSource::kOperator, true);
    if (!in_flight.ok() || *in_flight == 0) {
      return;
    }
    std::this_thread::sleep_for(kDrainPollPeriod);
  }
  spdlog::warn("the grace period ended with requests in flight");
}

void Daemon::Tick(TimePoint now) {
  this->owner.Tick(now);
  this->journal.ObserveTime();
  if (this->HasRegistry()) {
    return;
  }
  std::vector<EndpointStatus> statuses;
  for (const rpc::EndpointStatus& status : this->owner.Statuses()) {
    statuses.push_back(FromProto(status));
  }
  this->runner.SetStatuses(std::move(statuses));
  this->runner.Tick(now);
  this->ApplyMembers();
  this->keeper.Tick(now);
}

void Daemon::SlowTick(TimePoint now) {
  this->request_log.Tick(now);
  if (this->HasRegistry()) {
    return;
  }
  this->config_watcher.SetDecision(this->runner.DecideConfigRead(now));
  this->ConfirmByOwners();
  this->directory.ApplyPendingRecords();
  if (!this->leaving && this->runner.Replaced()) {
    spdlog::error(
        "a later incarnation of daemon {} is running; stopping this one",
        this->settings.name);
    // The main thread waits for this signal.
    kill(getpid(), SIGTERM);
  }
}

void Daemon::ApplyMembers() {
  for (const MemberRecord& member : this->runner.TakeChangedMembers()) {
    this->directory.ApplyOwner(ToOwnerView(member));
  }
}

void Daemon::OnConfigValue(const ServiceValue& value) {
  if (!absl::StartsWith(value.path, kTeamPrefix)) {
    return;
  }
  const std::string team = value.path.substr(sizeof(kTeamPrefix) - 1);
  if (this->keeper.ApplyServiceValue(team, value.revision, value.text)) {
    this->runner.AnnounceConfig(team);
  }
}

void Daemon::OnConfigContact(TimePoint requested_at) {
  this->runner.RecordConfigContact(Clock::now());
  this->ConfirmEndpoints(requested_at, std::chrono::milliseconds(0));
}

void Daemon::OnPeerConfirmation(const PeerConfirmation& confirmation) {
  if (!this->keeper.RecordPeerDigest(confirmation.name, confirmation.starting,
                                     confirmation.config_digest)) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(this->agreement_mutex);
    this->agreed_at[confirmation.address] = confirmation.requested_at;
  }
  if (confirmation.config_age.count() >= 0) {
    this->ConfirmEndpoints(
        confirmation.requested_at,
        std::chrono::ceil<std::chrono::milliseconds>(confirmation.config_age));
  }
}

void Daemon::ConfirmEndpoints(TimePoint requested_at,
                              std::chrono::milliseconds age) {
  for (const std::shared_ptr<OwnedEndpoint>& endpoint :
       this->owner.Endpoints()) {
    const std::lock_guard<std::mutex> lock(endpoint->mutex);
    ConfirmPlacement(endpoint->keyed, endpoint->keyed.version, requested_at,
                     age, Clock::now(), std::chrono::system_clock::now());
  }
}

// While no member reaches the configuration service, no member can have a newer
// placement of a service than its owners. The owners therefore confirm the
// placement to each other: it is confirmed if all of them have answered a ping
// with the configuration digest of this daemon.
void Daemon::ConfirmByOwners() {
  for (const std::shared_ptr<OwnedEndpoint>& endpoint :
       this->owner.Endpoints()) {
    const std::lock_guard<std::mutex> lock(endpoint->mutex);
    const std::lock_guard<std::mutex> agreement_lock(this->agreement_mutex);
    TimePoint oldest = Clock::now();
    bool all = true;
    for (const PlacedEndpoint& placed : endpoint->keyed.endpoints) {
      const std::string ip =
          placed.endpoint.substr(0, placed.endpoint.rfind(':'));
      if (ip == this->settings.address) {
        continue;
      }
      const auto agreed = this->agreed_at.find(ip);
      all = all && agreed != this->agreed_at.end();
      oldest = all ? std::min(oldest, agreed->second) : oldest;
    }
    if (all) {
      ConfirmPlacement(endpoint->keyed, endpoint->keyed.version, oldest,
                       std::chrono::milliseconds(0), Clock::now(),
                       std::chrono::system_clock::now());
    }
  }
}

KeyFenceReply Daemon::FenceKey(const FenceKeyCall& call) {
  if (!this->journal.RecordKeyFenceCall(call.endpoint, call.key, call.version,
                                        Clock::now())) {
    return {};
  }
  return this->owner_client.FenceKey(call);
}

std::vector<MemberRecord> Daemon::RecoveryMembers() {
  if (!this->keeper.Ready() ||
      Clock::now() - this->started_at < kMembershipSettleTime) {
    return {};
  }
  return this->runner.Members();
}

}  // namespace comfrey
