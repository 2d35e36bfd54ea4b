#include "system/registry_fleet.h"

#include <unistd.h>

#include <fstream>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "published_documents.h"
#include "system/fleet.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr int kRegistryPort = 7300;
constexpr int kReadyPort = 8082;
constexpr int kBackendPort = 8081;

}  // namespace

std::string AddressOf(int vm) {
  return absl::StrCat(LoopbackPrefix(), vm);
}

bool WaitFor(const std::function<bool()>& condition) {
  const Clock::time_point begin = Clock::now();
  while (!condition()) {
    if (Clock::now() - begin > kTestTimeout) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return true;
}

SigningBackend::SigningBackend(int vm) : instance(absl::StrCat("i-", vm)) {
  const auto handle_work = [this](const httplib::Request& request,
                                  httplib::Response& response) {
    this->HandleWork(request, response);
  };
  this->server.Get(".*", handle_work);
  this->server.Post(".*", handle_work);
  this->server.bind_to_port(AddressOf(vm), kBackendPort);
  this->thread = std::thread([this] { this->server.listen_after_bind(); });
}

SigningBackend::~SigningBackend() {
  this->server.stop();
  this->thread.join();
}

void SigningBackend::HandleWork(const httplib::Request& request,
                                httplib::Response& response) {
  if (request.get_header_value("X-Instance") != this->instance) {
    response.status = 421;
    return;
  }
  ++this->runs;
  std::this_thread::sleep_for(milliseconds(this->delay_ms));
  if (this->work) {
    response.status = this->work(request);
  }
  response.set_header("X-Mark", this->instance);
  response.set_header("X-Attempt", request.get_header_value("X-Attempt"));
  response.set_header("X-Key", request.get_header_value("Idempotency-Key"));
  response.set_content(
      absl::StrCat(this->instance, " ", request.target, " ",
                   request.get_header_value("X-Caller"), " ",
                   request.get_header_value("X-Left").empty() ? "" : "left",
                   " ", request.body),
      "text/plain");
}

std::string RegistrationOf(int vm, bool draining, int sequence) {
  return MakeRegistration("booking",
                          absl::StrCat(AddressOf(vm), ":", kBackendPort), "a",
                          draining, sequence);
}

RegistryFleet::RegistryFleet(std::string grace_period)
    : grace(std::move(grace_period)),
      registry(AddressOf(250), kRegistryPort),
      directory(std::filesystem::temp_directory_path() /
                absl::StrCat("comfrey-registry-", getpid())) {
  std::filesystem::create_directories(this->directory);
  this->registry.Put(platform::kConfigKey, MakeConfiguration(3, "/a/"));
  for (int vm = 1; vm <= 2; ++vm) {
    this->registry.Put(MakeRegistrationKey(absl::StrCat("i-", vm)),
                       RegistrationOf(vm, false));
    this->WriteSettings(vm, "booking");
  }
  this->registry.Put(MakeRegistrationKey("i-9"), "no registration");
  this->first_daemon = this->StartDaemon(1);
  this->second_daemon = this->StartDaemon(2);
}

RegistryFleet::~RegistryFleet() {
  std::filesystem::remove_all(this->directory);
}

std::string RegistryFleet::SettingsFile(int vm) const {
  return (this->directory / absl::StrCat(vm, ".ini")).string();
}

void RegistryFleet::WriteSettings(int vm,
                                  const std::string& local_service) const {
  RegistryVm settings;
  settings.name = absl::StrCat("vm-", vm);
  settings.ip = AddressOf(vm);
  settings.region = "r";
  settings.failure_domain = "a";
  settings.local_service = local_service;
  settings.registry = absl::StrCat(AddressOf(250), ":", kRegistryPort);
  settings.grace = this->grace;
  std::ofstream(this->SettingsFile(vm)) << MakeRegistrySettings(settings);
}

std::unique_ptr<Process> RegistryFleet::StartDaemon(int vm) const {
  return std::make_unique<Process>("Source/daemon/comfreyd",
                                   std::vector<std::string>{absl::StrCat(
                                       "--settings=", this->SettingsFile(vm))});
}

bool RegistryFleet::IsReady(int vm) {
  httplib::Client client(AddressOf(vm), kReadyPort);
  const httplib::Result result = client.Get("/ready");
  return result && result->status == 200;
}

bool RegistryFleet::AreReady() {
  return IsReady(1) && IsReady(2);
}

httplib::Result RegistryFleet::Send(int vm,
                                    const std::string& target,
                                    const std::string& host) {
  httplib::Client client(AddressOf(vm), kCallerPort);
  client.set_read_timeout(kTestTimeout);
  return client.Post(target,
                     {{"Host", host},
                      {"X-Attempt", "7"},
                      {"X-Left", "4000"},
                      {"X-Caller", "forged"}},
                     "body", "text/plain");
}

}  // namespace comfrey
