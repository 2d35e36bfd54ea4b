#ifndef DAEMON_SERVICE_BUDGETS_H_
#define DAEMON_SERVICE_BUDGETS_H_

#include <map>
#include <mutex>

#include "config/config_store.h"
#include "config/daemon_settings.h"
#include "core/retry_budget.h"
#include "daemon/service_id.h"

namespace comfrey {

/// \brief The retry budgets of all services at this ingress; thread-safe. A
/// service that is not configured has none.
class ServiceBudgets {
 public:
  explicit ServiceBudgets(RetryBudgetSettings settings = {})
      : settings(settings) {}

  void ApplyConfig(const ConfigStore& store);

  void CountFirstAttempt(const ServiceId& service);
  /// \brief Counts a request that is itself part of a retry.
  void ChargeRepeatOf(const ServiceId& service);
  bool TakeRetryOf(const ServiceId& service,
                   RepeatPolicy repeat,
                   AttemptOutcome previous);
  /// \brief Returns a retry to the budget that no backend server received.
  void ReturnRetryOf(const ServiceId& service);

 private:
  RetryBudgetSettings settings;
  std::mutex mutex;
  std::map<ServiceId, RetryBudget> budgets;
};

}  // namespace comfrey

#endif  // DAEMON_SERVICE_BUDGETS_H_
