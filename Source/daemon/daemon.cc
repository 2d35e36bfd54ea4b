#include "daemon/daemon.h"

#include <spdlog/spdlog.h>

#include <chrono>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace comfrey {
namespace {

constexpr std::size_t kMaxChannels = 128;
constexpr char kTeamPrefix[] = "/comfreywood/teams/";

}  // namespace

Daemon::Daemon(DaemonSettings settings, std::uint64_t incarnation)
    : settings(std::move(settings)),
      incarnation(incarnation),
      watchdog(this->timers),
      channels(kMaxChannels),
      directory({this->settings.region, this->settings.failure_domain}),
      journal(std::chrono::steady_clock::now()),
      owner_client(this->channels, this->settings.peer_port),
      owner(
          {this->settings.address, incarnation,
           std::chrono::steady_clock::now(), std::chrono::system_clock::now()},
          this->watchdog,
          this->counters,
          [this](const FenceKeyCall& call) { return this->FenceKey(call); }),
      peer_server(this->owner, this->journal),
      ingress({this->settings.name, incarnation},
              {this->config, this->directory, this->owner_client, this->journal,
               this->levels, this->counters}),
      frontend(this->ingress,
               this->counters,
               {static_cast<std::size_t>(this->settings.connections),
                this->settings.body, this->settings.header},
               {[this] { return !this->config.Current()->subtrees.empty(); },
                [this] { return this->StatusPage(); }}),
      watcher(ConfigServiceClient(this->settings.config_service.ip,
                                  this->settings.config_service.port),
              this->counters,
              [this](const ServiceValue& value) { this->AcceptValue(value); }) {
}

absl::Status Daemon::Start() {
  absl::Status peer = this->peer_server.Start(
      absl::StrCat(this->settings.address, ":", this->settings.peer_port));
  if (!peer.ok()) {
    return peer;
  }
  absl::Status http =
      this->frontend.Start(this->settings.address, this->settings.http_port);
  if (!http.ok()) {
    return http;
  }
  this->watcher.Start();
  spdlog::info("daemon {} serves callers on {}:{}", this->settings.name,
               this->settings.address, this->settings.http_port);
  return absl::OkStatus();
}

void Daemon::Stop() {
  spdlog::info("daemon {} is leaving", this->settings.name);
  this->frontend.Stop();
  this->peer_server.Shutdown(std::chrono::system_clock::now() +
                             this->settings.grace);
  this->watcher.Stop();
}

void Daemon::AcceptValue(const ServiceValue& value) {
  if (!absl::StartsWith(value.path, kTeamPrefix)) {
    return;
  }
  const std::string team = value.path.substr(sizeof(kTeamPrefix) - 1);
  const OfferOutcome outcome =
      OfferRevision(this->store, team, value.revision, value.text);
  if (outcome == OfferOutcome::kInvalid) {
    spdlog::warn("configuration of team {} revision {} refused: {}", team,
                 value.revision,
                 FormatIniErrors(this->store.rejected.at(team).errors));
  }
  if (ChangedStore(outcome)) {
    spdlog::info("configuration of team {} revision {} in force", team,
                 value.revision);
    this->PublishConfig();
  }
}

void Daemon::PublishConfig() {
  const auto next = std::make_shared<const ConfigStore>(this->store);
  this->owner.ApplyConfig(*next);
  this->directory.ApplyConfig(*next);
  this->journal.ApplyConfig(*next);
  this->levels.ApplyConfig(*next);
  this->config.Replace(next);
}

KeyFenceReply Daemon::FenceKey(const FenceKeyCall& call) {
  if (!this->journal.EnterKeyFence(call.endpoint, call.key, call.version,
                                   std::chrono::steady_clock::now())) {
    return {};
  }
  return this->owner_client.FenceKey(call);
}

std::string Daemon::StatusPage() const {
  return absl::StrCat("{\"name\":\"", this->settings.name,
                      "\",\"incarnation\":", this->incarnation, "}\n");
}

}  // namespace comfrey
