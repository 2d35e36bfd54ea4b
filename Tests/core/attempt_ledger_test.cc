#include "core/attempt_ledger.h"

#include <set>

#include "absl/strings/str_cat.h"
#include "catch2/catch.hpp"
#include "key_test_times.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kIncarnation = 7;
const PlacementVersion kVersion{1, 5};

AttemptLedger NewLedger(std::size_t budget = 1 << 20,
                        std::size_t reserve = 1000) {
  return MakeAttemptLedger(kTimes, {budget, reserve}, kIncarnation, At(0));
}

LedgerRequest Request(std::uint64_t sequence,
                      const std::string& key,
                      int stamp_ms = 0,
                      std::uint64_t hash = 1) {
  LedgerRequest request;
  request.attempt = {"ingress", 3, sequence};
  if (!key.empty()) {
    request.key = KeyId{"team", "service", key};
  }
  request.request_hash = hash;
  request.stamp = {kIncarnation, milliseconds(stamp_ms)};
  return request;
}

DeliverableResponse Response(const std::string& body) {
  return MakeDeliverable(
      {201, {{"Content-Type", "text/plain"}, {"X-Order", "9"}}, body},
      RefusalMeaning::kNone);
}

LedgerAction Begin(AttemptLedger& ledger, const LedgerRequest& r, int ms) {
  return BeginAttempt(ledger, r, kVersion, At(ms)).action;
}

void Run(AttemptLedger& ledger, const LedgerRequest& r, int ms) {
  REQUIRE(Begin(ledger, r, ms) == LedgerAction::kRun);
  REQUIRE(StartAttempt(ledger, r, At(ms)));
}

// Guards against a repeated key that runs again, gets an incomplete response,
// or gets the response of a different request.
TEST_CASE("a repeated key gets the whole original response") {
  AttemptLedger ledger = NewLedger();
  Run(ledger, Request(1, "k"), 1);
  CHECK(Begin(ledger, Request(2, "k"), 2) == LedgerAction::kWait);
  const std::string body("b\0dy", 4);
  FinishAttempt(ledger, Request(1, "k"), Response(body), At(3));

  const LedgerDecision repeat =
      BeginAttempt(ledger, Request(2, "k"), kVersion, At(4));
  REQUIRE(repeat.action == LedgerAction::kRespond);
  CHECK(repeat.response->status == 201);
  CHECK(repeat.response->body == body);
  CHECK(repeat.response->headers ==
        std::vector<HttpHeader>{{"Content-Type", "text/plain"},
                                {"X-Order", "9"}});

  const LedgerDecision other =
      BeginAttempt(ledger, Request(3, "k", 0, 2), kVersion, At(4));
  CHECK(other.action == LedgerAction::kRefuseNotRun);
  CHECK(other.reason == RunRefusal::kOtherRequest);

  LedgerRequest other_team = Request(4, "k");
  other_team.key->team = "other";
  CHECK(Begin(ledger, other_team, 5) == LedgerAction::kRun);
}

// Guards against a hash of method, path and body that ignores the boundaries
// between them.
TEST_CASE("requests that differ have different hashes") {
  const std::set<std::uint64_t> hashes = {
      HashRequest("POST", "/a", "b"), HashRequest("PUT", "/a", "b"),
      HashRequest("POST", "/ab", ""), HashRequest("POST", "/", "ab"),
      HashRequest("POST", "/a", "c"), HashRequest("POST", "b", "/a")};
  CHECK(hashes.size() == 6);
}

// Guards against a delayed or duplicate delivery that runs after the attempt
// was fenced, refused or completed, or after its response was lost.
TEST_CASE("a late delivery of a decided attempt does not run") {
  for (const std::string key : {"", "k"}) {
    INFO("key '" << key << "'");
    const LedgerRequest r = Request(1, key);
    const LedgerRequest next = Request(2, key);

    AttemptLedger ledger = NewLedger();
    CHECK(FenceAttempt(ledger, r, At(1)).state == AttemptState::kFenced);
    CHECK(Begin(ledger, r, 2) == LedgerAction::kRefuseNotRun);
    CHECK(Begin(ledger, next, 2) == LedgerAction::kRun);

    ledger = NewLedger();
    CHECK(Begin(ledger, r, 1) == LedgerAction::kRun);
    CHECK(FenceAttempt(ledger, r, At(1)).state == AttemptState::kFenced);
    CHECK_FALSE(StartAttempt(ledger, r, At(2)));
    CHECK(Begin(ledger, r, 2) == LedgerAction::kRefuseNotRun);
    CHECK(Begin(ledger, next, 2) == LedgerAction::kRun);

    ledger = NewLedger();
    CHECK(RefuseAttempt(ledger, r, RunRefusal::kCancelled, At(1)));
    CHECK(Begin(ledger, r, 900) == LedgerAction::kRefuseNotRun);
    // The record may already be removed. The attempt is then refused because
    // its stamp is too old.
    CHECK(Begin(ledger, r, 1'100) == LedgerAction::kRefuseNotRun);

    ledger = NewLedger();
    Run(ledger, r, 1);
    CHECK_FALSE(StartAttempt(ledger, r, At(1)));
    CHECK(Begin(ledger, r, 1) == LedgerAction::kWait);
    CHECK(FenceAttempt(ledger, r, At(2)).state == AttemptState::kRunning);
    CHECK_FALSE(RefuseAttempt(ledger, r, RunRefusal::kCancelled, At(2)));
    MarkOutcomeUnknown(ledger, r, At(3));
    CHECK(Begin(ledger, r, 4) == LedgerAction::kRefuseUnknown);
    CHECK(FenceAttempt(ledger, r, At(4)).state == AttemptState::kUnknown);

    ledger = NewLedger();
    Run(ledger, r, 1);
    FinishAttempt(ledger, r, Response("x"), At(2));
    CHECK(Begin(ledger, r, 3) == LedgerAction::kRespond);
    CHECK(FenceAttempt(ledger, r, At(4)).response->body == "x");
    // After the record was removed, the outcome is unknown.
    CHECK(Begin(ledger, r, 20'000) == LedgerAction::kRefuseUnknown);
    CHECK(FenceAttempt(ledger, r, At(20'000)).state == AttemptState::kUnknown);
  }
}

// Guards against reporting an attempt as fenced although its key is running or
// ran under another attempt, and against returning the response of a different
// request.
TEST_CASE("a fence reports what ran under the same key") {
  AttemptLedger ledger = NewLedger();
  Run(ledger, Request(1, "k"), 1);
  CHECK(FenceAttempt(ledger, Request(2, "k"), At(1)).state ==
        AttemptState::kRunning);
  FinishAttempt(ledger, Request(1, "k"), Response("x"), At(2));
  CHECK(FenceAttempt(ledger, Request(2, "k"), At(3)).response->body == "x");
  const AttemptFenceReply other =
      FenceAttempt(ledger, Request(3, "k", 0, 2), At(3));
  CHECK(other.state == AttemptState::kFenced);
  CHECK(other.response == nullptr);
}

// Guards against accepting a forwarded request after the record that would
// refuse it expired, and against a thread with an older clock value that
// accepts an old stamp as recent.
TEST_CASE(
    "a forwarded request runs only with a recent stamp of this incarnation") {
  AttemptLedger ledger = NewLedger();
  CHECK(Begin(ledger, Request(1, "a", 0), 1'000) == LedgerAction::kRun);
  CHECK(Begin(ledger, Request(2, "b", 0), 1'001) ==
        LedgerAction::kRefuseNotRun);
  CHECK(Begin(ledger, Request(3, "c", 0), 900) == LedgerAction::kRefuseNotRun);
  CHECK(Begin(ledger, Request(4, "d", 1'002), 1'001) ==
        LedgerAction::kRefuseNotRun);
  LedgerRequest other = Request(5, "e", 1'001);
  other.stamp.incarnation = 6;
  CHECK(Begin(ledger, other, 1'001) == LedgerAction::kRefuseUnknown);
  CHECK(FenceAttempt(ledger, other, At(1'001)).state == AttemptState::kUnknown);
  other.stamp.incarnation = 0;
  CHECK(Begin(ledger, other, 1'001) == LedgerAction::kRefuseNotRun);
}

// Guards against evicting records to make space for new ones, and against
// exceeding the byte budget.
TEST_CASE("a full ledger refuses new keys and keeps its records") {
  AttemptLedger ledger = NewLedger(8'000, 1'000);
  int accepted = 0;
  for (int i = 0; i < 100; ++i) {
    const LedgerRequest r = Request(i, absl::StrCat("k", i));
    const LedgerDecision decision = BeginAttempt(ledger, r, kVersion, At(i));
    if (decision.action != LedgerAction::kRun) {
      CHECK(decision.action == LedgerAction::kRefuseNotRun);
      continue;
    }
    CHECK(accepted == i);
    ++accepted;
    REQUIRE(StartAttempt(ledger, r, At(i)));
    FinishAttempt(ledger, r, Response(std::string(700, 'x')), At(i));
    CHECK(ledger.bytes <= 8'000);
  }
  CHECK(accepted >= 3);
  CHECK(accepted < 20);
  for (int i = 0; i < accepted; ++i) {
    CHECK(Begin(ledger, Request(500 + i, absl::StrCat("k", i), 7'900), 8'000) ==
          LedgerAction::kRespond);
  }
  // A duplicate must not run, even if the ledger had no space for its refusal.
  CHECK(Begin(ledger, Request(99, "k99", 0), 900) != LedgerAction::kRun);
  RemoveExpiredRecords(ledger, At(20'000));
  CHECK(ledger.bytes == 0);
  CHECK(ledger.keys.empty());
  CHECK(Begin(ledger, Request(200, "new", 20'000), 20'000) ==
        LedgerAction::kRun);
}

// Guards against a duplicate that runs because the ledger had no space for the
// refusal of its attempt, and against many refusals that use up the space for
// keys.
TEST_CASE(
    "a refusal without a record also refuses attempts with older stamps") {
  AttemptLedger ledger = NewLedger(40'000, 1'000);
  for (int i = 0; i < 1'000; ++i) {
    RefuseAttempt(ledger, Request(i, "", 10), RunRefusal::kCancelled, At(20));
  }
  CHECK(ledger.bytes <= 10'000);
  for (int i = 0; i < 1'000; ++i) {
    CHECK(Begin(ledger, Request(i, "", 10), 30) == LedgerAction::kRefuseNotRun);
  }
  CHECK(Begin(ledger, Request(2'000, "k", 11), 30) == LedgerAction::kRun);
}

// Guards against a truncated or wrong response if a large one exceeds the
// budget, and against a second run of its key.
TEST_CASE("a response that exceeds the budget leaves the key unknown") {
  AttemptLedger ledger = NewLedger(5'000, 1'000);
  Run(ledger, Request(1, "k"), 1);
  FinishAttempt(ledger, Request(1, "k"), Response(std::string(9'000, 'x')),
                At(2));
  const LedgerDecision repeat =
      BeginAttempt(ledger, Request(2, "k"), kVersion, At(3));
  CHECK(repeat.action == LedgerAction::kRefuseUnknown);
  CHECK(repeat.reason == RunRefusal::kResponseNotKept);
  CHECK(FenceKey(ledger, *Request(1, "k").key, kVersion, At(3)).state ==
        KeyFenceState::kUnknown);
}

// Guards against a former home that runs a key after it fenced the key, and
// against a fence that stays in force after the endpoint became the home again.
TEST_CASE("a fenced key runs only under a newer version") {
  const KeyId key = *Request(1, "k").key;
  AttemptLedger ledger = NewLedger();
  CHECK(FenceKey(ledger, key, kVersion, At(1)).state == KeyFenceState::kFenced);
  CHECK(FenceKey(ledger, key, {1, 3}, At(1)).state == KeyFenceState::kFenced);
  CHECK(Begin(ledger, Request(1, "k"), 2) == LedgerAction::kRefuseNotRun);
  CHECK(BeginAttempt(ledger, Request(2, "k"), {1, 6}, At(2)).action ==
        LedgerAction::kRun);
  // A fence removes a queued attempt. For a running one, the fence call returns
  // kUnknown.
  CHECK(FenceKey(ledger, key, {1, 7}, At(3)).state == KeyFenceState::kFenced);
  CHECK_FALSE(StartAttempt(ledger, Request(2, "k"), At(3)));
  CHECK(BeginAttempt(ledger, Request(3, "k"), {1, 8}, At(3)).action ==
        LedgerAction::kRun);
  REQUIRE(StartAttempt(ledger, Request(3, "k"), At(3)));
  CHECK(FenceKey(ledger, key, {1, 9}, At(4)).state == KeyFenceState::kUnknown);
  FinishAttempt(ledger, Request(3, "k"), Response("x"), At(5));
  CHECK(FenceKey(ledger, key, {1, 9}, At(6)).response->body == "x");
}

}  // namespace
}  // namespace comfrey
