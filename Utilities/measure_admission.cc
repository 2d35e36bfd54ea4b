// Measures admission control by rank in virtual time against a queue that
// serves first come, first served. The simulated service has 12 endpoints; the
// ingress chooses the better of two random endpoints by load, and does not
// retry refused requests.

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <iostream>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "absl/strings/str_format.h"
#include "core/admission_queue.h"
#include "gflags/gflags.h"

DEFINE_int32(seconds, 60, "measured virtual time of each run in seconds");
DEFINE_uint64(seed, 1, "seed of arrivals and service times");

namespace comfrey {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t kEndpoints = 12;
constexpr std::size_t kQueueLimit = 64;
constexpr std::uint64_t kOrganisations = 28000;
constexpr double kMeanServiceSeconds = 0.040;
constexpr double kServiceSigma = 0.5;  // p99 is about 2.8 times the mean.
constexpr auto kWarmUp = std::chrono::seconds(5);
constexpr auto kBurst = std::chrono::seconds(2);

// A rank with its usual load as a part of the capacity. The load of the less
// urgent ranks exceeds their shares, so that the shares can be observed.
struct RankLoad {
  RankPolicy policy;
  double load;
  milliseconds deadline;
};

struct Deployment {
  const char* name;
  std::size_t slots;
  std::vector<RankLoad> ranks;
};

// Requests of one rank that are reported together.
struct Stream {
  std::string name;
  std::size_t rank = 0;
  double per_second = 0.0;
  bool single_organisation = false;
  bool in_bursts = false;  // 2 s with requests, then 2 s without.
};

struct StreamResult {
  std::uint64_t offered = 0;
  std::uint64_t served = 0;
  std::uint64_t met = 0;
  std::uint64_t not_run = 0;
  double slot_seconds = 0.0;
  std::vector<double> waits_ms;
};

struct Request {
  WorkItem item;
  std::size_t stream = 0;
  TimePoint started;
};

// The baseline: one queue with a limit, in order of arrival. Like a common
// server, it skips requests whose caller has given up.
struct FifoQueue {
  std::size_t slots = 0;
  std::size_t running = 0;
  std::deque<WorkItem> items;
};

struct Endpoint {
  std::unique_ptr<AdmissionQueue> ranked;
  FifoQueue fifo;
};

struct Outcome {
  std::vector<WorkItem> started;
  std::vector<WorkItem> not_run;
};

void Append(std::vector<WorkItem>& to, const std::vector<WorkItem>& from) {
  to.insert(to.end(), from.begin(), from.end());
}

void AdvanceEndpoint(Endpoint& endpoint, TimePoint now, Outcome& outcome) {
  if (endpoint.ranked != nullptr) {
    const DispatchResult progress = Dispatch(*endpoint.ranked, now);
    Append(outcome.started, progress.started);
    Append(outcome.not_run, progress.expired);
    return;
  }
  FifoQueue& fifo = endpoint.fifo;
  while (fifo.running < fifo.slots && !fifo.items.empty()) {
    if (fifo.items.front().deadline < now) {
      outcome.not_run.push_back(fifo.items.front());
    } else {
      fifo.running++;
      outcome.started.push_back(fifo.items.front());
    }
    fifo.items.pop_front();
  }
}

Outcome OfferToEndpoint(Endpoint& endpoint,
                        const WorkItem& item,
                        TimePoint now) {
  Outcome outcome;
  if (endpoint.ranked != nullptr) {
    const AdmissionDecision decision = Offer(*endpoint.ranked, item, now);
    Append(outcome.not_run, decision.displaced);
    Append(outcome.not_run, decision.expired);
    if (decision.verdict == AdmissionVerdict::kRun) {
      outcome.started.push_back(item);
    } else if (decision.verdict == AdmissionVerdict::kRefused) {
      outcome.not_run.push_back(item);
    }
  } else if (endpoint.fifo.items.size() >= kQueueLimit) {
    outcome.not_run.push_back(item);
  } else {
    endpoint.fifo.items.push_back(item);
  }
  AdvanceEndpoint(endpoint, now, outcome);
  return outcome;
}

Outcome FinishAtEndpoint(Endpoint& endpoint, std::uint64_t id, TimePoint now) {
  Outcome outcome;
  if (endpoint.ranked != nullptr) {
    Finish(*endpoint.ranked, id, FinishOutcome::kServed, now);
  } else {
    endpoint.fifo.running--;
  }
  AdvanceEndpoint(endpoint, now, outcome);
  return outcome;
}

std::size_t Load(const Endpoint& endpoint) {
  return endpoint.ranked != nullptr
             ? endpoint.ranked->running.size() + endpoint.ranked->queued.size()
             : endpoint.fifo.running + endpoint.fifo.items.size();
}

// An arrival of a stream, or the end of a running request.
struct Event {
  TimePoint time;
  std::uint64_t order = 0;
  bool is_arrival = false;
  std::size_t stream = 0;
  std::size_t endpoint = 0;
  std::uint64_t id = 0;
};

struct LaterEvent {
  bool operator()(const Event& a, const Event& b) const {
    return std::tie(a.time, a.order) > std::tie(b.time, b.order);
  }
};

struct Simulation {
  std::mt19937_64 rng;
  std::vector<Endpoint> endpoints;
  std::priority_queue<Event, std::vector<Event>, LaterEvent> events;
  std::unordered_map<std::uint64_t, Request> requests;
  std::vector<StreamResult> results;
  TimePoint measure_from;
  TimePoint measure_to;
  std::uint64_t next_order = 0;
  std::uint64_t next_id = 1;
};

TimePoint After(TimePoint time, double seconds) {
  return time + std::chrono::duration_cast<TimePoint::duration>(
                    std::chrono::duration<double>(seconds));
}

double SecondsBetween(TimePoint from, TimePoint to) {
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

bool IsMeasured(const Simulation& simulation, const Request& request) {
  return request.item.arrival >= simulation.measure_from &&
         request.item.arrival < simulation.measure_to;
}

void ScheduleArrival(Simulation& simulation,
                     const std::vector<Stream>& streams,
                     std::size_t stream,
                     TimePoint now) {
  std::exponential_distribution<double> gap(streams[stream].per_second);
  const TimePoint time = After(now, gap(simulation.rng));
  if (time < simulation.measure_to) {
    simulation.events.push({time, simulation.next_order++, true, stream, 0, 0});
  }
}

void Apply(Simulation& simulation,
           const Outcome& outcome,
           std::size_t endpoint,
           TimePoint now) {
  std::lognormal_distribution<double> service(
      std::log(kMeanServiceSeconds) - kServiceSigma * kServiceSigma / 2,
      kServiceSigma);
  for (const WorkItem& item : outcome.started) {
    Request& request = simulation.requests.at(item.id);
    request.started = now;
    const TimePoint end = After(now, service(simulation.rng));
    StreamResult& result = simulation.results[request.stream];
    result.slot_seconds +=
        SecondsBetween(std::max(now, simulation.measure_from),
                       std::min(end, simulation.measure_to));
    simulation.events.push(
        {end, simulation.next_order++, false, 0, endpoint, item.id});
  }
  for (const WorkItem& item : outcome.not_run) {
    const Request& request = simulation.requests.at(item.id);
    if (IsMeasured(simulation, request)) {
      simulation.results[request.stream].not_run++;
    }
    simulation.requests.erase(item.id);
  }
}

void HandleArrival(Simulation& simulation,
                   const Deployment& deployment,
                   const std::vector<Stream>& streams,
                   const Event& event) {
  const Stream& stream = streams[event.stream];
  ScheduleArrival(simulation, streams, event.stream, event.time);
  if (stream.in_bursts &&
      (event.time - simulation.measure_from) / kBurst % 2 != 0) {
    return;
  }
  Request request;
  request.stream = event.stream;
  request.item.id = simulation.next_id++;
  request.item.rank = stream.rank;
  request.item.organisation =
      stream.single_organisation
          ? "flooding"
          : absl::StrFormat("org-%u", simulation.rng() % kOrganisations);
  request.item.arrival = event.time;
  request.item.deadline = event.time + deployment.ranks[stream.rank].deadline;
  if (IsMeasured(simulation, request)) {
    simulation.results[event.stream].offered++;
  }
  const std::size_t first = simulation.rng() % kEndpoints;
  const std::size_t second = simulation.rng() % kEndpoints;
  const std::size_t chosen =
      Load(simulation.endpoints[first]) <= Load(simulation.endpoints[second])
          ? first
          : second;
  const WorkItem item = request.item;
  simulation.requests.emplace(item.id, std::move(request));
  Apply(simulation,
        OfferToEndpoint(simulation.endpoints[chosen], item, event.time), chosen,
        event.time);
}

void HandleFinish(Simulation& simulation,
                  const Deployment& deployment,
                  const Event& event) {
  const Request& request = simulation.requests.at(event.id);
  if (IsMeasured(simulation, request)) {
    const RankPolicy& policy = deployment.ranks[request.item.rank].policy;
    StreamResult& result = simulation.results[request.stream];
    result.served += event.time <= request.item.deadline ? 1 : 0;
    result.met += event.time <= request.item.arrival + policy.target ? 1 : 0;
    result.waits_ms.push_back(
        1000.0 * SecondsBetween(request.item.arrival, request.started));
  }
  simulation.requests.erase(event.id);
  Apply(simulation,
        FinishAtEndpoint(simulation.endpoints[event.endpoint], event.id,
                         event.time),
        event.endpoint, event.time);
}

std::vector<StreamResult> Run(const Deployment& deployment,
                              const std::vector<Stream>& streams,
                              bool ranked) {
  Simulation simulation;
  simulation.rng.seed(FLAGS_seed);
  simulation.results.resize(streams.size());
  const TimePoint start = TimePoint() + std::chrono::hours(1);
  simulation.measure_from = start + kWarmUp;
  simulation.measure_to =
      simulation.measure_from + std::chrono::seconds(FLAGS_seconds);
  AdmissionPolicy policy;
  policy.slots = deployment.slots;
  policy.queue_limit = kQueueLimit;
  for (const RankLoad& rank : deployment.ranks) {
    policy.ranks.push_back(rank.policy);
  }
  for (std::size_t index = 0; index < kEndpoints; index++) {
    Endpoint& endpoint = simulation.endpoints.emplace_back();
    endpoint.fifo.slots = deployment.slots;
    if (ranked) {
      endpoint.ranked = std::make_unique<AdmissionQueue>(policy, start);
    }
  }
  for (std::size_t stream = 0; stream < streams.size(); stream++) {
    ScheduleArrival(simulation, streams, stream, start);
  }
  while (!simulation.events.empty()) {
    const Event event = simulation.events.top();
    simulation.events.pop();
    if (event.is_arrival) {
      HandleArrival(simulation, deployment, streams, event);
    } else {
      HandleFinish(simulation, deployment, event);
    }
  }
  return simulation.results;
}

double Percentile(std::vector<double> values, double part) {
  if (values.empty()) {
    return 0.0;
  }
  const auto index = static_cast<std::ptrdiff_t>(
      part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + index, values.end());
  return values[static_cast<std::size_t>(index)];
}

double Percent(std::uint64_t part, std::uint64_t whole) {
  return whole == 0
             ? 0.0
             : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

void PrintRun(const Deployment& deployment,
              const std::vector<Stream>& streams,
              const std::string& scenario) {
  const auto seconds = static_cast<double>(FLAGS_seconds);
  const double capacity =
      seconds * static_cast<double>(kEndpoints * deployment.slots);
  for (const bool ranked : {true, false}) {
    const std::vector<StreamResult> results = Run(deployment, streams, ranked);
    for (std::size_t index = 0; index < streams.size(); index++) {
      const StreamResult& result = results[index];
      const RankPolicy& policy = deployment.ranks[streams[index].rank].policy;
      std::cout << absl::StrFormat(
          "%-2s %-22s %-6s %-16s %9.1f %9.1f %7.2f %7.2f %6.1f %6.1f %7.1f "
          "%7.1f %7.1f\n",
          deployment.name, scenario, ranked ? "ranks" : "fcfs",
          streams[index].name, static_cast<double>(result.offered) / seconds,
          static_cast<double>(result.served) / seconds,
          Percent(result.met, result.offered),
          Percent(result.met, result.waits_ms.size()), 100.0 * policy.share,
          100.0 * result.slot_seconds / capacity,
          Percent(result.not_run, result.offered),
          Percentile(result.waits_ms, 0.5), Percentile(result.waits_ms, 0.99));
    }
  }
}

std::vector<Stream> UsualStreams(const Deployment& deployment) {
  const double capacity =
      static_cast<double>(kEndpoints * deployment.slots) / kMeanServiceSeconds;
  std::vector<Stream> streams;
  for (std::size_t rank = 0; rank < deployment.ranks.size(); rank++) {
    const RankLoad& load = deployment.ranks[rank];
    streams.push_back(
        {load.policy.name, rank, load.load * capacity, false, false});
  }
  return streams;
}

void MeasureDeployment(const Deployment& deployment) {
  const double capacity =
      static_cast<double>(kEndpoints * deployment.slots) / kMeanServiceSeconds;
  const std::size_t least = deployment.ranks.size() - 1;
  PrintRun(deployment, UsualStreams(deployment), "usual load");
  for (const std::size_t rank : {least, std::size_t{0}}) {
    for (const int factor : {1, 2, 5, 10}) {
      std::vector<Stream> streams = UsualStreams(deployment);
      streams[rank].per_second = factor * capacity;
      PrintRun(deployment, streams,
               absl::StrFormat("%s %dx", streams[rank].name, factor));
    }
  }
  // Bursts of a less urgent rank, while the most urgent one uses more than its
  // share: the time for which the guaranteed share holds up urgent work.
  for (std::size_t rank = 1; rank < deployment.ranks.size(); rank++) {
    std::vector<Stream> streams = UsualStreams(deployment);
    streams[0].per_second = 0.5 * capacity;
    streams[rank].per_second = 10 * capacity;
    streams[rank].in_bursts = true;
    PrintRun(deployment, streams,
             absl::StrFormat("bursts of %s 10x", streams[rank].name));
  }
  for (std::size_t rank = 0; rank < deployment.ranks.size(); rank++) {
    std::vector<Stream> streams = UsualStreams(deployment);
    streams.push_back({"  one organisation", rank, 10 * capacity, true, false});
    PrintRun(deployment, streams,
             absl::StrFormat("one org %s 10x", streams[rank].name));
  }
}

void Measure() {
  const std::vector<Deployment> deployments = {
      {"A",
       4,
       {{{"order", 1, 0.30, milliseconds(250)}, 0.25, milliseconds(2000)},
        {{"browsing", 2, 0.30, milliseconds(500)}, 0.35, milliseconds(2000)},
        {{"checks", 3, 0.10, milliseconds(5000)}, 0.12, milliseconds(10000)}}},
      {"B",
       3,
       {{{"lookup", 1, 0.20, milliseconds(200)}, 0.20, milliseconds(2000)},
        {{"booking", 2, 0.40, milliseconds(500)}, 0.45, milliseconds(2000)},
        {{"report", 3, 0.15, milliseconds(5000)}, 0.18, milliseconds(10000)}}}};
  std::cout << absl::StrFormat(
      "%-2s %-22s %-6s %-16s %9s %9s %7s %7s %6s %6s %7s %7s %7s\n", "", "load",
      "queue", "rank", "offered/s", "goodput/s", "met%", "met%run", "share%",
      "slots%", "notrun%", "wait50", "wait99");
  for (const Deployment& deployment : deployments) {
    MeasureDeployment(deployment);
  }
}

}  // namespace
}  // namespace comfrey

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  comfrey::Measure();
  return 0;
}
