#include "core/retry_budget.h"

#include <algorithm>

namespace comfrey {
namespace {

constexpr std::int64_t kPercentPerAttempt = 100;

RetryVerdict TakeAttempt(RetryBudget& budget) {
  if (budget.percent < kPercentPerAttempt) {
    return RetryVerdict::kBudgetSpent;
  }
  budget.percent -= kPercentPerAttempt;
  return RetryVerdict::kAllowed;
}

}  // namespace

void RecordFirstAttempt(RetryBudget& budget) {
  budget.percent = std::min(budget.most_percent,
                            budget.percent + budget.percent_per_first_attempt);
}

RetryVerdict TakeRetry(RetryBudget& budget,
                       RepeatPolicy repeat,
                       AttemptEnd previous) {
  const bool not_run =
      previous == AttemptEnd::kRefused || previous == AttemptEnd::kFenced;
  if (repeat != RepeatPolicy::kSafe && !not_run) {
    return RetryVerdict::kNonIdempotent;
  }
  return TakeAttempt(budget);
}

void ReturnRetry(RetryBudget& budget) {
  budget.percent =
      std::min(budget.most_percent, budget.percent + kPercentPerAttempt);
}

void ChargeRetry(RetryBudget& budget) {
  budget.percent =
      std::max(-budget.most_percent, budget.percent - kPercentPerAttempt);
}

// Nobody counts the retries of all daemons, so each keeps to its own part. A
// margin below the share covers requests that a window does not hold yet.
void SetLimits(RetryBudget& budget, double share, int slack, int daemons) {
  constexpr double kMargin = 0.9;
  budget.percent_per_first_attempt =
      static_cast<std::int64_t>(share * kMargin * kPercentPerAttempt);
  const std::int64_t most =
      std::int64_t{slack} * kPercentPerAttempt / std::max(daemons, 1);
  budget.most_percent = std::max(most, kPercentPerAttempt);
  budget.percent = std::min(budget.percent, budget.most_percent);
}

RetryVerdict TakeHedge(RetryBudget& budget, RepeatPolicy repeat) {
  if (repeat != RepeatPolicy::kSafe) {
    return RetryVerdict::kNonIdempotent;
  }
  return TakeAttempt(budget);
}

}  // namespace comfrey
