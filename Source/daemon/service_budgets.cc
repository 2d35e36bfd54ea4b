#include "daemon/service_budgets.h"

#include <set>
#include <string>
#include <utility>

namespace comfrey {
namespace {

// Each VM with an endpoint runs a daemon.
int CountOwners(const ConfigStore& store) {
  std::set<std::string> ips;
  for (const auto& [team, subtree] : store.subtrees) {
    for (const ServiceConfig& service : subtree->config->services) {
      for (const EndpointConfig& endpoint : service.endpoints) {
        ips.insert(endpoint.ip);
      }
    }
  }
  return static_cast<int>(ips.size());
}

}  // namespace

void ServiceBudgets::ApplyConfig(const ConfigStore& store) {
  const int daemons = CountOwners(store);
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::map<ServiceId, RetryBudget> next;
  for (const auto& [team, subtree] : store.subtrees) {
    for (const ServiceConfig& config : subtree->config->services) {
      const ServiceId id{team, config.name};
      const auto known = this->budgets.find(id);
      RetryBudget budget =
          known == this->budgets.end() ? RetryBudget() : known->second;
      if (this->settings.slack > 0) {
        SetBudgetLimits(budget, this->settings.share, this->settings.slack,
                        daemons);
      }
      next[id] = budget;
    }
  }
  this->budgets = std::move(next);
}

void ServiceBudgets::CountFirstAttempt(const ServiceId& service) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->budgets.find(service);
  if (found != this->budgets.end()) {
    RecordFirstAttempt(found->second);
  }
}

void ServiceBudgets::ChargeRepeatOf(const ServiceId& service) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->budgets.find(service);
  if (found != this->budgets.end()) {
    ChargeRepeat(found->second);
  }
}

bool ServiceBudgets::TakeRetryOf(const ServiceId& service,
                                 RepeatPolicy repeat,
                                 AttemptOutcome previous) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->budgets.find(service);
  return found != this->budgets.end() &&
         TakeRetry(found->second, repeat, previous) == RetryVerdict::kAllowed;
}

void ServiceBudgets::ReturnRetryOf(const ServiceId& service) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->budgets.find(service);
  if (found != this->budgets.end()) {
    ReturnRetry(found->second);
  }
}

}  // namespace comfrey
