#include "measured_fleet.h"

#include <httplib.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "system/fleet.h"

namespace comfrey {
namespace {

constexpr int kHttpPort = 8080;
constexpr int kOk = 200;
constexpr std::chrono::seconds kCallTimeout{10};
constexpr std::chrono::seconds kStartTimeout{20};

std::string HttpGet(const std::string& ip,
                    int port,
                    const std::string& target) {
  httplib::Client client(ip, port);
  client.set_read_timeout(kCallTimeout);
  const httplib::Result result = client.Get(target);
  return result && result->status == kOk ? result->body : "";
}

// Returns the bytes that a line "NAME:   123 kB" of /proc/PID/status states.
std::size_t ParseStatusBytes(const std::string& status,
                             const std::string& name) {
  constexpr std::size_t kKiB = 1024;
  const std::size_t at = status.find("\n" + name + ":");
  return at == std::string::npos
             ? 0
             : kKiB * std::strtoull(status.c_str() + at + name.size() + 2,
                                    nullptr, 10);
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

ProcessUsage ReadProcessUsage(pid_t pid) {
  ProcessUsage usage;
  const std::string stat = ReadFile(absl::StrCat("/proc/", pid, "/stat"));
  const std::size_t name_end = stat.rfind(')');
  if (name_end == std::string::npos) {
    return usage;
  }
  // The name in parentheses is followed by the state, 10 other fields, the user
  // time and the system time.
  constexpr int kFieldsBeforeTimes = 11;
  std::istringstream fields(stat.substr(name_end + 1));
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) {
    fields >> skipped;
  }
  std::int64_t user = 0;
  std::int64_t system = 0;
  fields >> user >> system;
  usage.cpu = std::chrono::microseconds((user + system) * std::micro::den /
                                        sysconf(_SC_CLK_TCK));
  const std::string status = ReadFile(absl::StrCat("/proc/", pid, "/status"));
  usage.resident_bytes = ParseStatusBytes(status, "VmRSS");
  usage.anonymous_bytes = ParseStatusBytes(status, "RssAnon");
  return usage;
}

double LoadAverage() {
  double load = 0;
  return getloadavg(&load, 1) == 1 ? load : 0;
}

double Percentile(std::vector<double> values, double fraction) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(
      std::ceil(fraction * static_cast<double>(values.size())));
  return values[std::max<std::size_t>(rank, 1) - 1];
}

MeasuredFleet::MeasuredFleet(const FleetOptions& options)
    : options(options), prefix(LoopbackPrefix()), directory(MakeDirectory()) {
  this->StartConfigService();
}

MeasuredFleet::~MeasuredFleet() {
  std::filesystem::remove_all(this->directory);
}

std::string MeasuredFleet::Address(int vm) const {
  return absl::StrCat(this->prefix, vm);
}

int MeasuredFleet::FailureDomain(int vm) const {
  return vm % this->options.failure_domains;
}

void MeasuredFleet::StartConfigService() {
  this->config_service.reset();
  this->config_service = std::make_unique<Process>(
      "Tests/stand_ins/fake_config_service",
      std::vector<std::string>{
          absl::StrCat("--address=", this->Address(kConfigVm)),
          absl::StrCat("--port=", kConfigPort)});
  WaitFor([this] { return this->ReadConfigCallCount() >= 0; }, kStartTimeout);
}

void MeasuredFleet::StartDaemon(int vm) {
  this->daemons.erase(vm);
  const std::string path = absl::StrCat(this->directory, "/vm-", vm, ".ini");
  std::ofstream(path) << this->MakeSettings(vm);
  this->daemons[vm] = std::make_unique<Process>(
      "Source/daemon/comfreyd",
      std::vector<std::string>{absl::StrCat("--settings=", path)});
}

void MeasuredFleet::StartBackend(int vm,
                                 int port,
                                 std::chrono::milliseconds delay) {
  this->backends.push_back(std::make_unique<Process>(
      "Tests/stand_ins/fake_backend_server",
      std::vector<std::string>{absl::StrCat("--address=", this->Address(vm)),
                               absl::StrCat("--port=", port),
                               absl::StrCat("--delay_ms=", delay.count())}));
  WaitFor([&] { return !HttpGet(this->Address(vm), port, "/health").empty(); },
          kStartTimeout);
}

ProcessUsage MeasuredFleet::ReadDaemonUsage(int vm) const {
  return ReadProcessUsage(this->DaemonPid(vm));
}

bool MeasuredFleet::IsReady(int vm) const {
  return !this->ReadPage(vm, "/comfrey/readyz").empty();
}

std::map<std::string, std::int64_t> MeasuredFleet::ReadCounters(int vm) const {
  std::istringstream lines(this->ReadPage(vm, "/comfrey/metrics"));
  std::map<std::string, std::int64_t> counters;
  std::string name;
  std::int64_t value = 0;
  std::string line;
  while (std::getline(lines, line)) {
    const std::size_t space = line.rfind(' ');
    if (line.empty() || line.front() == '#' || space == std::string::npos ||
        !absl::SimpleAtoi(line.substr(space + 1), &value)) {
      continue;
    }
    counters[line.substr(0, space)] = value;
  }
  return counters;
}

std::string MeasuredFleet::ReadPage(int vm, const std::string& target) const {
  return HttpGet(this->Address(vm), kHttpPort, target);
}

void MeasuredFleet::Publish(const std::string& team,
                            const std::string& text) const {
  httplib::Client client(this->Address(kConfigVm), kConfigPort);
  client.Put(absl::StrCat("/control/value?path=/comfreywood/teams/", team),
             text, "text/plain");
}

std::int64_t MeasuredFleet::ReadConfigCallCount() const {
  std::int64_t calls = 0;
  return absl::SimpleAtoi(
             HttpGet(this->Address(kConfigVm), kConfigPort, "/control/calls"),
             &calls)
             ? calls
             : -1;
}

std::string MeasuredFleet::MakeSettings(int vm) const {
  std::string seeds;
  for (int seed = 1; seed <= this->options.seeds; ++seed) {
    absl::StrAppend(&seeds, seeds.empty() ? "" : ", ", this->Address(seed));
  }
  const int domain = this->FailureDomain(vm);
  return absl::StrCat(
      "[daemon]\nname = vm-", vm, "\naddress = ", this->Address(vm),
      "\npeer_port = ", kPeerPort, "\nhttp_port = ", kHttpPort,
      "\nregion = region-", domain % this->options.regions,
      "\nfailure_domain = domain-", domain, "\n[peers]\nseeds = ", seeds,
      "\n[config_service]\naddress = ", this->Address(kConfigVm), ":",
      kConfigPort, "\n[limits]\nconnections = ", this->options.connections,
      "\nbody = ", this->options.body_limit, "\n");
}

}  // namespace comfrey
