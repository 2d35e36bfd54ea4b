#include "core/admission_queue.h"

#include <algorithm>
#include <map>
#include <random>

#include "admission_load.h"
#include "catch2/catch.hpp"

namespace comfrey {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against items that wait behind a flood of less urgent items. The bound
// is the objective that 99 of 100 requests meet their target.
TEST_CASE("work above a flooding rank meets its target") {
  for (const std::size_t slots : {3, 4}) {
    for (const double flood : {1.0, 2.0, 5.0, 10.0}) {
      INFO(slots << " slots, " << flood << "x");
      const auto results =
          Simulate(MakePolicy(slots, 64),
                   {{0, 0.25, 500}, {1, 0.3, 500}, {2, flood, 9}});
      CHECK(results[0].met >= 0.99 * results[0].offered);
      CHECK(results[1].met >= 0.99 * results[1].offered);
      // No slot is left unused while work is queued.
      CHECK(results[0].slots + results[1].slots + results[2].slots > 0.99);
    }
  }
}

// Guards against a flood of urgent items that uses the guaranteed shares of
// other ranks, and against starvation of a rank without a share.
TEST_CASE("lower ranks keep their shares in an urgent flood") {
  struct Case {
    std::size_t slots;
    double shares[4];
  };
  const Case cases[] = {{3, {0.3, 0.3, 0.1, 0.0}},
                        {4, {0.3, 0.3, 0.1, 0.0}},
                        {4, {0.3, 0.3, 0.4, 0.0}},
                        {3, {0.0, 0.4, 0.15, 0.05}}};
  for (const Case& c : cases) {
    INFO(c.slots << " slots, shares " << c.shares[1] << ", " << c.shares[2]);
    AdmissionPolicy policy = MakePolicy(c.slots, 64);
    policy.ranks.push_back({"reports", 4, 0.0, seconds(5)});
    std::vector<Stream> streams;
    for (std::size_t rank = 0; rank < 4; rank++) {
      policy.ranks[rank].share = c.shares[rank];
      streams.push_back(
          {rank, rank == 0 ? 10.0 : 2 * c.shares[rank] + 0.1, 500});
    }
    const auto results = Simulate(policy, streams);
    // Running items are not preempted, so the measured minute can begin and end
    // while an item runs in each slot. This costs up to one service time of
    // 40 ms at each end of the 60 s.
    const double cut = 2 * 0.040 / 60;
    for (std::size_t rank = 1; rank < 4; rank++) {
      INFO("rank " << rank);
      CHECK(results[rank].slots >= c.shares[rank] - cut);
      // At least one start in each period of the deadline, 2 s.
      CHECK(results[rank].started >= 30);
    }
  }
}

// Guards against an organisation that uses the slots or the queue places of
// other organisations of its rank, also when the other ranks use their full
// shares.
TEST_CASE("a flooding organisation does not displace others of its rank") {
  for (const double other_load : {0.15, 0.45}) {
    for (const std::size_t rank : {0, 1, 2}) {
      INFO("rank " << rank << ", load of the other ranks " << other_load);
      std::vector<Stream> streams;
      for (const std::size_t other : {0, 1, 2}) {
        streams.push_back({other, other_load, 28000});
      }
      streams[rank].load = rank == 2 ? 0.08 : 0.2;
      streams.push_back({rank, 10.0, 1});
      AdmissionPolicy policy = MakePolicy(3, 64);
      policy.ranks[0].target = milliseconds(200);
      const auto results = Simulate(policy, streams);
      CHECK(results[rank].started >= 0.99 * results[rank].offered);
    }
  }
}

// Guards against a rank that is always served before another rank of equal
// urgency.
TEST_CASE("ranks of equal urgency take turns") {
  AdmissionPolicy policy = MakePolicy(1, 64);
  policy.ranks[1].urgency = 1;
  AdmissionQueue queue(policy, kStart);
  FillSlots(queue, 2);
  for (std::uint64_t id = 1; id <= 4; id++) {
    Offer(queue, MakeItem(id, id <= 2 ? 0 : 1), kStart);
  }
  CHECK(StartOrder(queue, kStart + milliseconds(40)) == IdList{1, 3, 2, 4});
}

struct QueuedWork {
  std::uint64_t id;
  std::size_t rank;
  const char* organisation;
};

// Guards against items that start in a wrong order.
TEST_CASE("items start by urgency, then in turn by organisation") {
  struct Case {
    const char* name;
    std::size_t running_rank;
    std::vector<QueuedWork> work;
    IdList expected;
  };
  const Case cases[] = {
      {"the most urgent rank below its share, then the one above its share",
       1,
       {{1, 1, "a"}, {2, 2, "a"}, {3, 0, "a"}},
       {3, 2, 1}},
      {"FIFO within an organisation",
       1,
       {{1, 0, "a"}, {2, 0, "a"}, {3, 0, "a"}},
       {1, 2, 3}},
      {"organisations take turns",
       1,
       {{1, 0, "a"}, {2, 0, "a"}, {3, 0, "a"}, {4, 0, "b"}, {5, 0, "c"}},
       {1, 4, 5, 2, 3}},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    AdmissionQueue queue(MakePolicy(1, 64), kStart);
    FillSlots(queue, c.running_rank);
    for (const QueuedWork& work : c.work) {
      CHECK(
          Offer(queue, MakeItem(work.id, work.rank, work.organisation), kStart)
              .verdict == AdmissionVerdict::kQueued);
    }
    CHECK(StartOrder(queue, kStart + milliseconds(40)) == c.expected);
  }
}

// Guards against a full queue that refuses or displaces the wrong items.
TEST_CASE("a full queue displaces work above its share") {
  struct Case {
    const char* name;
    std::vector<QueuedWork> work;
    QueuedWork arriving;
    IdList displaced;
    RefusalReason reason;
  };
  const Case cases[] = {
      {"urgent displaces the newest cheap item of the longest queue",
       {{1, 2, "a"}, {2, 2, "a"}, {3, 2, "b"}, {4, 1, "c"}},
       {9, 0, "a"},
       {2},
       RefusalReason::kNone},
      {"a rank without its reserved place displaces a more urgent one",
       {{1, 0, "a"}, {2, 0, "a"}, {3, 0, "b"}, {4, 0, "c"}},
       {9, 2, "a"},
       {2},
       RefusalReason::kNone},
      {"a rank with its reserved place does not",
       {{1, 0, "a"}, {2, 0, "b"}, {3, 0, "c"}, {4, 2, "a"}},
       {9, 2, "a"},
       {},
       RefusalReason::kQueueFull},
      {"a light organisation displaces a heavy one",
       {{1, 1, "a"}, {2, 1, "a"}, {3, 1, "a"}, {4, 1, "b"}},
       {9, 1, "c"},
       {3},
       RefusalReason::kNone},
      {"a heavy one does not displace a light one",
       {{1, 1, "a"}, {2, 1, "a"}, {3, 1, "b"}, {4, 1, "c"}},
       {9, 1, "a"},
       {},
       RefusalReason::kQueueFull},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    AdmissionQueue queue(MakePolicy(1, 4), kStart);
    FillSlots(queue, 0);
    for (const QueuedWork& work : c.work) {
      CHECK(
          Offer(queue, MakeItem(work.id, work.rank, work.organisation), kStart)
              .verdict == AdmissionVerdict::kQueued);
    }
    const bool forecast =
        ForecastRefusals(queue, kStart)[c.arriving.rank].refused_for >
        microseconds(0);
    const AdmissionDecision decision =
        Offer(queue,
              MakeItem(c.arriving.id, c.arriving.rank, c.arriving.organisation),
              kStart);
    CHECK(Ids(decision.displaced) == c.displaced);
    CHECK(decision.reason == c.reason);
    CHECK(queue.queued.size() == 4);
    // The forecast is for organisations without queued items, so other items
    // can be refused without it. It must not predict the refusal of an item
    // that is accepted.
    if (c.reason == RefusalReason::kNone) {
      CHECK_FALSE(forecast);
    }
  }
}

// Guards against refusals that are not forecast, and against a forecast without
// an end.
TEST_CASE("the forecast shows the ranks that are refused") {
  AdmissionQueue queue(MakePolicy(1, 4), kStart);
  FillSlots(queue, 1);
  for (std::uint64_t id = 1; id <= 4; id++) {
    const std::string name(id, 'x');
    Offer(queue, MakeItem(id, id == 1 ? 2 : 1, name), kStart);
  }
  const auto forecasts = ForecastRefusals(queue, kStart);
  REQUIRE(forecasts.size() == 3);
  CHECK(forecasts[0].refused_for == microseconds(0));
  CHECK(forecasts[1].refused_for == milliseconds(40));
  CHECK(forecasts[2].refused_for == milliseconds(40));
  CHECK(forecasts[0].expected_wait < forecasts[1].expected_wait);
  SetDraining(queue, true);
  CHECK(ForecastRefusals(queue, kStart)[0].refused_for == microseconds::max());
}

// Guards against expired items that are started, or occupy places of the queue,
// after a pause of the process.
TEST_CASE("after a pause expired items are dropped before anything starts") {
  AdmissionQueue queue(MakePolicy(2, 3), kStart);
  FillSlots(queue, 0);
  Offer(queue, MakeItem(1, 0, "a", kStart, seconds(2)), kStart);
  Offer(queue, MakeItem(2, 2, "a", kStart, seconds(60)), kStart);
  Offer(queue, MakeItem(3, 1, "b", kStart, seconds(2)), kStart);
  CHECK(NextExpiry(queue).value() <= kStart + seconds(2));

  const TimePoint late = kStart + seconds(30);
  const AdmissionDecision decision =
      Offer(queue, MakeItem(4, 1, "c", late), late);
  CHECK(decision.verdict == AdmissionVerdict::kQueued);
  CHECK(decision.displaced.empty());
  CHECK(Ids(decision.expired) == IdList{1, 3});
  Offer(queue, MakeItem(5, 0, "a", late, seconds(1)), late);
  Finish(queue, 1001, FinishOutcome::kServed, late);
  Finish(queue, 1002, FinishOutcome::kServed, late);
  const DispatchResult dispatched = Dispatch(queue, late + seconds(2));
  CHECK(Ids(dispatched.expired) == IdList{5});
  CHECK(Ids(dispatched.started).size() == 2);
}

// Guards against items that are accepted although they cannot meet their
// deadline, and against a slow period after which every item is refused because
// of its deadline.
TEST_CASE("deadlines are compared with recent service times") {
  AdmissionQueue queue(MakePolicy(1, 64), kStart);
  const auto offer = [&queue](std::uint64_t id, TimePoint now) {
    return Offer(queue, MakeItem(id, 0, "a", now, milliseconds(500)), now);
  };
  TimePoint now = kStart;
  for (std::uint64_t id = 1; id <= 40; id++) {
    Offer(queue, MakeItem(id, 0, "a", now, seconds(100)), now);
    now += seconds(1);
    Finish(queue, id, FinishOutcome::kServed, now);
  }
  CHECK(offer(100, now).reason == RefusalReason::kDeadline);
  CHECK(offer(101, now + seconds(5)).verdict == AdmissionVerdict::kRun);
  // A failure after 1 ms does not change the estimated service time.
  Finish(queue, 101, FinishOutcome::kFailed, now + milliseconds(5001));
  CHECK(queue.ranks[0].mean_service_time > 0.9);

  now += seconds(10);
  CHECK(offer(102, now).verdict == AdmissionVerdict::kRun);
  now += milliseconds(40);
  Finish(queue, 102, FinishOutcome::kServed, now);
  CHECK(offer(103, now).verdict == AdmissionVerdict::kRun);

  // The wait depends on the queue of the item's organisation, but not on those
  // of other organisations.
  AdmissionQueue busy(MakePolicy(1, 64), kStart);
  FillSlots(busy, 0);
  for (std::uint64_t id = 1; id <= 20; id++) {
    Offer(busy, MakeItem(id, 0, "a"), kStart);
  }
  const auto offer_from = [&busy](const char* organisation) {
    return Offer(busy, MakeItem(50, 0, organisation, kStart, milliseconds(500)),
                 kStart);
  };
  CHECK(offer_from("a").reason == RefusalReason::kDeadline);
  CHECK(offer_from("b").verdict == AdmissionVerdict::kQueued);
}

// Guards against refusals for many seconds after a pause of the process. The
// measured service times of the items that ran meanwhile include the pause.
TEST_CASE("a pause does not count as service time") {
  AdmissionQueue queue(MakePolicy(4, 64), kStart);
  FillSlots(queue, 0);
  const TimePoint late = kStart + seconds(30);
  for (std::uint64_t id = 1001; id <= 1004; id++) {
    Finish(queue, id, FinishOutcome::kServed, late);
  }
  const WorkItem item = MakeItem(1, 0, "a", late, milliseconds(500));
  CHECK(Offer(queue, item, late).verdict == AdmissionVerdict::kRun);
}

// Guards against an overloaded rank that serves only items that miss their
// target, and against late items that are never started.
TEST_CASE("late work runs after work that can meet its target") {
  AdmissionQueue queue(MakePolicy(1, 64), kStart);
  FillSlots(queue, 0);
  Offer(queue, MakeItem(1, 0, "a"), kStart);
  Offer(queue, MakeItem(2, 0, "b"), kStart);
  const TimePoint late = kStart + milliseconds(200);
  Offer(queue, MakeItem(3, 0, "c", late), late);
  CHECK(StartOrder(queue, late) == IdList{3, 1, 2});
}

// Guards against more concurrent requests than the backend server accepts, and
// against a limit that does not recover or that a single burst of shed requests
// lowers to the minimum.
TEST_CASE("the limit follows the load that the backend server sheds") {
  AdmissionQueue queue(MakePolicy(4, 64), kStart);
  FillSlots(queue, 0);
  TimePoint now = kStart + milliseconds(5);
  for (std::uint64_t id = 1001; id <= 1004; id++) {
    Finish(queue, id, FinishOutcome::kShed, now);
  }
  CHECK(ConcurrencyLimit(queue) == 2);
  std::size_t most_running = 0;
  for (std::uint64_t id = 1; id <= 400; id++) {
    Offer(queue, MakeItem(id, 0, "a", now), now);
    Dispatch(queue, now);
    most_running = std::max(most_running, queue.running.size());
    REQUIRE(queue.running.size() <= ConcurrencyLimit(queue));
    now += milliseconds(10);
    if (id % 8 == 0) {
      while (!queue.running.empty()) {
        Finish(queue, queue.running.begin()->first, FinishOutcome::kServed,
               now);
        Dispatch(queue, now);
      }
    }
  }
  CHECK(most_running == 4);
  CHECK(ConcurrencyLimit(queue) == 4);
  Offer(queue, MakeItem(999, 0, "a", now), now);
  Finish(queue, 999, FinishOutcome::kShed, now);
  CHECK(ConcurrencyLimit(queue) == 2);
  Reconfigure(queue, MakePolicy(1, 64), now);
  CHECK(ConcurrencyLimit(queue) == 1);
}

// Guards against a concurrency limit for warm-up or probation that is exceeded,
// and against a draining owner that accepts new items or drops accepted ones.
TEST_CASE("external limits, leaving and cancellation") {
  AdmissionQueue queue(MakePolicy(3, 64), kStart);
  SetConcurrencyLimit(queue, 1, kStart);
  CHECK(Offer(queue, MakeItem(1, 0), kStart).verdict == AdmissionVerdict::kRun);
  for (const std::uint64_t id : {2, 3, 4, 5}) {
    CHECK(Offer(queue, MakeItem(id, 0), kStart).verdict ==
          AdmissionVerdict::kQueued);
  }
  CHECK(Dispatch(queue, kStart).started.empty());
  CHECK(Offer(queue, MakeItem(1, 0), kStart).reason ==
        RefusalReason::kDuplicateId);
  CHECK(Offer(queue, MakeItem(6, 3), kStart).reason ==
        RefusalReason::kUnknownRank);
  SetDraining(queue, true);
  CHECK(Offer(queue, MakeItem(7, 0), kStart).reason ==
        RefusalReason::kDraining);

  CHECK(Cancel(queue, 1) == CancelResult::kRunning);
  CHECK(Cancel(queue, 3) == CancelResult::kCancelled);
  CHECK(Cancel(queue, 3) == CancelResult::kUnknown);
  CHECK(Dispatch(queue, kStart).started.empty());
  SetConcurrencyLimit(queue, std::nullopt, kStart);
  CHECK(Ids(Dispatch(queue, kStart).started) == IdList{2, 4});
  CHECK(Finish(queue, 1, FinishOutcome::kCancelled, kStart));
  CHECK_FALSE(Finish(queue, 1, FinishOutcome::kCancelled, kStart));
  CHECK(Ids(Dispatch(queue, kStart).started) == IdList{5});
}

// Guards against memory use that grows with the number of organisations, and
// against an organisation that is not served while items of new organisations
// keep arriving.
TEST_CASE("state is kept only for organisations with recent work") {
  AdmissionQueue queue(MakePolicy(2, 64), kStart);
  TimePoint now = kStart;
  std::uint64_t id = 1;
  std::uint64_t repeated_starts = 0;
  for (int organisation = 0; organisation < 28000; organisation++) {
    now += milliseconds(10);
    const std::string name = std::to_string(organisation);
    Offer(queue, MakeItem(id++, 1, name, now, seconds(60)), now);
    Offer(queue, MakeItem(id++, 1, "repeated", now, seconds(60)), now);
    if (queue.running.size() == 2) {
      Finish(queue, queue.running.begin()->first, FinishOutcome::kServed, now);
    }
    for (const WorkItem& item : Dispatch(queue, now).started) {
      repeated_starts += item.organisation == "repeated" ? 1 : 0;
    }
    REQUIRE(queue.ranks[1].organisations.size() <= 2 * 64 + 1);
  }
  // A fair share is one start in each round of at most 64 other organisations.
  CHECK(repeated_starts >= 28000 / 65);
}

// Guards against items that are lost, duplicated or assigned to a wrong rank by
// a new configuration.
TEST_CASE("a new policy keeps queued and running work") {
  AdmissionQueue queue(MakePolicy(1, 4), kStart);
  FillSlots(queue, 2);
  for (std::uint64_t id = 1; id <= 4; id++) {
    Offer(queue, MakeItem(id, id == 4 ? 0 : 1), kStart);
  }
  AdmissionPolicy policy = MakePolicy(2, 3);
  policy.ranks = {{"checks", 3, 0.10, seconds(5)},
                  {"order", 1, 0.30, milliseconds(250)}};
  CHECK(Ids(Reconfigure(queue, policy, kStart)) == IdList{3});
  CHECK(queue.ranks[0].running == 1);
  // The items of the removed rank are now in the least urgent rank.
  CHECK(Ids(Dispatch(queue, kStart).started) == IdList{4});
  CHECK(Finish(queue, 1001, FinishOutcome::kServed, kStart + seconds(1)));
  const auto started = Dispatch(queue, kStart + seconds(1)).started;
  REQUIRE(Ids(started) == IdList{1});
  CHECK(started[0].rank == 0);
}

enum class ItemState { kQueued, kRunning, kReported };

// Guards against sequences of calls after which an item is reported twice or
// never, a refused item is started, or a limit is exceeded.
TEST_CASE("invariants hold for random sequences of operations") {
  std::mt19937_64 rng(11);
  AdmissionQueue queue(MakePolicy(4, 16), kStart);
  std::map<std::uint64_t, ItemState> items;
  TimePoint now = kStart;
  std::uint64_t next_id = 1;
  const auto report = [&](const std::vector<WorkItem>& reported,
                          ItemState state) {
    for (const WorkItem& item : reported) {
      REQUIRE(items.at(item.id) == ItemState::kQueued);
      items[item.id] = state;
      if (state == ItemState::kRunning) {
        REQUIRE(item.deadline >= now);
        REQUIRE(queue.running.size() <= ConcurrencyLimit(queue));
        REQUIRE(queue.running.size() <= queue.policy.slots);
      }
    }
  };
  const auto random_id = [&] {
    const std::uint64_t recent = std::min<std::uint64_t>(next_id, 40);
    return next_id - rng() % recent;
  };
  const auto offer = [&] {
    const WorkItem item =
        MakeItem(next_id++, rng() % 3, std::to_string(rng() % 30),
                 now - milliseconds(rng() % 100), milliseconds(rng() % 3000));
    const AdmissionDecision decision = Offer(queue, item, now);
    report(decision.expired, ItemState::kReported);
    report(decision.displaced, ItemState::kReported);
    items[item.id] = ItemState::kQueued;
    if (decision.verdict == AdmissionVerdict::kRun) {
      report({item}, ItemState::kRunning);
    } else if (decision.verdict == AdmissionVerdict::kRefused) {
      REQUIRE(decision.reason != RefusalReason::kNone);
      report({item}, ItemState::kReported);
    }
  };
  const auto finish = [&](std::uint64_t id) {
    const bool was_running =
        items.count(id) == 1 && items[id] == ItemState::kRunning;
    REQUIRE(Finish(queue, id, static_cast<FinishOutcome>(rng() % 4), now) ==
            was_running);
    if (was_running) {
      items[id] = ItemState::kReported;
    }
  };
  const auto cancel = [&](std::uint64_t id) {
    const CancelResult result = Cancel(queue, id);
    const auto found = items.find(id);
    if (found == items.end() || found->second == ItemState::kReported) {
      REQUIRE(result == CancelResult::kUnknown);
    } else if (found->second == ItemState::kRunning) {
      REQUIRE(result == CancelResult::kRunning);
    } else {
      REQUIRE(result == CancelResult::kCancelled);
      found->second = ItemState::kReported;
    }
  };
  const auto dispatch = [&] {
    const DispatchResult dispatched = Dispatch(queue, now);
    report(dispatched.expired, ItemState::kReported);
    report(dispatched.started, ItemState::kRunning);
    REQUIRE((queue.queued.empty() ||
             queue.running.size() >= ConcurrencyLimit(queue)));
  };
  for (int operation = 0; operation < 100'000; operation++) {
    INFO("operation " << operation);
    const std::uint64_t kind = rng() % 1000;
    now += microseconds(kind == 999 ? 20'000'000 : rng() % 5000);
    if (kind < 450) {
      offer();
    } else if (kind < 700) {
      finish(random_id());
    } else if (kind < 750) {
      cancel(random_id());
    } else if (kind < 980) {
      dispatch();
    } else if (kind < 990) {
      SetConcurrencyLimit(queue, rng() % 6, now);
    } else if (kind < 996) {
      SetDraining(queue, rng() % 4 == 0);
    } else {
      report(Reconfigure(queue, MakePolicy(2 + rng() % 4, 8 + rng() % 16), now),
             ItemState::kReported);
    }
    REQUIRE(queue.queued.size() <= queue.policy.queue_limit);
    std::size_t running = 0;
    std::size_t queued = 0;
    for (const RankState& rank : queue.ranks) {
      running += rank.running;
      queued += rank.queued;
      REQUIRE(rank.by_deadline.size() == rank.queued);
      REQUIRE(rank.by_target.size() + rank.queued_late == rank.queued);
      REQUIRE(rank.organisations.size() <= 2 * queue.policy.queue_limit);
    }
    REQUIRE(running == queue.running.size());
    REQUIRE(queued == queue.queued.size());
  }
  SetConcurrencyLimit(queue, std::nullopt, now);
  for (auto& [id, state] : items) {
    if (state == ItemState::kRunning) {
      finish(id);
    }
  }
  now += seconds(100);
  dispatch();
  CHECK(std::all_of(items.begin(), items.end(), [](const auto& entry) {
    return entry.second == ItemState::kReported;
  }));
}

// Guards against an expected wait that is too short because it does not include
// the queue of the item's organisation or the running items. Requests would be
// sent to a long queue although other endpoints have free slots.
TEST_CASE("the expected wait covers the queue of the own organisation") {
  AdmissionQueue queue(MakePolicy(3, 64), kStart);
  CHECK(ExpectedWait(queue, 0, "a", kStart).count() == 0);
  FillSlots(queue, 0);
  const auto first = ExpectedWait(queue, 0, "a", kStart);
  CHECK(first.count() > 0);
  for (std::uint64_t id = 1; id <= 30; id++) {
    Offer(queue, MakeItem(id, 0, "a", kStart, seconds(60)), kStart);
  }
  const auto service = queue.policy.expected_service_time;
  // 30 items take 10 service times in 3 slots.
  CHECK(ExpectedWait(queue, 0, "a", kStart) >= 9 * service);
  CHECK(ExpectedWait(queue, 0, "b", kStart) < 3 * service);
  CHECK(ExpectedWait(queue, 99, "a", kStart).count() == 0);
}

// Guards against a concurrency limit of 1 for a backend server that sheds
// requests at random, although the number of its slots is configured.
TEST_CASE("shed requests do not change exact slots") {
  for (const bool fixed : {false, true}) {
    AdmissionPolicy policy = MakePolicy(4, 64);
    policy.fixed_slots = fixed;
    AdmissionQueue queue(policy, kStart);
    TimePoint now = kStart;
    for (std::uint64_t id = 1; id <= 20; id++) {
      now += milliseconds(20);
      Offer(queue, MakeItem(id, 0, "a", now, seconds(60)), now);
      Finish(queue, id, FinishOutcome::kShed, now + milliseconds(1));
    }
    CHECK(ConcurrencyLimit(queue) == (fixed ? 4 : 1));
  }
}

}  // namespace
}  // namespace comfrey
