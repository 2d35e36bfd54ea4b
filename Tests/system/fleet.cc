#include "system/fleet.h"

#include <httplib.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace comfrey {
namespace {

// The daemon behind the relay listens on this port.
constexpr int kRelayedPeerPort = 7401;
constexpr int kHttpPort = 8080;
constexpr int kReadyPort = 8082;
constexpr int kBackendPort = 8081;
constexpr std::chrono::seconds kCallTimeout{20};
constexpr std::chrono::seconds kReadyTimeout{20};

std::string SendHttpRequest(const std::string& ip,
                            int port,
                            const std::string& method,
                            const std::string& target,
                            const std::string& body) {
  httplib::Client client(ip, port);
  client.set_read_timeout(kCallTimeout);
  const httplib::Result result = method == "PUT"
                                     ? client.Put(target, body, "text/plain")
                                     : client.Get(target);
  return result ? result->body : "";
}

bool RespondsWithOk(const std::string& ip,
                    int port,
                    const std::string& target) {
  httplib::Client client(ip, port);
  const httplib::Result result = client.Get(target);
  constexpr int kOk = 200;
  return result && result->status == kOk;
}

// Returns the number of runs of each request ID at a backend server.
std::map<std::string, int> ReadRunCounts(const std::string& ip) {
  std::istringstream lines(
      SendHttpRequest(ip, kBackendPort, "GET", "/control/runs", ""));
  std::map<std::string, int> counts;
  std::string line;
  while (std::getline(lines, line)) {
    const std::size_t space = line.rfind(' ');
    counts[line.substr(0, space)] = std::stoi(line.substr(space + 1));
  }
  return counts;
}

}  // namespace

std::string LoopbackPrefix() {
  constexpr int kOctet = 250;
  const int pid = getpid();
  return absl::StrCat("127.", 1 + pid / kOctet % kOctet, ".", 1 + pid % kOctet,
                      ".");
}

std::string MakeDirectory() {
  std::string name = std::filesystem::temp_directory_path() / "comfreyXXXXXX";
  return mkdtemp(name.data());
}

std::string MakeRegistrySettings(const RegistryVm& vm) {
  return absl::StrCat(
      "[daemon]\nname = ", vm.name, "\naddress = ", vm.ip,
      "\npeer_port = ", kPeerPort, "\npeer_listen_port = ", vm.peer_listen_port,
      "\nhttp_port = ", kHttpPort, "\nregion = ", vm.region,
      "\nfailure_domain = ", vm.failure_domain, "\nready_listen = ", vm.ip, ":",
      kReadyPort, "\nready_path = /ready\nlocal_service = ", vm.local_service,
      "\n[registry]\naddress = ", vm.registry, "\nregions = a r\n[headers]\n",
      "attempt_id = X-Attempt\ntime_left = X-Left\n",
      "expected_instance = X-Instance\nnot_executed = X-Not-Run\n",
      "caller_service = X-Caller\nsignature = X-Mark\n",
      "[backend]\nclose_delimited = true\n[shutdown]\ngrace = ", vm.grace,
      "\n");
}

Fleet::Fleet(int vm_count, int relayed_vm)
    : vm_count(vm_count),
      relayed_vm(relayed_vm),
      prefix(LoopbackPrefix()),
      directory(MakeDirectory()) {
  this->StartConfigService();
  if (relayed_vm != 0) {
    this->relay = std::make_unique<Process>(
        "Tests/stand_ins/fault_relay",
        std::vector<std::string>{
            absl::StrCat("--address=", this->Address(relayed_vm)),
            absl::StrCat("--port=", kPeerPort),
            absl::StrCat("--target_address=", this->Address(relayed_vm)),
            absl::StrCat("--target_port=", kRelayedPeerPort)});
  }
  for (int vm = 1; vm <= vm_count; ++vm) {
    this->StartBackend(vm);
    this->StartDaemon(vm);
  }
}

Fleet::~Fleet() {
  std::filesystem::remove_all(this->directory);
}

void Fleet::SetRelayMode(const std::string& mode) const {
  this->relay->WriteLine(mode);
}

absl::StatusOr<StatusReport> Fleet::ReadStatus(int vm) const {
  return StatusFromJson(SendHttpRequest(this->Address(vm), kHttpPort, "GET",
                                        "/comfrey/status", ""));
}

std::string Fleet::Address(int vm) const {
  return absl::StrCat(this->prefix, vm);
}

void Fleet::StartConfigService() {
  this->config_service.reset();
  this->config_service = std::make_unique<Process>(
      "Tests/stand_ins/fake_config_service",
      std::vector<std::string>{
          absl::StrCat("--address=", this->Address(kConfigVm)),
          absl::StrCat("--port=", kConfigPort)});
  WaitFor(
      [&] {
        return RespondsWithOk(this->Address(kConfigVm), kConfigPort, "/v1/vms");
      },
      kReadyTimeout);
}

void Fleet::StartDaemon(int vm) {
  this->daemons.erase(vm);
  const std::string path = absl::StrCat(this->directory, "/vm-", vm, ".ini");
  std::ofstream(path) << this->MakeSettings(vm);
  this->daemons[vm] = std::make_unique<Process>(
      "Source/daemon/comfreyd",
      std::vector<std::string>{absl::StrCat("--settings=", path)});
}

std::string Fleet::MakeSettings(int vm) const {
  std::string seeds;
  for (int other = 1; other <= this->vm_count; ++other) {
    if (other != vm) {
      absl::StrAppend(&seeds, seeds.empty() ? "" : ", ", this->Address(other));
    }
  }
  // Each failure domain has two VMs, and each region has two failure domains.
  constexpr int kVmsPerDomain = 2;
  constexpr int kVmsPerRegion = 4;
  return absl::StrCat(
      "[daemon]\nname = vm-", vm, "\naddress = ", this->Address(vm),
      "\npeer_port = ", kPeerPort, "\npeer_listen_port = ",
      vm == this->relayed_vm ? kRelayedPeerPort : kPeerPort,
      "\nhttp_port = ", kHttpPort, "\nregion = region-",
      (vm - 1) / kVmsPerRegion, "\nfailure_domain = domain-",
      (vm - 1) / kVmsPerDomain,
      seeds.empty() ? "" : "\n[peers]\nseeds = ", seeds,
      "\n[config_service]\naddress = ", this->Address(kConfigVm), ":",
      kConfigPort, "\n");
}

void Fleet::StartBackend(int vm) {
  this->backends.erase(vm);
  this->backends[vm] = std::make_unique<Process>(
      "Tests/stand_ins/fake_backend_server",
      std::vector<std::string>{absl::StrCat("--name=backend-", vm),
                               absl::StrCat("--address=", this->Address(vm)),
                               absl::StrCat("--port=", kBackendPort)});
  WaitFor(
      [&] {
        return RespondsWithOk(this->Address(vm), kBackendPort, "/health");
      },
      kReadyTimeout);
}

void Fleet::Publish(const std::string& team, const std::string& text) const {
  std::string resolved = text;
  for (int vm = this->vm_count; vm >= 1; --vm) {
    resolved = absl::StrReplaceAll(
        resolved, {{absl::StrCat("@", vm),
                    absl::StrCat(this->Address(vm), ":", kBackendPort)}});
  }
  this->ControlConfigService(
      "PUT", absl::StrCat("/control/value?path=/comfreywood/teams/", team),
      resolved);
}

std::string Fleet::ControlConfigService(const std::string& method,
                                        const std::string& target,
                                        const std::string& body) const {
  return SendHttpRequest(this->Address(kConfigVm), kConfigPort, method, target,
                         body);
}

void Fleet::SetFault(int vm, const std::string& parameters) const {
  SendHttpRequest(this->Address(vm), kBackendPort, "PUT",
                  absl::StrCat("/control/fault?", parameters), "");
}

int Fleet::CountRuns(int vm, const std::string& id) const {
  const std::map<std::string, int> runs = ReadRunCounts(this->Address(vm));
  const auto found = runs.find(id);
  return found == runs.end() ? 0 : found->second;
}

int Fleet::CountAllRuns(int vm) const {
  int total = 0;
  for (const auto& [id, runs] : ReadRunCounts(this->Address(vm))) {
    total += runs;
  }
  return total;
}

int Fleet::CountRunsInFleet(const std::string& id) const {
  int total = 0;
  for (int vm = 1; vm <= this->vm_count; ++vm) {
    total += this->CountRuns(vm, id);
  }
  return total;
}

TestResponse Fleet::Send(int vm, const TestRequest& request) const {
  httplib::Client client(this->Address(vm), kHttpPort);
  client.set_read_timeout(kCallTimeout);
  httplib::Request message;
  message.method = request.method;
  message.path = request.path;
  message.headers.emplace("X-Request-Id", request.id);
  if (!request.key.empty()) {
    message.headers.emplace("Idempotency-Key", request.key);
  }
  message.body = request.body;
  const httplib::Result result = client.send(message);
  if (!result) {
    return {};
  }
  return {result->status, result->get_header_value("Comfrey-Outcome"),
          result->body};
}

std::string Fleet::NearFutureUtc() {
  constexpr std::chrono::seconds kLeadTime{5};
  const std::time_t time = std::chrono::system_clock::to_time_t(
      std::chrono::system_clock::now() + kLeadTime);
  std::tm utc{};
  gmtime_r(&time, &utc);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &utc);
  return text.data();
}

bool Fleet::WaitReady() const {
  return WaitFor(
      [this] {
        for (const auto& [vm, daemon] : this->daemons) {
          if (!RespondsWithOk(this->Address(vm), kHttpPort,
                              "/comfrey/readyz")) {
            return false;
          }
        }
        return true;
      },
      kReadyTimeout);
}

bool WaitFor(const std::function<bool()>& condition,
             std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  constexpr std::chrono::milliseconds kPollPeriod{20};
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return true;
}

std::string BookingConfig(int vm_count, const std::string& service_keys) {
  std::string endpoints;
  for (int vm = 1; vm <= vm_count; ++vm) {
    absl::StrAppend(&endpoints, vm == 1 ? "@" : ", @", vm);
  }
  return absl::StrCat("[team]\n[service booking]\nendpoints = ", endpoints,
                      "\n", service_keys,
                      "[rank dispatch]\nurgency = 1\ntarget = 250ms\n"
                      "share = 20%\n"
                      "[route slots]\nservice = booking\nrank = dispatch\n"
                      "path = /slots\nrepeat = safe\n"
                      "[route visits]\nservice = booking\nrank = dispatch\n"
                      "path = /visits\nrepeat = never\n");
}

}  // namespace comfrey
