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

RetryVerdict TakeHedge(RetryBudget& budget, RepeatPolicy repeat) {
  if (repeat != RepeatPolicy::kSafe) {
    return RetryVerdict::kNonIdempotent;
  }
  return TakeAttempt(budget);
}

}  // namespace comfrey
