#include "core/retry_budget.h"

#include <algorithm>

namespace comfrey {
namespace {

constexpr std::int64_t kPercentPerAttempt = 100;
// Limit of the debt, in the amounts that can be saved up. A debt is of use only
// within the window in which retries are measured.
constexpr std::int64_t kMaxDebt = 4;

RetryVerdict TakeAttempt(RetryBudget& budget) {
  if (budget.balance_percent < kPercentPerAttempt) {
    return RetryVerdict::kBudgetExhausted;
  }
  budget.balance_percent -= kPercentPerAttempt;
  return RetryVerdict::kAllowed;
}

}  // namespace

void RecordFirstAttempt(RetryBudget& budget) {
  budget.balance_percent =
      std::min(budget.max_percent,
               budget.balance_percent + budget.percent_per_first_attempt);
}

RetryVerdict TakeRetry(RetryBudget& budget,
                       RepeatPolicy repeat,
                       AttemptOutcome previous) {
  const bool not_run = previous == AttemptOutcome::kRefused ||
                       previous == AttemptOutcome::kFenced;
  if (repeat != RepeatPolicy::kSafe && !not_run) {
    return RetryVerdict::kNonIdempotent;
  }
  return TakeAttempt(budget);
}

void ChargeRepeat(RetryBudget& budget) {
  budget.balance_percent =
      std::max(-kMaxDebt * budget.max_percent,
               budget.balance_percent - kPercentPerAttempt);
}

void ReturnRetry(RetryBudget& budget) {
  budget.balance_percent =
      std::min(budget.max_percent, budget.balance_percent + kPercentPerAttempt);
}

// The retries of all daemons are not counted in one place, so each daemon uses
// only its own part of the slack. kMargin keeps the retries below the share
// although some first attempts that are recorded here are not yet counted in
// the window in which the share is measured.
void SetBudgetLimits(RetryBudget& budget,
                     double share,
                     int slack,
                     int daemons) {
  constexpr double kMargin = 0.9;
  budget.percent_per_first_attempt =
      static_cast<std::int64_t>(share * kMargin * kPercentPerAttempt);
  const std::int64_t slack_percent =
      std::int64_t{slack} * kPercentPerAttempt / std::max(daemons, 1);
  budget.max_percent = std::max(slack_percent, kPercentPerAttempt);
  budget.balance_percent = std::min(budget.balance_percent, budget.max_percent);
}

RetryVerdict TakeHedge(RetryBudget& budget, RepeatPolicy repeat) {
  if (repeat != RepeatPolicy::kSafe) {
    return RetryVerdict::kNonIdempotent;
  }
  return TakeAttempt(budget);
}

}  // namespace comfrey
