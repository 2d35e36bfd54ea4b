#include "at_most_once_model.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "core/keyed_execution.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;

// Virtual time is in ms. All time limits derive from the retention, so a short
// retention produces the same orders of events as the default of ten minutes.
constexpr int kRetention = 1'000;
constexpr int kRunLength = 6'500;
constexpr int kProcesses = 5;
constexpr int kTick = 25;
const KeyTimes kTimes{milliseconds(kRetention)};

struct Config {
  PlacementVersion version;
  std::vector<PlacedEndpoint> endpoints;
};

struct CallerRequest {
  int key = -1;  // -1: without a key.
  std::uint64_t hash = 0;
  bool answered = false;
  bool answered_not_run = false;
  std::vector<AttemptId> attempts;
};

// State of a caller's request at its ingress.
struct IngressCall {
  int request = 0;
  int owner = 0;
  steady_clock::time_point read_at;
  LedgerRequest forward;
  int attempts = 0;
  bool finished = false;
};

// A forwarded request at its owner.
struct PendingForward {
  KeyedExecution execution;
  int ingress = 0;
  std::uint64_t ingress_incarnation = 0;
  bool queued = false;
  bool finished = false;
};

struct HeldStamp {
  OwnerStamp stamp;
  steady_clock::time_point received_at;
};

struct Process {
  bool up = true;
  std::uint64_t incarnation = 0;
  int paused_until = 0;
  // Total time during which the steady clock stood still.
  int suspended_ms = 0;
  KeyedOwner owner;
  AttemptJournal journal;
  std::uint64_t next_sequence = 1;
  std::map<int, HeldStamp> stamps;
  std::map<AttemptId, std::shared_ptr<IngressCall>> calls;
  std::vector<std::shared_ptr<PendingForward>> pending;
  bool recovery_counted = false;
};

struct Event {
  int at = 0;
  std::uint64_t order = 0;
  int process = -1;
  std::uint64_t incarnation = 0;  // 0: any.
  std::function<void()> action;
};

struct IsLater {
  bool operator()(const Event& a, const Event& b) const {
    return a.at != b.at ? a.at > b.at : a.order > b.order;
  }
};

std::string EndpointName(int process) {
  return absl::StrCat("127.0.1.", process + 1, ":8081");
}

int ProcessOf(const std::string& endpoint) {
  for (int i = 0; i < kProcesses; ++i) {
    if (EndpointName(i) == endpoint) {
      return i;
    }
  }
  return -1;
}

std::string ProcessName(int process) {
  return absl::StrCat("vm-", process);
}

// Fault rates of one run. Each kind of fault is absent from about half of the
// runs, because frequent faults can prevent the orders of events in which a
// rare fault causes a violation.
struct Faults {
  double drop = 0;
  double duplicate = 0;
  double slow = 0;       // Messages that take up to 300 ms.
  double very_slow = 0;  // Messages that take up to 2 s.
  double backend_error = 0;
  double slow_thread = 0;
  int link_failures = 0;
  int restarts = 0;
  int pauses = 0;
  int suspensions = 0;
  int service_outages = 0;
  int changes = 0;
  bool self_send = false;
  // Share of configuration refreshes that are sent to a peer.
  double peer_refresh = 0.5;
  int refresh_period = 120;
  // Whether restarts and requests mostly occur shortly after a new version or
  // the end of a pause.
  bool focused = false;
};

class Model {
 public:
  Model(std::uint64_t seed, Mutation mutation);
  ModelReport Run();

 private:
  bool Has(Mutation value) const { return this->mutation == value; }
  int RandomInt(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(this->rng);
  }
  bool RandomBool(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(this->rng) <
           probability;
  }
  // Returns a time in the run. In focused runs, it is mostly shortly after a
  // new version or the end of a pause or suspension.
  int RandomTime(int most, int after) {
    if (!this->faults.focused || this->focus_times.empty() ||
        this->RandomBool(0.3)) {
      return this->RandomInt(0, most);
    }
    const int last = static_cast<int>(this->focus_times.size()) - 1;
    return std::min(
        most,
        this->focus_times[this->RandomInt(0, last)] +
            this->RandomInt(0, this->RandomBool(0.5) ? after : after / 4));
  }
  steady_clock::time_point Steady(int p) const {
    return steady_clock::time_point(milliseconds(
        100'000 * (p + 1) + this->now - this->processes[p].suspended_ms));
  }
  system_clock::time_point Wall() const {
    return system_clock::time_point(milliseconds(1'000'000 + this->now));
  }

  void Schedule(int at,
                int process,
                std::uint64_t incarnation,
                std::function<void()> action);
  void ScheduleOnProcess(int delay, int process, std::function<void()> action);
  void Send(int from, int to, const std::function<void()>& action);
  void ReportViolation(const std::string& what);

  void StartProcess(int p);
  void PlanFaults();
  void PlanChanges();
  void PlanCallers();
  void Tick(int p);
  void RefreshConfig(int p);
  void RequestJournals(int p);

  void ReadCallerRequest(int p, int request);
  void TrySend(int p, const std::shared_ptr<IngressCall>& call);
  void SendForward(int p, const std::shared_ptr<IngressCall>& call);
  void FenceCall(int p, const std::shared_ptr<IngressCall>& call);
  void HandleResult(int p,
                    const AttemptId& attempt,
                    JournalOutcome outcome,
                    const DeliverableResponse& response);
  void AnswerCaller(const std::shared_ptr<IngressCall>& call,
                    JournalOutcome outcome,
                    const DeliverableResponse& response);

  void ReceiveForward(int o,
                      const LedgerRequest& forward,
                      int ingress,
                      std::uint64_t ingress_incarnation);
  void ApplyMutation(int o, KeyedExecution& execution);
  void Decide(int o,
              const std::shared_ptr<PendingForward>& pending,
              steady_clock::time_point now,
              system_clock::time_point wall);
  void DecideAgain(int o, const LedgerRequest& changed);
  void SendFenceKey(int o,
                    const std::shared_ptr<PendingForward>& pending,
                    const std::string& former,
                    const PlacementVersion& version);
  void StartRun(int o, const std::shared_ptr<PendingForward>& pending);
  void Execute(int o, const std::shared_ptr<PendingForward>& pending);
  void Reply(int o,
             const std::shared_ptr<PendingForward>& pending,
             JournalOutcome outcome,
             const DeliverableResponse& response);

  std::mt19937_64 rng;
  Mutation mutation;
  Faults faults;
  int now = 0;
  std::uint64_t order = 0;
  std::uint64_t next_incarnation = 1;
  std::priority_queue<Event, std::vector<Event>, IsLater> events;
  std::vector<Process> processes;
  std::vector<Config> configs;
  std::vector<int> published_at;
  std::vector<int> focus_times;
  // By sender and receiver: the time until which messages are lost.
  int link_down_until[kProcesses][kProcesses] = {};
  int service_lag[kProcesses] = {};
  std::vector<std::pair<int, int>> outages;
  std::vector<CallerRequest> requests;
  // Number of executions and the latest response body, by key or, without a
  // key, by the caller's request.
  std::map<std::string, int> executions;
  std::map<std::string, std::string> execution_bodies;
  // Attempts that were executed.
  std::set<AttemptId> executed;
  ModelReport report;
};

Model::Model(std::uint64_t seed, Mutation mutation)
    : rng(seed), mutation(mutation), processes(kProcesses) {
  this->report.seed = seed;
  this->report.runs = 1;
}

void Model::ReportViolation(const std::string& what) {
  if (this->report.violation.empty()) {
    this->report.violation = absl::StrCat("seed ", this->report.seed, " at ",
                                          this->now, " ms: ", what);
  }
}

void Model::Schedule(int at,
                     int process,
                     std::uint64_t incarnation,
                     std::function<void()> action) {
  this->events.push({std::max(at, this->now), this->order++, process,
                     incarnation, std::move(action)});
}

void Model::ScheduleOnProcess(int delay,
                              int process,
                              std::function<void()> action) {
  this->Schedule(this->now + delay, process,
                 this->processes[process].incarnation, std::move(action));
}

void Model::Send(int from, int to, const std::function<void()>& action) {
  if (from != to && (this->now < this->link_down_until[from][to] ||
                     this->RandomBool(this->faults.drop))) {
    return;
  }
  const int copies = this->RandomBool(this->faults.duplicate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    int delay = this->RandomInt(0, 4);
    if (this->RandomBool(this->faults.slow)) {
      delay = this->RandomInt(0, 300);
    } else if (this->RandomBool(this->faults.very_slow)) {
      delay = this->RandomInt(0, 2'000);
    }
    this->Schedule(this->now + delay, to, 0, action);
  }
}

void Model::StartProcess(int p) {
  Process& process = this->processes[p];
  const bool first = process.incarnation == 0;
  const int suspended_ms = process.suspended_ms;
  process = Process();
  process.suspended_ms = suspended_ms;
  process.incarnation = this->next_incarnation++;
  const steady_clock::time_point start = this->Steady(p);
  KeyedOwner& owner = process.owner;
  owner.endpoint = EndpointName(p);
  owner.pauses.max_gap = milliseconds(2 * kTick);
  owner.ledger =
      MakeAttemptLedger(kTimes, {60'000, 1'000}, process.incarnation, start);
  owner.recovery = MakeKeyRecovery(kTimes, !first, start);
  process.journal = MakeAttemptJournal(kTimes, 60'000, start);
  if (first) {
    // The fleet has already run for RecordRetention, and no key was sent.
    process.journal.started_at -= RecordRetention(kTimes);
    AdoptPlacement(owner, this->configs[0].version, this->configs[0].endpoints);
  } else {
    std::vector<std::string> members;
    for (int i = 0; i < kProcesses; ++i) {
      if (i != p ||
          (this->faults.self_send && !this->Has(Mutation::kSkipOwnJournal))) {
        members.push_back(ProcessName(i));
      }
    }
    SetExpectedMembers(owner.recovery, members);
    this->RequestJournals(p);
  }
  this->Tick(p);
  this->RefreshConfig(p);
}

void Model::Tick(int p) {
  ObserveOwnerClocks(this->processes[p].owner, this->Steady(p), this->Wall());
  RemoveExpiredRecords(this->processes[p].owner.ledger, this->Steady(p));
  this->ScheduleOnProcess(kTick, p, [this, p] { this->Tick(p); });
}

void Model::RefreshConfig(int p) {
  const steady_clock::time_point requested_at = this->Steady(p);
  const std::uint64_t incarnation = this->processes[p].incarnation;
  const auto receive = [this, p, incarnation, requested_at](
                           const Config& config, milliseconds age,
                           bool confirms) {
    Process& process = this->processes[p];
    if (process.incarnation != incarnation) {
      return;
    }
    AdoptPlacement(process.owner, config.version, config.endpoints);
    if (confirms) {
      ConfirmPlacement(
          process.owner, config.version,
          this->Has(Mutation::kConfirmAtReply) ? this->Steady(p) : requested_at,
          age, this->Steady(p), this->Wall());
    }
  };
  if (!this->RandomBool(this->faults.peer_refresh)) {
    const bool outage = std::any_of(
        this->outages.begin(), this->outages.end(), [this](const auto& o) {
          return this->now >= o.first && this->now < o.second;
        });
    if (!outage) {
      Config config = this->configs.back();
      if (this->Has(Mutation::kStaleService)) {
        // Each process reads a replica of the service with its own delay.
        std::size_t known = this->configs.size() - 1;
        while (known > 0 &&
               this->published_at[known] > this->now - this->service_lag[p]) {
          --known;
        }
        config = this->configs[known];
      }
      // The version is read immediately; only the reply is delayed.
      this->Send(p, p,
                 [receive, config] { receive(config, milliseconds(0), true); });
    }
  } else {
    const int peer = (p + this->RandomInt(1, kProcesses - 1)) % kProcesses;
    this->Send(p, peer, [this, p, peer, receive] {
      KeyedOwner& owner = this->processes[peer].owner;
      const Config config{owner.version, owner.endpoints};
      const std::optional<milliseconds> age =
          this->Has(Mutation::kConfirmWithoutAge)
              ? milliseconds(0)
              : ConfirmationAge(owner, this->Steady(peer), this->Wall());
      this->Send(peer, p, [receive, config, age] {
        receive(config, age.value_or(milliseconds(0)), age.has_value());
      });
    });
  }
  this->ScheduleOnProcess(this->RandomInt(20, this->faults.refresh_period), p,
                          [this, p] { this->RefreshConfig(p); });
}

void Model::RequestJournals(int p) {
  Process& process = this->processes[p];
  if (IsRecovered(process.owner.recovery, this->Steady(p))) {
    return;
  }
  const std::uint64_t incarnation = process.incarnation;
  for (int m = 0; m < kProcesses; ++m) {
    this->Send(p, m, [this, p, m, incarnation] {
      JournalExcerpt excerpt =
          ReadJournal(this->processes[m].journal, EndpointName(p), incarnation,
                      this->Steady(m));
      if (this->Has(Mutation::kTrustIncompleteJournal)) {
        excerpt.complete = true;
      }
      this->Send(m, p, [this, p, m, incarnation, excerpt] {
        Process& owner = this->processes[p];
        const bool expected =
            owner.owner.recovery.members.count(ProcessName(m)) > 0;
        if (owner.incarnation != incarnation || !expected) {
          return;
        }
        MergeJournal(owner.owner.recovery, owner.owner.ledger, ProcessName(m),
                     excerpt, this->Steady(p));
        if (!owner.recovery_counted &&
            IsRecovered(owner.owner.recovery, this->Steady(p))) {
          owner.recovery_counted = true;
          ++this->report.recovered_by_journal;
        }
      });
    });
  }
  this->ScheduleOnProcess(100, p, [this, p] {
    Process& self = this->processes[p];
    if (!self.recovery_counted &&
        IsRecovered(self.owner.recovery, this->Steady(p))) {
      self.recovery_counted = true;
      ++this->report.recovered_by_time;
    }
    this->RequestJournals(p);
  });
}

void Model::PlanFaults() {
  Faults& f = this->faults;
  const auto rate = [this](double most) {
    return this->RandomBool(0.5)
               ? std::uniform_real_distribution<double>(0, most)(this->rng)
               : 0.0;
  };
  const auto count = [this](int most) {
    return this->RandomBool(0.5) ? this->RandomInt(1, most) : 0;
  };
  f.drop = rate(0.15);
  f.duplicate = rate(0.2);
  f.slow = rate(0.2);
  f.very_slow = rate(0.1);
  f.backend_error = rate(0.2);
  f.slow_thread = rate(0.2);
  f.link_failures = count(6);
  f.restarts = count(6);
  f.pauses = count(6);
  f.suspensions = count(4);
  f.service_outages = count(3);
  f.changes = count(8);
  f.self_send = this->RandomBool(0.5);
  f.peer_refresh = 0.25 * this->RandomInt(0, 3);
  f.refresh_period = this->RandomBool(0.5) ? 120 : 400;
  f.focused = this->RandomBool(0.5);
  for (int& lag : this->service_lag) {
    lag = this->RandomInt(0, 4'000);
  }
  this->PlanChanges();
  for (int i = 0; i < f.link_failures; ++i) {
    const int from = this->RandomInt(0, kProcesses - 1);
    const int to = (from + this->RandomInt(1, kProcesses - 1)) % kProcesses;
    const int length = this->RandomInt(50, 2'500);
    this->Schedule(this->RandomInt(0, kRunLength), -1, 0,
                   [this, from, to, length] {
                     this->link_down_until[from][to] = this->now + length;
                   });
  }
  for (int i = 0; i < f.restarts; ++i) {
    const int p = this->RandomInt(0, kProcesses - 1);
    const int down = this->RandomBool(0.5) ? this->RandomInt(0, 10)
                                           : this->RandomInt(0, 200);
    this->Schedule(this->RandomTime(kRunLength, 300), -1, 0, [this, p, down] {
      if (!this->processes[p].up) {
        return;
      }
      this->processes[p].up = false;
      this->Schedule(this->now + down, -1, 0,
                     [this, p] { this->StartProcess(p); });
    });
  }
  const bool long_stops = this->RandomBool(0.5);
  for (int i = 0; i < f.pauses + f.suspensions; ++i) {
    const int p = this->RandomInt(0, kProcesses - 1);
    const int length = long_stops ? this->RandomInt(500, 3'000)
                                  : this->RandomInt(3 * kTick, 400);
    const int start = this->RandomInt(0, kRunLength - 500);
    this->focus_times.push_back(start + length);
    const bool suspended = i >= f.pauses;
    this->Schedule(start, -1, 0, [this, p, length, suspended] {
      Process& process = this->processes[p];
      if (!process.up || this->now < process.paused_until) {
        return;
      }
      process.paused_until = this->now + length;
      if (suspended) {
        // The steady clock is set back at the start of the suspension. This has
        // no effect before its end, because only events of the process read the
        // clock, and they are postponed until then.
        this->processes[p].suspended_ms += length;
      }
    });
  }
  for (int i = 0; i < f.service_outages; ++i) {
    const int start = this->RandomInt(0, kRunLength);
    this->outages.emplace_back(start, start + this->RandomInt(100, 3'000));
  }
}

// Publishes versions as operators must do it: an endpoint stays in phase
// joining or leaving for MinKeyPhaseDuration before it becomes active or is
// removed.
void Model::PlanChanges() {
  const int wait = this->Has(Mutation::kShortPhases)
                       ? kRetention
                       : static_cast<int>(MinKeyPhaseDuration(kTimes).count());
  Config config;
  config.version = {1, 1};
  const int active = this->RandomInt(1, 4);
  for (int i = 0; i < active; ++i) {
    config.endpoints.push_back({EndpointName(i), KeyPhase::kActive});
  }
  this->configs.push_back(config);
  this->published_at.push_back(0);
  std::vector<int> phase_since(kProcesses, -wait);
  const bool rapid_changes = this->RandomBool(0.5);
  int at = 0;
  for (int i = 0; i < this->faults.changes; ++i) {
    at += rapid_changes ? this->RandomInt(1, 300) : this->RandomInt(1, 2'000);
    const int p = this->RandomInt(0, kProcesses - 1);
    const std::string name = EndpointName(p);
    const auto found = std::find_if(
        config.endpoints.begin(), config.endpoints.end(),
        [&](const PlacedEndpoint& e) { return e.endpoint == name; });
    const bool waited = at - phase_since[p] >= wait;
    if (found == config.endpoints.end()) {
      config.endpoints.push_back({name, KeyPhase::kJoining});
    } else if (found->phase == KeyPhase::kActive) {
      found->phase = KeyPhase::kLeaving;
    } else if (found->phase == KeyPhase::kJoining) {
      // In some runs, the endpoint becomes active at the earliest permitted
      // time, which tests the limit of the phase.
      if (!waited && rapid_changes && this->RandomBool(0.7)) {
        at = phase_since[p] + wait;
      }
      found->phase =
          at - phase_since[p] >= wait ? KeyPhase::kActive : KeyPhase::kLeaving;
    } else {
      if (!waited && rapid_changes && this->RandomBool(0.5)) {
        at = phase_since[p] + wait;
      }
      if (at - phase_since[p] >= wait) {
        config.endpoints.erase(found);
      } else {
        found->phase = KeyPhase::kJoining;
      }
    }
    phase_since[p] = at;
    ++config.version.revision;
    ++this->report.versions;
    const Config published = config;
    this->published_at.push_back(at);
    this->focus_times.push_back(at);
    this->Schedule(at, -1, 0,
                   [this, published] { this->configs.push_back(published); });
  }
}

void Model::PlanCallers() {
  const int keys = 10;
  const int unkeyed = 6;
  const int window = this->Has(Mutation::kShortRecords)
                         ? static_cast<int>(RecordRetention(kTimes).count())
                         : kRetention;
  for (int i = 0; i < keys + unkeyed; ++i) {
    const bool keyed = i < keys;
    const int first = this->RandomTime(kRunLength - kRetention, 300);
    const int sends = keyed ? this->RandomInt(2, 6) : 1;
    for (int n = 0; n < sends; ++n) {
      int at = first;
      if (n > 0) {
        const int spread = this->RandomInt(0, 2);
        at += spread == 0 ? this->RandomInt(0, this->faults.focused ? 250 : 60)
              : spread == 1 ? this->RandomInt(0, window)
                            : window - this->RandomInt(0, 40);
      }
      CallerRequest request;
      request.key = keyed ? i : -1;
      request.hash = keyed && this->RandomBool(0.05) ? 1 : 0;
      this->requests.push_back(request);
      const int id = static_cast<int>(this->requests.size()) - 1;
      const int p = this->RandomInt(0, kProcesses - 1);
      this->Schedule(at, -1, 0, [this, p, id] {
        // A request that reaches a stopped or paused ingress is lost, so that
        // no ingress reads a request later than the retention time permits.
        if (this->processes[p].up &&
            this->now >= this->processes[p].paused_until) {
          this->ReadCallerRequest(p, id);
        }
      });
    }
  }
}

void Model::ReadCallerRequest(int p, int request) {
  ++this->report.requests;
  Process& process = this->processes[p];
  const std::vector<PlacedEndpoint>& endpoints = process.owner.endpoints;
  auto call = std::make_shared<IngressCall>();
  call->request = request;
  call->read_at = this->Steady(p);
  const CallerRequest& caller = this->requests[request];
  if (caller.key >= 0) {
    call->forward.key = KeyId{"team", "service", absl::StrCat("k", caller.key)};
    call->owner = ProcessOf(PlaceKey(*call->forward.key, endpoints).home);
  } else if (!endpoints.empty()) {
    call->owner = ProcessOf(
        endpoints[this->RandomInt(0, static_cast<int>(endpoints.size()) - 1)]
            .endpoint);
  } else {
    call->owner = -1;
  }
  call->forward.request_hash = caller.hash;
  if (call->owner < 0 ||
      (caller.key >= 0 && call->owner == p && !this->faults.self_send)) {
    this->AnswerCaller(call, JournalOutcome::kNotRun, nullptr);
    return;
  }
  this->TrySend(p, call);
}

void Model::TrySend(int p, const std::shared_ptr<IngressCall>& call) {
  Process& process = this->processes[p];
  const auto held = process.stamps.find(call->owner);
  if (held != process.stamps.end() &&
      this->Steady(p) - held->second.received_at < MaxForwardAge(kTimes) / 2 &&
      this->RandomBool(0.8)) {
    this->SendForward(p, call);
    return;
  }
  const int o = call->owner;
  const std::uint64_t incarnation = process.incarnation;
  this->Send(p, o, [this, p, o, incarnation, call] {
    const OwnerStamp stamp =
        CurrentStamp(this->processes[o].owner.ledger, this->Steady(o));
    this->Send(o, p, [this, p, o, incarnation, call, stamp] {
      Process& ingress = this->processes[p];
      if (ingress.incarnation != incarnation) {
        return;
      }
      ingress.stamps[o] = {stamp, this->Steady(p)};
      if (!call->finished && call->forward.attempt.sequence == 0) {
        this->SendForward(p, call);
      }
    });
  });
  this->ScheduleOnProcess(this->RandomInt(50, 400), p, [this, call] {
    if (!call->finished && call->forward.attempt.sequence == 0) {
      this->AnswerCaller(call, JournalOutcome::kNotRun, nullptr);
    }
  });
}

void Model::SendForward(int p, const std::shared_ptr<IngressCall>& call) {
  Process& process = this->processes[p];
  ObserveOwnerClocks(process.owner, this->Steady(p), this->Wall());
  const HeldStamp& held = process.stamps[call->owner];
  if (!this->Has(Mutation::kIgnoreReadTime) &&
      !IsStampUsable(kTimes, process.owner.pauses, call->read_at,
                     held.received_at, this->Steady(p))) {
    this->AnswerCaller(call, JournalOutcome::kNotRun, nullptr);
    return;
  }
  call->forward.attempt = {ProcessName(p), process.incarnation,
                           process.next_sequence++};
  call->forward.stamp = held.stamp;
  ++call->attempts;
  if (!RecordAttempt(process.journal, EndpointName(call->owner), call->forward,
                     this->Steady(p))) {
    this->AnswerCaller(call, JournalOutcome::kNotRun, nullptr);
    return;
  }
  process.calls[call->forward.attempt] = call;
  this->requests[call->request].attempts.push_back(call->forward.attempt);
  const int o = call->owner;
  const LedgerRequest forward = call->forward;
  const std::uint64_t incarnation = process.incarnation;
  this->Send(p, o, [this, p, o, forward, incarnation] {
    this->ReceiveForward(o, forward, p, incarnation);
  });
  this->ScheduleOnProcess(
      this->RandomInt(20, 300), p, [this, p, call, forward] {
        if (!call->finished && call->forward.attempt == forward.attempt) {
          this->FenceCall(p, call);
        }
      });
}

void Model::FenceCall(int p, const std::shared_ptr<IngressCall>& call) {
  const int o = call->owner;
  const LedgerRequest forward = call->forward;
  const std::uint64_t incarnation = this->processes[p].incarnation;
  this->Send(p, o, [this, p, o, forward, incarnation] {
    const AttemptFenceReply reply =
        FenceAttempt(this->processes[o].owner.ledger, forward, this->Steady(o));
    this->DecideAgain(o, forward);
    this->Send(o, p, [this, p, forward, incarnation, reply] {
      if (this->processes[p].incarnation != incarnation) {
        return;
      }
      if (reply.state == AttemptState::kFenced) {
        this->HandleResult(p, forward.attempt, JournalOutcome::kNotRun,
                           nullptr);
      } else if (reply.state == AttemptState::kDone &&
                 reply.response != nullptr) {
        this->HandleResult(p, forward.attempt, JournalOutcome::kAnswered,
                           reply.response);
      } else if (reply.state != AttemptState::kRunning) {
        this->HandleResult(p, forward.attempt, JournalOutcome::kUnknown,
                           nullptr);
      }
    });
  });
  this->ScheduleOnProcess(this->RandomInt(50, 400), p, [this, p, forward] {
    this->HandleResult(p, forward.attempt, JournalOutcome::kUnknown, nullptr);
  });
}

void Model::HandleResult(int p,
                         const AttemptId& attempt,
                         JournalOutcome outcome,
                         const DeliverableResponse& response) {
  Process& process = this->processes[p];
  RecordOutcome(process.journal, attempt, outcome, response, this->Steady(p));
  const auto found = process.calls.find(attempt);
  if (found == process.calls.end()) {
    return;
  }
  const std::shared_ptr<IngressCall> call = found->second;
  if (call->finished || call->forward.attempt != attempt) {
    return;
  }
  if (outcome == JournalOutcome::kNotRun && call->attempts < 3 &&
      this->RandomBool(0.5)) {
    call->forward.attempt = AttemptId();
    this->TrySend(p, call);
    return;
  }
  this->AnswerCaller(call, outcome, response);
}

void Model::AnswerCaller(const std::shared_ptr<IngressCall>& call,
                         JournalOutcome outcome,
                         const DeliverableResponse& response) {
  call->finished = true;
  CallerRequest& request = this->requests[call->request];
  request.answered = true;
  if (outcome == JournalOutcome::kNotRun) {
    request.answered_not_run = true;
    ++this->report.not_run;
    return;
  }
  if (outcome == JournalOutcome::kUnknown) {
    ++this->report.unknown;
    return;
  }
  ++this->report.responses;
  const std::string id = request.key >= 0 ? absl::StrCat("k", request.key)
                                          : absl::StrCat("r", call->request);
  if (response->body != absl::StrCat(id, "/", request.hash) ||
      response->body != this->execution_bodies[id]) {
    this->ReportViolation(
        absl::StrCat("caller of ", id, " got ", response->body));
  }
}

void Model::ReceiveForward(int o,
                           const LedgerRequest& forward,
                           int ingress,
                           std::uint64_t ingress_incarnation) {
  auto pending = std::make_shared<PendingForward>();
  pending->execution.request = forward;
  pending->ingress = ingress;
  pending->ingress_incarnation = ingress_incarnation;
  const steady_clock::time_point read_at = this->Steady(o);
  const system_clock::time_point wall = this->Wall();
  if (this->RandomBool(this->faults.slow_thread)) {
    // The thread reads both clocks and then waits for the mutex of the
    // endpoint.
    this->ScheduleOnProcess(this->RandomInt(1, 30), o,
                            [this, o, pending, read_at, wall] {
                              this->Decide(o, pending, read_at, wall);
                            });
    return;
  }
  this->Decide(o, pending, read_at, wall);
}

// Removes the protection under test by changing the input of the decision.
void Model::ApplyMutation(int o, KeyedExecution& execution) {
  KeyedOwner& owner = this->processes[o].owner;
  const OwnerStamp current = CurrentStamp(owner.ledger, this->Steady(o));
  OwnerStamp& stamp = execution.request.stamp;
  switch (this->mutation) {
    case Mutation::kIgnoreAttemptFences: {
      const auto found = owner.ledger.attempts.find(execution.request.attempt);
      if (found != owner.ledger.attempts.end() &&
          found->second.state == AttemptState::kFenced) {
        owner.ledger.bytes -= found->second.bytes;
        owner.ledger.refused_bytes -= found->second.bytes;
        owner.ledger.attempts.erase(found);
      }
      break;
    }
    case Mutation::kIgnoreKeyFences: {
      if (!execution.request.key.has_value()) {
        break;
      }
      const auto found = owner.ledger.keys.find(*execution.request.key);
      if (found != owner.ledger.keys.end() &&
          found->second.state == AttemptState::kFenced) {
        owner.ledger.bytes -= found->second.bytes;
        owner.ledger.keys.erase(found);
      }
      break;
    }
    case Mutation::kSkipRecovery:
      owner.recovery.needed = false;
      break;
    case Mutation::kSkipFenceKeyCalls:
      if (execution.request.key.has_value()) {
        for (const std::string& former :
             PlaceKey(*execution.request.key, owner.endpoints).former_homes) {
          execution.former_home_fences[former] = {
              owner.version, KeyFenceReply{KeyFenceState::kFenced, nullptr, 0}};
        }
      }
      break;
    case Mutation::kIgnoreIncarnation:
      if (stamp.incarnation != owner.ledger.incarnation) {
        stamp = current;
      }
      break;
    case Mutation::kIgnoreStampAge:
      if (stamp.incarnation == owner.ledger.incarnation) {
        stamp = current;
      }
      break;
    case Mutation::kSkipFreshness:
      owner.confirmed_at = this->Steady(o);
      break;
    case Mutation::kSkipPauseReconfirmation:
      owner.pauses.max_gap = milliseconds(1'000'000'000);
      break;
    default:
      break;
  }
}

void Model::Decide(int o,
                   const std::shared_ptr<PendingForward>& pending,
                   steady_clock::time_point now,
                   system_clock::time_point wall) {
  if (pending->finished) {
    return;
  }
  Process& process = this->processes[o];
  this->ApplyMutation(o, pending->execution);
  const KeyedAction action =
      NextKeyedAction(process.owner, pending->execution, now, wall);
  const LedgerRequest& request = pending->execution.request;
  switch (action.step) {
    case KeyedStep::kRun:
      pending->queued = true;
      process.pending.push_back(pending);
      this->ScheduleOnProcess(
          this->RandomBool(0.2) ? this->RandomInt(0, 300)
                                : this->RandomInt(0, 5),
          o, [this, o, pending] { this->StartRun(o, pending); });
      if (this->RandomBool(0.05)) {
        // The attempt is displaced from the queue.
        this->ScheduleOnProcess(this->RandomInt(0, 20), o, [this, o, request] {
          RefuseAttempt(this->processes[o].owner.ledger, request,
                        RunRefusal::kCancelled, this->Steady(o));
          this->DecideAgain(o, request);
        });
      }
      break;
    case KeyedStep::kWait:
      process.pending.push_back(pending);
      break;
    case KeyedStep::kFence:
      process.pending.push_back(pending);
      for (const std::string& former : action.endpoints_to_fence) {
        this->SendFenceKey(o, pending, former, action.version);
      }
      break;
    case KeyedStep::kRefuse:
      this->Reply(
          o, pending,
          action.not_run ? JournalOutcome::kNotRun : JournalOutcome::kUnknown,
          nullptr);
      break;
    case KeyedStep::kRespond:
      this->Reply(o, pending, JournalOutcome::kAnswered, action.response);
      break;
  }
}

// Repeats the decision for all pending requests that use the changed record.
void Model::DecideAgain(int o, const LedgerRequest& changed) {
  std::vector<std::shared_ptr<PendingForward>> again;
  std::vector<std::shared_ptr<PendingForward>>& all =
      this->processes[o].pending;
  for (auto it = all.begin(); it != all.end();) {
    const LedgerRequest& request = (*it)->execution.request;
    const bool same = changed.key.has_value()
                          ? request.key == changed.key
                          : request.attempt == changed.attempt;
    if (same) {
      again.push_back(*it);
      it = all.erase(it);
    } else {
      ++it;
    }
  }
  for (const std::shared_ptr<PendingForward>& pending : again) {
    this->Decide(o, pending, this->Steady(o), this->Wall());
  }
}

void Model::SendFenceKey(int o,
                         const std::shared_ptr<PendingForward>& pending,
                         const std::string& former,
                         const PlacementVersion& version) {
  ++this->report.key_fences;
  Process& process = this->processes[o];
  const KeyId key = *pending->execution.request.key;
  const auto receive = [this, o, pending, former,
                        version](const KeyFenceReply& reply) {
    RecordKeyFenceReply(pending->execution, former, version, reply);
    this->DecideAgain(o, pending->execution.request);
  };
  const KeyFenceReply failed{KeyFenceState::kUndecidable, nullptr, 0};
  if (!this->Has(Mutation::kSkipFenceJournal) &&
      !RecordKeyFence(process.journal, former, key, version, this->Steady(o))) {
    this->ScheduleOnProcess(0, o, [receive, failed] { receive(failed); });
    return;
  }
  const int f = ProcessOf(former);
  const std::uint64_t incarnation = process.incarnation;
  this->Send(o, f, [this, o, f, key, version, incarnation, receive] {
    const KeyFenceReply reply =
        HandleFenceKey(this->processes[f].owner, key, version, this->Steady(f));
    LedgerRequest fenced;
    fenced.key = key;
    this->DecideAgain(f, fenced);
    this->Send(f, o, [this, o, incarnation, receive, reply] {
      if (this->processes[o].incarnation == incarnation) {
        receive(reply);
      }
    });
  });
  this->ScheduleOnProcess(
      this->RandomInt(30, 400), o, [pending, former, version, receive, failed] {
        const auto found = pending->execution.former_home_fences.find(former);
        if (!pending->finished &&
            found != pending->execution.former_home_fences.end() &&
            found->second.version == version &&
            !found->second.reply.has_value()) {
          receive(failed);
        }
      });
}

void Model::StartRun(int o, const std::shared_ptr<PendingForward>& pending) {
  const LedgerRequest& request = pending->execution.request;
  if (!StartAttempt(this->processes[o].owner.ledger, request,
                    this->Steady(o))) {
    this->DecideAgain(o, request);
    return;
  }
  // The process may pause between the decision and the write to the backend
  // server.
  this->ScheduleOnProcess(this->RandomInt(0, 3), o,
                          [this, o, pending] { this->Execute(o, pending); });
}

void Model::Execute(int o, const std::shared_ptr<PendingForward>& pending) {
  const LedgerRequest request = pending->execution.request;
  int caller = -1;
  for (std::size_t i = 0; i < this->requests.size(); ++i) {
    const std::vector<AttemptId>& attempts = this->requests[i].attempts;
    if (std::find(attempts.begin(), attempts.end(), request.attempt) !=
        attempts.end()) {
      caller = static_cast<int>(i);
    }
  }
  const std::string id =
      request.key.has_value() ? request.key->key : absl::StrCat("r", caller);
  ++this->report.executions;
  this->executed.insert(request.attempt);
  if (++this->executions[id] > 1) {
    this->ReportViolation(absl::StrCat(id, " runs again, at ", EndpointName(o),
                                       ", attempt ",
                                       FormatAttemptId(request.attempt)));
  }
  const std::string body = absl::StrCat(id, "/", request.request_hash);
  this->execution_bodies[id] = body;
  const int duration =
      this->RandomBool(0.1) ? this->RandomInt(0, 600) : this->RandomInt(1, 30);
  const bool lost = this->RandomBool(this->faults.backend_error);
  this->ScheduleOnProcess(duration, o, [this, o, request, body, lost] {
    AttemptLedger& ledger = this->processes[o].owner.ledger;
    if (lost) {
      MarkOutcomeUnknown(ledger, request, this->Steady(o));
    } else {
      FinishAttempt(ledger, request,
                    MakeDeliverable({200, {}, body}, RefusalMeaning::kNone),
                    this->Steady(o));
    }
    this->DecideAgain(o, request);
  });
}

void Model::Reply(int o,
                  const std::shared_ptr<PendingForward>& pending,
                  JournalOutcome outcome,
                  const DeliverableResponse& response) {
  pending->finished = true;
  const int p = pending->ingress;
  const std::uint64_t incarnation = pending->ingress_incarnation;
  const AttemptId attempt = pending->execution.request.attempt;
  const OwnerStamp stamp =
      CurrentStamp(this->processes[o].owner.ledger, this->Steady(o));
  this->Send(o, p,
             [this, o, p, incarnation, attempt, outcome, response, stamp] {
               Process& ingress = this->processes[p];
               if (ingress.incarnation == incarnation) {
                 ingress.stamps[o] = {stamp, this->Steady(p)};
                 this->HandleResult(p, attempt, outcome, response);
               }
             });
}

ModelReport Model::Run() {
  this->PlanFaults();
  for (int p = 0; p < kProcesses; ++p) {
    this->StartProcess(p);
  }
  this->PlanCallers();
  while (!this->events.empty() && this->report.violation.empty()) {
    Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    if (this->now > kRunLength + 2'000) {
      break;
    }
    if (event.process >= 0) {
      const Process& process = this->processes[event.process];
      if (!process.up || (event.incarnation != 0 &&
                          event.incarnation != process.incarnation)) {
        continue;
      }
      if (this->now < process.paused_until) {
        event.at = process.paused_until;
        this->events.push(std::move(event));
        continue;
      }
    }
    event.action();
  }
  for (const CallerRequest& request : this->requests) {
    for (const AttemptId& attempt : request.attempts) {
      if (request.answered_not_run && this->executed.count(attempt) > 0) {
        this->ReportViolation(
            absl::StrCat("attempt ", FormatAttemptId(attempt),
                         " ran, but its caller received the outcome not run"));
      }
    }
  }
  return this->report;
}

}  // namespace

ModelReport RunModel(std::uint64_t seed, Mutation mutation) {
  return Model(seed, mutation).Run();
}

ModelReport RunModels(std::uint64_t first, int count, Mutation mutation) {
  ModelReport total;
  for (int i = 0; i < count; ++i) {
    const ModelReport run = RunModel(first + i, mutation);
    total.seed = run.seed;
    ++total.runs;
    total.requests += run.requests;
    total.executions += run.executions;
    total.responses += run.responses;
    total.not_run += run.not_run;
    total.unknown += run.unknown;
    total.key_fences += run.key_fences;
    total.recovered_by_journal += run.recovered_by_journal;
    total.recovered_by_time += run.recovered_by_time;
    total.versions += run.versions;
    if (!run.violation.empty()) {
      total.violation = run.violation;
      break;
    }
  }
  return total;
}

}  // namespace comfrey
