// Simulates many ingress daemons that place requests at the endpoints of one
// service, and prints the offers per request, the share of requests served and
// the use of the slots. Placement and queues are those of the daemon.

#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <tuple>
#include <utility>
#include <vector>

#include "core/admission_queue.h"
#include "core/placement.h"

DEFINE_int32(ingresses, 94, "number of ingress daemons");
DEFINE_int32(endpoints, 44, "number of endpoints of the service");
DEFINE_int32(regions, 3, "number of regions, each with two failure domains");
DEFINE_int32(slots, 5, "slots of an endpoint");
DEFINE_int32(service_ms, 400, "mean service time");
DEFINE_int32(target_ms, 1000, "latency target");
DEFINE_int32(deadline_ms, 3000, "deadline of a request");
DEFINE_int32(offer_ms, 4, "round trip of an offer in the region");
DEFINE_int32(far_offer_ms, 60, "round trip of an offer to another region");
DEFINE_int32(seconds, 40, "simulated time");
DEFINE_double(skew,
              1.0,
              "request rate in the first failure domain, relative to others");
DEFINE_int32(seed, 7, "seed of the random numbers");

namespace comfrey {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int kMaxTries = 16;
constexpr std::size_t kLateLimit = 4;
constexpr int kDomainsPerRegion = 2;
constexpr milliseconds kMaxFullForecast{100};
constexpr std::chrono::seconds kWarmUp{5};
const TimePoint kStart = TimePoint() + std::chrono::hours(1);

// One way of placing requests.
struct Variant {
  const char* name;
  PlacementPolicy policy;
  // Whether a request that was refused a place in a queue is offered to all
  // other queues, even to those with longer waits.
  bool tries_all_queues = false;
};

struct Forecast {
  TimePoint full_until;
  TimePoint free_at;
  TimePoint reported;
};

struct Request {
  int ingress = 0;
  int tries = 0;
  TimePoint arrival;
  std::vector<OfferResult> results;
  microseconds work{0};
};

struct Totals {
  std::uint64_t requests = 0;
  std::uint64_t offers = 0;
  std::uint64_t queue_offers = 0;
  std::uint64_t other_domain_offers = 0;
  std::uint64_t served = 0;
  std::uint64_t in_target = 0;
  std::uint64_t out_of_tries = 0;
  double busy_seconds = 0;
};

class Simulation {
 public:
  Simulation(const Variant& variant, double load)
      : variant(variant), load(load), rng(FLAGS_seed) {}

  Totals Run() {
    this->MakeFleet();
    for (int i = 0; i < FLAGS_ingresses; ++i) {
      this->ScheduleArrival(i);
    }
    const TimePoint end = kStart + std::chrono::seconds(FLAGS_seconds);
    while (!this->events.empty() && this->events.top().at < end) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.action();
    }
    return this->totals;
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.sequence) <
             std::tie(this->at, this->sequence);
    }
  };
  int DomainOf(int index) const {
    return index % (FLAGS_regions * kDomainsPerRegion);
  }

  void MakeFleet() {
    AdmissionPolicy policy;
    policy.ranks = {{"rank", 1, 1.0, milliseconds(FLAGS_target_ms)}};
    policy.slots = static_cast<std::size_t>(FLAGS_slots);
    policy.expected_service_time = milliseconds(FLAGS_service_ms);
    policy.late_limit = kLateLimit;
    policy.early_refusal_limit = policy.slots;
    for (int i = 0; i < FLAGS_endpoints; ++i) {
      this->queues.push_back(std::make_unique<AdmissionQueue>(policy, kStart));
      this->places.emplace_back();
    }
    for (int i = 0; i < FLAGS_ingresses; ++i) {
      std::vector<EndpointView> views(FLAGS_endpoints);
      for (int e = 0; e < FLAGS_endpoints; ++e) {
        views[e].endpoint_id = static_cast<std::uint64_t>(e);
        views[e].same_failure_domain = DomainOf(e) == DomainOf(i);
        views[e].same_region =
            DomainOf(e) % FLAGS_regions == DomainOf(i) % FLAGS_regions;
      }
      this->plans.push_back(PlanCapacity(views, 70));
      this->views.push_back(std::move(views));
      this->forecasts.emplace_back(FLAGS_endpoints);
    }
  }

  void At(TimePoint at, std::function<void()> action) {
    this->events.push({at, this->next_sequence++, std::move(action)});
  }

  microseconds Draw(double mean_seconds) {
    std::exponential_distribution<double> draw(1 / mean_seconds);
    return std::chrono::duration_cast<microseconds>(
        std::chrono::duration<double>(draw(this->rng)));
  }

  void ScheduleArrival(int ingress) {
    const double capacity =
        FLAGS_endpoints * FLAGS_slots * 1000.0 / FLAGS_service_ms;
    const int domains = FLAGS_regions * kDomainsPerRegion;
    const double weight = DomainOf(ingress) == 0 ? FLAGS_skew : 1;
    const double mean_weight = (domains - 1 + FLAGS_skew) / domains;
    const double rate =
        this->load * capacity / FLAGS_ingresses * weight / mean_weight;
    At(this->now + this->Draw(1 / rate), [this, ingress] {
      Request request;
      request.ingress = ingress;
      request.arrival = this->now;
      request.results.resize(FLAGS_endpoints);
      request.work = this->Draw(FLAGS_service_ms / 1000.0);
      const std::uint64_t id = this->next_request++;
      this->requests[id] = std::move(request);
      this->totals.requests += this->IsMeasured(this->now) ? 1 : 0;
      this->ScheduleArrival(ingress);
      this->OfferNext(id);
    });
  }

  bool IsMeasured(TimePoint arrival) const {
    return arrival >= kStart + kWarmUp &&
           arrival < kStart + std::chrono::seconds(FLAGS_seconds) -
                         milliseconds(FLAGS_deadline_ms);
  }

  void OfferNext(std::uint64_t id) {
    Request& request = this->requests.at(id);
    const bool measured = this->IsMeasured(request.arrival);
    if (++request.tries > kMaxTries ||
        this->now >= request.arrival + milliseconds(FLAGS_deadline_ms)) {
      this->totals.out_of_tries +=
          measured && request.tries > kMaxTries ? 1 : 0;
      this->requests.erase(id);
      return;
    }
    std::vector<EndpointView> views = this->views[request.ingress];
    std::vector<PlacementHint> hints(views.size());
    for (std::size_t e = 0; e < views.size(); ++e) {
      const Forecast& forecast = this->forecasts[request.ingress][e];
      hints[e].offer_result = request.results[e];
      views[e].full_until = forecast.full_until;
      if (forecast.free_at > this->now) {
        hints[e].expected_wait =
            std::chrono::duration_cast<microseconds>(forecast.free_at - now);
        hints[e].wait_age =
            std::chrono::duration_cast<microseconds>(now - forecast.reported);
      }
    }
    const auto next = NextPlacement(this->plans[request.ingress], views, hints,
                                    this->variant.policy, this->now, this->rng);
    if (!next) {
      this->requests.erase(id);
      return;
    }
    this->totals.offers += measured ? 1 : 0;
    this->totals.queue_offers +=
        measured && next->mode == PlacementMode::kQueue ? 1 : 0;
    this->totals.other_domain_offers +=
        measured && !views[next->view].same_failure_domain ? 1 : 0;
    const microseconds one_way =
        milliseconds(views[next->view].same_region ? FLAGS_offer_ms
                                                   : FLAGS_far_offer_ms) /
        2;
    At(this->now + one_way,
       [this, id, next = *next, one_way] { this->Arrive(id, next, one_way); });
  }

  // Handles an offer at the owner of the endpoint, as owner_service does.
  void Arrive(std::uint64_t id, const Placement& at, microseconds one_way) {
    AdmissionQueue& queue = *this->queues[at.view];
    Request& request = this->requests.at(id);
    bool run_now = at.mode == PlacementMode::kRunNow;
    if (at.mode == PlacementMode::kSpareSlot) {
      run_now = queue.running.size() + 1 < ConcurrencyLimit(queue);
      if (!run_now && ExpectedWait(queue, 0, "", this->now) >
                          this->variant.policy.remote_wait_limit) {
        this->Refuse(id, at.view, OfferResult::kBusy, one_way);
        return;
      }
    }
    const WorkItem item{id, 0, "", request.arrival,
                        request.arrival + milliseconds(FLAGS_deadline_ms)};
    this->places[at.view][id] = one_way;
    const AdmissionDecision decision = Offer(queue, item, this->now);
    for (const auto* dropped : {&decision.displaced, &decision.expired}) {
      this->RefuseAll(*dropped, at.view);
    }
    if (decision.verdict == AdmissionVerdict::kRefused) {
      this->places[at.view].erase(id);
      this->Refuse(id, at.view, this->RoomResult(), one_way,
                   decision.reason == RefusalReason::kQueueFull);
      return;
    }
    if (decision.verdict == AdmissionVerdict::kRun) {
      this->StartItem(item, at.view);
      return;
    }
    this->Advance(at.view);
    if (run_now && Cancel(queue, id) == CancelResult::kCancelled) {
      this->places[at.view].erase(id);
      this->Refuse(id, at.view, OfferResult::kBusy, one_way);
    }
  }

  void StartItem(const WorkItem& item, std::uint32_t view) {
    const Request& request = this->requests.at(item.id);
    if (this->IsMeasured(this->now)) {
      this->totals.busy_seconds +=
          std::chrono::duration<double>(request.work).count();
    }
    At(this->now + request.work, [this, id = item.id, view] {
      Finish(*this->queues[view], id, FinishOutcome::kServed, this->now);
      const microseconds one_way = this->places[view][id];
      this->places[view].erase(id);
      const Request& done = this->requests.at(id);
      const auto took = this->now + one_way - done.arrival;
      if (this->IsMeasured(done.arrival)) {
        this->totals.served += took <= milliseconds(FLAGS_deadline_ms) ? 1 : 0;
        this->totals.in_target += took <= milliseconds(FLAGS_target_ms) ? 1 : 0;
      }
      this->Advance(view);
      this->SendStatus(done.ingress, view, false, one_way);
      this->requests.erase(id);
    });
  }

  void Advance(std::uint32_t view) {
    const DispatchResult result = Dispatch(*this->queues[view], this->now);
    for (const WorkItem& item : result.started) {
      this->StartItem(item, view);
    }
    this->RefuseAll(result.expired, view);
    if (const auto expiry = NextExpiry(*this->queues[view])) {
      At(std::max(*expiry, this->now + milliseconds(1)), [this, view] {
        this->RefuseAll(Dispatch(*this->queues[view], this->now).expired, view);
      });
    }
  }

  OfferResult RoomResult() const {
    return this->variant.tries_all_queues ? OfferResult::kExcluded
                                          : OfferResult::kNoRoom;
  }

  void RefuseAll(const std::vector<WorkItem>& items, std::uint32_t view) {
    for (const WorkItem& item : items) {
      const microseconds one_way = this->places[view][item.id];
      this->places[view].erase(item.id);
      this->Refuse(item.id, view, this->RoomResult(), one_way);
    }
  }

  void Refuse(std::uint64_t id,
              std::uint32_t view,
              OfferResult result,
              microseconds one_way,
              bool queue_full = false) {
    this->SendStatus(this->requests.at(id).ingress, view, queue_full, one_way);
    At(this->now + one_way, [this, id, view, result] {
      this->requests.at(id).results[view] = result;
      this->OfferNext(id);
    });
  }

  // Sends the forecast of the owner to an ingress with its reply.
  void SendStatus(int ingress,
                  std::uint32_t view,
                  bool queue_full,
                  microseconds one_way) {
    const AdmissionQueue& queue = *this->queues[view];
    const microseconds wait = ExpectedWait(queue, 0, "", this->now);
    microseconds full_for{0};
    if (queue_full) {
      full_for = std::min<microseconds>(
          ForecastRefusals(queue, this->now).front().refused_for,
          kMaxFullForecast);
    }
    At(this->now + one_way, [this, ingress, view, wait, full_for] {
      Forecast& forecast = this->forecasts[ingress][view];
      forecast.free_at = this->now + wait;
      forecast.reported = this->now;
      if (full_for.count() > 0) {
        forecast.full_until = this->now + full_for;
      }
    });
  }

  const Variant& variant;
  double load;
  std::mt19937_64 rng;
  TimePoint now = kStart;
  std::priority_queue<Event> events;
  std::uint64_t next_sequence = 0;
  std::uint64_t next_request = 1;
  std::map<std::uint64_t, Request> requests;
  std::vector<std::unique_ptr<AdmissionQueue>> queues;
  // Per endpoint, the one-way time to the ingress of each accepted request.
  std::vector<std::map<std::uint64_t, microseconds>> places;
  std::vector<std::vector<EndpointView>> views;
  std::vector<CapacityPlan> plans;
  std::vector<std::vector<Forecast>> forecasts;
  Totals totals;
};

Variant MakeVariant(const char* name,
                    microseconds wait_limit,
                    std::size_t near_tries,
                    std::size_t region_tries) {
  Variant variant;
  variant.name = name;
  variant.policy.local_wait_limit =
      std::max(milliseconds(FLAGS_target_ms) / 3, milliseconds(150));
  variant.policy.remote_wait_limit = milliseconds(FLAGS_target_ms) / 4;
  variant.policy.free_slot_wait_limit = wait_limit;
  variant.policy.max_failure_domain_tries = near_tries;
  variant.policy.max_region_tries = region_tries;
  return variant;
}

void Print(const Variant& variant, double load, const Totals& totals) {
  const auto requests = static_cast<double>(totals.requests);
  const double slot_seconds =
      static_cast<double>(FLAGS_endpoints) * FLAGS_slots *
      (FLAGS_seconds - std::chrono::duration<double>(kWarmUp).count() -
       FLAGS_deadline_ms / 1000.0);
  std::printf(
      "%4.2f  %-34s %6.2f %6.2f %8.2f %7.1f%% %9.1f%% %9.1f%% %6.2f%%\n", load,
      variant.name, static_cast<double>(totals.offers) / requests,
      static_cast<double>(totals.queue_offers) / requests,
      static_cast<double>(totals.other_domain_offers) / requests,
      100 * static_cast<double>(totals.served) / requests,
      100 * static_cast<double>(totals.in_target) / requests,
      100 * totals.busy_seconds / slot_seconds,
      100 * static_cast<double>(totals.out_of_tries) / requests);
}

void Measure() {
  constexpr microseconds kNever = microseconds::max();
  const microseconds after_wait = PlacementPolicy().free_slot_wait_limit;
  std::vector<Variant> variants;
  variants.push_back(
      MakeVariant("every endpoint", kNever, kUnlimitedTries, kUnlimitedTries));
  variants.back().tries_all_queues = true;
  variants.push_back(MakeVariant("no known wait", after_wait, kUnlimitedTries,
                                 kUnlimitedTries));
  variants.push_back(
      MakeVariant("no known wait, 3 + 1 tries", after_wait, 3, 1));
  variants.push_back(
      MakeVariant("no known wait, 3 + 2 tries", after_wait, 3, 2));
  variants.push_back(
      MakeVariant("no known wait, 3 + 3 tries", after_wait, 3, 3));
  std::printf(
      "load  free slots are looked for at      offers  queue other fd   served "
      " in "
      "target  slot use  no tries left\n");
  for (const double load : {0.7, 1.1}) {
    for (const Variant& variant : variants) {
      Print(variant, load, Simulation(variant, load).Run());
    }
  }
}

}  // namespace
}  // namespace comfrey

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  comfrey::Measure();
}
