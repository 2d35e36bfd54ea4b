#include "daemon/service_levels.h"

#include <algorithm>
#include <utility>

namespace comfrey {

void ServiceLevels::ApplyConfig(const ConfigStore& store) {
  const auto now = std::chrono::steady_clock::now();
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::map<std::string, std::vector<ServiceLevel>> next;
  for (const auto& [team, subtree] : store.subtrees) {
    for (const RankConfig& rank : subtree->config->ranks) {
      const RankObjective objective{rank.name, rank.target, rank.objective,
                                    static_cast<double>(rank.worth)};
      const ServiceLevel* known = this->Find(team, rank.name);
      ServiceLevel level =
          known != nullptr ? *known : ServiceLevel(objective, now);
      level.objective = objective;
      next[team].push_back(std::move(level));
    }
  }
  this->teams = std::move(next);
}

void ServiceLevels::AddResponse(const std::string& team,
                                const std::string& rank,
                                std::chrono::microseconds latency) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (ServiceLevel* level = this->Find(team, rank)) {
    RecordResponse(*level, latency, std::chrono::steady_clock::now());
  }
}

void ServiceLevels::AddMiss(const std::string& team, const std::string& rank) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (ServiceLevel* level = this->Find(team, rank)) {
    RecordMiss(*level, std::chrono::steady_clock::now());
  }
}

std::map<std::string, BurnReport> ServiceLevels::Report() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::map<std::string, BurnReport> reports;
  for (const auto& [team, levels] : this->teams) {
    reports[team] = ReportBurn(levels, std::chrono::steady_clock::now());
  }
  return reports;
}

ServiceLevel* ServiceLevels::Find(const std::string& team,
                                  const std::string& rank) {
  const auto found = this->teams.find(team);
  if (found == this->teams.end()) {
    return nullptr;
  }
  const auto level = std::find_if(
      found->second.begin(), found->second.end(),
      [&](const ServiceLevel& l) { return l.objective.name == rank; });
  return level == found->second.end() ? nullptr : &*level;
}

}  // namespace comfrey
