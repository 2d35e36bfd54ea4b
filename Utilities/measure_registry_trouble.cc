// Runs real daemons against a registry that has a trouble, and counts the
// requests that are handled as only an older configuration allows.
//
// Every 5 s, a version is published that moves the route /order/ to the other
// service and adds a route. A request is judged if its daemon was in touch with
// the registry for the last 4 s, against the versions that were published more
// than 2.5 s before.
#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "harness.h"
#include "platform/troubled_store.h"

DEFINE_int32(daemons, 30, "number of daemons");
DEFINE_string(trouble,
              "none",
              "none, silent, lost, busy, many, reset, slow, late, compact, "
              "restart or unpublished");
DEFINE_double(share, 1.0, "share of the daemons that have the trouble");
DEFINE_double(at, 12, "start of the trouble, seconds of traffic");
DEFINE_double(length, 4.5, "length of the trouble, seconds");
DEFINE_double(seconds, 38, "length of the traffic, seconds");

namespace {

using review::Clients;
using review::Clock;
using review::Configuration;
using review::Daemon;
using review::DaemonOptions;
using review::Endpoint;
using review::EndpointOptions;
using review::Every;
using review::Finish;
using review::Folder;
using review::kAppPort;
using review::kStorePort;
using review::Net;
using review::Route;
using review::Runs;
using review::Sent;
using review::Sleep;
using review::SleepUntil;
using review::WaitReady;
using review::Zero;

constexpr double kConfigApply = 2.5;
constexpr double kContact = 4.0;
constexpr double kVersionPeriod = 5.0;
constexpr double kRequestPeriod = 0.02;
constexpr double kAddedRoutePeriod = 0.05;

struct Version {
  double acknowledged = 0;
  std::string service;
};

std::string AddedPrefix(std::size_t version) {
  return "/added-" + std::to_string(version) + "/";
}

// Version `index` of the configuration: /order/ alternates between the
// services, and each version adds a route.
std::string MakeVersion(std::size_t index) {
  std::vector<Route> routes = {{"order", "desk.example", "/order/", "safe",
                                index % 2 == 0 ? "atelier" : "stockroom"}};
  for (std::size_t added = 1; added <= index; ++added) {
    routes.push_back({"added-" + std::to_string(added), "desk.example",
                      AddedPrefix(added), "safe", "atelier"});
  }
  return Configuration(static_cast<int>(7 + 2 * index), routes,
                       {"atelier", "stockroom"});
}

// The first daemons have the trouble.
bool IsAffected(int vm) {
  return vm - 0.5 < FLAGS_share * FLAGS_daemons;
}

// Whether the daemon was without trouble for the contact time.
bool IsInTouch(int vm, double sent) {
  return !IsAffected(vm) || FLAGS_trouble == "none" || sent < FLAGS_at ||
         sent > FLAGS_at + FLAGS_length + kContact;
}

// Newest version that must be in force at `time`.
std::size_t DueVersion(const std::vector<Version>& versions, double time) {
  std::size_t due = 0;
  for (std::size_t i = 0; i < versions.size(); ++i) {
    if (versions[i].acknowledged + kConfigApply < time) {
      due = i;
    }
  }
  return due;
}

struct Findings {
  int judged = 0;
  int old_service = 0;
  int not_found = 0;
  int refused = 0;
  std::set<int> daemons;
  double first = -1;
  double last = -1;

  void Add(const Sent& sent, int& count) {
    ++count;
    this->daemons.insert(sent.vm);
    this->first = this->first < 0 ? sent.sent : this->first;
    this->last = std::max(this->last, sent.sent);
  }
};

// Judges the requests on the route that moves.
void JudgeOrders(const std::vector<Sent>& orders,
                 const std::vector<review::Run>& runs,
                 const std::vector<Version>& versions,
                 Findings& findings) {
  std::map<std::string, std::string> service_of;
  for (const review::Run& run : runs) {
    service_of[run.id] = run.service;
  }
  for (const Sent& request : orders) {
    if (!IsInTouch(request.vm, request.sent)) {
      continue;
    }
    ++findings.judged;
    findings.refused += request.status == 503 ? 1 : 0;
    const auto ran = service_of.find(request.id);
    bool allowed = ran == service_of.end();
    for (std::size_t i = DueVersion(versions, request.sent);
         i < versions.size() && !allowed; ++i) {
      allowed = versions[i].acknowledged <= request.answered &&
                versions[i].service == ran->second;
    }
    if (!allowed) {
      findings.Add(request, findings.old_service);
    }
  }
}

// Judges the requests on the route that a version has added.
void JudgeAdded(const std::vector<Sent>& added,
                std::size_t version,
                const std::vector<Version>& versions,
                Findings& findings) {
  for (const Sent& request : added) {
    if (!IsInTouch(request.vm, request.sent)) {
      continue;
    }
    ++findings.judged;
    if (request.status == 404 &&
        version <= DueVersion(versions, request.sent)) {
      findings.Add(request, findings.not_found);
    }
  }
}

struct Fleet {
  explicit Fleet(const Net& net) : net(net) {
    for (int vm = 1; vm <= FLAGS_daemons; ++vm) {
      EndpointOptions options;
      options.id = "i-" + std::to_string(vm) + Clients::NewId();
      options.service = vm % 2 == 0 ? "atelier" : "stockroom";
      options.ip = net.Vm(vm);
      options.port = kAppPort;
      options.work_ms = 100;
      this->endpoints.push_back(
          std::make_unique<Endpoint>(options, this->runs));
      this->Register(vm, 0);
      this->store.ListenFor(vm, net.StoreFor(vm), kStorePort);
    }
  }

  void Register(int vm, int writes) {
    std::string entry = this->endpoints[vm - 1]->Entry("ready", "zone-a");
    // An entry that is written again is an event, as an entry that changed is.
    entry.insert(entry.size() - 1, ",\"writes\":" + std::to_string(writes));
    this->store.Put(this->endpoints[vm - 1]->Key(), entry);
  }

  void StartDaemon(int vm) {
    DaemonOptions options;
    options.name = "vm-" + std::to_string(vm);
    options.ip = this->net.Vm(vm);
    options.store = this->net.StoreFor(vm);
    options.service = vm % 2 == 0 ? "atelier" : "stockroom";
    this->daemons.push_back(
        std::make_unique<Daemon>(options, this->folder.path));
  }

  const Net& net;
  Folder folder;
  TroubledStore store;
  Runs runs;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::vector<std::unique_ptr<Daemon>> daemons;
};

Trouble ReadTrouble(const std::string& name) {
  const std::map<std::string, Trouble> kinds = {
      {"silent", Trouble::kSilent}, {"lost", Trouble::kLost},
      {"busy", Trouble::kBusy},     {"many", Trouble::kMany},
      {"reset", Trouble::kReset},   {"slow", Trouble::kSlow},
      {"late", Trouble::kLate},     {"compact", Trouble::kCompact}};
  const auto found = kinds.find(name);
  return found == kinds.end() ? Trouble::kNone : found->second;
}

// Applies the trouble to the affected daemons from its start to its end.
void PlayTrouble(Fleet& fleet) {
  std::set<int> affected;
  for (int vm = 1; vm <= FLAGS_daemons && IsAffected(vm); ++vm) {
    affected.insert(vm);
  }
  SleepUntil(FLAGS_at);
  if (FLAGS_trouble == "restart") {
    for (const int vm : affected) {
      fleet.daemons[vm - 1]->Kill();
      Sleep(FLAGS_length / static_cast<double>(affected.size()));
      fleet.daemons[vm - 1]->Start();
    }
    return;
  }
  fleet.store.Begin(ReadTrouble(FLAGS_trouble), affected);
  SleepUntil(FLAGS_at + FLAGS_length);
  fleet.store.End();
}

void StartDaemons(Fleet& fleet) {
  const bool unpublished = FLAGS_trouble == "unpublished";
  if (unpublished) {
    fleet.store.PublishDuringFirstListing(MakeVersion(0));
  } else {
    fleet.store.Publish(MakeVersion(0));
  }
  for (int vm = 1; vm <= FLAGS_daemons; ++vm) {
    fleet.StartDaemon(vm);
  }
  if (unpublished) {
    Sleep(8);
  } else {
    WaitReady(fleet.daemons);
    Sleep(1);
  }
}

[[noreturn]] void Play() {
  const Net net(FLAGS_daemons);
  Fleet fleet(net);
  StartDaemons(fleet);
  Zero() = Clock::now();
  const std::size_t calls_before = fleet.store.Calls();
  std::vector<Version> versions = {{-100, "atelier"}};
  // One for each version, for the requests on the route that it adds.
  std::vector<std::unique_ptr<Clients>> added_clients;
  for (double at = 0; at <= FLAGS_seconds + kVersionPeriod;
       at += kVersionPeriod) {
    added_clients.push_back(std::make_unique<Clients>());
  }
  std::atomic<std::size_t> newest{0};
  Clients clients;
  std::thread orders = Every(kRequestPeriod, FLAGS_seconds, [&](int count) {
    const int vm = 1 + count % FLAGS_daemons;
    clients.Send(vm, net.Vm(vm), "GET", "desk.example", "/order/1", 0, 4000);
  });
  std::thread added = Every(kAddedRoutePeriod, FLAGS_seconds, [&](int count) {
    const std::size_t version = newest;
    if (version > 0) {
      const int vm = 1 + count % FLAGS_daemons;
      added_clients[version]->Send(vm, net.Vm(vm), "GET", "desk.example",
                                   AddedPrefix(version) + "1", 0, 4000);
    }
  });
  std::thread writes = Every(0.2, FLAGS_seconds, [&](int count) {
    fleet.Register(1 + count % FLAGS_daemons, count);
  });
  std::thread trouble([&] { PlayTrouble(fleet); });
  for (double at = 2; at < FLAGS_seconds; at += kVersionPeriod) {
    SleepUntil(at);
    const std::size_t next = versions.size();
    versions.push_back({fleet.store.Publish(MakeVersion(next)),
                        next % 2 == 0 ? "atelier" : "stockroom"});
    newest = next;
  }
  for (std::thread* thread : {&orders, &added, &writes, &trouble}) {
    thread->join();
  }
  const double calls =
      static_cast<double>(fleet.store.Calls() - calls_before) / FLAGS_seconds;
  Findings found;
  clients.Wait();
  JudgeOrders(clients.All(), fleet.runs.All(), versions, found);
  for (std::size_t i = 1; i < versions.size(); ++i) {
    added_clients[i]->Wait();
    JudgeAdded(added_clients[i]->All(), i, versions, found);
  }
  std::printf(
      "| %d | %s, share %.2f, %.1f s from %.1f s | %d | %d | %d | %d | %zu | "
      "%.1f to %.1f s | %.2f |\n",
      FLAGS_daemons, FLAGS_trouble.c_str(), FLAGS_share, FLAGS_length, FLAGS_at,
      found.judged, found.old_service, found.not_found, found.refused,
      found.daemons.size(), found.first, found.last, calls / FLAGS_daemons);
  std::fflush(stdout);
  Finish(fleet.daemons, fleet.folder, found.old_service + found.not_found > 0);
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "runs daemons against a registry with a trouble; start it in the folder "
      "that contains target/");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  Play();
}
