// The platform draws the port range 8080 to 8095 for the communication between
// daemons. Rule FAULT (RULES.md, Faults): the program starts, and requests are
// served.
//
// usage: port_range REPOSITORY RECORD. Exit status: 1 if the rule was broken, 0
// if it held, 2 if the case could not run.

#include <cstdlib>
#include <cstring>
#include <iostream>

#include "deployment.h"
#include "endpoint.h"
#include "record.h"
#include "store.h"

namespace review {
namespace {

constexpr int kMachines = 3;
constexpr int kRequests = 30;
constexpr int kDrawnPort = 8080;
constexpr int kRangeSize = 16;

const char kConfig[] =
    "{\"version\":\"r7\",\"resources\":[{\"entry_kind\":\"routes\","
    "\"metadata\":{\"name\":\"r-proof\"},\"spec\":{\"host\":\"ficu95.example\","
    "\"prefix\":\"/proof/\",\"kind\":\"safe\",\"timeout\":\"3000ms\","
    "\"target_latency\":\"1000ms\",\"priority\":0,\"service\":\"atelier\","
    "\"max_attempts\":2}},{\"entry_kind\":\"services\",\"metadata\":"
    "{\"name\":\"atelier\"},\"spec\":{\"health_path\":\"/health\","
    "\"max_connections\":330,\"protocol\":\"h1\",\"tls\":false}},"
    "{\"entry_kind\":\"limits\",\"metadata\":{},\"spec\":"
    "{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
    "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}}]}";

int Play(const std::string& repository, const std::string& record_path) {
  const char* switched = std::getenv("TROUBLE");
  const bool trouble = switched == nullptr || std::strcmp(switched, "0") != 0;
  const int first_port = trouble ? kDrawnPort : kInternalPort;
  const int last_port = first_port + kRangeSize - 1;
  Record record(record_path);
  record.Write("internal_port_range " + std::to_string(first_port) + "," +
               std::to_string(last_port));
  const std::string network = ChooseNetwork({first_port, last_port});
  const TemporaryFolder folder;
  Store store(network + "250", kStorePort, record);
  store.Start();
  store.Put("op/config", kConfig);
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (int i = 1; i <= kMachines; ++i) {
    const std::string number = std::to_string(i);
    const std::string ip = network + number;
    endpoints.push_back(std::make_unique<Endpoint>(
        Endpoint::Options{"i-" + number, "atelier", ip, kAppPort, "piedmont-a"},
        record));
    endpoints.back()->Start();
    store.Put(endpoints.back()->Key(), endpoints.back()->Entry("0ms"));
    Fields fields =
        MakeFields("sidecar-piedmont-a-" + number, ip, "piedmont-a", "piedmont",
                   "atelier", network + "250:" + std::to_string(kStorePort));
    fields["internal_port_range.0"] = std::to_string(first_port);
    fields["internal_port_range.1"] = std::to_string(last_port);
    daemons.push_back(std::make_unique<Daemon>(
        repository, folder.path, fields, Fields{{"piedmont-a", "piedmont"}}));
    daemons.back()->Start();
  }
  WaitUntilReady(daemons, std::chrono::seconds(10));
  int ended = 0;
  for (const auto& daemon : daemons) {
    if (daemon->HasEnded()) {
      ++ended;
      std::string output = ReadFile(daemon->Log());
      const std::size_t problem = output.find("[daemon]");
      record.Write(
          "daemon " + daemon->Ip() + " has ended by itself: " +
          (problem == std::string::npos
               ? output
               : output.substr(problem, output.find('\n', problem) - problem)));
    }
  }
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = "proof" + std::to_string(i);
    record.Write("client: sends " + id + " to machine " +
                 std::to_string(1 + i % kMachines));
    const Message answer =
        Exchange(network + std::to_string(1 + i % kMachines), kOutboundPort,
                 "GET /proof/2f HTTP/1.1\r\nHost: ficu95.example\r\n"
                 "Comfreywood-Attempt-Id: " +
                     id + "\r\nComfreywood-Deadline-Ms: 6000\r\n\r\n",
                 milliseconds(7000));
    record.Write("client: " + id +
                 (answer.status < 0
                      ? " finds no connection"
                      : " is answered " + std::to_string(answer.status)));
    served += answer.status == 200 ? 1 : 0;
  }
  record.Write(
      "daemons that have ended by themselves: " + std::to_string(ended) +
      ", requests served: " + std::to_string(served) + " of " +
      std::to_string(kRequests));
  const bool broken = ended > 0 || served == 0;
  record.Write(broken ? "RESULT: the rule was broken"
                      : "RESULT: the rule held");
  return broken ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: port_range REPOSITORY RECORD\n";
    return 2;
  }
  try {
    return review::Play(argv[1], argv[2]);
  } catch (const std::exception& error) {
    std::cerr << "port_range: " << error.what() << "\n";
    return 2;
  }
}
