#ifndef TESTS_SOAK_SOAK_SERVER_H_
#define TESTS_SOAK_SOAK_SERVER_H_

#include <atomic>
#include <string>

#include "daemon/raw_socket.h"
#include "soak/soak_history.h"
#include "soak/soak_plan.h"

namespace comfrey {

/// \brief A backend server of a soak run. It records each request that it runs.
class SoakServer {
 public:
  /// \brief Starts a backend server on a free port of a VM.
  SoakServer(std::string instance,
             int vm,
             const std::string& ip,
             SoakHistory& history);
  ~SoakServer();

  SoakServer(const SoakServer&) = delete;
  SoakServer& operator=(const SoakServer&) = delete;

  const std::string& Instance() const { return this->instance; }
  int Port() const { return this->server.Port(); }
  void SetFault(ServerFault next) { this->fault = next; }

 private:
  struct Request {
    std::string head;
    std::string body;
  };

  void ServeConnection(RawSocket& socket);
  bool ReadRequest(RawSocket& socket, Request& request);
  bool ServeRequest(RawSocket& socket, const Request& request);

  std::string instance;
  int vm;
  SoakHistory& history;
  std::atomic<ServerFault> fault{ServerFault::kNone};
  std::atomic<bool> stopping{false};
  RawServer server;
};

/// \brief Returns the value of a header of a message head; empty if there is
/// none.
std::string HeaderOf(const std::string& head, const std::string& name);

}  // namespace comfrey

#endif  // TESTS_SOAK_SOAK_SERVER_H_
