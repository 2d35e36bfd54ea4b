#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <thread>

namespace review {
namespace {

using std::chrono::milliseconds;

constexpr int kStorePort = 8142;
constexpr int kStoreVm = 250;
constexpr milliseconds kHeartbeat{1500};
constexpr int kCannotRun = 2;
constexpr char kProgram[] = "target/Source/daemon/comfreyd";
constexpr char kTemplate[] = "deploy/vm.ini";

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void Replace(std::string& text,
             const std::string& placeholder,
             const std::string& value) {
  for (std::size_t at = 0;
       (at = text.find(placeholder, at)) != std::string::npos;
       at += value.size()) {
    text.replace(at, placeholder.size(), value);
  }
}

// Renders a section "{{#name}} .. {{/name}}" once for each entry.
void RenderSection(std::string& text,
                   const std::string& name,
                   const std::map<std::string, std::string>& entries) {
  const std::string open = "{{#" + name + "}}";
  const std::string close = "{{/" + name + "}}";
  const std::size_t begin = text.find(open);
  if (begin == std::string::npos) {
    return;
  }
  const std::size_t end = text.find(close, begin);
  const std::string inner =
      text.substr(begin + open.size(), end - begin - open.size());
  std::string rendered;
  for (const auto& [key, value] : entries) {
    std::string entry = inner;
    Replace(entry, "{{@}}", key);
    Replace(entry, "{{.}}", value);
    rendered += entry;
  }
  text.replace(begin, end + close.size() - begin, rendered);
}

std::string RandomPrefix() {
  std::random_device random;
  return "127." + std::to_string(20 + random() % 200) + "." +
         std::to_string(1 + random() % 250) + ".";
}

}  // namespace

Deployment::Deployment(Record& record, std::vector<Vm> all_vms)
    : record(record),
      vms(std::move(all_vms)),
      prefix(RandomPrefix()),
      started_at_ms(std::chrono::duration_cast<milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count()) {
  ::signal(SIGPIPE, SIG_IGN);
  char path[] = "/tmp/comfrey-review-XXXXXX";
  if (::mkdtemp(path) == nullptr || ::access(kProgram, X_OK) != 0) {
    std::cerr << "cannot run: no temporary folder, or no " << kProgram << "\n";
    std::exit(kCannotRun);
  }
  this->directory = path;
  this->store = std::make_unique<Store>(this->prefix + std::to_string(kStoreVm),
                                        kStorePort);
  std::thread([this] { this->Heartbeat(); }).detach();
}

void Deployment::Publish(int version, const std::string& resources) {
  this->store->Put("op/config", "{\"version\":\"r" + std::to_string(version) +
                                    "\",\"resources\":[" + resources + "]}");
  this->record.Add("configuration r" + std::to_string(version) +
                   " is acknowledged");
}

std::string Deployment::Ip(const Vm& vm) const {
  return this->prefix + std::to_string(vm.number);
}

std::string Deployment::InstanceOf(const Vm& vm) {
  return "i-7f3a91c" + std::to_string(vm.number);
}

std::string Deployment::Registration(const Vm& vm, int sequence) const {
  return "{\"service\":\"" + vm.service + "\",\"address\":\"" + this->Ip(vm) +
         ":" + std::to_string(kAppPort) + "\",\"zone\":\"" + vm.zone +
         "\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\","
         "\"cold_remaining\":\"0ms\",\"sequence\":" +
         std::to_string(sequence) +
         ",\"born\":" + std::to_string(this->started_at_ms) + "}";
}

void Deployment::Heartbeat() {
  for (int sequence = 2;; ++sequence) {
    std::this_thread::sleep_for(kHeartbeat);
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const Vm& vm : this->registered) {
      this->store->Put("servers/" + InstanceOf(vm),
                       this->Registration(vm, sequence));
    }
  }
}

void Deployment::StartBackend(const Vm& vm, RunFunction run) {
  const std::string instance = InstanceOf(vm);
  Serve(
      Listen(this->Ip(vm), kAppPort),
      [this, instance, run](const HttpMessage& request, int socket) {
        const std::string id = request.Header("Comfreywood-Attempt-Id");
        const std::string expected =
            request.Header("Comfreywood-Expected-Instance");
        std::string head;
        BackendReply reply;
        if (request.Target() == "/health") {
          head = "Comfreywood-Instance-Id: " + instance + "\r\n";
        } else if (id.empty() || (!expected.empty() && expected != instance)) {
          reply.status = id.empty() ? 400 : 421;
          head = "Comfreywood-Not-Executed: 1\r\n";
        } else {
          this->record.Add("server " + instance + " runs request " + id);
          reply = run({id, instance, request});
          this->record.Add("server " + instance + " answers request " + id +
                           " with " + std::to_string(reply.status));
          head = "Comfreywood-Attempt-Id: " + id +
                 "\r\nComfreywood-Response-Signature: " + instance + "." + id +
                 "\r\n" + reply.headers;
        }
        return SendAll(socket,
                       "HTTP/1.1 " + std::to_string(reply.status) + " -\r\n" +
                           head + "Keep-Alive: timeout=10\r\nContent-Length: " +
                           std::to_string(reply.body.size()) + "\r\n\r\n" +
                           reply.body);
      });
  this->store->Put("servers/" + instance, this->Registration(vm, 1));
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->registered.push_back(vm);
}

// Fills deploy/vm.ini as the platform does.
std::string Deployment::RenderSettings(const Vm& vm) const {
  std::map<std::string, std::string> zones;
  for (const Vm& other : this->vms) {
    zones[other.zone] = other.region;
  }
  const std::string ip = this->Ip(vm);
  std::string text = ReadFile(kTemplate);
  RenderSection(text, "zones", zones);
  RenderSection(text, "service", {{"", ""}});
  const std::map<std::string, std::string> values = {
      {"node_name", "sidecar-" + vm.zone + "-" + std::to_string(vm.number)},
      {"ip", ip},
      {"region", vm.region},
      {"zone", vm.zone},
      {"service", vm.service},
      {"internal_port_range.0", std::to_string(kPeerPort)},
      {"internal_port_range.1", std::to_string(kStatusPort)},
      {"listen.outbound", ip + ":" + std::to_string(kOutboundPort)},
      {"listen.ready", ip + ":" + std::to_string(kReadyPort)},
      {"platform.address", this->prefix + std::to_string(kStoreVm) + ":" +
                               std::to_string(kStorePort)},
      {"bounds.floor_share", "0.7"},
      {"bounds.retry_budget_ratio", "0.2"},
      {"bounds.budget_slack", "58"},
      {"bounds.grace", "6s"}};
  for (const auto& [name, value] : values) {
    Replace(text, "{{" + name + "}}", value);
  }
  if (vm.peer_listen_port != 0) {
    Replace(text, "[daemon]\n",
            "[daemon]\npeer_listen_port = " +
                std::to_string(vm.peer_listen_port) + "\n");
  }
  return text;
}

pid_t Deployment::StartDaemon(const Vm& vm) {
  const std::string name = this->directory + "/" + std::to_string(vm.number);
  std::ofstream(name + ".ini") << this->RenderSettings(vm);
  const std::string argument = "--settings=" + name + ".ini";
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
      ::_exit(kCannotRun);
    }
    const int log =
        ::open((name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execl(kProgram, kProgram, argument.c_str(), nullptr);
    ::_exit(kCannotRun);
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->daemons.push_back(pid);
  return pid;
}

void Deployment::WaitReady() {
  constexpr int kTries = 200;
  constexpr milliseconds kPause{50};
  std::size_t ready = 0;
  for (int i = 0; i < kTries && ready < this->vms.size(); ++i) {
    std::this_thread::sleep_for(kPause);
    ready = 0;
    for (const Vm& vm : this->vms) {
      HttpStream stream{Connect(this->Ip(vm), kReadyPort, kPause), ""};
      if (stream.socket < 0) {
        continue;
      }
      SendAll(stream.socket, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
      const auto response = ReadMessage(stream, true, milliseconds(500));
      ready += response && response->Status() == 200 ? 1 : 0;
      ::close(stream.socket);
    }
  }
  if (ready < this->vms.size()) {
    this->record.Add("the daemons are not ready");
    this->Finish(kCannotRun);
  }
  this->record.Add("all daemons are ready");
}

void Deployment::Finish(int status) {
  for (const pid_t pid : this->daemons) {
    ::kill(pid, SIGCONT);
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(this->directory);
  } else {
    std::cerr << "logs in " << this->directory << "\n";
  }
  ::_exit(status);
}

std::optional<HttpMessage> SendRequest(Record& record,
                                       const std::string& ip,
                                       const ClientRequest& request) {
  constexpr milliseconds kConnectTimeout{1000};
  HttpStream stream{Connect(ip, Deployment::kOutboundPort, kConnectTimeout),
                    ""};
  if (stream.socket < 0) {
    record.Add("client cannot connect for request " + request.id);
    return std::nullopt;
  }
  record.Add("client sends request " + request.id + " (" + request.method +
             " " + request.target + ")");
  const std::string length =
      request.method == "GET"
          ? ""
          : "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  SendAll(stream.socket, request.method + " " + request.target +
                             " HTTP/1.1\r\nHost: " + request.host +
                             "\r\nComfreywood-Attempt-Id: " + request.id +
                             "\r\nComfreywood-Deadline-Ms: " +
                             std::to_string(request.deadline_ms) + "\r\n" +
                             length + "\r\n" + request.body);
  std::optional<HttpMessage> response =
      ReadMessage(stream, true, milliseconds(request.deadline_ms));
  ::close(stream.socket);
  if (!response) {
    record.Add("client gets no answer to request " + request.id);
  } else {
    const std::string signature =
        response->Header("Comfreywood-Response-Signature");
    record.Add(
        "client gets " + std::to_string(response->Status()) + " for request " +
        request.id +
        (signature.empty() ? ", no signature" : ", signature " + signature));
  }
  return response;
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

std::string RouteJson(const std::string& name,
                      const std::string& host,
                      const std::string& prefix,
                      const std::string& kind,
                      const std::string& service,
                      const std::string& timeout) {
  return "{\"entry_kind\":\"routes\",\"metadata\":{\"name\":\"" + name +
         "\"},\"spec\":{\"host\":\"" + host + "\",\"prefix\":\"" + prefix +
         "\",\"kind\":\"" + kind + "\",\"timeout\":\"" + timeout +
         "\",\"target_latency\":\"1200ms\",\"priority\":1,\"service\":\"" +
         service + "\",\"max_attempts\":2}}";
}

std::string ServiceJson(const std::string& name) {
  return "{\"entry_kind\":\"services\",\"metadata\":{\"name\":\"" + name +
         "\"},\"spec\":{\"health_path\":\"/health\",\"max_connections\":330}}";
}

std::string LimitsJson() {
  return "{\"entry_kind\":\"limits\",\"metadata\":{\"name\":\"limits\"},"
         "\"spec\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
         "\"header_timeout\":\"5s\",\"idle_timeout\":\"10s\"}}";
}

}  // namespace review
