// An order runs at a backend server that fails it with an unmarked 503, while
// the connections between the daemons are reset.

#include <set>
#include <thread>
#include <vector>

#include "deployment.h"
#include "relay.h"

namespace {

using review::BackendReply;
using review::BackendRequest;
using review::ClientRequest;
using review::Deployment;
using review::HttpMessage;
using review::Vm;
using std::chrono::milliseconds;

constexpr int kRelayedPort = 7661;
constexpr int kUnavailable = 503;
constexpr int kCannotRun = 2;
constexpr int kVms = 9;
// Orders that are served before the one that fails.
constexpr int kServedOrders = 3;
constexpr milliseconds kWork{900};
constexpr milliseconds kResetAfter{300};
const std::set<int> kPromises = {408, 421, 429, 503};

}  // namespace

int main(int /*argc*/, char** argv) {
  review::Record record(argv[1]);
  const Vm ingress{1, "stockroom", "piedmont-a", "piedmont", 0};
  // The only server of the service in the failure domain of the ingress, so
  // that it gets the orders.
  const Vm owner{2, "atelier", "piedmont-a", "piedmont", kRelayedPort};
  std::vector<Vm> vms = {ingress, owner};
  for (int number = 3; number <= kVms; ++number) {
    vms.push_back({number, "atelier", "piedmont-b", "piedmont", 0});
  }
  Deployment deployment(record, vms);
  std::atomic<bool> failing{false};
  std::atomic<int> runs{0};
  for (const Vm& vm : vms) {
    const bool is_owner = vm.number == owner.number;
    deployment.StartBackend(vm, [&, is_owner](const BackendRequest& request) {
      if (!is_owner || !failing) {
        return BackendReply{200, "struck " + request.id, ""};
      }
      ++runs;
      std::this_thread::sleep_for(kWork);
      return BackendReply{kUnavailable, "the press failed\n", ""};
    });
  }
  review::Relay relay(deployment.Ip(owner), Deployment::kPeerPort,
                      deployment.Ip(owner), kRelayedPort);
  deployment.Publish(
      3, review::RouteJson("orders", "ficu95.example", "/orders/", "unsafe",
                           "atelier", "4s") +
             "," + review::ServiceJson("atelier") + "," +
             review::ServiceJson("stockroom") + "," + review::LimitsJson());
  for (const Vm& vm : vms) {
    deployment.StartDaemon(vm);
  }
  deployment.WaitReady();

  ClientRequest order{"POST", "ficu95.example",    "/orders/", "",
                      8000,   "two hundred plates"};
  for (int i = 1; i <= kServedOrders; ++i) {
    order.id = "a" + std::to_string(i);
    const auto served =
        review::SendRequest(record, deployment.Ip(ingress), order);
    if (!served || served->Status() != 200) {
      record.Add("an order before is not served: the case cannot run");
      deployment.Finish(kCannotRun);
    }
  }

  failing = true;
  std::atomic<bool> answered{false};
  std::thread trouble([&] {
    while (runs == 0 && !answered) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    std::this_thread::sleep_for(kResetAfter);
    if (review::HasTrouble()) {
      const int count = relay.ResetConnections();
      record.Add("reset of " + std::to_string(count) +
                 " connections between the daemons");
    }
  });
  order.id = "failing";
  const auto response =
      review::SendRequest(record, deployment.Ip(ingress), order);
  answered = true;
  trouble.join();
  if (runs == 0) {
    record.Add("the order went to another server: the case cannot run");
    deployment.Finish(kCannotRun);
  }
  const bool broken = response && kPromises.count(response->Status()) > 0;
  record.Add(broken ? "REFUSED is broken: the order ran and the client is told "
                      "that it has not run"
                    : "REFUSED holds");
  deployment.Finish(broken ? 1 : 0);
}
