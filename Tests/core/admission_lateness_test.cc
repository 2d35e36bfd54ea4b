#include "core/admission_queue.h"

#include "admission_load.h"
#include "catch2/catch.hpp"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against late items that wait behind newer items until their deadline
// under a lasting overload. If they are dropped early, the ingress can try
// other endpoints.
TEST_CASE("late work beyond its limit is dropped while it has time left") {
  AdmissionPolicy policy = MakePolicy(1, 64);
  policy.late_limit = 2;
  policy.ranks[0].target = milliseconds(200);
  AdmissionQueue queue(policy, kStart);
  FillSlots(queue, 0);
  for (std::uint64_t id = 1; id <= 6; id++) {
    const TimePoint now = kStart + milliseconds(10 * static_cast<int>(id));
    Offer(queue, MakeItem(id, 0, "a", now, seconds(60)), now);
    Dispatch(queue, now);
  }
  CHECK(queue.queued.size() == 6);
  const DispatchResult dispatched = Dispatch(queue, kStart + seconds(1));
  CHECK(Ids(dispatched.expired) == IdList{1, 2, 3, 4});
  CHECK(queue.queued.size() == 2);
}

// Guards against an overload in which items are dropped only after a wait of
// most of their target, while the items that run are often late.
TEST_CASE("work that is expected to be late is refused when it arrives") {
  AdmissionPolicy policy = MakePolicy(3, 64);
  policy.ranks = {{"order", 1, 0.30, milliseconds(250)}};
  policy.expected_service_time = milliseconds(40);
  policy.late_limit = 8;
  const std::vector<Stream> overload = {{0, 1.5, 1}};
  const StreamResult without = Simulate(policy, overload).front();
  policy.late_limit = policy.slots;
  policy.early_refusal_limit = policy.slots;
  const StreamResult with = Simulate(policy, overload).front();
  CHECK(with.started >= without.started * 99 / 100);
  CAPTURE(with.started, without.started, with.met, without.met, with.offered);
  CHECK(with.met > without.met);
  CHECK(with.wait_of_dropped.count() < without.wait_of_dropped.count() / 2);
}

// Guards against late items that wait behind newer items until their deadline
// under a lasting overload.
TEST_CASE("late work is accepted in a short overload only") {
  AdmissionPolicy policy = MakePolicy(1, 64);
  policy.early_refusal_limit = 4;
  policy.ranks[0].target = milliseconds(70);
  for (const milliseconds overload : {milliseconds(60), milliseconds(80)}) {
    AdmissionQueue queue(policy, kStart);
    FillSlots(queue, 0);
    Offer(queue, MakeItem(1, 0), kStart);
    Offer(queue, MakeItem(2, 0), kStart);
    const TimePoint now = kStart + overload;
    Dispatch(queue, now);
    const AdmissionDecision decision =
        Offer(queue, MakeItem(3, 0, "org", now), now);
    CHECK(decision.verdict == (overload < policy.ranks[0].target
                                   ? AdmissionVerdict::kQueued
                                   : AdmissionVerdict::kRefused));
  }
}

// Guards against refusal of urgent items that could start as soon as a less
// urgent item ends.
TEST_CASE("urgent work is not refused early while less urgent work runs") {
  for (const std::size_t running : {1U, 0U}) {
    AdmissionPolicy policy = MakePolicy(1, 64);
    policy.early_refusal_limit = 1;
    policy.ranks[0].target = milliseconds(60);
    AdmissionQueue queue(policy, kStart);
    FillSlots(queue, running);
    CHECK(Offer(queue, MakeItem(1, 0), kStart).verdict ==
          AdmissionVerdict::kQueued);
    const AdmissionDecision second = Offer(queue, MakeItem(2, 0), kStart);
    CHECK(second.verdict == (running == 1 ? AdmissionVerdict::kQueued
                                          : AdmissionVerdict::kRefused));
  }
}

// Guards against short urgent calls that wait behind long items with a distant
// target, while the request that made the calls occupies a slot of another
// backend server.
TEST_CASE("work that can wait keeps a slot free for more urgent work") {
  AdmissionPolicy policy = MakePolicy(2, 64);
  policy.urgent_slots = 1;
  policy.ranks[2].expected_service_time = milliseconds(400);
  // The initial deviation is half of the service time of 400 ms. An item is
  // late if less than 400 + 2 * 200 ms are left to its target of 1500 ms, so
  // that it can wait for 700 ms.
  policy.ranks[2].target = milliseconds(1500);
  const milliseconds can_wait(650);
  const milliseconds cannot_wait(750);
  AdmissionQueue queue(policy, kStart);
  // No urgent items have arrived yet, so no slot is kept free.
  FillSlots(queue, 2);
  Finish(queue, 1001, FinishOutcome::kCancelled, kStart);
  Finish(queue, 1002, FinishOutcome::kCancelled, kStart);
  CHECK(Offer(queue, MakeItem(1, 0), kStart).verdict == AdmissionVerdict::kRun);
  CHECK(Offer(queue, MakeItem(2, 2), kStart).verdict ==
        AdmissionVerdict::kQueued);
  CHECK(Dispatch(queue, kStart + can_wait).started.empty());
  CHECK(Offer(queue, MakeItem(3, 0), kStart + can_wait).verdict ==
        AdmissionVerdict::kQueued);
  CHECK(Ids(Dispatch(queue, kStart + can_wait).started) == IdList{3});
  Finish(queue, 3, FinishOutcome::kServed, kStart + can_wait);
  CHECK(Ids(Dispatch(queue, kStart + cannot_wait).started) == IdList{2});
}

// Guards against slots that stay free under an overload.
TEST_CASE("slots kept free for urgent work are used by work that has waited") {
  AdmissionPolicy policy = MakePolicy(3, 64);
  policy.urgent_slots = 1;
  policy.ranks[2].expected_service_time = milliseconds(400);
  const std::vector<Stream> streams = {{0, 0.2, 1}, {2, 1.5, 1}};
  const std::vector<StreamResult> results = Simulate(policy, streams);
  CHECK(results[0].met >= results[0].offered * 99 / 100);
  CHECK(results[0].slots + results[1].slots >= 0.97);
}

// Guards against slots that are kept free for items that take about as long as
// the items that could use them.
TEST_CASE("no slot is kept free for urgent work of similar length") {
  AdmissionPolicy policy = MakePolicy(2, 64);
  policy.urgent_slots = 1;
  AdmissionQueue queue(policy, kStart);
  CHECK(Offer(queue, MakeItem(1, 0), kStart).verdict == AdmissionVerdict::kRun);
  CHECK(Offer(queue, MakeItem(2, 2), kStart).verdict == AdmissionVerdict::kRun);
}

}  // namespace
}  // namespace comfrey
