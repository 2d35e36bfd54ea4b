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
      owner({this->settings.address, incarnation},
            this->watchdog,
            this->counters),
      peer_server(this->owner, incarnation),
      ingress({this->settings.name, incarnation, this->settings.peer_port},
              this->config,
              this->channels,
              this->counters),
      frontend(this->ingress,
               this->counters,
               {static_cast<std::size_t>(this->settings.connections),
                this->settings.body, this->settings.header},
               {[this] { return !this->config.Current()->teams.empty(); },
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
  std::vector<IniError> errors;
  auto parsed = std::make_shared<TeamConfig>(
      ParseTeamConfig(team, value.path, value.text, errors));
  if (!errors.empty()) {
    spdlog::warn("configuration of team {} revision {} refused: {}", team,
                 value.revision, FormatIniErrors(errors));
    return;
  }
  auto next = std::make_shared<RouteTable>(
      WithTeam(*this->config.Current(), std::move(parsed)));
  this->owner.ApplyConfig(*next);
  this->config.Replace(std::move(next));
  spdlog::info("configuration of team {} revision {} in force", team,
               value.revision);
}

std::string Daemon::StatusPage() const {
  return absl::StrCat("{\"name\":\"", this->settings.name,
                      "\",\"incarnation\":", this->incarnation, "}\n");
}

}  // namespace comfrey
