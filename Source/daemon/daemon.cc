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

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxChannels = 128;
constexpr char kTeamPrefix[] = "/comfreywood/teams/";

constexpr std::chrono::milliseconds kTickPeriod{100};
constexpr std::chrono::milliseconds kSlowTickPeriod{1000};
constexpr std::chrono::milliseconds kProbePeriodOfEndpoints{1000};
constexpr std::chrono::milliseconds kRecoveryPeriod{500};
constexpr std::chrono::milliseconds kVmListPeriod{2000};
constexpr std::chrono::milliseconds kDrainPollPeriod{20};
// A daemon that stops goes on accepting callers for this time, while its
// peers learn that it is leaving.
constexpr std::chrono::milliseconds kLeavingNotice{1000};
// By then the anti-entropy of the start has brought all members.
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

}  // namespace

Daemon::Daemon(DaemonSettings daemon_settings, std::uint64_t incarnation)
    : settings(std::move(daemon_settings)),
      incarnation(incarnation),
      started_at(Clock::now()),
      started_at_wall(std::chrono::system_clock::now()),
      watchdog(this->timers),
      channels(kMaxChannels),
      directory({this->settings.region, this->settings.failure_domain}),
      journal(this->started_at),
      owner_client(this->channels, this->settings.peer_port),
      owner({this->settings.address, incarnation, this->started_at,
             this->started_at_wall},
            this->watchdog,
            this->counters,
            [this](const FenceKeyCall& call) { return this->FenceKey(call); }),
      keeper(static_cast<std::size_t>(this->settings.bootstrap_peers),
             this->settings.seeds.size(),
             this->counters,
             [this](const std::shared_ptr<const ConfigStore>& store) {
               this->owner.ApplyConfig(*store);
               this->directory.ApplyConfig(*store);
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
              {this->keeper.Holder(), this->directory, this->owner_client,
               this->journal, this->levels, this->counters}),
      pages({this->settings, incarnation, this->started_at, this->leaving,
             this->keeper, this->runner, this->directory, this->owner,
             this->levels}),
      frontend(this->ingress,
               this->counters,
               {static_cast<std::size_t>(this->settings.connections),
                this->settings.body, this->settings.header},
               {[this] { return this->keeper.Ready(); },
                [this] { return this->pages.Status(); },
                [this] { return this->pages.Burn(); },
                [this](const ExplainQuery& query) {
                  return this->pages.Explain(query);
                }}),
      watcher(ConfigServiceClient(this->settings.config_service.ip,
                                  this->settings.config_service.port),
              this->counters,
              {[this](const ServiceValue& value) { this->AcceptValue(value); },
               [this](TimePoint requested_at) {
                 this->OnConfigContact(requested_at);
               }}),
      prober(this->owner, this->counters),
      recovery(
          this->owner,
          this->journal,
          this->channels,
          this->settings.peer_port,
          {[this] { return this->RecoveryMembers(); }, this->settings.name}),
      vm_list(ConfigServiceClient(this->settings.config_service.ip,
                                  this->settings.config_service.port),
              this->channels,
              this->settings.peer_port,
              this->counters,
              [this] { return this->watcher.IsReader(); }),
      probe_thread(kProbePeriodOfEndpoints,
                   [this] { this->prober.ProbeAll(); }),
      recovery_thread(kRecoveryPeriod, [this] { this->recovery.Advance(); }),
      vm_list_thread(kVmListPeriod, [this] { this->vm_list.Advance(); }) {}

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
  this->channels.OpenOwnChannel(peer_address);
  absl::Status http =
      this->frontend.Start(this->settings.address, this->settings.http_port);
  if (!http.ok()) {
    return http;
  }
  this->SubscribeTimers();
  this->watcher.Start();
  this->probe_thread.Start();
  this->recovery_thread.Start();
  this->vm_list_thread.Start();
  spdlog::info("daemon {} listens for callers on {}:{}", this->settings.name,
               this->settings.address, this->settings.http_port);
  return absl::OkStatus();
}

void Daemon::SubscribeTimers() {
  this->timers.Subscribe(kTickPeriod,
                         [this](TimePoint now) { this->Tick(now); });
  this->timers.Subscribe(kSlowTickPeriod,
                         [this](TimePoint now) { this->SlowTick(now); });
}

void Daemon::Stop() {
  spdlog::info("daemon {} is leaving", this->settings.name);
  const TimePoint deadline = Clock::now() + this->settings.grace;
  this->leaving = true;
  this->runner.BeginLeaving();
  this->owner.BeginStop();
  std::this_thread::sleep_for(std::min<std::chrono::microseconds>(
      kLeavingNotice, this->settings.grace));
  this->frontend.Stop();
  this->WaitForForwards(deadline);
  this->recovery_thread.Stop();
  this->probe_thread.Stop();
  this->vm_list_thread.Stop();
  this->watcher.Stop();
  this->timers.Stop();
  this->peer_server.Shutdown(
      std::chrono::system_clock::now() +
      std::max(std::chrono::duration_cast<std::chrono::milliseconds>(
                   deadline - Clock::now()),
               kLeavingNotice));
  spdlog::info("daemon {} stopped", this->settings.name);
}

// Waits until no forwarded request is queued or running here.
void Daemon::WaitForForwards(TimePoint deadline) {
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
  std::vector<EndpointStatus> statuses;
  for (const rpc::EndpointStatus& status : this->owner.Statuses()) {
    statuses.push_back(FromProto(status));
  }
  this->runner.SetStatuses(std::move(statuses));
  this->runner.Tick(now);
  this->ApplyMembers();
  this->keeper.Tick(now);
  this->journal.ObserveTime();
}

void Daemon::SlowTick(TimePoint now) {
  this->watcher.SetDecision(this->runner.DecideConfigRead(now));
  this->ConfirmByOwners();
  this->directory.ApplyPendingRecords();
  if (!this->leaving && this->runner.Replaced()) {
    spdlog::error("a later incarnation of daemon {} runs; this one stops",
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

void Daemon::AcceptValue(const ServiceValue& value) {
  if (!absl::StartsWith(value.path, kTeamPrefix)) {
    return;
  }
  const std::string team = value.path.substr(sizeof(kTeamPrefix) - 1);
  if (this->keeper.OfferFromService(team, value.revision, value.text)) {
    this->runner.AnnounceConfig(team);
  }
}

void Daemon::OnConfigContact(TimePoint requested_at) {
  this->runner.NoteConfigContact(Clock::now());
  this->ConfirmEndpoints(requested_at, std::chrono::milliseconds(0));
}

void Daemon::OnPeerConfirmation(const PeerConfirmation& confirmation) {
  if (!this->keeper.ComparePeer(confirmation.name, confirmation.starting,
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

// While the configuration service is away for all, nobody can hold a newer
// placement of a service than its owners, who confirm each other.
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
  if (!this->journal.EnterKeyFence(call.endpoint, call.key, call.version,
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
