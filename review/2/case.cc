// DRAIN: the store cuts waiting watches, and requests go on to an endpoint
// whose entry was removed.
#include "harness.h"

using namespace review;

int main(int, char** argv) {
  Record::Get().Open(argv[1]);
  constexpr int kVms = 3;
  constexpr double kDrain = 2.5;        // bounds.drain
  constexpr double kRemoved = 5.3;      // When the entry is removed.
  constexpr double kServesOn = 4.0;     // drain and a little longer
  constexpr double kCuts[] = {5.0, 6.6, 8.2};
  constexpr double kEnd = 10.5;
  const Net net(kVms);
  Folder folder;
  Store store;
  Runs runs;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::vector<std::unique_ptr<Daemon>> daemons;
  const std::vector<Route> routes = {
      {"order", "desk.example", "/order/", "unsafe", "atelier", 4000, 1200, 1},
      {"view", "desk.example", "/view/", "safe", "atelier", 3000, 1000, 0}};
  store.Put("op/config", Configuration(7, routes, {"atelier"}));
  for (int vm = 1; vm <= kVms; ++vm) {
    EndpointOptions options;
    options.id = "i-" + std::to_string(vm) + Clients::NewId();
    options.service = "atelier";
    options.ip = net.Vm(vm);
    options.port = kAppPort;
    options.work_ms = 350;
    endpoints.push_back(std::make_unique<Endpoint>(options, runs));
    store.Put(endpoints.back()->Key(),
              endpoints.back()->Entry("ready", "zone-a"));
    store.ListenFor(vm, net.StoreFor(vm), kStorePort);
  }
  for (int vm = 1; vm <= kVms; ++vm) {
    DaemonOptions options;
    options.name = "vm-" + std::to_string(vm);
    options.ip = net.Vm(vm);
    options.store = net.StoreFor(vm);
    options.service = "atelier";
    daemons.push_back(std::make_unique<Daemon>(options, folder.path));
  }
  WaitReady(daemons);
  Sleep(1);
  Zero() = Clock::now();
  RECORD("traffic starts, %s", WithTrouble() ? "with cuts" : "without cuts");

  Clients clients;
  std::thread traffic = Every(0.06, kEnd, [&](int count) {
    const int vm = 1 + count % kVms;
    const bool order = count / kVms % 2 == 0;
    clients.Send(vm, net.Vm(vm), order ? "POST" : "GET", "desk.example",
                 order ? "/order/1" : "/view/1", order ? 1200 : 0, 8000);
  });
  std::thread cuts([&] {
    for (const double at : kCuts) {
      SleepUntil(at);
      if (WithTrouble()) {
        RECORD("store: cuts the waiting watches");
        store.CutWatches();
      }
    }
  });
  // Endpoint 1 leaves: its entry is removed, it serves on and then ends.
  Endpoint& leaving = *endpoints.front();
  SleepUntil(kRemoved);
  const double removed = store.Delete(leaving.Key());
  RECORD("store: acknowledges that %s is gone", leaving.Id().c_str());
  SleepUntil(removed + kServesOn);
  RECORD("endpoint %s ends", leaving.Id().c_str());
  leaving.Exit();
  traffic.join();
  cuts.join();
  clients.Wait();

  int late = 0;
  int late_cut = 0;
  double latest = 0;
  for (const Run& run : runs.All()) {
    if (run.endpoint == leaving.Id() && run.arrived > removed + kDrain) {
      ++late;
      latest = std::max(latest, run.arrived - removed);
      late_cut += run.cut ? 1 : 0;
    }
  }
  std::map<int, int> statuses;
  for (const Sent& sent : clients.All()) {
    ++statuses[sent.status];
  }
  for (const auto& [status, count] : statuses) {
    RECORD("answers with status %d: %d", status, count);
  }
  RECORD("%d requests reached %s later than %.1f s after its removal was "
         "acknowledged, the last one after %.2f s; its end cut off %d of them",
         late, leaving.Id().c_str(), kDrain, latest, late_cut);
  RECORD("DRAIN %s", late > 0 ? "broken" : "held");
  Finish(daemons, folder, late > 0);
}
