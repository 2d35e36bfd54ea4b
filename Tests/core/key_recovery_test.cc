#include "core/key_recovery.h"

#include "catch2/catch.hpp"
#include "key_test_times.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;

const PlacementVersion kVersion{1, 1};

LedgerRequest Request(std::uint64_t sequence,
                      const std::string& key,
                      std::uint64_t incarnation,
                      std::uint64_t hash = 1) {
  LedgerRequest request;
  request.attempt = {"ingress", 3, sequence};
  request.key = KeyId{"team", "service", key};
  request.request_hash = hash;
  request.stamp = {incarnation, milliseconds(0)};
  return request;
}

DeliverableResponse Response(const std::string& body) {
  return MakeDeliverable({200, {}, body}, RefusalMeaning::kNone);
}

// Guards against a restarted owner that runs a key of its earlier incarnation
// again because a journal is missing or incomplete, or did not fit into the
// ledger.
TEST_CASE("an owner is recovered only when no key can be missing") {
  struct Case {
    bool needed;
    bool known;
    int complete;
    int incomplete;
    std::size_t budget;
    int at;
    bool recovered;
  };
  const Case cases[] = {
      {false, false, 0, 0, 1 << 20, 1, true},
      {true, false, 0, 0, 1 << 20, 1, false},
      {true, false, 2, 0, 1 << 20, 1, false},
      {true, true, 1, 0, 1 << 20, 1, false},
      {true, true, 2, 0, 1 << 20, 1, true},
      {true, true, 1, 1, 1 << 20, 1, false},
      {true, true, 2, 0, 100, 1, false},
      {true, true, 1, 1, 1 << 20, 8'000, false},
      {true, true, 1, 1, 1 << 20, 10'000, true},
  };
  for (const Case& c : cases) {
    KeyRecovery recovery = MakeKeyRecovery(kTimes, c.needed, At(0));
    AttemptLedger ledger = MakeAttemptLedger(kTimes, {c.budget, 100}, 9, At(0));
    if (c.known) {
      SetExpectedMembers(recovery, {"m0", "m1"});
      CHECK(MissingMembers(recovery).size() == 2);
    }
    JournalExcerpt excerpt;
    excerpt.entries.resize(1);
    for (int i = 0; i < c.complete + c.incomplete; ++i) {
      excerpt.complete = i < c.complete;
      MergeJournal(recovery, ledger, i == 0 ? "m0" : "m1", excerpt, At(1));
    }
    CHECK(IsRecovered(recovery, At(c.at)) == c.recovered);
  }
  const std::chrono::system_clock::time_point launch{std::chrono::hours(9)};
  CHECK(NeedsRecovery(launch, std::nullopt));
  CHECK_FALSE(NeedsRecovery(launch, launch));
  CHECK(NeedsRecovery(launch + milliseconds(1), launch));
}

// Guards against a journal that loses an attempt or a fence, that is reported
// as complete too early, or that returns attempts which were sent to the new
// incarnation itself and would block their keys.
TEST_CASE("a ledger is rebuilt from a journal") {
  AttemptJournal journal = MakeAttemptJournal(kTimes, 1 << 20, At(0));
  const std::string endpoint = "127.0.1.1:8081";
  for (const int i : {1, 2, 3, 4, 5}) {
    REQUIRE(RecordAttempt(
        journal, endpoint,
        Request(i, std::string(1, static_cast<char>('0' + i)), i == 5 ? 9 : 8),
        At(100)));
  }
  REQUIRE(RecordAttempt(journal, endpoint, Request(6, "1", 8, 2), At(100)));
  REQUIRE(RecordAttempt(journal, "127.0.1.2:8081", Request(7, "7", 8), At(1)));
  RecordOutcome(journal, Request(2, "2", 8).attempt, JournalOutcome::kAnswered,
                Response("two"), At(150));
  RecordOutcome(journal, Request(3, "3", 8).attempt, JournalOutcome::kNotRun,
                nullptr, At(150));
  RecordOutcome(journal, Request(4, "4", 8).attempt, JournalOutcome::kUnknown,
                nullptr, At(150));
  REQUIRE(RecordKeyFence(journal, endpoint, KeyId{"team", "service", "f"},
                         kVersion, At(100)));
  CHECK_FALSE(ReadJournal(journal, endpoint, 9, At(9'999)).complete);

  const JournalExcerpt excerpt = ReadJournal(journal, endpoint, 9, At(10'000));
  CHECK(excerpt.complete);
  AttemptLedger ledger = MakeAttemptLedger(kTimes, {}, 9, At(10'000));
  KeyRecovery recovery = MakeKeyRecovery(kTimes, true, At(10'000));
  MergeJournal(recovery, ledger, "m", excerpt, At(10'000));
  struct Case {
    const char* key;
    LedgerAction action;
  };
  const Case cases[] = {
      {"1", LedgerAction::kRefuseUnknown}, {"2", LedgerAction::kRespond},
      {"3", LedgerAction::kRun},           {"4", LedgerAction::kRefuseUnknown},
      {"5", LedgerAction::kRun},           {"7", LedgerAction::kRun},
      {"f", LedgerAction::kRefuseNotRun},
  };
  int sequence = 100;
  for (const Case& c : cases) {
    INFO(c.key);
    CHECK(BeginAttempt(ledger, Request(++sequence, c.key, 9), kVersion,
                       At(10'001))
              .action == c.action);
  }
  // The journal has two different requests with this key, and it is not known
  // which one ran. Both are refused as unknown.
  CHECK(BeginAttempt(ledger, Request(200, "1", 9, 2), kVersion, At(10'001))
            .action == LedgerAction::kRefuseUnknown);
  CHECK(ReadJournal(journal, endpoint, 9, At(10'151)).entries.empty());
}

// Guards against a journal that discards attempts when its budget is used up.
TEST_CASE("a full journal refuses attempts until entries expire") {
  AttemptJournal journal = MakeAttemptJournal(kTimes, 2'000, At(0));
  int recorded = 0;
  while (recorded < 100 &&
         RecordAttempt(journal, "e", Request(recorded, "k", 8), At(recorded))) {
    ++recorded;
  }
  CHECK(recorded > 2);
  CHECK(recorded < 100);
  CHECK(ReadJournal(journal, "e", 9, At(5'000)).entries.size() ==
        static_cast<std::size_t>(recorded));
  CHECK_FALSE(
      RecordKeyFence(journal, "e", KeyId{"t", "s", "k"}, kVersion, At(5'000)));
  CHECK(RecordAttempt(journal, "e", Request(999, "k", 8), At(11'000)));
}

// Guards against an ingress that pauses and then uses a new stamp for a request
// that it read long before.
TEST_CASE("a stamp covers only requests that were read shortly before") {
  PauseDetector pauses;
  const auto wall = std::chrono::system_clock::time_point();
  ObserveClocks(pauses, At(0), wall);
  CHECK(IsStampUsable(kTimes, pauses, At(50), At(40), At(5'000)));
  CHECK(IsStampUsable(kTimes, pauses, At(50), At(60), At(1'050)));
  CHECK_FALSE(IsStampUsable(kTimes, pauses, At(50), At(60), At(1'051)));
  ObserveClocks(pauses, At(60), wall + std::chrono::hours(1));
  CHECK_FALSE(IsStampUsable(kTimes, pauses, At(50), At(60), At(70)));
  CHECK(IsStampUsable(kTimes, pauses, At(65), At(70), At(70)));
}

// Guards against a forwarded request that its owner refuses because of its
// stamp, so that a request which did not run is reported as unknown.
TEST_CASE("a stamp is fresh for half of the time that its owner accepts") {
  // The owner accepts stamps of up to 1 s.
  CHECK(IsStampFresh(kTimes, At(0), At(500)));
  CHECK_FALSE(IsStampFresh(kTimes, At(0), At(501)));
}

}  // namespace
}  // namespace comfrey
