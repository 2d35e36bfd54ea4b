#ifndef CORE_RETRY_BUDGET_H_
#define CORE_RETRY_BUDGET_H_

#include <cstdint>

namespace comfrey {

/// \brief Whether a request may run more than once; `repeat` of its route.
enum class RepeatPolicy { kNever, kSafe };

/// \brief Outcome of an attempt, as far as the ingress knows.
enum class AttemptOutcome {
  kRefused,  ///< The owner refused it; it has not run.
  kFenced,   ///< The owner fenced it; it has not run and never will.
  kFailed,   ///< It ran and failed.
  kUnknown,  ///< It may have run.
};

/// \brief Whether a retry or hedged request may be sent.
enum class RetryVerdict {
  kAllowed,
  kNonIdempotent,  ///< A further attempt could run the request twice.
  kBudgetExhausted,
};

/// \brief Limits the retries and hedged requests of one service at an ingress
/// to a share of its first attempts, by default a tenth.
///
/// Amounts are integers in percent of one attempt, so that the limit has no
/// rounding errors.
struct RetryBudget {
  std::int64_t percent_per_first_attempt = 10;
  /// Limit of the balance that can be saved up; 20 retries by default.
  std::int64_t max_percent = 2000;
  std::int64_t balance_percent = 0;
};

/// \brief Adds the share of one first attempt to the budget. Call it once for
/// each request.
void RecordFirstAttempt(RetryBudget& budget);

/// \brief Subtracts a retry from the budget if the request may be retried.
RetryVerdict TakeRetry(RetryBudget& budget,
                       RepeatPolicy repeat,
                       AttemptOutcome previous);

/// \brief Subtracts an arrival that counts as a retry although it cannot be
/// prevented. The budget may go into debt, which first attempts pay.
void ChargeRepeat(RetryBudget& budget);

/// \brief Adds back a retry that was taken but not sent.
void ReturnRetry(RetryBudget& budget);

/// \brief Sets the limits from those of the whole fleet.
///
/// `share` is the limit of retries as a share of the first attempts, 0 to 1.
/// `slack` is the number of further retries that all `daemons` share.
void SetBudgetLimits(RetryBudget& budget, double share, int slack, int daemons);

/// \brief Subtracts a hedged request from the budget if the request may be
/// hedged.
RetryVerdict TakeHedge(RetryBudget& budget, RepeatPolicy repeat);

}  // namespace comfrey

#endif  // CORE_RETRY_BUDGET_H_
