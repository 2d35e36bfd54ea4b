// An order runs at a backend server that fails it with an unmarked 503, while
// the connections between the daemons are reset.

#include <set>
#include <thread>

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
constexpr milliseconds kWork{900};
constexpr milliseconds kResetAfter{300};
const std::set<int> kPromises = {408, 421, 429, 503};

}  // namespace

int main(int /*argc*/, char** argv) {
  review::Record record(argv[1]);
  const Vm ingress{1, "stockroom", "piedmont-a", "piedmont", 0};
  const Vm owner{2, "atelier", "piedmont-b", "piedmont", kRelayedPort};
  Deployment deployment(record, {ingress, owner});
  std::atomic<bool> failing{false};
  std::atomic<int> runs{0};
  deployment.StartBackend(ingress,
                          [](const BackendRequest&) { return BackendReply{}; });
  deployment.StartBackend(owner, [&](const BackendRequest& request) {
    ++runs;
    if (!failing) {
      return BackendReply{200, "struck " + request.id, ""};
    }
    std::this_thread::sleep_for(kWork);
    return BackendReply{kUnavailable, "the press failed\n", ""};
  });
  review::Relay relay(deployment.Ip(owner), Deployment::kPeerPort,
                      deployment.Ip(owner), kRelayedPort);
  deployment.Publish(
      3, review::RouteJson("orders", "ficu95.example", "/orders/", "unsafe",
                           "atelier", "4s") +
             "," + review::ServiceJson("atelier") + "," +
             review::ServiceJson("stockroom") + "," + review::LimitsJson());
  deployment.StartDaemon(ingress);
  deployment.StartDaemon(owner);
  deployment.WaitReady();

  ClientRequest order{"POST", "ficu95.example", "/orders/1", "a1", 8000,
                      "two hundred plates"};
  const auto first =
      review::SendRequest(record, deployment.Ip(ingress), order);
  if (!first || first->Status() != 200) {
    record.Add("the first order is not served: the case cannot run");
    deployment.Finish(2);
  }

  failing = true;
  runs = 0;
  std::thread trouble([&] {
    while (runs == 0) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    std::this_thread::sleep_for(kResetAfter);
    if (review::HasTrouble()) {
      const int count = relay.ResetConnections();
      record.Add("reset of " + std::to_string(count) +
                 " connections between the daemons");
    }
  });
  order.target = "/orders/2";
  order.id = "a2";
  const auto second =
      review::SendRequest(record, deployment.Ip(ingress), order);
  trouble.join();
  const bool broken =
      second && kPromises.count(second->Status()) > 0 && runs > 0;
  record.Add(broken ? "REFUSED is broken: the order ran and the client is told "
                      "that it has not run"
                    : "REFUSED holds");
  deployment.Finish(broken ? 1 : 0);
}
