#include "admission_load.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <tuple>

#include "catch2/catch.hpp"

namespace comfrey {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

AdmissionPolicy MakePolicy(std::size_t slots, std::size_t queue_limit) {
  AdmissionPolicy policy;
  policy.ranks = {{"order", 1, 0.30, milliseconds(250)},
                  {"browsing", 2, 0.30, milliseconds(500)},
                  {"checks", 3, 0.10, milliseconds(5000)}};
  policy.slots = slots;
  policy.queue_limit = queue_limit;
  return policy;
}

WorkItem MakeItem(std::uint64_t id,
                  std::size_t rank,
                  const std::string& organisation,
                  TimePoint arrival,
                  milliseconds deadline) {
  return {id, rank, organisation, arrival, arrival + deadline};
}

IdList Ids(const std::vector<WorkItem>& items) {
  IdList ids(items.size());
  std::transform(items.begin(), items.end(), ids.begin(),
                 [](const WorkItem& item) { return item.id; });
  return ids;
}

void FillSlots(AdmissionQueue& queue, std::size_t rank) {
  for (std::uint64_t id = 1001; id <= 1000 + queue.policy.slots; id++) {
    REQUIRE(Offer(queue, MakeItem(id, rank), kStart).verdict ==
            AdmissionVerdict::kRun);
  }
}

IdList StartOrder(AdmissionQueue& queue, TimePoint now) {
  IdList order;
  while (!queue.running.empty()) {
    Finish(queue, queue.running.begin()->first, FinishOutcome::kFailed, now);
    for (const WorkItem& item : Dispatch(queue, now).started) {
      order.push_back(item.id);
    }
  }
  return order;
}

std::vector<StreamResult> Simulate(const AdmissionPolicy& policy,
                                   const std::vector<Stream>& streams) {
  constexpr double kService = 0.040;
  constexpr double kSigma = 0.5;
  std::mt19937_64 rng(7);
  std::lognormal_distribution<double> service(
      std::log(kService) - kSigma * kSigma / 2, kSigma);
  const auto after = [](TimePoint time, double gap) {
    return time + std::chrono::duration_cast<TimePoint::duration>(
                      std::chrono::duration<double>(gap));
  };
  const TimePoint from = kStart + seconds(5);
  const TimePoint to = from + seconds(60);
  AdmissionQueue queue(policy, kStart);
  std::vector<StreamResult> results(streams.size());
  struct Request {
    WorkItem item;
    std::size_t stream;
  };
  std::map<std::uint64_t, Request> requests;
  // An event with id 0 is an arrival in the stream. Any other event is the end
  // of the request with that id.
  using Event = std::tuple<TimePoint, std::uint64_t, std::size_t>;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  const auto schedule_arrival = [&](std::size_t stream, TimePoint now) {
    std::exponential_distribution<double> gap(
        streams[stream].load * static_cast<double>(policy.slots) / kService);
    events.emplace(after(now, gap(rng)), 0, stream);
  };
  for (std::size_t stream = 0; stream < streams.size(); stream++) {
    schedule_arrival(stream, kStart);
  }
  std::uint64_t next_id = 1;
  const auto start = [&](const WorkItem& item, TimePoint now) {
    const TimePoint end = after(now, service(rng));
    const Request& request = requests.at(item.id);
    StreamResult& result = results[request.stream];
    const TimePoint first = std::max(now, from);
    const TimePoint last = std::min(end, to);
    if (last > first) {
      result.slots += std::chrono::duration<double>(last - first).count() /
                      (60.0 * static_cast<double>(policy.slots));
    }
    if (item.arrival >= from && item.arrival < to) {
      result.started++;
      result.met +=
          end <= item.arrival + policy.ranks[item.rank].target ? 1 : 0;
    }
    events.emplace(end, item.id, request.stream);
  };
  const auto record_drops = [&](const std::vector<WorkItem>& items,
                                TimePoint now) {
    for (const WorkItem& item : items) {
      results[requests.at(item.id).stream].wait_of_dropped +=
          std::chrono::duration_cast<microseconds>(now - item.arrival);
    }
  };
  while (!events.empty()) {
    const auto [now, id, stream] = events.top();
    events.pop();
    if (id == 0 && now < to) {
      const WorkItem item =
          MakeItem(next_id++, streams[stream].rank,
                   std::to_string(stream) + "/" +
                       std::to_string(rng() % streams[stream].organisations),
                   now, seconds(2));
      requests[item.id] = {item, stream};
      results[stream].offered += now >= from ? 1 : 0;
      const AdmissionDecision decision = Offer(queue, item, now);
      if (decision.verdict == AdmissionVerdict::kRun) {
        start(item, now);
      }
      record_drops(decision.displaced, now);
      record_drops(decision.expired, now);
      schedule_arrival(stream, now);
    } else if (id != 0) {
      REQUIRE(Finish(queue, id, FinishOutcome::kServed, now));
    }
    const DispatchResult dispatched = Dispatch(queue, now);
    for (const WorkItem& item : dispatched.started) {
      start(item, now);
    }
    record_drops(dispatched.expired, now);
  }
  return results;
}

}  // namespace comfrey
