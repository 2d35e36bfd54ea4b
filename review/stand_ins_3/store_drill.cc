// A drill of the platform's store: it is away for a moment and comes back from
// a copy some seconds old. Plays one of two scenarios:
//
//   drain   some seconds after the drill, an endpoint reports `draining`,
//   serves
//           on and exits. Rule DRAIN: no request reaches it later than `drain`
//           after the acknowledgement.
//   removed the same, but the endpoint never reports `draining`: its entry is
//           removed, and it serves on.
//   config  the operator publishes a version just before the drill, and writes
//           it again after it. The version adds a route and moves another one
//           to another service. Rule CONFIG: `config_apply` after the
//           acknowledgement, no request is refused with 404 or run by the old
//           service as only an older version allows.
//
// usage: store_drill drain|removed|config REPOSITORY RECORD. Exit status: 1 if
// the rule was broken, 0 if it held, 2 if the case could not run.

#include <cstdio>
#include <cstring>
#include <iostream>
#include <random>

#include "deployment.h"
#include "endpoint.h"
#include "record.h"
#include "store.h"

namespace review {
namespace {

using std::chrono::seconds;

// Bounds of the site tallapoosa-plates.
constexpr milliseconds kDrain{2500};
constexpr milliseconds kConfigApply{2500};
constexpr milliseconds kSkewMax{5000};
constexpr milliseconds kContact{4000};

// Machines with an endpoint of `atelier`. One more has one of `stockroom`.
constexpr int kMachines = 3;

void Sleep(milliseconds time) {
  std::this_thread::sleep_for(time);
}

std::string RouteEntry(const std::string& name,
                       const std::string& prefix,
                       const std::string& kind,
                       const std::string& service) {
  return "{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"" + name +
         "\"},\"spec\":{\"host\":\"ficu95.example\",\"prefix\":\"" + prefix +
         "\",\"kind\":\"" + kind +
         "\",\"timeout\":\"3000ms\",\"target_latency\":\"1000ms\","
         "\"priority\":0,\"service\":\"" +
         service + "\",\"max_attempts\":2}},";
}

std::string ServiceEntry(const std::string& name) {
  return "{\"entry_kind\":\"services\",\"metadata\":{\"name\":\"" + name +
         "\"},\"spec\":{\"health_path\":\"/health\",\"max_connections\":330,"
         "\"protocol\":\"h1\",\"tls\":false}},";
}

std::string Config(const std::string& version, const std::string& routes) {
  return "{\"version\":\"" + version + "\",\"resources\":[" + routes +
         ServiceEntry("atelier") + ServiceEntry("stockroom") +
         "{\"entry_kind\":\"limits\",\"metadata\":{},\"spec\":"
         "{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
         "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}]}";
}

const std::string kProofRoute =
    RouteEntry("r-proof", "/proof/", "safe", "atelier");
const std::string kOrderRoute =
    RouteEntry("r-order", "/order/", "unsafe", "atelier");
const std::string kMovedOrderRoute =
    RouteEntry("r-order", "/order/", "unsafe", "stockroom");
const std::string kAddedRoute =
    RouteEntry("r-added", "/added/", "safe", "atelier");

struct Counts {
  std::atomic<int> sent{0};
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  std::atomic<int> not_found{0};
  std::atomic<int> unknown{0};
};

// Clients that send requests to one machine after the other.
class Clients {
 public:
  Clients(std::string network, std::string path, Record& record)
      : network(std::move(network)), path(std::move(path)), record(record) {}
  ~Clients() { this->Stop(); }

  void Start(milliseconds period) {
    this->thread = std::thread([this, period] {
      for (int i = 0; !this->stopping; ++i) {
        this->calls.emplace_back([this, i] { this->Send(i); });
        Sleep(period);
      }
    });
  }

  void Stop() {
    this->stopping = true;
    if (this->thread.joinable()) {
      this->thread.join();
    }
    for (std::thread& call : this->calls) {
      call.join();
    }
    this->calls.clear();
  }

  Counts counts;

 private:
  void Send(int number) {
    const std::string ip =
        this->network + std::to_string(1 + number % kMachines);
    const std::string id =
        this->path.substr(1, this->path.size() - 2) + std::to_string(number);
    const bool order = this->path == "/order/";
    const std::string request =
        std::string(order ? "POST " : "GET ") + this->path + "2f HTTP/1.1\r\n" +
        "Host: ficu95.example\r\nComfreywood-Attempt-Id: " + id +
        "\r\nComfreywood-Deadline-Ms: 6000\r\n" +
        (order ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
    this->record.Write("client: sends " + id + " to machine " +
                       std::to_string(1 + number % kMachines));
    ++this->counts.sent;
    const Message answer =
        Exchange(ip, kOutboundPort, request, milliseconds(7000));
    this->record.Write("client: " + id + " is answered " +
                       std::to_string(answer.status));
    if (answer.status == 200) {
      ++this->counts.served;
    } else if (answer.status == 503) {
      ++this->counts.refused;
    } else if (answer.status == 404) {
      ++this->counts.not_found;
    } else {
      ++this->counts.unknown;
    }
  }

  const std::string network;
  const std::string path;
  Record& record;
  std::atomic<bool> stopping{false};
  std::thread thread;
  std::vector<std::thread> calls;
};

// The store, the endpoints and the daemons of three machines.
class Deployment {
 public:
  Deployment(const std::string& repository, Record& record)
      : network(ChooseNetwork()),
        record(record),
        store(this->network + "250", kStorePort, record) {
    for (int i = 1; i <= kMachines; ++i) {
      this->AddMachine(repository, i, "atelier");
    }
    this->AddMachine(repository, kMachines + 1, "stockroom");
  }

  // The endpoint that joins later.
  Endpoint& Joining() { return *this->endpoints[kMachines - 1]; }

  // Starts all but that endpoint.
  bool Start() {
    this->store.Start();
    this->store.Put("op/config", Config("r7", kProofRoute + kOrderRoute));
    for (const auto& endpoint : this->endpoints) {
      if (endpoint.get() != &this->Joining()) {
        endpoint->Start();
        this->store.Put(endpoint->Key(), endpoint->Entry("0ms"));
      }
    }
    for (const auto& daemon : this->daemons) {
      daemon->Start();
    }
    const bool ready = WaitUntilReady(this->daemons, seconds(15));
    this->record.Write(ready ? "all daemons are ready"
                             : "the daemons are not ready");
    return ready;
  }

  bool AllRun() {
    for (const auto& daemon : this->daemons) {
      if (daemon->HasEnded()) {
        this->record.Write("daemon " + daemon->Ip() + " has ended by itself");
        return false;
      }
    }
    return true;
  }

  const std::string network;
  Record& record;
  TemporaryFolder folder;
  Store store;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::vector<std::unique_ptr<Daemon>> daemons;

 private:
  void AddMachine(const std::string& repository,
                  int number,
                  const std::string& service) {
    const std::string text = std::to_string(number);
    const std::string ip = this->network + text;
    this->endpoints.push_back(std::make_unique<Endpoint>(
        Endpoint::Options{"i-" + text, service, ip, kAppPort, "piedmont-a"},
        this->record));
    this->daemons.push_back(std::make_unique<Daemon>(
        repository, this->folder.path,
        MakeFields("sidecar-piedmont-a-" + text, ip, "piedmont-a", "piedmont",
                   service,
                   this->network + "250:" + std::to_string(kStorePort)),
        Fields{{"piedmont-a", "piedmont"}}));
  }
};

std::string CountsText(const std::string& name, const Counts& counts) {
  return name + ": sent " + std::to_string(counts.sent) + ", served " +
         std::to_string(counts.served) + ", refused " +
         std::to_string(counts.refused) + ", 404 " +
         std::to_string(counts.not_found) + ", unknown " +
         std::to_string(counts.unknown);
}

int PlayDrain(Deployment& deployment,
              Record& record,
              bool reports,
              bool trouble) {
  Store& store = deployment.store;
  Endpoint& leaving = deployment.Joining();
  std::atomic<bool> acknowledged{false};
  Clock::time_point acknowledged_at;
  std::atomic<int> late{0};
  leaving.on_run = [&](const Endpoint&, const Message& request) {
    if (acknowledged && Clock::now() > acknowledged_at + kDrain) {
      ++late;
      record.Write("LATE: " + request.Header("comfreywood-attempt-id") +
                   " reaches the endpoint " +
                   std::to_string(std::chrono::duration_cast<milliseconds>(
                                      Clock::now() - acknowledged_at)
                                      .count()) +
                   " ms after the acknowledgement");
    }
  };
  Clients proofs(deployment.network, "/proof/", record);
  Clients orders(deployment.network, "/order/", record);
  proofs.Start(milliseconds(110));
  orders.Start(milliseconds(110));

  // Ordinary work: an endpoint joins and writes its cold start with each
  // heartbeat, and the operator changes the configuration twice. The copy is
  // five seconds old when the store comes back from it.
  leaving.Start();
  store.Put(leaving.Key(), leaving.Entry("3000ms"));
  Sleep(milliseconds(500));
  store.TakeCopy();
  Sleep(milliseconds(1000));
  store.Put(leaving.Key(), leaving.Entry("1500ms"));
  Sleep(milliseconds(300));
  store.Put("op/config", Config("r9", kProofRoute + kOrderRoute + kAddedRoute));
  Sleep(milliseconds(900));
  store.Put("op/config", Config("r12", kProofRoute + kOrderRoute));
  Sleep(milliseconds(300));
  store.Put(leaving.Key(), leaving.Entry("0ms"));
  Sleep(milliseconds(2000));
  if (trouble) {
    store.Leave();
    Sleep(milliseconds(500));
    store.Restore();
    // What the operator and the endpoints wrote is written again.
    store.Put("op/config", Config("r12", kProofRoute + kOrderRoute));
    Sleep(milliseconds(700));
    store.Put(leaving.Key(), leaving.Entry("0ms"));
  }
  // The store is stable again after `contact`; twice that is waited.
  Sleep(2 * kContact);
  if (reports) {
    leaving.SetDraining();
    store.Put(leaving.Key(), leaving.Entry("0ms"));
  } else {
    store.Remove(leaving.Key());
  }
  acknowledged_at = Clock::now();
  acknowledged = true;
  // It serves for `drain` and some seconds longer, and exits.
  Sleep(kDrain + seconds(6));
  record.Write("endpoint " + leaving.Id() + " exits");
  leaving.Stop();
  if (reports) {
    store.Remove(leaving.Key());
  }
  Sleep(milliseconds(1500));
  proofs.Stop();
  orders.Stop();
  record.Write(CountsText("proofs", proofs.counts));
  record.Write(CountsText("orders", orders.counts));
  record.Write("requests that reached the leaving endpoint later than " +
               std::to_string(kDrain.count()) + " ms: " + std::to_string(late));
  if (!deployment.AllRun()) {
    return 2;
  }
  return late > 0 ? 1 : 0;
}

int PlayConfig(Deployment& deployment, Record& record, bool trouble) {
  Store& store = deployment.store;
  Endpoint& joining = deployment.Joining();
  std::atomic<bool> in_force{false};
  std::atomic<int> run_by_old_service{0};
  const auto on_run = [&](const Endpoint& endpoint, const Message& request) {
    const std::string id = request.Header("comfreywood-attempt-id");
    if (in_force && id.rfind("order", 0) == 0) {
      ++run_by_old_service;
      record.Write("OLD SERVICE: " + id + " is run by " + endpoint.Id());
    }
  };
  for (int i = 0; i < kMachines; ++i) {
    deployment.endpoints[i]->on_run = on_run;
  }
  Clients proofs(deployment.network, "/proof/", record);
  proofs.Start(milliseconds(120));
  const std::string next =
      Config("r9", kProofRoute + kMovedOrderRoute + kAddedRoute);

  store.TakeCopy();
  Sleep(milliseconds(2500));
  joining.Start();
  store.Put(joining.Key(), joining.Entry("3000ms"));
  Sleep(milliseconds(150));
  store.Put("op/config", next);
  if (trouble) {
    Sleep(milliseconds(50));
    store.Leave();
    Sleep(milliseconds(200));
    store.Restore();
    // What the operator and the endpoints wrote is written again.
    store.Put("op/config", next);
    store.Put(joining.Key(), joining.Entry("2500ms"));
  }
  const Clock::time_point acknowledged_at = Clock::now();
  // The machines are in touch again after `contact`, and the bound may be
  // stretched by `skew_max`.
  std::this_thread::sleep_until(acknowledged_at +
                                std::max(kContact, kConfigApply + kSkewMax) +
                                seconds(1));
  in_force = true;
  Clients added(deployment.network, "/added/", record);
  Clients orders(deployment.network, "/order/", record);
  added.Start(milliseconds(200));
  orders.Start(milliseconds(400));
  Sleep(seconds(8));
  added.Stop();
  orders.Stop();
  proofs.Stop();
  record.Write(CountsText("proofs", proofs.counts));
  record.Write(CountsText("requests on the added route", added.counts));
  record.Write(CountsText("orders on the moved route", orders.counts));
  record.Write("orders run by the old service: " +
               std::to_string(run_by_old_service));
  if (!deployment.AllRun()) {
    return 2;
  }
  return added.counts.not_found > 0 || run_by_old_service > 0 ? 1 : 0;
}

int Play(const std::string& scenario,
         const std::string& repository,
         const std::string& record_path) {
  const char* switched = std::getenv("TROUBLE");
  const bool trouble = switched == nullptr || std::strcmp(switched, "0") != 0;
  Record record(record_path);
  record.Write(std::string("scenario ") + scenario +
               (trouble ? "" : ", without the disruption"));
  Deployment deployment(repository, record);
  if (!deployment.Start()) {
    return 2;
  }
  const int result =
      scenario == "config"
          ? PlayConfig(deployment, record, trouble)
          : PlayDrain(deployment, record, scenario == "drain", trouble);
  record.Write(result == 1   ? "RESULT: the rule was broken"
               : result == 0 ? "RESULT: the rule held"
                             : "RESULT: the case could not run");
  return result;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: store_drill drain|removed|config REPOSITORY RECORD\n";
    return 2;
  }
  try {
    return review::Play(argv[1], argv[2], argv[3]);
  } catch (const std::exception& error) {
    std::cerr << "store_drill: " << error.what() << "\n";
    return 2;
  }
}
