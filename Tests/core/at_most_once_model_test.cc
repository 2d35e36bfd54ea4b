#include "at_most_once_model.h"

#include <cstdio>

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

// Guards against each interleaving of faults in which a key or an attempt runs
// twice, runs although its caller was told not run, or a caller gets the
// response of another key.
TEST_CASE("a fleet under random faults runs each key at most once") {
  const ModelReport report = RunModels(1, 3'000, Sabotage::kNone);
  INFO(report.violation);
  CHECK(report.violation.empty());
  std::printf(
      "%d runs: %d requests, %d executions, %d responses, %d not run, %d "
      "unknown, %d key fences, %d recoveries by journal, %d by time, %d "
      "versions\n",
      report.runs, report.requests, report.executions, report.responses,
      report.not_run, report.unknown, report.key_fences,
      report.recovered_by_journal, report.recovered_by_time, report.versions);
  // The invariants would also hold for a fleet that runs nothing.
  CHECK(report.executions > 3 * report.runs);
  CHECK(report.responses > report.requests / 4);
  CHECK(report.recovered_by_journal > 0);
  CHECK(report.recovered_by_time > 0);
}

// Guards against a model that cannot see the loss of a protection.
TEST_CASE("the model finds a violation without each protection") {
  struct Case {
    const char* name;
    Sabotage sabotage;
    bool needed;
  };
  const Case cases[] = {
      {"attempt fences", Sabotage::kIgnoreAttemptFences, true},
      {"key fences", Sabotage::kIgnoreKeyFences, true},
      {"recovery", Sabotage::kSkipRecovery, true},
      {"journal completeness", Sabotage::kTrustIncompleteJournal, true},
      {"own journal in recovery", Sabotage::kSkipOwnJournal, true},
      {"journal of key fences", Sabotage::kSkipFenceJournal, true},
      {"must_release", Sabotage::kSkipMustRelease, true},
      {"owner incarnation", Sabotage::kIgnoreIncarnation, true},
      {"age of the stamp", Sabotage::kIgnoreStampAge, true},
      {"read time at the ingress", Sabotage::kIgnoreReadTime, true},
      {"slack of the records", Sabotage::kShortRecords, true},
      {"slack of the phases", Sabotage::kShortPhases, true},
      {"configuration freshness", Sabotage::kSkipFreshness, true},
      {"confirmation at request", Sabotage::kConfirmAtReply, true},
      {"age from peers", Sabotage::kConfirmWithoutAge, true},
      {"fresh service", Sabotage::kStaleService, true},
      {"pause reconfirmation", Sabotage::kSkipPauseReconfirmation, true},
  };
  for (const Case& c : cases) {
    const ModelReport report = RunModels(1, 20'000, c.sabotage);
    std::printf("without %-26s %s\n", c.name,
                report.violation.empty() ? "no violation found"
                                         : report.violation.c_str());
    std::fflush(stdout);
    INFO(c.name);
    CHECK(report.violation.empty() != c.needed);
  }
}

}  // namespace
}  // namespace comfrey
