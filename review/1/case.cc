// CONFIG: the store is down and silent for 4.5 s, and the daemons miss a
// configuration that is published later.
#include "harness.h"

using namespace review;

int main(int, char** argv) {
  Record::Get().Open(argv[1]);
  constexpr int kVms = 6;
  constexpr double kConfigApply = 2.5;  // bounds.config_apply
  constexpr double kContact = 4.0;      // bounds.contact
  constexpr double kDown = 5.0;
  constexpr double kDownFor = 4.5;
  constexpr double kFirstChange = kDown - 0.2;
  constexpr double kMove = kDown + kDownFor + kContact + 0.5;
  constexpr double kEnd = kMove + kConfigApply + 4.0;
  const std::set<int> all = {1, 2, 3, 4, 5, 6};
  const Net net(kVms);
  Folder folder;
  Store store;
  Runs runs;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<Route> routes = {
      {"order", "desk.example", "/order/", "unsafe", "atelier", 4000, 1200, 1},
      {"stock", "desk.example", "/stock/", "safe", "stockroom", 6000, 4000, 2}};
  const std::vector<std::string> services = {"atelier", "stockroom"};
  store.Put("op/config", Configuration(7, routes, services));
  for (int vm = 1; vm <= kVms; ++vm) {
    EndpointOptions options;
    options.id = "i-" + std::to_string(vm) + Clients::NewId();
    options.service = vm <= 3 ? "atelier" : "stockroom";
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
    options.service = vm <= 3 ? "atelier" : "stockroom";
    daemons.push_back(std::make_unique<Daemon>(options, folder.path));
  }
  WaitReady(daemons);
  Sleep(1);
  Zero() = Clock::now();
  RECORD("traffic starts, %s",
         WithTrouble() ? "with silence of the store" : "without silence");

  Clients clients;
  std::thread traffic = Every(0.06, kEnd, [&](int count) {
    const int vm = 1 + count % kVms;
    clients.Send(vm, net.Vm(vm), "POST", "desk.example", "/order/1", 1200,
                 8000);
  });
  SleepUntil(kFirstChange);
  routes[0].timeout_ms = 3500;
  store.Put("op/config", Configuration(9, routes, services));
  RECORD("store: acknowledges r9 (a timeout)");
  SleepUntil(kDown);
  if (WithTrouble()) {
    RECORD("store: gives no response from now on");
    store.TurnAway(all);
  }
  SleepUntil(kDown + kDownFor);
  if (WithTrouble()) {
    RECORD("store: serves again");
    store.TurnAway({});
  }
  SleepUntil(kMove);
  routes[0].service = "stockroom";
  const double moved = store.Put("op/config", Configuration(12, routes, services));
  RECORD("store: acknowledges r12 (/order/ goes to stockroom, not to atelier)");
  traffic.join();
  clients.Wait();

  std::map<std::string, Run> ran;
  for (const Run& run : runs.All()) {
    if (run.ran) {
      ran[run.id] = run;
    }
  }
  std::map<int, int> stale;
  int total = 0;
  int checked = 0;
  for (const Sent& sent : clients.All()) {
    if (sent.sent <= moved + kConfigApply) {
      continue;
    }
    ++checked;
    const auto found = ran.find(sent.id);
    if (found != ran.end() && found->second.service == "atelier") {
      ++stale[sent.vm];
      ++total;
    }
  }
  for (const auto& [vm, count] : stale) {
    RECORD("daemon %d: %d requests run by the old service", vm, count);
  }
  RECORD("of %d requests sent later than %.1f s after r12 was acknowledged, %d "
         "were run by the old service",
         checked, kConfigApply, total);
  RECORD("CONFIG %s", total > 0 ? "broken" : "held");
  Finish(daemons, folder, total > 0);
}
