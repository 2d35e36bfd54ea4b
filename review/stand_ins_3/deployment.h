// Starts the daemons of a small deployment as separate processes, with the run
// line and the settings template of the deploy file, on loopback addresses.
#ifndef REVIEW_STAND_INS_3_DEPLOYMENT_H_
#define REVIEW_STAND_INS_3_DEPLOYMENT_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "http.h"

namespace review {

constexpr int kReadyPort = 8140;
constexpr int kOutboundPort = 8141;
constexpr int kStorePort = 8142;
constexpr int kAppPort = 8147;
constexpr int kInternalPort = 7660;
constexpr int kLastInternalPort = 7675;

// Chooses a part of the loopback network in which no other process uses the
// ports of the deployment.
inline std::string ChooseNetwork(const std::vector<int>& more_ports = {}) {
  std::vector<int> ports = {kReadyPort, kOutboundPort, kStorePort,
                            kAppPort,   kInternalPort, kLastInternalPort};
  ports.insert(ports.end(), more_ports.begin(), more_ports.end());
  for (int i = 0; i < 200; ++i) {
    const int number = (::getpid() + i * 7919) % 20000;
    const std::string network = "127." + std::to_string(120 + number / 250) +
                                "." + std::to_string(1 + number % 250) + ".";
    bool is_free = true;
    for (const int port : ports) {
      for (const char* host : {"1", "2", "3", "4", "5", "6", "250"}) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = MakeAddress(network + host, port);
        is_free = is_free &&
                  ::bind(socket, reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address)) == 0;
        ::close(socket);
      }
    }
    if (is_free) {
      return network;
    }
  }
  throw std::runtime_error("no free loopback addresses");
}

using Fields = std::map<std::string, std::string>;

// Fills a settings template in, as far as the template of this project needs
// it: values, sections of single fields, and the section of the zones.
inline std::string FillTemplate(std::string text,
                                const Fields& fields,
                                const Fields& zones) {
  const auto replace_section =
      [&text](const std::string& name,
              const std::function<std::string(const std::string&)>& render) {
        const std::string open = "{{#" + name + "}}";
        const std::string close = "{{/" + name + "}}";
        const std::size_t begin = text.find(open);
        const std::size_t end = text.find(close);
        if (begin == std::string::npos || end == std::string::npos) {
          return;
        }
        const std::string inner =
            text.substr(begin + open.size(), end - begin - open.size());
        text.replace(begin, end + close.size() - begin, render(inner));
      };
  const auto replace_all = [](std::string& where, const std::string& what,
                              const std::string& with) {
    for (std::size_t at = where.find(what); at != std::string::npos;
         at = where.find(what, at + with.size())) {
      where.replace(at, what.size(), with);
    }
  };
  replace_section("zones", [&](const std::string& inner) {
    std::string all;
    for (const auto& [zone, region] : zones) {
      std::string one = inner;
      replace_all(one, "{{@}}", zone);
      replace_all(one, "{{.}}", region);
      all += one;
    }
    return all;
  });
  for (const auto& [name, value] : fields) {
    replace_section(name, [&value = value](const std::string& inner) {
      return value.empty() ? std::string() : inner;
    });
    replace_all(text, "{{" + name + "}}", value);
  }
  if (text.find("{{") != std::string::npos) {
    throw std::runtime_error("the settings template has an unknown field: " +
                             text.substr(text.find("{{"), 40));
  }
  return text;
}

inline std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// The words of the run line of the deploy file.
inline std::vector<std::string> ReadRunLine(const std::string& repository) {
  std::istringstream lines(ReadFile(repository + "/deploy/system.toml"));
  std::string line;
  while (std::getline(lines, line)) {
    const std::size_t begin = line.find('"');
    if (line.rfind("run", 0) == 0 && begin != std::string::npos) {
      std::istringstream words(
          line.substr(begin + 1, line.rfind('"') - begin - 1));
      std::vector<std::string> result;
      for (std::string word; words >> word;) {
        result.push_back(word);
      }
      return result;
    }
  }
  throw std::runtime_error("the deploy file has no run line");
}

// One daemon of the project. It gets SIGKILL when it goes out of scope.
class Daemon {
 public:
  Daemon(const std::string& repository,
         const std::string& directory,
         Fields fields,
         const Fields& zones)
      : repository(repository),
        ip(fields.at("ip")),
        settings(directory + "/" + fields.at("node_name") + ".conf"),
        log(directory + "/" + fields.at("node_name") + ".log") {
    std::ofstream(this->settings)
        << FillTemplate(ReadFile(repository + "/deploy/vm.ini"), fields, zones);
  }
  ~Daemon() { this->Kill(); }

  void Start() {
    std::vector<std::string> words = ReadRunLine(this->repository);
    words[0] = this->repository + "/" + words[0];
    for (std::string& word : words) {
      const std::string path = "/etc/comfreywood/settings.conf";
      const std::size_t at = word.find(path);
      if (at != std::string::npos) {
        word.replace(at, path.size(), this->settings);
      }
    }
    std::vector<char*> arguments;
    for (std::string& word : words) {
      arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const pid_t parent = ::getpid();
    this->pid = ::fork();
    if (this->pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) {
        ::_exit(1);
      }
      const int output =
          ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(output, 1);
      ::dup2(output, 2);
      ::execv(arguments[0], arguments.data());
      ::_exit(127);
    }
  }

  void Signal(int signal) const { ::kill(this->pid, signal); }

  void Kill() {
    if (this->pid > 0) {
      ::kill(this->pid, SIGKILL);
      ::waitpid(this->pid, nullptr, 0);
      this->pid = -1;
    }
  }

  // Whether the process has ended by itself.
  bool HasEnded() {
    if (this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
      this->pid = -1;
    }
    return this->pid < 0;
  }

  bool IsReady() const {
    return Exchange(this->ip, kReadyPort,
                    "GET /ready HTTP/1.1\r\nHost: " + this->ip + "\r\n\r\n",
                    milliseconds(500))
               .status == 200;
  }

  const std::string& Ip() const { return this->ip; }
  const std::string& Log() const { return this->log; }

 private:
  const std::string repository;
  const std::string ip;
  const std::string settings;
  const std::string log;
  pid_t pid = -1;
};

// A folder that is removed at the end of the run.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
      throw std::runtime_error("cannot make a temporary folder");
    }
    this->path = pattern;
  }
  ~TemporaryFolder() {
    std::error_code error;
    std::filesystem::remove_all(this->path, error);
  }
  std::string path;
};

// The settings of one machine, with the bounds of the site.
inline Fields MakeFields(const std::string& name,
                         const std::string& ip,
                         const std::string& zone,
                         const std::string& region,
                         const std::string& service,
                         const std::string& store) {
  return {{"node_name", name},
          {"ip", ip},
          {"region", region},
          {"zone", zone},
          {"service", service},
          {"internal_port_range.0", std::to_string(kInternalPort)},
          {"internal_port_range.1", std::to_string(kLastInternalPort)},
          {"listen.outbound", ip + ":" + std::to_string(kOutboundPort)},
          {"listen.ready", ip + ":" + std::to_string(kReadyPort)},
          {"platform.address", store},
          {"bounds.floor_share", "0.7"},
          {"bounds.retry_budget_ratio", "0.2"},
          {"bounds.budget_slack", "58"},
          {"bounds.grace", "6s"}};
}

inline bool WaitUntilReady(const std::vector<std::unique_ptr<Daemon>>& daemons,
                           milliseconds timeout) {
  const Clock::time_point end = Clock::now() + timeout;
  for (const auto& daemon : daemons) {
    while (!daemon->IsReady()) {
      if (Clock::now() > end || daemon->HasEnded()) {
        return false;
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
  }
  return true;
}

}  // namespace review

#endif  // REVIEW_STAND_INS_3_DEPLOYMENT_H_
