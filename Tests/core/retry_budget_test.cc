#include "core/retry_budget.h"

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

// Guards against more retries than a tenth of the first attempts when every
// attempt fails, and against a burst of more than 20 retries after a long
// period without retries.
TEST_CASE("retries stay within a tenth of the first attempts") {
  RetryBudget budget;
  int retries = 0;
  for (int first = 1; first <= 1005; first++) {
    RecordFirstAttempt(budget);
    const RetryVerdict verdict =
        first % 2 == 0
            ? TakeHedge(budget, RepeatPolicy::kSafe)
            : TakeRetry(budget, RepeatPolicy::kSafe, AttemptOutcome::kFailed);
    retries += verdict == RetryVerdict::kAllowed ? 1 : 0;
    REQUIRE(retries * 10 <= first);
  }
  CHECK(retries == 100);

  for (int first = 0; first < 100'000; first++) {
    RecordFirstAttempt(budget);
  }
  int burst = 0;
  while (TakeHedge(budget, RepeatPolicy::kSafe) == RetryVerdict::kAllowed) {
    burst++;
  }
  CHECK(burst == 20);
}

// Guards against running a non-idempotent request twice.
TEST_CASE("a non-idempotent request is retried only if it did not run") {
  struct Case {
    RepeatPolicy repeat;
    AttemptOutcome previous;
    RetryVerdict expected;
  };
  const Case cases[] = {
      {RepeatPolicy::kNever, AttemptOutcome::kRefused, RetryVerdict::kAllowed},
      {RepeatPolicy::kNever, AttemptOutcome::kFenced, RetryVerdict::kAllowed},
      {RepeatPolicy::kNever, AttemptOutcome::kFailed,
       RetryVerdict::kNonIdempotent},
      {RepeatPolicy::kNever, AttemptOutcome::kUnknown,
       RetryVerdict::kNonIdempotent},
      {RepeatPolicy::kSafe, AttemptOutcome::kRefused, RetryVerdict::kAllowed},
      {RepeatPolicy::kSafe, AttemptOutcome::kFenced, RetryVerdict::kAllowed},
      {RepeatPolicy::kSafe, AttemptOutcome::kFailed, RetryVerdict::kAllowed},
      {RepeatPolicy::kSafe, AttemptOutcome::kUnknown, RetryVerdict::kAllowed},
  };
  for (const Case& c : cases) {
    INFO(static_cast<int>(c.repeat) << " " << static_cast<int>(c.previous));
    RetryBudget budget;
    budget.balance_percent = 100;
    CHECK(TakeRetry(budget, c.repeat, c.previous) == c.expected);
    CHECK(budget.balance_percent ==
          (c.expected == RetryVerdict::kAllowed ? 0 : 100));
  }
  RetryBudget budget;
  budget.balance_percent = 100;
  CHECK(TakeHedge(budget, RepeatPolicy::kNever) ==
        RetryVerdict::kNonIdempotent);
}

// Guards against a fleet in which each daemon uses the whole slack.
TEST_CASE("the limits of the fleet are divided by its daemons") {
  constexpr int kDaemons = 24;
  constexpr int kSlack = 58;
  constexpr double kShare = 0.2;
  int retries = 0;
  int firsts = 0;
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    RetryBudget budget;
    for (int first = 0; first < 200; ++first) {
      SetBudgetLimits(budget, kShare, kSlack, kDaemons);
      RecordFirstAttempt(budget);
      ++firsts;
    }
    // After a period without retries, all attempts of a burst fail.
    for (int first = 0; first < 20; ++first) {
      RecordFirstAttempt(budget);
      while (TakeRetry(budget, RepeatPolicy::kSafe, AttemptOutcome::kFailed) ==
             RetryVerdict::kAllowed) {
        ++retries;
      }
    }
  }
  CHECK(retries <= kShare * 20 * kDaemons + kSlack);
  CHECK(retries > 0);
}

// Guards against more repeats than the fleet may have because a request that
// runs again makes its calls again.
TEST_CASE("calls of repeated runs are paid from the budget") {
  RetryBudget budget;
  SetBudgetLimits(budget, 0.2, 50, 10);
  int arrivals = 0;
  int firsts = 0;
  for (int request = 0; request < 200; ++request) {
    RecordFirstAttempt(budget);
    ++firsts;
    if (request % 10 == 0) {
      ChargeRepeat(budget);
      ++arrivals;
    }
    arrivals += TakeRetry(budget, RepeatPolicy::kSafe,
                          AttemptOutcome::kFailed) == RetryVerdict::kAllowed
                    ? 1
                    : 0;
    REQUIRE(arrivals <= 0.2 * firsts + 5);
  }
  CHECK(arrivals > 30);
  // A debt is limited, so that retries are possible again later.
  for (int call = 0; call < 1000; ++call) {
    ChargeRepeat(budget);
  }
  int needed = 0;
  while (TakeRetry(budget, RepeatPolicy::kSafe, AttemptOutcome::kFailed) !=
         RetryVerdict::kAllowed) {
    RecordFirstAttempt(budget);
    ++needed;
  }
  CHECK(needed <= 120);
}

// Guards against a budget that is charged for a retry that was not sent.
TEST_CASE("a retry that was not sent is returned to the budget") {
  RetryBudget budget;
  budget.balance_percent = 100;
  REQUIRE(TakeRetry(budget, RepeatPolicy::kSafe, AttemptOutcome::kFailed) ==
          RetryVerdict::kAllowed);
  ReturnRetry(budget);
  CHECK(budget.balance_percent == 100);
  budget.balance_percent = budget.max_percent;
  ReturnRetry(budget);
  CHECK(budget.balance_percent == budget.max_percent);
}

}  // namespace
}  // namespace comfrey
