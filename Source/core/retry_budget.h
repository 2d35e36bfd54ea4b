#ifndef CORE_RETRY_BUDGET_H_
#define CORE_RETRY_BUDGET_H_

#include <cstdint>

namespace comfrey {

/// \brief Whether a request may run more than once (`repeat` of its route).
enum class RepeatPolicy { kNever, kSafe };

/// \brief How an attempt ended, as far as the ingress knows.
enum class AttemptOutcome {
  kRefused,  ///< The owner refused it; it was not run.
  kFenced,   ///< The owner fenced it; it was not run and never will be.
  kFailed,   ///< It ran and failed.
  kUnknown,  ///< It may have run.
};

enum class RetryVerdict {
  kAllowed,
  kNonIdempotent,  ///< A second attempt could run the request twice.
  kBudgetExhausted,
};

/// \brief Limits the retries and hedged requests of one service at an ingress
/// to a share of its first attempts, by default a tenth.
///
/// Amounts are in percent of one attempt, as integers, so that the limit is
/// exact.
struct RetryBudget {
  std::int64_t percent_per_first_attempt = 10;
  /// Retries that a quiet period may save up: 20.
  std::int64_t max_percent = 2000;
  std::int64_t balance_percent = 0;
};

/// \brief Adds to the budget; call it once for each request.
void RecordFirstAttempt(RetryBudget& budget);

/// \brief Takes a retry from the budget if the request may be retried.
RetryVerdict TakeRetry(RetryBudget& budget,
                       RepeatPolicy repeat,
                       AttemptOutcome previous);

/// \brief Returns a retry that was not sent after all.
void ReturnRetry(RetryBudget& budget);

/// \brief Takes a retry that was sent without asking; the budget may fall below
/// zero by as much as it may save up.
void ChargeRetry(RetryBudget& budget);

/// \brief Sets the limits from those of the whole fleet: `share` of the first
/// attempts, 0 to 1, and `slack` retries that all `daemons` share.
void SetBudgetLimits(RetryBudget& budget, double share, int slack, int daemons);

/// \brief Takes a hedged request from the budget if the request may be hedged.
RetryVerdict TakeHedge(RetryBudget& budget, RepeatPolicy repeat);

}  // namespace comfrey

#endif  // CORE_RETRY_BUDGET_H_
