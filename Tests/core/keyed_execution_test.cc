#include "core/keyed_execution.h"

#include "catch2/catch.hpp"
#include "key_test_times.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;

const KeyId kKey{"team", "service", "k"};

// The owner of the home of the key, recovered and with a confirmed
// configuration, and one other endpoint. Both endpoints have the given phases.
struct Fixture {
  KeyedOwner owner;
  KeyedExecution execution;
  std::string other;
};

Fixture MakeFixture(KeyPhase home_phase, KeyPhase other_phase) {
  std::vector<PlacedEndpoint> endpoints = {{"127.0.1.1:8081", home_phase},
                                           {"127.0.1.2:8081", other_phase}};
  if (PlaceKey(kKey, endpoints).home != endpoints[0].endpoint) {
    std::swap(endpoints[0].endpoint, endpoints[1].endpoint);
  }
  Fixture fixture;
  fixture.owner.endpoint = endpoints[0].endpoint;
  fixture.other = endpoints[1].endpoint;
  fixture.owner.recovery = MakeKeyRecovery(kTimes, false, At(0));
  fixture.owner.ledger = MakeAttemptLedger(kTimes, {}, 9, At(0));
  fixture.owner.pauses.max_gap = milliseconds(500);
  AdoptPlacement(fixture.owner, {1, 2}, endpoints);
  ConfirmPlacement(fixture.owner, {1, 2}, At(0), milliseconds(0), At(0),
                   Wall(0));
  fixture.execution.request = {
      {"ingress", 1, 1}, kKey, 1, {9, milliseconds(0)}};
  return fixture;
}

KeyedAction Next(Fixture& fixture, int ms) {
  return NextKeyedAction(fixture.owner, fixture.execution, At(ms), Wall(ms));
}

// Guards against a missing check in the decision, and against a duplicate of a
// refused request that runs after the cause of the refusal has ended.
TEST_CASE("each failed check refuses a request with a key permanently") {
  struct Case {
    const char* name;
    void (*break_owner)(KeyedOwner&);
    void (*repair_owner)(KeyedOwner&);
    RunRefusal reason;
  };
  const Case cases[] = {
      {"not confirmed", [](KeyedOwner& o) { o.confirmed_at.reset(); },
       [](KeyedOwner& o) { o.confirmed_at = At(1); },
       RunRefusal::kConfigUnconfirmed},
      {"confirmed long ago", [](KeyedOwner& o) { o.confirmed_at = At(-2'000); },
       [](KeyedOwner& o) { o.confirmed_at = At(1); },
       RunRefusal::kConfigUnconfirmed},
      {"not the home", [](KeyedOwner& o) { o.endpoint += "1"; },
       [](KeyedOwner& o) { o.endpoint.pop_back(); }, RunRefusal::kNotHome},
      {"not recovered", [](KeyedOwner& o) { o.recovery.needed = true; },
       [](KeyedOwner& o) { o.recovery.needed = false; },
       RunRefusal::kRecovering},
      {"no space", [](KeyedOwner& o) { o.ledger.limits.byte_budget = 0; },
       [](KeyedOwner& o) { o.ledger.limits.byte_budget = 1 << 20; },
       RunRefusal::kLedgerFull},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    Fixture fixture = MakeFixture(KeyPhase::kActive, KeyPhase::kActive);
    c.break_owner(fixture.owner);
    const KeyedAction refused = Next(fixture, 1);
    CHECK(refused.step == KeyedStep::kRefuse);
    CHECK(refused.not_run);
    CHECK(refused.reason == c.reason);
    c.repair_owner(fixture.owner);
    CHECK(Next(fixture, 2).step == KeyedStep::kRefuse);
    fixture.execution.request.attempt.sequence = 2;
    fixture.execution.request.stamp.uptime = milliseconds(2);
    CHECK(Next(fixture, 3).step == KeyedStep::kRun);
  }
}

// Guards against a key that runs before each former home fenced it, or after
// a fence for an older version only.
TEST_CASE("a joining home asks the former home first") {
  struct Case {
    KeyFenceReply reply;
    KeyedStep step;
    RunRefusal reason;
    bool not_run;
  };
  const DeliverableResponse response =
      MakeDeliverable({200, {}, "x"}, RefusalMeaning::kNone);
  const Case cases[] = {
      {{KeyFenceState::kFenced, nullptr, 0},
       KeyedStep::kRun,
       RunRefusal::kNone,
       false},
      {{KeyFenceState::kRan, response, 1},
       KeyedStep::kRespond,
       RunRefusal::kNone,
       false},
      {{KeyFenceState::kRan, response, 2},
       KeyedStep::kRefuse,
       RunRefusal::kOtherRequest,
       true},
      {{KeyFenceState::kUnknown, nullptr, 0},
       KeyedStep::kRefuse,
       RunRefusal::kOutcomeUnknown,
       false},
      {{KeyFenceState::kUndecidable, nullptr, 0},
       KeyedStep::kRefuse,
       RunRefusal::kNotFencedByFormerHome,
       true},
  };
  for (const Case& c : cases) {
    Fixture fixture = MakeFixture(KeyPhase::kJoining, KeyPhase::kActive);
    const KeyedAction fence_action = Next(fixture, 1);
    REQUIRE(fence_action.step == KeyedStep::kFence);
    CHECK(fence_action.endpoints_to_fence ==
          std::vector<std::string>{fixture.other});
    CHECK(Next(fixture, 1).step == KeyedStep::kWait);
    // A new version requires a new fence, also while a call is pending.
    AdoptPlacement(fixture.owner, {1, 3}, fixture.owner.endpoints);
    RecordKeyFenceReply(fixture.execution, fixture.other, fence_action.version,
                        c.reply);
    const KeyedAction again = Next(fixture, 2);
    REQUIRE(again.step == KeyedStep::kFence);
    RecordKeyFenceReply(fixture.execution, fixture.other, again.version,
                        c.reply);
    const KeyedAction decided = Next(fixture, 3);
    CHECK(decided.step == c.step);
    CHECK(decided.reason == c.reason);
    CHECK(decided.not_run == c.not_run);
    if (c.step == KeyedStep::kRespond) {
      CHECK(decided.response == response);
    }
  }
}

// Guards against an owner that uses a confirmation from before a pause or of
// another version, or that computes a confirmation's age too low.
TEST_CASE("a confirmation counts from its request and ends with a pause") {
  Fixture fixture = MakeFixture(KeyPhase::kActive, KeyPhase::kActive);
  KeyedOwner& owner = fixture.owner;
  CHECK(ConfirmationAge(owner, At(400), Wall(400)) == milliseconds(400));
  ConfirmPlacement(owner, {1, 1}, At(400), milliseconds(0), At(401), Wall(401));
  CHECK(ConfirmationAge(owner, At(401), Wall(401)) == milliseconds(401));
  ConfirmPlacement(owner, {1, 2}, At(300), milliseconds(50), At(402),
                   Wall(402));
  CHECK(ConfirmationAge(owner, At(402), Wall(402)) == milliseconds(152));
  // The VM is suspended for an hour; only the wall clock shows it.
  ConfirmPlacement(owner, {1, 2}, At(403), milliseconds(0), At(404),
                   Wall(3'600'404));
  CHECK_FALSE(ConfirmationAge(owner, At(404), Wall(3'600'404)).has_value());
  CHECK(Next(fixture, 405).reason == RunRefusal::kConfigUnconfirmed);
}

// Guards against a former home that fences a key before its ledger is
// recovered, when it does not know whether the key ran.
TEST_CASE("an owner that is not recovered releases no key") {
  Fixture fixture = MakeFixture(KeyPhase::kActive, KeyPhase::kActive);
  fixture.owner.recovery = MakeKeyRecovery(kTimes, true, At(0));
  CHECK(HandleFenceKey(fixture.owner, kKey, {1, 2}, At(1)).state ==
        KeyFenceState::kUndecidable);
  LedgerRecord record;
  record.state = AttemptState::kUnknown;
  REQUIRE(MergeKeyRecord(fixture.owner.ledger, kKey, record, At(1)));
  CHECK(HandleFenceKey(fixture.owner, kKey, {1, 2}, At(1)).state ==
        KeyFenceState::kUnknown);
}

}  // namespace
}  // namespace comfrey
