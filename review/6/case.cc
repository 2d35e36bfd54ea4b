// One answer of a faulty backend server has a wrong byte in the value of a
// header. Its body is whole, and so must be that of the success that the client
// gets.

#include <map>
#include <mutex>
#include <thread>

#include "deployment.h"

namespace {

using review::BackendReply;
using review::BackendRequest;
using review::ClientRequest;
using review::Deployment;
using review::Vm;
using std::chrono::milliseconds;

constexpr int kOrders = 60;
constexpr milliseconds kPause{40};
// The answer of the faulty server that is spoiled, and how many it must give so
// that this is at most one in 50.
constexpr int kSpoiledAnswer = 10;
constexpr int kMinAnswers = 50;

}  // namespace

int main(int /*argc*/, char** argv) {
  review::Record record(argv[1]);
  const Vm ingress{1, "stockroom", "piedmont-a", "piedmont", 0};
  const Vm faulty{2, "atelier", "piedmont-a", "piedmont", 0};
  const Vm sound_one{3, "atelier", "piedmont-b", "piedmont", 0};
  const Vm sound_two{4, "atelier", "piedmont-b", "piedmont", 0};
  Deployment deployment(record, {ingress, faulty, sound_one, sound_two});
  std::mutex mutex;
  std::map<std::string, std::string> bodies;
  int answers = 0;
  for (const Vm& vm : {ingress, faulty, sound_one, sound_two}) {
    const bool is_faulty = vm.number == faulty.number;
    deployment.StartBackend(vm, [&, is_faulty](const BackendRequest& request) {
      const std::lock_guard<std::mutex> lock(mutex);
      BackendReply reply{200, "struck " + request.id + ": two hundred plates\n",
                         "X-Engraver: Kovacs\r\n"};
      if (is_faulty && ++answers == kSpoiledAnswer && review::HasTrouble()) {
        reply.headers =
            "X-Engraver: Kov\xe1"
            "cs\r\n";
        record.Add("the answer to request " + request.id +
                   " has the byte 0xe1 in the value of X-Engraver");
      }
      bodies[request.id] = reply.body;
      return reply;
    });
  }
  deployment.Publish(
      3, review::RouteJson("orders", "ficu95.example", "/orders/", "unsafe",
                           "atelier", "4s") +
             "," + review::ServiceJson("atelier") + "," +
             review::ServiceJson("stockroom") + "," + review::LimitsJson());
  for (const Vm& vm : {ingress, faulty, sound_one, sound_two}) {
    deployment.StartDaemon(vm);
  }
  deployment.WaitReady();

  int successes = 0;
  int broken = 0;
  for (int i = 1; i <= kOrders; ++i) {
    const std::string id = "a" + std::to_string(i);
    const auto response = review::SendRequest(
        record, deployment.Ip(ingress),
        ClientRequest{"POST", "ficu95.example", "/orders/" + std::to_string(i),
                      id, 8000, "two hundred plates"});
    if (response && response->Status() / 100 == 2) {
      ++successes;
      const std::lock_guard<std::mutex> lock(mutex);
      if (response->body != bodies[id]) {
        ++broken;
        record.Add("MIXED is broken: the body of the success for request " +
                   id + " has " + std::to_string(response->body.size()) +
                   " bytes, that of the server " +
                   std::to_string(bodies[id].size()));
      }
    }
    std::this_thread::sleep_for(kPause);
  }
  record.Add(std::to_string(successes) + " of " + std::to_string(kOrders) +
             " orders succeed, " + std::to_string(broken) +
             " without their whole body");
  record.Add("the faulty server gave " + std::to_string(answers) + " answers");
  const bool has_run = answers >= kMinAnswers && successes > kOrders / 2;
  deployment.Finish(!has_run ? 2 : broken > 0 ? 1 : 0);
}
