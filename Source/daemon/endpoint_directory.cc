#include "daemon/endpoint_directory.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/log_event.h"
#include "daemon/message_conversion.h"
#include "registry/registry_log.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;

// Summaries older than this do not describe the current load.
constexpr std::chrono::seconds kMaxSummaryAge{10};
// Limits the size of a forwarded request for services with many endpoints.
constexpr std::size_t kMaxSiblings = 16;

// For this time, the status in a reply is not replaced by a published record,
// which may be older. In a simulation, older records that replaced newer ones
// hid ejections.
constexpr std::chrono::seconds kReplyPrecedence{4};

// Bounds of the time for which a status in a reply keeps an endpoint out of
// use. An endpoint that gets no requests sends no replies, so a status without
// an end would never be replaced. The owner may have restarted meanwhile, and
// then its new process does not know the state that the old one reported.
constexpr std::chrono::seconds kMinOutOfUse{1};
constexpr std::chrono::seconds kMaxOutOfUse{30};
// Share of its requests that an endpoint gets after an ejection until the next
// reply of its owner, in percent.
constexpr std::uint8_t kShareAfterEjection = 12;

// A request is sent to another region if the wait in its own exceeds 1/3 of the
// latency target. A longer wait would use most of the target's time beyond the
// service time.
constexpr int kTargetPerLocalWait = 3;
// A request is queued in another region for at most 1/4 of the target, which
// leaves time for a round trip there.
constexpr int kTargetPerRemoteWait = 4;
// Two round trips to another region. A request is not sent there because of a
// shorter wait in its own region.
constexpr std::chrono::milliseconds kMinWaitBeforeRemote{150};

// Number of standby endpoints of each service. These are endpoints in other
// regions to whose owners connections are made in advance.
constexpr std::size_t kStandbysPerService = 4;
// UnconnectedStandbys looks at no further services after it has found this many
// owners.
constexpr std::size_t kMaxStandbyOwners = 64;

constexpr double kPercent = 100;

absl::string_view DistanceName(const EndpointView& view) {
  return view.same_failure_domain ? "failure domain"
         : view.same_region       ? "region"
                                  : "other region";
}

std::uint16_t Clamp16(std::uint32_t value) {
  return static_cast<std::uint16_t>(std::min<std::uint32_t>(value, 0xFFFF));
}

}  // namespace

EndpointDirectory::EndpointDirectory(std::string name, Location location)
    : name(std::move(name)),
      location(std::move(location)),
      rng(std::random_device()()) {}

void EndpointDirectory::ApplyConfig(const ConfigStore& store) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::map<ServiceId, Service> next;
  for (const auto& [team, subtree] : store.subtrees) {
    for (const ServiceConfig& config : subtree->config->services) {
      const ServiceId id{team, config.name};
      Service service;
      service.floor_percent =
          static_cast<unsigned>(std::lround(config.floor * kPercent));
      const auto known = this->services.find(id);
      for (const EndpointConfig& endpoint_config : config.endpoints) {
        Endpoint endpoint;
        if (known != this->services.end()) {
          const auto old = std::find_if(
              known->second.endpoints.begin(), known->second.endpoints.end(),
              [&](const Endpoint& e) {
                return e.address == endpoint_config.address;
              });
          if (old != known->second.endpoints.end()) {
            endpoint = *old;
          }
        }
        this->ConfigureEndpointView(endpoint_config, endpoint);
        service.endpoints.push_back(std::move(endpoint));
      }
      this->ChooseStandbys(service);
      for (const auto& [ip, owner] : this->owners) {
        this->ApplyOwnerTo(owner, service);
      }
      next[id] = std::move(service);
    }
  }
  this->services = std::move(next);
}

void EndpointDirectory::ConfigureEndpointView(const EndpointConfig& config,
                                              Endpoint& endpoint) {
  if (endpoint.instance != config.instance ||
      endpoint.started_at != config.started_at) {
    // Another backend server now has the address, so the state of the previous
    // one is discarded.
    const std::uint16_t in_flight = endpoint.in_flight;
    endpoint = Endpoint();
    endpoint.in_flight = in_flight;
  }
  endpoint.address = config.address;
  endpoint.ip = config.ip;
  endpoint.instance = config.instance;
  endpoint.started_at = config.started_at;
  endpoint.registration = config.registration;
  endpoint.view.endpoint_id =
      XXH64(endpoint.address.data(), endpoint.address.size(), 0);
  if (endpoint.configured_draining != config.draining) {
    endpoint.configured_draining = config.draining;
    endpoint.view.draining = config.draining;
  }
  if (!config.region.empty()) {
    endpoint.view.same_region = config.region == this->location.region;
    endpoint.view.same_failure_domain =
        config.failure_domain == this->location.failure_domain;
    endpoint.view.owner_reachable = IsPathUsable(this->paths[endpoint.ip]);
  }
}

// A new connection to another region takes several round trips, which is too
// long for a request that needs a slot there. To limit the number of
// connections, a daemon keeps connections to a few endpoints only; each daemon
// chooses its own by a hash that includes the daemon's name.
void EndpointDirectory::ChooseStandbys(Service& service) const {
  std::vector<std::pair<std::uint64_t, Endpoint*>> remote;
  for (Endpoint& endpoint : service.endpoints) {
    endpoint.standby = false;
    if (!endpoint.view.same_region) {
      const std::string pair = this->name + " " + endpoint.address;
      remote.emplace_back(XXH64(pair.data(), pair.size(), 0), &endpoint);
    }
  }
  std::sort(remote.begin(), remote.end());
  for (std::size_t i = 0; i < std::min(remote.size(), kStandbysPerService);
       ++i) {
    remote[i].second->standby = true;
  }
}

// Sets the limits of the retry budget. The slack is shared by all daemons.
void EndpointDirectory::ApplyOwner(const OwnerView& owner) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->owners[owner.ip] = owner;
  for (auto& [id, service] : this->services) {
    this->ApplyOwnerTo(owner, service);
  }
}

void EndpointDirectory::ApplyOwnerTo(const OwnerView& owner, Service& service) {
  for (Endpoint& endpoint : service.endpoints) {
    if (endpoint.ip != owner.ip) {
      continue;
    }
    endpoint.view.leaving = owner.leaving;
    endpoint.view.same_region = owner.location.region == this->location.region;
    endpoint.view.same_failure_domain =
        owner.location.failure_domain == this->location.failure_domain;
    endpoint.view.owner_reachable =
        !owner.dead && IsPathUsable(this->paths[endpoint.ip]);
    endpoint.record_pending =
        Clock::now() - endpoint.replied_at < kReplyPrecedence;
    for (const rpc::EndpointStatus& status : owner.endpoints) {
      if (status.endpoint() == endpoint.address && !endpoint.record_pending) {
        this->ApplyStatus(status, endpoint);
      }
    }
    service.plan_is_current = false;
  }
}

// Membership does not deliver an unchanged record again, so a record that was
// not applied because of a newer reply is applied here later.
void EndpointDirectory::ApplyPendingRecords() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (auto& [id, service] : this->services) {
    for (const Endpoint& endpoint : service.endpoints) {
      if (endpoint.record_pending &&
          Clock::now() - endpoint.replied_at >= kReplyPrecedence) {
        this->ApplyOwnerTo(this->owners[endpoint.ip], service);
      }
    }
  }
}

void EndpointDirectory::ApplyStatus(const rpc::EndpointStatus& status,
                                    Endpoint& endpoint) {
  endpoint.view.state = static_cast<EndpointState>(status.verdict());
  endpoint.view.severity = Clamp16(status.severity());
  endpoint.view.draining = status.draining() || endpoint.configured_draining;
  endpoint.reason = static_cast<VerdictReason>(status.reason());
  if (status.latency_us() > 0) {
    endpoint.latency = std::chrono::microseconds(status.latency_us());
  }
  // Published records omit load, limit and slot share.
  if (status.limit() > 0) {
    endpoint.view.load = Clamp16(status.load());
    endpoint.view.limit = Clamp16(status.limit());
  }
  if (status.slot_share() > 0) {
    endpoint.view.slot_share =
        static_cast<std::uint8_t>(std::min(status.slot_share(), 100U));
  }
}

// Returns when the status in a reply stops to keep the endpoint out of use, or
// the epoch if it does not. An owner that is a member publishes each change, so
// its records replace the status instead.
EndpointDirectory::TimePoint EndpointDirectory::OutOfUseUntil(
    const Endpoint& endpoint,
    const rpc::Result& result,
    TimePoint now) const {
  const bool out_of_use =
      endpoint.view.draining || endpoint.view.state == EndpointState::kEjected;
  if (!out_of_use || this->owners.count(endpoint.ip) > 0) {
    return TimePoint{};
  }
  return now + std::clamp<std::chrono::microseconds>(
                   std::chrono::microseconds(result.status().ejected_for_us()),
                   kMinOutOfUse, kMaxOutOfUse);
}

// Takes endpoints back into use whose status has expired. The next reply of the
// owner brings the present one.
void EndpointDirectory::ExpireStatuses(Service& service, TimePoint now) {
  for (Endpoint& endpoint : service.endpoints) {
    if (endpoint.out_of_use_until == TimePoint{} ||
        endpoint.out_of_use_until > now) {
      continue;
    }
    endpoint.out_of_use_until = TimePoint{};
    endpoint.view.draining = endpoint.configured_draining;
    if (endpoint.view.state == EndpointState::kEjected) {
      endpoint.view.state = EndpointState::kProbation;
      endpoint.view.slot_share = kShareAfterEjection;
    }
    service.plan_is_current = false;
  }
}

std::vector<EndpointView> EndpointDirectory::MakeViews(
    const Service& service) const {
  std::vector<EndpointView> views;
  views.reserve(service.endpoints.size());
  for (const Endpoint& endpoint : service.endpoints) {
    views.push_back(endpoint.view);
  }
  return views;
}

void EndpointDirectory::UpdatePlan(Service& service) {
  if (!service.plan_is_current) {
    service.plan =
        PlanCapacity(this->MakeViews(service), service.floor_percent);
    service.plan_is_current = true;
    this->LogUseChanges(service);
  }
}

const char* EndpointDirectory::UseName(EndpointUse use) {
  switch (use) {
    case EndpointUse::kInUse:
      return "in use";
    case EndpointUse::kEjected:
      return "ejected";
    case EndpointUse::kUnreachable:
      return "unreachable";
    case EndpointUse::kDraining:
      break;
  }
  return "draining";
}

// Logs each endpoint that this ingress stops or starts using, with the age of
// the status on which that is based.
void EndpointDirectory::LogUseChanges(Service& service) const {
  const TimePoint now = Clock::now();
  std::vector<EndpointUse> uses(service.endpoints.size(), EndpointUse::kInUse);
  for (const std::uint32_t ejected : service.plan.ejected) {
    uses[ejected] = EndpointUse::kEjected;
  }
  for (std::size_t i = 0; i < uses.size(); ++i) {
    Endpoint& endpoint = service.endpoints[i];
    if (endpoint.view.draining || endpoint.view.leaving) {
      uses[i] = EndpointUse::kDraining;
    } else if (!endpoint.view.owner_reachable) {
      uses[i] = EndpointUse::kUnreachable;
    }
    if (uses[i] == endpoint.use) {
      continue;
    }
    LogEvent event("endpoint_use");
    event.Add("endpoint", endpoint.address)
        .Add("instance", endpoint.instance)
        .Add("use", UseName(uses[i]))
        .Add("was", UseName(endpoint.use))
        .AddBool("configured_draining", endpoint.configured_draining);
    AddRegistration(event, endpoint.registration);
    if (endpoint.replied_at != TimePoint{}) {
      event.AddDuration("knowledge_age", now - endpoint.replied_at);
    }
    WriteEvent(event);
    endpoint.use = uses[i];
  }
}

PlacementHint EndpointDirectory::HintFor(const Endpoint& endpoint,
                                         const std::string& rank,
                                         const TriedEndpoints& tried,
                                         TimePoint now) const {
  PlacementHint hint;
  hint.in_flight = endpoint.in_flight;
  hint.suspect_until = endpoint.suspect_until;
  hint.standby = endpoint.standby;
  const auto result = tried.find(endpoint.address);
  if (result != tried.end()) {
    hint.offer_result = result->second;
  }
  const auto forecast = endpoint.forecasts.find(rank);
  if (forecast != endpoint.forecasts.end() && forecast->second.free_at > now) {
    hint.expected_wait = std::chrono::duration_cast<std::chrono::microseconds>(
        forecast->second.free_at - now);
    hint.wait_age = std::chrono::duration_cast<std::chrono::microseconds>(
        now - forecast->second.reported_at);
  }
  return hint;
}

std::optional<ChosenEndpoint> EndpointDirectory::Choose(
    const ServiceId& id,
    const RankConfig& rank,
    const TriedEndpoints& tried) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->services.find(id);
  if (found == this->services.end()) {
    return std::nullopt;
  }
  Service& service = found->second;
  const TimePoint now = Clock::now();
  this->ExpireStatuses(service, now);
  std::vector<EndpointView> views = this->MakeViews(service);
  std::vector<PlacementHint> hints;
  hints.reserve(views.size());
  for (std::size_t i = 0; i < views.size(); ++i) {
    const Endpoint& endpoint = service.endpoints[i];
    hints.push_back(this->HintFor(endpoint, rank.name, tried, now));
    const auto forecast = endpoint.forecasts.find(rank.name);
    if (forecast != endpoint.forecasts.end()) {
      views[i].full_until = forecast->second.full_until;
    }
  }
  this->UpdatePlan(service);
  PlacementPolicy policy;
  policy.local_wait_limit = std::max<std::chrono::microseconds>(
      rank.target / kTargetPerLocalWait, kMinWaitBeforeRemote);
  policy.remote_wait_limit = rank.target / kTargetPerRemoteWait;
  const std::optional<Placement> placement =
      NextPlacement(service.plan, views, hints, policy, now, this->rng);
  if (!placement) {
    return std::nullopt;
  }
  Endpoint& endpoint = service.endpoints[placement->view];
  ++endpoint.in_flight;
  ChosenEndpoint chosen;
  chosen.address = endpoint.address;
  chosen.ip = endpoint.ip;
  chosen.instance = endpoint.instance;
  chosen.registration = endpoint.registration;
  chosen.mode = placement->mode;
  if (placement->mode == PlacementMode::kSpareSlot) {
    chosen.max_wait = policy.remote_wait_limit;
  }
  chosen.distance = DistanceName(endpoint.view);
  chosen.remote = !endpoint.view.same_region;
  chosen.round_trip = this->paths[endpoint.ip].min_accept_time;
  chosen.expected_wait = hints[placement->view].expected_wait;
  if (endpoint.replied_at != TimePoint{}) {
    chosen.status_age = now - endpoint.replied_at;
  }
  return chosen;
}

void EndpointDirectory::Finish(const ServiceId& id,
                               const std::string& address) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->services.find(id);
  if (found == this->services.end()) {
    return;
  }
  for (Endpoint& endpoint : found->second.endpoints) {
    if (endpoint.address == address && endpoint.in_flight > 0) {
      --endpoint.in_flight;
    }
  }
}

std::chrono::microseconds EndpointDirectory::ShortestWait(
    const ServiceId& id,
    const std::string& rank) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->services.find(id);
  std::optional<std::chrono::microseconds> shortest;
  if (found != this->services.end()) {
    const TimePoint now = Clock::now();
    for (const Endpoint& endpoint : found->second.endpoints) {
      const std::chrono::microseconds wait =
          this->HintFor(endpoint, rank, {}, now).expected_wait;
      shortest = std::min(shortest.value_or(wait), wait);
    }
  }
  return shortest.value_or(std::chrono::microseconds(0));
}

std::vector<std::string> EndpointDirectory::UnconnectedStandbys() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::set<std::string> unconnected;
  for (const auto& [id, service] : this->services) {
    for (const Endpoint& endpoint : service.endpoints) {
      const PathHealth& path = this->paths[endpoint.ip];
      if (endpoint.standby && IsPathUsable(path) &&
          path.smoothed_accept_time.count() == 0) {
        unconnected.insert(endpoint.ip);
      }
    }
    if (unconnected.size() >= kMaxStandbyOwners) {
      break;
    }
  }
  return {unconnected.begin(), unconnected.end()};
}

std::vector<std::string> EndpointDirectory::BeginDueTrials() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const TimePoint now = Clock::now();
  std::set<std::string> in_use;
  for (const auto& [id, service] : this->services) {
    for (const Endpoint& endpoint : service.endpoints) {
      in_use.insert(endpoint.ip);
    }
  }
  std::vector<std::string> due;
  for (auto& [ip, path] : this->paths) {
    if (in_use.count(ip) == 0) {
      continue;
    }
    if (TakeCheck(path)) {
      due.push_back(ip);
    } else if (!IsPathUsable(path) && IsTrialDue(path, now)) {
      BeginTrial(path, now);
      due.push_back(ip);
    }
  }
  return due;
}

void EndpointDirectory::RecordReply(const ServiceId& id,
                                    const std::string& rank,
                                    const rpc::Result& result,
                                    TimePoint now) {
  if (!result.has_status()) {
    return;
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->services.find(id);
  if (found == this->services.end()) {
    return;
  }
  for (Endpoint& endpoint : found->second.endpoints) {
    if (endpoint.address != result.status().endpoint()) {
      continue;
    }
    const EndpointView before = endpoint.view;
    this->ApplyStatus(result.status(), endpoint);
    endpoint.replied_at = now;
    endpoint.out_of_use_until = this->OutOfUseUntil(endpoint, result, now);
    if (before.state != endpoint.view.state ||
        before.severity != endpoint.view.severity ||
        before.draining != endpoint.view.draining ||
        before.slot_share != endpoint.view.slot_share) {
      found->second.plan_is_current = false;
    }
    const rpc::EndpointStatus& status = result.status();
    RankForecast& forecast = endpoint.forecasts[rank];
    forecast.free_at =
        now + std::chrono::microseconds(status.expected_wait_us());
    forecast.reported_at = now;
    // Older owners also set the time in a reply that all slots are in use,
    // although the queue has room.
    if (result.reason() == rpc::REFUSAL_QUEUE_FULL &&
        status.full_for_us() > 0) {
      forecast.full_until =
          now + std::chrono::microseconds(status.full_for_us());
    }
    endpoint.suspect_until =
        now + std::chrono::microseconds(status.suspect_for_us());
    if (result.has_summary()) {
      endpoint.summary = FromProto(result.summary(), now);
    }
  }
}

void EndpointDirectory::RecordAccepted(const std::string& ip,
                                       TimePoint sent_at,
                                       TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  PathHealth& path = this->paths[ip];
  const bool was_clear = IsPathUsable(path);
  RecordPathSuccess(path, sent_at, now);
  this->UpdateReachability(ip, was_clear);
}

void EndpointDirectory::RecordFailure(const std::string& ip,
                                      PathFailure failure,
                                      TimePoint sent_at,
                                      TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  PathHealth& path = this->paths[ip];
  const bool was_clear = IsPathUsable(path);
  RecordPathFailure(path, failure, sent_at, now, this->rng);
  this->UpdateReachability(ip, was_clear);
}

void EndpointDirectory::RequestPathCheck(const std::string& ip) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  RequestCheck(this->paths[ip]);
}

// Updates the views of the owner's endpoints if its path has become usable or
// suspect.
void EndpointDirectory::UpdateReachability(const std::string& ip,
                                           bool was_clear) {
  const bool clear = IsPathUsable(this->paths[ip]);
  if (clear == was_clear) {
    return;
  }
  const auto owner = this->owners.find(ip);
  const bool dead = owner != this->owners.end() && owner->second.dead;
  for (auto& [id, service] : this->services) {
    for (Endpoint& endpoint : service.endpoints) {
      if (endpoint.ip == ip) {
        endpoint.view.owner_reachable = clear && !dead;
        service.plan_is_current = false;
      }
    }
  }
}

std::chrono::microseconds EndpointDirectory::AcceptTimeoutOf(
    const std::string& ip) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return AcceptTimeout(this->paths[ip]);
}

void EndpointDirectory::AddSiblingSummaries(const ServiceId& id,
                                            rpc::ForwardRequest& request) {
  const TimePoint now = Clock::now();
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->services.find(id);
  if (found == this->services.end()) {
    return;
  }
  // Links between regions are billed by volume. An owner receives the summaries
  // of its siblings from the daemons of its own region.
  const std::vector<Endpoint>& endpoints = found->second.endpoints;
  const bool remote =
      std::any_of(endpoints.begin(), endpoints.end(), [&](const Endpoint& e) {
        return e.address == request.endpoint() && !e.view.same_region;
      });
  if (remote) {
    return;
  }
  std::size_t added = 0;
  for (const Endpoint& endpoint : endpoints) {
    if (added == kMaxSiblings) {
      return;
    }
    if (endpoint.summary && endpoint.address != request.endpoint() &&
        now - endpoint.summary->midpoint <= kMaxSummaryAge) {
      rpc::EndpointSummary& sibling = *request.add_siblings();
      ToProto(*endpoint.summary, now, sibling);
      sibling.set_endpoint(endpoint.address);
      ++added;
    }
  }
}

std::vector<EndpointSnapshot> EndpointDirectory::Report() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<EndpointSnapshot> reports;
  for (auto& [id, service] : this->services) {
    this->UpdatePlan(service);
    const std::size_t first = reports.size();
    for (const Endpoint& endpoint : service.endpoints) {
      reports.push_back({id, endpoint.address, endpoint.view, endpoint.reason,
                         endpoint.latency, false, 0, false});
    }
    for (const auto* group :
         {&service.plan.same_failure_domain, &service.plan.same_region,
          &service.plan.other_regions}) {
      for (const PlannedEndpoint& planned : *group) {
        reports[first + planned.view].in_use = true;
        reports[first + planned.view].share = planned.slot_share;
      }
    }
    for (const std::uint32_t ejected : service.plan.ejected) {
      reports[first + ejected].ejection_honoured = true;
    }
  }
  return reports;
}

}  // namespace comfrey
