#ifndef REVIEW_STAND_INS_2_DEPLOYMENT_H_
#define REVIEW_STAND_INS_2_DEPLOYMENT_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"
#include "store.h"

namespace review {

/// \brief One VM: a backend server and a daemon.
struct Vm {
  int number = 0;
  std::string service;
  std::string zone;
  std::string region;
  /// If not 0, the daemon listens there for the other daemons, and a relay
  /// listens on the port that they call.
  int peer_listen_port = 0;
};

/// \brief What a backend server gives as the response to a request that it has
/// run.
struct BackendReply {
  int status = 200;
  std::string body;
  /// Lines of further headers, each with its end.
  std::string headers;
};

/// \brief A request as it reached a backend server.
struct BackendRequest {
  std::string id;
  std::string instance;
  HttpMessage message;
};

using RunFunction = std::function<BackendReply(const BackendRequest&)>;

/// \brief A small deployment on loopback addresses: the store, the backend
/// servers, which register with it, and the daemons of the deploy file.
class Deployment {
 public:
  static constexpr int kOutboundPort = 8141;
  static constexpr int kReadyPort = 8140;
  static constexpr int kAppPort = 8147;
  static constexpr int kPeerPort = 7660;
  static constexpr int kStatusPort = 7675;

  Deployment(Record& record, std::vector<Vm> vms);

  /// \brief Publishes a configuration; `resources` is the list in JSON.
  void Publish(int version, const std::string& resources);

  /// \brief Starts the backend server of a VM and registers it.
  void StartBackend(const Vm& vm, RunFunction run);

  pid_t StartDaemon(const Vm& vm);
  /// \brief Waits until the daemons of all VMs are ready; otherwise ends the
  /// case as one that cannot run.
  void WaitReady();

  /// \brief Ends all daemons and the process.
  [[noreturn]] void Finish(int status);

  std::string Ip(const Vm& vm) const;
  static std::string InstanceOf(const Vm& vm);
  Store& Registry() { return *this->store; }

 private:
  std::string RenderSettings(const Vm& vm) const;
  void Heartbeat();
  std::string Registration(const Vm& vm, int sequence) const;

  Record& record;
  std::vector<Vm> vms;
  std::string prefix;
  std::string directory;
  long long started_at_ms;
  std::unique_ptr<Store> store;
  std::mutex mutex;
  std::vector<Vm> registered;
  std::vector<pid_t> daemons;
};

/// \brief A request of a client, with an id of its own.
struct ClientRequest {
  std::string method = "GET";
  std::string host;
  std::string target;
  std::string id;
  int deadline_ms = 8000;
  std::string body;
};

/// \brief Sends a request on a new connection, and waits for the response until
/// the deadline. Writes both into the record.
std::optional<HttpMessage> SendRequest(Record& record,
                                       const std::string& ip,
                                       const ClientRequest& request);

/// \brief Whether the case is played with its disruption (TROUBLE is not 0).
bool HasTrouble();

/// \brief Returns the JSON of a route.
std::string RouteJson(const std::string& name,
                      const std::string& host,
                      const std::string& prefix,
                      const std::string& kind,
                      const std::string& service,
                      const std::string& timeout);
std::string ServiceJson(const std::string& name);
/// \brief Limits of callers: 16 KiB of headers, 1 MiB of body, 5 s, 10 s.
std::string LimitsJson();

}  // namespace review

#endif  // REVIEW_STAND_INS_2_DEPLOYMENT_H_
