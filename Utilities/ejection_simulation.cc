#include "ejection_simulation.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "core/endpoint_health.h"
#include "core/endpoint_selector.h"
#include "core/outlier_verdict.h"
#include "core/path_health.h"

namespace comfrey {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using TimePoint = std::chrono::steady_clock::time_point;

constexpr TimePoint kStart{seconds(1'000'000)};

// Backend servers: light and heavy requests with log-normal latencies, and a
// tail of slow responses.
constexpr unsigned kSlots = 4;
constexpr double kLightMedianMs = 30;
constexpr double kHeavyMedianMs = 90;
constexpr double kHeavyShare = 0.3;
constexpr double kLatencySigma = 0.5;
constexpr double kTailShare = 0.01;
constexpr double kTailFirst = 3;
constexpr double kTailLast = 20;
constexpr double kTailExponent = 1.5;
constexpr double kSpeedSigma = 0.1;  // variation between the VMs of a service
constexpr double kErrorShare = 0.003;
constexpr milliseconds kErrorTime{2};
constexpr milliseconds kTimeout{1000};
// Healthy servers stall occasionally, for example during garbage collection.
constexpr double kStallsPerSecond = 1.0 / 60;
constexpr double kLongestStallMs = 500;

// Faults.
constexpr double kHangShare = 0.3;
constexpr double kShedShare = 0.6;
constexpr seconds kFloodTime{5};
constexpr seconds kFlappingPeriod{6};
constexpr seconds kFlappingFault{3};
constexpr seconds kOutagePeriod{10};
constexpr milliseconds kOutageTime{500};

// Owners and ingress daemons.
constexpr std::size_t kQueueLimit = 64;
constexpr milliseconds kEvaluationInterval{100};
constexpr seconds kPublishInterval{2};
constexpr double kGossipMinMs = 200;
constexpr double kGossipMaxMs = 1500;
constexpr double kVerdictMinMs = 50;
constexpr double kVerdictMaxMs = 500;
constexpr seconds kWarmup{5};
constexpr unsigned kFloorPercent = 70;

// Baseline policy with its usual defaults: five consecutive errors eject an
// endpoint for 10 s times the number of its ejections. After that, it returns
// with its full share at once.
constexpr unsigned kConsecutiveErrors = 5;
constexpr seconds kBaselineEjection{10};

struct Request {
  std::size_t ingress = 0;
  std::size_t endpoint = 0;
  TimePoint created;
  TimePoint started;
  Outcome outcome = Outcome::kOk;
};

enum class EventKind : std::uint8_t {
  kArrival,
  kFinish,
  kAcceptTimeout,
  kEvaluate,
  kPublish,
  kSummaryDelivery,
  kVerdictDelivery,
  kStall,
};

struct Event {
  TimePoint at;
  std::uint64_t sequence;
  EventKind kind;
  Request request;  // events of no request use only its ingress and endpoint
  EndpointSummary summary;
  Verdict verdict;
};

struct LaterEvent {
  bool operator()(const Event& a, const Event& b) const {
    return std::tie(a.at, a.sequence) > std::tie(b.at, b.sequence);
  }
};

struct Backend {
  EndpointHealth health;
  Verdict verdict;
  double speed = 1;
  TimePoint stalled_until;
  unsigned running = 0;
  std::deque<Request> queue;
  unsigned consecutive_errors = 0;
  unsigned baseline_ejections = 0;
  TimePoint baseline_ejected_until;
};

struct Ingress {
  std::vector<EndpointView> views;
  std::vector<PathHealth> paths;
  std::vector<std::uint64_t> verdict_sequences;
  std::vector<unsigned> consecutive_transport_errors;
  std::vector<std::optional<EndpointSummary>> summaries;
  CapacityPlan plan;
};

class Simulation {
 public:
  explicit Simulation(const SimulationOptions& options);
  SimulationResult Run();

 private:
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(this->rng);
  }
  microseconds UniformMs(double low, double high) {
    return microseconds(
        std::llround(1000 * (low + (high - low) * this->Uniform())));
  }
  void Schedule(TimePoint at,
                EventKind kind,
                const Request& request,
                const EndpointSummary& summary = {},
                const Verdict& verdict = {}) {
    this->events.push(
        {at, this->next_sequence++, kind, request, summary, verdict});
  }
  bool UsesCore() const {
    return this->options.policy >= SimulatedPolicy::kCareful;
  }
  bool IsFaulty(std::size_t endpoint) const;
  void Handle(const Event& event);
  void ScheduleArrival();
  void Route(Request request);
  std::optional<std::size_t> Choose(Ingress& ingress);
  void SendToOwner(const Request& request);
  void FailPath(const Request& request);
  void StartQueued(std::size_t endpoint);
  microseconds Serve(Request& request);
  double SlowFactor(std::size_t endpoint) const;
  void Finish(const Request& request);
  void CountConsecutiveErrors(const Request& request);
  void Evaluate(std::size_t endpoint);
  void Publish(std::size_t endpoint);
  void ChangeVerdict(std::size_t endpoint, const Verdict& verdict);
  void CountEjection(std::size_t endpoint);
  void Replan(Ingress& ingress);

  SimulationOptions options;
  DetectionPolicy policy;
  std::mt19937_64 rng;
  TimePoint now = kStart;
  TimePoint fault_at;
  std::uint64_t next_sequence = 0;
  std::priority_queue<Event, std::vector<Event>, LaterEvent> events;
  std::vector<Backend> backends;
  std::vector<Ingress> ingresses;
  SimulationResult result;
};

Detection DetectionOf(SimulatedPolicy policy) {
  switch (policy) {
    case SimulatedPolicy::kCareful:
      return Detection::kCareful;
    case SimulatedPolicy::kFast:
      return Detection::kFast;
    default:
      return Detection::kBalanced;
  }
}

Simulation::Simulation(const SimulationOptions& options)
    : options(options),
      policy(MakeDetectionPolicy(DetectionOf(options.policy), kWarmup)),
      rng(options.seed),
      fault_at(kStart + options.fault_at),
      backends(options.endpoints),
      ingresses(options.endpoints) {
  for (std::size_t i = 0; i < this->backends.size(); ++i) {
    Backend& backend = this->backends[i];
    backend.health = MakeEndpointHealth(kStart);
    backend.speed =
        std::lognormal_distribution<double>(0, kSpeedSigma)(this->rng);
    if (!this->UsesCore()) {
      backend.verdict.state = EndpointState::kHealthy;
    }
    Request subject;
    subject.endpoint = i;
    this->Schedule(kStart + this->UniformMs(0, 100), EventKind::kEvaluate,
                   subject);
    this->Schedule(kStart + this->UniformMs(0, 2000), EventKind::kPublish,
                   subject);
    this->Schedule(kStart + this->UniformMs(0, 1000 / kStallsPerSecond),
                   EventKind::kStall, subject);
  }
  for (Ingress& ingress : this->ingresses) {
    ingress.views.resize(options.endpoints);
    ingress.paths.resize(options.endpoints);
    ingress.verdict_sequences.resize(options.endpoints);
    ingress.consecutive_transport_errors.resize(options.endpoints);
    ingress.summaries.resize(options.endpoints);
    for (std::size_t i = 0; i < options.endpoints; ++i) {
      ingress.views[i].endpoint_id = i;
      ingress.views[i].limit = kSlots;
      ingress.views[i].state = this->backends[i].verdict.state;
    }
    this->Replan(ingress);
  }
  this->ScheduleArrival();
}

SimulationResult Simulation::Run() {
  const TimePoint end = kStart + this->options.duration;
  while (this->events.top().at < end) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    this->Handle(event);
  }
  return this->result;
}

bool Simulation::IsFaulty(std::size_t endpoint) const {
  switch (this->options.fault) {
    case SimulatedFault::kSlow2:
    case SimulatedFault::kSlow5:
    case SimulatedFault::kSlow20:
    case SimulatedFault::kHalfWrong:
    case SimulatedFault::kPartlyFunctional:
    case SimulatedFault::kFlapping:
    case SimulatedFault::kAllWrong:
      return endpoint == 0 && this->now >= this->fault_at;
    default:
      return false;
  }
}

void Simulation::Handle(const Event& event) {
  const std::size_t endpoint = event.request.endpoint;
  switch (event.kind) {
    case EventKind::kArrival:
      if (this->now >= this->fault_at) {
        ++this->result.requests;
      }
      this->Route(event.request);
      this->ScheduleArrival();
      break;
    case EventKind::kFinish:
      this->Finish(event.request);
      break;
    case EventKind::kAcceptTimeout:
      this->FailPath(event.request);
      break;
    case EventKind::kEvaluate:
      this->Evaluate(endpoint);
      this->Schedule(this->now + kEvaluationInterval, EventKind::kEvaluate,
                     event.request);
      break;
    case EventKind::kPublish:
      this->Publish(endpoint);
      this->Schedule(this->now + kPublishInterval, EventKind::kPublish,
                     event.request);
      break;
    case EventKind::kSummaryDelivery: {
      auto& known = this->ingresses[event.request.ingress].summaries[endpoint];
      if (!known || known->midpoint < event.summary.midpoint) {
        known = event.summary;
      }
      break;
    }
    case EventKind::kVerdictDelivery: {
      Ingress& ingress = this->ingresses[event.request.ingress];
      EndpointView& view = ingress.views[endpoint];
      if (event.sequence < ingress.verdict_sequences[endpoint]) {
        break;
      }
      ingress.verdict_sequences[endpoint] = event.sequence;
      view.state = event.verdict.state;
      view.severity = event.verdict.severity;
      view.slot_share = event.verdict.slot_share;
      this->Replan(ingress);
      break;
    }
    case EventKind::kStall:
      this->backends[endpoint].stalled_until =
          this->now + this->UniformMs(100, kLongestStallMs);
      this->Schedule(
          this->now + microseconds(std::llround(
                          1e6 * std::exponential_distribution<double>(
                                    kStallsPerSecond)(this->rng))),
          EventKind::kStall, event.request);
      break;
  }
}

void Simulation::ScheduleArrival() {
  const double rate =
      this->options.requests_per_second * this->options.endpoints;
  const double wait = std::exponential_distribution<double>(rate)(this->rng);
  Request request;
  request.ingress = this->rng() % this->ingresses.size();
  request.created = this->now + microseconds(std::llround(1e6 * wait));
  this->Schedule(request.created, EventKind::kArrival, request);
}

std::optional<std::size_t> Simulation::Choose(Ingress& ingress) {
  if (this->options.routing == SimulatedRouting::kByLoad) {
    return ChooseEndpoint(ingress.plan, ingress.views, this->now, this->rng);
  }
  const std::vector<PlannedEndpoint>& planned =
      ingress.plan.same_failure_domain;
  while (!planned.empty()) {
    const PlannedEndpoint& drawn = planned[this->rng() % planned.size()];
    if (100 * this->Uniform() < drawn.slot_share) {
      return drawn.view;
    }
  }
  return std::nullopt;
}

void Simulation::Route(Request request) {
  Ingress& ingress = this->ingresses[request.ingress];
  const auto chosen = this->Choose(ingress);
  if (!chosen) {
    ++this->result.failed_requests;
    return;
  }
  request.endpoint = *chosen;
  request.started = this->now;
  for (std::size_t i = 0; i < ingress.paths.size(); ++i) {
    if (IsTrialDue(ingress.paths[i], this->now)) {
      BeginTrial(ingress.paths[i], this->now);
      request.endpoint = i;
      break;
    }
  }
  if (this->options.fault == SimulatedFault::kPathCut &&
      this->now >= this->fault_at && request.ingress == 1 &&
      request.endpoint == 0) {
    this->Schedule(this->now + AcceptTimeout(ingress.paths[request.endpoint]),
                   EventKind::kAcceptTimeout, request);
    return;
  }
  PathHealth& path = ingress.paths[request.endpoint];
  const bool was_usable = IsPathUsable(path);
  RecordPathSuccess(path, request.started - milliseconds(1), this->now);
  if (!was_usable && IsPathUsable(path)) {
    ingress.views[request.endpoint].owner_reachable = true;
    this->Replan(ingress);
  }
  ingress.consecutive_transport_errors[request.endpoint] = 0;
  this->SendToOwner(request);
}

void Simulation::FailPath(const Request& request) {
  Ingress& ingress = this->ingresses[request.ingress];
  if (this->UsesCore()) {
    RecordPathFailure(ingress.paths[request.endpoint],
                      PathFailure::kAcceptTimeout, request.started, this->now,
                      this->rng);
    ingress.views[request.endpoint].owner_reachable =
        IsPathUsable(ingress.paths[request.endpoint]);
    this->Replan(ingress);
  } else if (this->options.policy == SimulatedPolicy::kConsecutiveErrors &&
             ++ingress.consecutive_transport_errors[request.endpoint] ==
                 kConsecutiveErrors) {
    // The baseline does not distinguish a fault of the path from a fault of the
    // endpoint.
    ingress.consecutive_transport_errors[request.endpoint] = 0;
    this->CountEjection(request.endpoint);
  }
  this->Route(request);
}

void Simulation::SendToOwner(const Request& request) {
  Backend& backend = this->backends[request.endpoint];
  if (backend.queue.size() >= kQueueLimit) {
    ++this->result.failed_requests;
    return;
  }
  backend.queue.push_back(request);
  this->StartQueued(request.endpoint);
}

void Simulation::StartQueued(std::size_t endpoint) {
  Backend& backend = this->backends[endpoint];
  // An ejected endpoint that the floor keeps in use may use all of its slots.
  const unsigned share = backend.verdict.state == EndpointState::kEjected
                             ? 100
                             : backend.verdict.slot_share;
  const unsigned limit = std::max(1U, kSlots * share / 100);
  while (backend.running < limit && !backend.queue.empty()) {
    Request request = backend.queue.front();
    backend.queue.pop_front();
    if (this->now - request.created > kTimeout) {
      ++this->result.failed_requests;
      continue;
    }
    ++backend.running;
    request.started = this->now;
    const microseconds latency = this->Serve(request);
    this->Schedule(this->now + latency, EventKind::kFinish, request);
  }
}

double Simulation::SlowFactor(std::size_t endpoint) const {
  if (this->now < this->fault_at) {
    return 1;
  }
  switch (this->options.fault) {
    case SimulatedFault::kAllSlow5:
      return 5;
    case SimulatedFault::kAllSlow20:
      return 20;
    case SimulatedFault::kSlow2:
      return endpoint == 0 ? 2 : 1;
    case SimulatedFault::kSlow5:
      return endpoint == 0 ? 5 : 1;
    case SimulatedFault::kSlow20:
      return endpoint == 0 ? 20 : 1;
    default:
      return 1;
  }
}

// Sets the outcome of a request and returns its latency at the backend server.
microseconds Simulation::Serve(Request& request) {
  const Backend& backend = this->backends[request.endpoint];
  const SimulatedFault fault = this->options.fault;
  const auto since_fault = this->now - this->fault_at;
  const bool active = this->now >= this->fault_at;
  const bool faulty = this->IsFaulty(request.endpoint);
  if (active && fault == SimulatedFault::kFlood && since_fault < kFloodTime &&
      this->Uniform() < kShedShare) {
    request.outcome = Outcome::kShed;
    return kErrorTime;
  }
  const bool shared_outage = active && fault == SimulatedFault::kSharedOutage &&
                             since_fault % kOutagePeriod < kOutageTime;
  if (shared_outage || this->Uniform() < kErrorShare) {
    request.outcome = Outcome::kFailed;
    return kErrorTime;
  }
  if (faulty && fault == SimulatedFault::kPartlyFunctional &&
      this->Uniform() < kHangShare) {
    request.outcome = Outcome::kTimedOut;
    return kTimeout;
  }
  const bool half_wrong = fault == SimulatedFault::kHalfWrong ||
                          (fault == SimulatedFault::kFlapping &&
                           since_fault % kFlappingPeriod < kFlappingFault);
  if (faulty && ((half_wrong && this->Uniform() < 0.5) ||
                 fault == SimulatedFault::kAllWrong)) {
    request.outcome = Outcome::kWrong;
  }
  const double median =
      this->Uniform() < kHeavyShare ? kHeavyMedianMs : kLightMedianMs;
  double ms = std::lognormal_distribution<double>(std::log(median),
                                                  kLatencySigma)(this->rng);
  if (this->Uniform() < kTailShare) {
    ms *= std::min(kTailLast, kTailFirst * std::pow(1 - this->Uniform(),
                                                    -1 / kTailExponent));
  }
  ms *= backend.speed * this->SlowFactor(request.endpoint);
  auto latency = microseconds(std::llround(1000 * ms));
  if (backend.stalled_until > this->now) {
    latency += duration_cast<microseconds>(backend.stalled_until - this->now);
  }
  if (latency >= kTimeout) {
    request.outcome = Outcome::kTimedOut;
    return kTimeout;
  }
  return latency;
}

void Simulation::Finish(const Request& request) {
  Backend& backend = this->backends[request.endpoint];
  --backend.running;
  const auto latency = duration_cast<microseconds>(this->now - request.started);
  RecordOutcome(backend.health, request.outcome, latency, this->now);
  if (request.outcome != Outcome::kOk) {
    this->result.failed_requests += this->now >= this->fault_at ? 1 : 0;
    // A failure may complete the evidence for an ejection, so the endpoint is
    // evaluated at once.
    this->Evaluate(request.endpoint);
  }
  if (this->options.policy == SimulatedPolicy::kConsecutiveErrors) {
    this->CountConsecutiveErrors(request);
  }
  this->StartQueued(request.endpoint);

  Ingress& ingress = this->ingresses[request.ingress];
  ingress.views[request.endpoint].load = static_cast<std::uint16_t>(
      std::min<std::size_t>(backend.running + backend.queue.size(), 0xffff));
  if (this->options.status == SimulatedStatus::kGossipAndReplies) {
    if (const auto summary = SummarizeEndpoint(backend.health, this->now)) {
      ingress.summaries[request.endpoint] = *summary;
    }
  }
}

void Simulation::CountConsecutiveErrors(const Request& request) {
  Backend& backend = this->backends[request.endpoint];
  if (request.outcome == Outcome::kOk) {
    backend.consecutive_errors = 0;
    return;
  }
  if (++backend.consecutive_errors < kConsecutiveErrors ||
      backend.verdict.state == EndpointState::kEjected) {
    return;
  }
  backend.consecutive_errors = 0;
  ++backend.baseline_ejections;
  backend.baseline_ejected_until =
      this->now + kBaselineEjection * backend.baseline_ejections;
  Verdict verdict;
  verdict.state = EndpointState::kEjected;
  verdict.severity = kConsecutiveErrors;
  this->ChangeVerdict(request.endpoint, verdict);
}

void Simulation::Evaluate(std::size_t endpoint) {
  Backend& backend = this->backends[endpoint];
  if (this->UsesCore()) {
    SiblingBaseline baseline;
    for (std::size_t i = 0; i < this->backends.size(); ++i) {
      const auto& summary = this->ingresses[endpoint].summaries[i];
      if (i != endpoint && summary) {
        baseline.siblings.push_back(*summary);
      }
    }
    const Verdict verdict =
        EvaluateEndpoint(backend.health, baseline, this->policy, this->now);
    if (verdict.state != backend.verdict.state ||
        verdict.slot_share != backend.verdict.slot_share) {
      this->ChangeVerdict(endpoint, verdict);
    }
  } else if (backend.verdict.state == EndpointState::kEjected &&
             this->now >= backend.baseline_ejected_until) {
    Verdict verdict;
    verdict.state = EndpointState::kHealthy;
    this->ChangeVerdict(endpoint, verdict);
  }
}

void Simulation::Publish(std::size_t endpoint) {
  const auto summary =
      SummarizeEndpoint(this->backends[endpoint].health, this->now);
  if (!summary) {
    return;
  }
  for (std::size_t i = 0; i < this->ingresses.size(); ++i) {
    Request subject;
    subject.ingress = i;
    subject.endpoint = endpoint;
    this->Schedule(this->now + this->UniformMs(kGossipMinMs, kGossipMaxMs),
                   EventKind::kSummaryDelivery, subject, *summary);
  }
}

void Simulation::ChangeVerdict(std::size_t endpoint, const Verdict& verdict) {
  Backend& backend = this->backends[endpoint];
  if (verdict.state == EndpointState::kEjected &&
      backend.verdict.state != EndpointState::kEjected) {
    this->CountEjection(endpoint);
  }
  backend.verdict = verdict;
  const microseconds delay = this->UniformMs(kVerdictMinMs, kVerdictMaxMs);
  for (std::size_t i = 0; i < this->ingresses.size(); ++i) {
    Request subject;
    subject.ingress = i;
    subject.endpoint = endpoint;
    this->Schedule(this->now + delay, EventKind::kVerdictDelivery, subject, {},
                   verdict);
  }
}

void Simulation::CountEjection(std::size_t endpoint) {
  if (!this->IsFaulty(endpoint)) {
    ++this->result.false_ejections;
  } else if (!this->result.detection) {
    this->result.detection =
        duration_cast<milliseconds>(this->now - this->fault_at);
  }
}

void Simulation::Replan(Ingress& ingress) {
  ingress.plan = PlanCapacity(ingress.views, kFloorPercent);
  const auto usable = static_cast<std::size_t>(std::count_if(
      ingress.views.begin(), ingress.views.end(), [](const EndpointView& view) {
        return view.owner_reachable && view.state != EndpointState::kWarming;
      }));
  if (ingress.plan.in_full_use < std::min(usable, ingress.plan.required)) {
    ++this->result.floor_violations;
  }
}

}  // namespace

SimulationResult SimulateEjection(const SimulationOptions& options) {
  return Simulation(options).Run();
}

}  // namespace comfrey
