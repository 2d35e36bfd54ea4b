#include "core/retry_budget.h"

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

// Guards against retries beyond a tenth of the first attempts, also after a
// quiet period and when every attempt fails.
TEST_CASE("retries stay within a tenth of the first attempts") {
  RetryBudget budget;
  int retries = 0;
  for (int first = 1; first <= 1005; first++) {
    RecordFirstAttempt(budget);
    const RetryVerdict verdict =
        first % 2 == 0
            ? TakeHedge(budget, RepeatPolicy::kSafe)
            : TakeRetry(budget, RepeatPolicy::kSafe, AttemptEnd::kFailed);
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
    AttemptEnd previous;
    RetryVerdict expected;
  };
  const Case cases[] = {
      {RepeatPolicy::kNever, AttemptEnd::kRefused, RetryVerdict::kAllowed},
      {RepeatPolicy::kNever, AttemptEnd::kFenced, RetryVerdict::kAllowed},
      {RepeatPolicy::kNever, AttemptEnd::kFailed, RetryVerdict::kNonIdempotent},
      {RepeatPolicy::kNever, AttemptEnd::kUnknown,
       RetryVerdict::kNonIdempotent},
      {RepeatPolicy::kSafe, AttemptEnd::kRefused, RetryVerdict::kAllowed},
      {RepeatPolicy::kSafe, AttemptEnd::kFenced, RetryVerdict::kAllowed},
      {RepeatPolicy::kSafe, AttemptEnd::kFailed, RetryVerdict::kAllowed},
      {RepeatPolicy::kSafe, AttemptEnd::kUnknown, RetryVerdict::kAllowed},
  };
  for (const Case& c : cases) {
    INFO(static_cast<int>(c.repeat) << " " << static_cast<int>(c.previous));
    RetryBudget budget;
    budget.percent = 100;
    CHECK(TakeRetry(budget, c.repeat, c.previous) == c.expected);
    CHECK(budget.percent == (c.expected == RetryVerdict::kAllowed ? 0 : 100));
  }
  RetryBudget budget;
  budget.percent = 100;
  CHECK(TakeHedge(budget, RepeatPolicy::kNever) ==
        RetryVerdict::kNonIdempotent);
}

}  // namespace
}  // namespace comfrey
