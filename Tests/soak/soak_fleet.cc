#include "soak/soak_fleet.h"

#include <httplib.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "published_documents.h"
#include "system/fleet.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr int kRegistryVm = 250;
constexpr int kRegistryPort = 7300;
constexpr int kCallerPort = 8080;
constexpr int kRelayedPeerPort = 7401;
constexpr int kVmsPerDomain = 2;
// Attempt id of the requests of WaitServing.
constexpr char kProbeId[] = "probe";
constexpr milliseconds kGrace{6000};
constexpr milliseconds kRestartDelay{300};
constexpr milliseconds kCopyPeriod{500};
// With registry_focus, backend servers write their entries often before each
// drill and seldom after it, so that the revisions that are lost are given out
// again slowly.
constexpr milliseconds kBeatPeriod{50};
constexpr milliseconds kSlowBeatPeriod{500};
constexpr milliseconds kSlowBeatTime{9000};
constexpr std::size_t kMaxCopies = 24;
// After a drill, everything is written again within this time, in any order.
constexpr milliseconds kRewriteTime{2000};
// A daemon that was started needs this time until it serves.
constexpr milliseconds kStartTime{1000};
// A connection is lost at once, and the next requests may notice it late.
constexpr milliseconds kResetTime{100};

bool IsDue(std::optional<Clock::time_point>& time, Clock::time_point now) {
  if (!time || now < *time) {
    return false;
  }
  time.reset();
  return true;
}

}  // namespace

SoakFleet::SoakFleet(const SoakSize& size,
                     const std::string& log_directory,
                     SoakHistory& history)
    : size(size),
      log_directory(log_directory),
      history(history),
      prefix(LoopbackPrefix()),
      directory(MakeDirectory()),
      registry(this->AddressOf(kRegistryVm), kRegistryPort, 4 * size.vms + 16),
      vms(static_cast<std::size_t>(size.vms) + 1) {
  this->PublishRoutes();
  SoakRequest probe;
  probe.id = kProbeId;
  probe.idempotent = true;
  probe.left = true;
  history.Add(std::move(probe));
  for (int number = 1; number <= size.vms; ++number) {
    if (number <= size.relayed_vms) {
      this->vms[number].relay = std::make_unique<Process>(
          "Tests/stand_ins/fault_relay",
          std::vector<std::string>{
              absl::StrCat("--address=", this->AddressOf(number)),
              absl::StrCat("--port=", kPeerPort),
              absl::StrCat("--target_address=", this->AddressOf(number)),
              absl::StrCat("--target_port=", kRelayedPeerPort)});
    }
    this->StartServer(number);
    this->StartDaemon(number);
  }
}

SoakFleet::~SoakFleet() {
  // The watches of the daemons end with their processes, and the registry waits
  // for them.
  this->vms.clear();
  std::filesystem::remove_all(this->directory);
}

std::string SoakFleet::AddressOf(int vm) const {
  return absl::StrCat(this->prefix, vm);
}

int SoakFleet::CallerPort() {
  return kCallerPort;
}

void SoakFleet::PublishRoutes() {
  const std::string changing =
      this->config_version % 2 == 0 ? "/even/" : "/odd/";
  this->registry.Put(
      platform::kConfigKey,
      MakeConfiguration(
          this->config_version,
          {{"/order/", false}, {"/look/", true}, {changing, true}}));
}

// Writes what the backend server says of itself.
void SoakFleet::Register(int number) {
  Vm& vm = this->vms[number];
  const SoakServer& server = *vm.server;
  vm.listed = true;
  this->registry.Put(
      MakeRegistrationKey(server.Instance()),
      MakeRegistration(
          "booking", absl::StrCat(this->AddressOf(number), ":", server.Port()),
          absl::StrCat("domain-", (number - 1) / kVmsPerDomain), vm.draining,
          ++vm.sequence));
}

void SoakFleet::RemoveRegistration(int number) {
  Vm& vm = this->vms[number];
  vm.listed = false;
  this->registry.Remove(MakeRegistrationKey(vm.server->Instance()));
  this->removed_instances.push_back(vm.server->Instance());
}

void SoakFleet::StartServer(int number) {
  Vm& vm = this->vms[number];
  vm.server = std::make_unique<SoakServer>(
      absl::StrCat("i-", ++this->servers_started), number,
      this->AddressOf(number), this->history);
  vm.draining = false;
  vm.sequence = 0;
  this->Register(number);
}

// A backend server serves on for longer than callers may use it.
void SoakFleet::ReplaceLater(int number, milliseconds lasts) {
  const TimePoint now = Clock::now();
  this->history.Add(SoakLeaving{this->vms[number].server->Instance(), now});
  this->vms[number].replace_server_at = now + milliseconds(3000) + lasts;
}

void SoakFleet::TakeCopyIfDue(TimePoint now) {
  if (!this->copies.empty() && now - this->copies.back().first < kCopyPeriod) {
    return;
  }
  this->copies.emplace_back(now, this->registry.TakeCopy());
  if (this->copies.size() > kMaxCopies) {
    this->copies.pop_front();
  }
}

void SoakFleet::BeatIfDue(TimePoint now) {
  if (!this->size.registry_focus || now < this->next_beat) {
    return;
  }
  this->next_beat =
      now + (now < this->slow_until ? kSlowBeatPeriod : kBeatPeriod);
  this->last_beat_vm = this->last_beat_vm % this->size.vms + 1;
  const Vm& vm = this->vms[this->last_beat_vm];
  if (vm.listed && !vm.draining && !this->end_drill_at &&
      !this->start_registry_at) {
    this->Register(this->last_beat_vm);
  }
}

// The registry comes back from the copy, and what was written last is written
// again.
void SoakFleet::EndDrill(TimePoint now) {
  auto copy = this->copies.begin();
  while (std::next(copy) != this->copies.end() &&
         std::next(copy)->first <= this->restore_from) {
    ++copy;
  }
  this->registry.Restore(copy->second);
  this->slow_until = now + kSlowBeatTime;
  this->registry.SetUnavailable(false);
  const auto draw_time = [&] {
    return now + milliseconds(this->rng() %
                              static_cast<std::uint64_t>(kRewriteTime.count()));
  };
  this->rewrites.push_back({draw_time(), 0, ""});
  for (int number = 1; number <= this->size.vms; ++number) {
    this->rewrites.push_back({draw_time(), number, ""});
  }
  for (const std::string& instance : this->removed_instances) {
    this->rewrites.push_back({draw_time(), 0, instance});
  }
}

void SoakFleet::RewriteDue(TimePoint now) {
  std::vector<Rewrite> later;
  for (const Rewrite& rewrite : this->rewrites) {
    if (rewrite.at > now) {
      later.push_back(rewrite);
    } else if (!rewrite.instance.empty()) {
      const std::vector<std::string>& removed = this->removed_instances;
      if (std::find(removed.begin(), removed.end(), rewrite.instance) !=
          removed.end()) {
        this->registry.Remove(MakeRegistrationKey(rewrite.instance));
      }
    } else if (rewrite.vm == 0) {
      this->PublishRoutes();
    } else if (this->vms[rewrite.vm].listed) {
      this->Register(rewrite.vm);
    }
  }
  this->rewrites = std::move(later);
}

void SoakFleet::StartDaemon(int number) {
  RegistryVm settings;
  settings.name = absl::StrCat("vm-", number);
  settings.ip = this->AddressOf(number);
  settings.region = "r";
  settings.failure_domain =
      absl::StrCat("domain-", (number - 1) / kVmsPerDomain);
  settings.registry =
      absl::StrCat(this->AddressOf(kRegistryVm), ":", kRegistryPort);
  settings.peer_listen_port =
      number <= this->size.relayed_vms ? kRelayedPeerPort : kPeerPort;
  settings.grace = absl::StrCat(kGrace.count(), "ms");
  const std::string path = absl::StrCat(this->directory, "/", number, ".ini");
  std::ofstream(path) << MakeRegistrySettings(settings);
  const std::string log =
      this->log_directory.empty()
          ? "/dev/null"
          : absl::StrCat(this->log_directory, "/vm-", number, ".log");
  Vm& vm = this->vms[number];
  vm.stop_requested.reset();
  vm.kill_requested = false;
  vm.disturbed = false;
  vm.daemon = std::make_unique<Process>(
      "Source/daemon/comfreyd",
      std::vector<std::string>{absl::StrCat("--settings=", path)}, log);
}

void SoakFleet::Disturb(int number, milliseconds lasts) {
  const TimePoint now = Clock::now();
  this->history.Add(SoakDisruption{number, now, now + lasts, false});
  this->vms[number].disturbed = true;
}

void SoakFleet::SetPathMode(int number, const std::string& mode) {
  this->vms[number].relay->WriteLine(mode);
}

void SoakFleet::Begin(const SoakEvent& event) {
  const TimePoint now = Clock::now();
  Vm& vm = this->vms[event.vm];
  switch (event.action) {
    case SoakAction::kStopDaemon:
      if (vm.daemon && !vm.stop_requested) {
        this->history.Add(SoakDisruption{event.vm, now, now + kGrace, true});
        vm.stop_requested = now;
        vm.daemon->SendSignal(SIGTERM);
      }
      break;
    case SoakAction::kKillDaemon:
      if (vm.daemon) {
        this->Disturb(event.vm, kRestartDelay + kStartTime);
        vm.kill_requested = true;
        vm.daemon->SendSignal(SIGKILL);
      }
      break;
    case SoakAction::kPauseDaemon:
      if (vm.daemon) {
        this->Disturb(event.vm, event.lasts);
        vm.daemon->SendSignal(SIGSTOP);
        vm.resume_at = now + event.lasts;
      }
      break;
    case SoakAction::kReloadDaemon:
      if (vm.daemon) {
        vm.daemon->SendSignal(SIGHUP);
      }
      break;
    case SoakAction::kFailServer:
      vm.server->SetFault(event.server_fault);
      vm.heal_server_at = now + event.lasts;
      break;
    case SoakAction::kDrainServer:
      if (!vm.replace_server_at && vm.listed) {
        vm.draining = true;
        this->Register(event.vm);
        this->ReplaceLater(event.vm, event.lasts);
      }
      break;
    case SoakAction::kRemoveServer:
      if (!vm.replace_server_at && vm.listed) {
        this->RemoveRegistration(event.vm);
        this->ReplaceLater(event.vm, event.lasts);
      }
      break;
    case SoakAction::kExpireServer:
      if (!vm.replace_server_at && vm.listed) {
        this->RemoveRegistration(event.vm);
        vm.expired_at = now;
        vm.register_again_at = now + milliseconds(3000) + event.lasts;
      }
      break;
    case SoakAction::kResetPaths:
      this->Disturb(event.vm, kResetTime);
      this->SetPathMode(event.vm, "reset");
      break;
    case SoakAction::kSilencePaths:
      this->Disturb(event.vm, kResetTime);
      this->SetPathMode(event.vm, "silent-old");
      break;
    case SoakAction::kCutPaths:
      this->Disturb(event.vm, event.lasts);
      this->SetPathMode(event.vm, event.path_mode);
      vm.heal_paths_at = now + event.lasts;
      break;
    case SoakAction::kDelayPaths:
      this->Disturb(event.vm, event.lasts);
      this->SetPathMode(event.vm, "delay");
      vm.heal_paths_at = now + event.lasts;
      break;
    case SoakAction::kStopRegistry:
      if (!this->end_drill_at) {
        this->history.Add(SoakDisruption{0, now, now + event.lasts, false});
        this->registry.SetUnavailable(true);
        this->start_registry_at = now + event.lasts;
      }
      break;
    case SoakAction::kDrillRegistry:
      if (!this->end_drill_at && !this->start_registry_at) {
        this->history.Add(SoakDisruption{0, now, now + event.lasts, false});
        // A drill may be too short for any call to fail.
        this->registry.SetUnavailable(event.lasts > kCopyPeriod);
        this->end_drill_at = now + event.lasts;
        this->restore_from = now - event.copy_age;
      }
      break;
    case SoakAction::kCutWatches:
      this->registry.CutWatches();
      break;
    case SoakAction::kChangeRoutes:
      ++this->config_version;
      this->PublishRoutes();
      break;
  }
}

void SoakFleet::Tick() {
  const TimePoint now = Clock::now();
  if (IsDue(this->start_registry_at, now)) {
    this->registry.SetUnavailable(false);
  }
  if (IsDue(this->end_drill_at, now)) {
    this->EndDrill(now);
  }
  this->RewriteDue(now);
  this->TakeCopyIfDue(now);
  this->BeatIfDue(now);
  for (int number = 1; number <= this->size.vms; ++number) {
    Vm& vm = this->vms[number];
    if (IsDue(vm.resume_at, now) && vm.daemon) {
      vm.daemon->SendSignal(SIGCONT);
    }
    if (IsDue(vm.heal_server_at, now)) {
      vm.server->SetFault(ServerFault::kNone);
    }
    if (IsDue(vm.register_again_at, now)) {
      this->history.Add(SoakLeaving{vm.server->Instance(), vm.expired_at, now});
      this->removed_instances.erase(
          std::remove(this->removed_instances.begin(),
                      this->removed_instances.end(), vm.server->Instance()),
          this->removed_instances.end());
      this->Register(number);
    }
    if (IsDue(vm.replace_server_at, now)) {
      if (vm.listed) {
        this->RemoveRegistration(number);
      }
      vm.server.reset();
      this->StartServer(number);
    }
    if (IsDue(vm.heal_paths_at, now)) {
      this->SetPathMode(number, "pass");
    }
    this->CollectDaemon(number);
    if (IsDue(vm.start_at, now)) {
      this->StartDaemon(number);
    }
  }
}

// Notices that a daemon has ended, and whether it should have.
void SoakFleet::CollectDaemon(int number) {
  Vm& vm = this->vms[number];
  if (!vm.daemon) {
    return;
  }
  const TimePoint now = Clock::now();
  const int status = vm.daemon->WaitForExit(milliseconds(0));
  if (status < 0) {
    if (vm.stop_requested && now - *vm.stop_requested > kGrace &&
        !vm.kill_requested) {
      if (!vm.disturbed) {
        this->history.AddBroken(absl::StrCat(
            "STOP: VM ", number, " has not ended in its grace period"));
      }
      this->Disturb(number, kRestartDelay + kStartTime);
      vm.kill_requested = true;
      vm.daemon->SendSignal(SIGKILL);
    }
    return;
  }
  if (!vm.kill_requested && !(vm.stop_requested && status == 0)) {
    this->history.AddBroken(
        absl::StrCat("ENDED: VM ", number, " ended by itself with ", status));
  }
  vm.daemon.reset();
  vm.start_at = now + kRestartDelay;
}

void SoakFleet::EndAll() {
  const TimePoint now = Clock::now();
  this->start_registry_at = now;
  if (this->end_drill_at) {
    this->end_drill_at = now;
  }
  for (int number = 1; number <= this->size.vms; ++number) {
    Vm& vm = this->vms[number];
    vm.resume_at = now;
    if (vm.register_again_at) {
      vm.register_again_at = now;
    }
    vm.heal_server_at = now;
    if (vm.relay) {
      vm.heal_paths_at = now;
    }
  }
  this->Tick();
}

bool SoakFleet::ServesNewest(int number) const {
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  const bool even = this->config_version % 2 == 0;
  httplib::Client client(this->AddressOf(number), kCallerPort);
  client.set_read_timeout(std::chrono::seconds(1));
  for (const bool present : {true, false}) {
    const httplib::Result result = client.Post(
        present == even ? "/even/x" : "/odd/x",
        {{"Host", "shop.example"}, {"X-Attempt", kProbeId}, {"X-Left", "1000"}},
        "", "text/plain");
    if (!result || result->status != (present ? kOk : kNotFound)) {
      return false;
    }
  }
  return true;
}

bool SoakFleet::WaitServing(milliseconds timeout) {
  const TimePoint end = Clock::now() + timeout;
  std::vector<int> waiting;
  for (int number = 1; number <= this->size.vms; ++number) {
    waiting.push_back(number);
  }
  while (!waiting.empty() && Clock::now() < end) {
    this->Tick();
    waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                                 [this](int number) {
                                   return this->ServesNewest(number);
                                 }),
                  waiting.end());
  }
  for (const int number : waiting) {
    this->history.AddBroken(absl::StrCat(
        "RECOVER: VM ", number, " does not serve by the newest configuration"));
  }
  return waiting.empty();
}

}  // namespace comfrey
