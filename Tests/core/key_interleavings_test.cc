#include "core/keyed_execution.h"

#include "catch2/catch.hpp"
#include "key_test_times.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;

const KeyId kKey{"team", "service", "k"};

KeyedOwner NewOwner(const std::string& endpoint, std::uint64_t incarnation) {
  KeyedOwner owner;
  owner.endpoint = endpoint;
  owner.recovery = MakeKeyRecovery(kTimes, false, At(0));
  owner.ledger = MakeAttemptLedger(kTimes, {}, incarnation, At(0));
  return owner;
}

KeyedExecution NewExecution(std::uint64_t sequence,
                            std::uint64_t owner_incarnation,
                            int stamp_ms) {
  KeyedExecution execution;
  execution.request = {{"ingress", 1, sequence},
                       kKey,
                       1,
                       {owner_incarnation, milliseconds(stamp_ms)}};
  return execution;
}

// Placements before and while an endpoint joins that ranks first for the key.
// The other endpoint was the home before.
struct HandOver {
  std::string former;
  std::string joining;
  std::vector<PlacedEndpoint> before;
  std::vector<PlacedEndpoint> during;
};

HandOver NewHandOver() {
  HandOver h;
  h.former = "127.0.1.1:8081";
  h.joining = "127.0.1.2:8081";
  h.during = {{h.former, KeyPhase::kActive}, {h.joining, KeyPhase::kActive}};
  if (PlaceKey(kKey, h.during).home == h.former) {
    std::swap(h.former, h.joining);
  }
  h.before = {{h.former, KeyPhase::kActive}};
  h.during = {{h.former, KeyPhase::kActive}, {h.joining, KeyPhase::kJoining}};
  return h;
}

void Configure(KeyedOwner& owner,
               std::uint64_t revision,
               const std::vector<PlacedEndpoint>& endpoints,
               int ms) {
  AdoptPlacement(owner, {1, revision}, endpoints);
  ConfirmPlacement(owner, {1, revision}, At(ms), milliseconds(0), At(ms),
                   Wall(ms));
}

// Passes the FenceKey call of the joining home to the former home, records the
// reply, and returns the next action of the joining home.
KeyedAction SendFenceKey(KeyedOwner& joining,
                         KeyedExecution& execution,
                         KeyedOwner& former,
                         int ms) {
  const KeyedAction fence_action =
      NextKeyedAction(joining, execution, At(ms), Wall(ms));
  REQUIRE(fence_action.step == KeyedStep::kFence);
  REQUIRE(fence_action.endpoints_to_fence ==
          std::vector<std::string>{former.endpoint});
  RecordKeyFenceReply(
      execution, former.endpoint, fence_action.version,
      HandleFenceKey(former, kKey, fence_action.version, At(ms)));
  return NextKeyedAction(joining, execution, At(ms), Wall(ms));
}

// Guards against replacing fences by leases that depend on time only. A lease
// holder that pauses between its check and its write still writes after its
// lease has expired.
TEST_CASE(
    "a pause between check and write runs a key twice under a lease, "
    "but not with fences") {
  // The lease is valid until 1000 ms, when the next holder starts.
  int lease_runs = 0;
  const int lease_end = 1'000;
  const bool holder_may_write = 999 < lease_end;
  const int paused_until = 5'000;
  if (lease_end <= paused_until) {
    ++lease_runs;  // The next holder writes at 1000 ms.
  }
  if (holder_may_write) {
    ++lease_runs;  // The first holder resumes at 5000 ms and writes.
  }
  CHECK(lease_runs == 2);

  const HandOver h = NewHandOver();
  int runs = 0;
  KeyedOwner former = NewOwner(h.former, 11);
  KeyedOwner joining = NewOwner(h.joining, 12);
  Configure(former, 1, h.before, 900);
  Configure(joining, 2, h.during, 1'000);
  KeyedExecution first = NewExecution(1, 11, 990);
  REQUIRE(NextKeyedAction(former, first, At(999), Wall(999)).step ==
          KeyedStep::kRun);
  REQUIRE(StartAttempt(former.ledger, first.request, At(999)));
  // The thread of the former home pauses here, before its write. Other threads
  // of it may still reply to the FenceKey call. The joining home refuses the
  // key with or without a reply.
  for (const bool replies : {true, false}) {
    KeyedExecution second = NewExecution(replies ? 2 : 3, 12, 1'000);
    KeyedAction action;
    if (replies) {
      action = SendFenceKey(joining, second, former, 1'001);
      CHECK(action.reason == RunRefusal::kOutcomeUnknown);
      CHECK_FALSE(action.not_run);
    } else {
      const KeyedAction fence_action =
          NextKeyedAction(joining, second, At(1'001), Wall(1'001));
      REQUIRE(fence_action.step == KeyedStep::kFence);
      RecordKeyFenceReply(second, h.former, fence_action.version,
                          {KeyFenceState::kUndecidable, nullptr, 0});
      action = NextKeyedAction(joining, second, At(1'002), Wall(1'002));
      CHECK(action.not_run);
    }
    CHECK(action.step == KeyedStep::kRefuse);
    runs += action.step == KeyedStep::kRun ? 1 : 0;
  }
  ++runs;  // The former home resumes at 5000 ms and writes.
  CHECK(runs == 1);
}

// Guards against a former home that decides with the configuration that it
// confirmed before it was suspended.
TEST_CASE(
    "a resumed former home confirms its configuration before it runs a key") {
  const HandOver h = NewHandOver();
  KeyedOwner former = NewOwner(h.former, 11);
  Configure(former, 1, h.before, 900);
  // The VM was suspended for an hour, during which its steady clock stood
  // still.
  KeyedExecution late = NewExecution(1, 11, 990);
  KeyedAction action =
      NextKeyedAction(former, late, At(1'000), Wall(3'601'000));
  CHECK(action.reason == RunRefusal::kConfigUnconfirmed);
  // After it confirmed the current version, it is no longer the home.
  AdoptPlacement(former, {1, 2}, h.during);
  ConfirmPlacement(former, {1, 2}, At(1'010), milliseconds(0), At(1'020),
                   Wall(3'601'020));
  KeyedExecution repeat = NewExecution(2, 11, 1'000);
  action = NextKeyedAction(former, repeat, At(1'030), Wall(3'601'030));
  CHECK(action.reason == RunRefusal::kNotHome);
}

// Guards against a former home that fences a key, restarts with an older
// configuration, and has lost the fence together with its ledger. If journals
// held forwarded requests only, the key would run twice: the request was
// forwarded to the joining endpoint, so no journal would have an entry of the
// key for the former home.
TEST_CASE("a former home recovers its fences after a restart") {
  const HandOver h = NewHandOver();
  for (const bool fences_journaled : {false, true}) {
    KeyedOwner former = NewOwner(h.former, 11);
    KeyedOwner joining = NewOwner(h.joining, 12);
    AttemptJournal journal = MakeAttemptJournal(kTimes, 1 << 20, At(-20'000));
    Configure(former, 1, h.before, 900);
    Configure(joining, 2, h.during, 1'000);
    KeyedExecution first = NewExecution(1, 12, 1'000);
    REQUIRE(RecordAttempt(journal, h.joining, first.request, At(1'000)));
    if (fences_journaled) {
      REQUIRE(RecordKeyFence(journal, h.former, kKey, {1, 2}, At(1'001)));
    }
    REQUIRE(SendFenceKey(joining, first, former, 1'001).step ==
            KeyedStep::kRun);

    former = NewOwner(h.former, 13);
    former.recovery = MakeKeyRecovery(kTimes, true, At(0));
    SetExpectedMembers(former.recovery, {"vm-2"});
    Configure(former, 1, h.before, 1'050);
    MergeJournal(former.recovery, former.ledger, "vm-2",
                 ReadJournal(journal, h.former, 13, At(1'060)), At(1'060));
    REQUIRE(IsRecovered(former.recovery, At(1'060)));
    KeyedExecution repeat = NewExecution(2, 13, 1'060);
    const KeyedAction action =
        NextKeyedAction(former, repeat, At(1'070), Wall(1'070));
    CHECK(action.step ==
          (fences_journaled ? KeyedStep::kRefuse : KeyedStep::kRun));
  }
}

}  // namespace
}  // namespace comfrey
