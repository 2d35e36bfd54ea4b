#ifndef TESTS_SOAK_SOAK_CALLERS_H_
#define TESTS_SOAK_SOAK_CALLERS_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "daemon/raw_socket.h"
#include "soak/soak_history.h"

namespace comfrey {

/// \brief Callers of a soak run. Each uses one connection until its daemon
/// closes it or ends, and records each request. Some leave without waiting.
class SoakCallers {
 public:
  explicit SoakCallers(SoakHistory& history) : history(history) {}
  ~SoakCallers() { this->Stop(); }

  SoakCallers(const SoakCallers&) = delete;
  SoakCallers& operator=(const SoakCallers&) = delete;

  /// \brief Starts a caller of the daemon of a VM.
  void Start(int vm, const std::string& ip, int port, std::uint64_t seed);

  /// \brief Waits until all requests have ended.
  void Stop();

 private:
  void Run(int vm,
           const std::string& ip,
           int port,
           int caller,
           std::uint64_t seed);

  SoakHistory& history;
  std::atomic<bool> stopping{false};
  std::vector<std::thread> threads;
};

/// \brief Sends one request over an open connection and fills the rest of
/// `request` from the response. Returns whether the connection stays open.
bool ExchangeSoakRequest(const RawSocket& socket,
                         const std::string& target,
                         SoakRequest& request);

}  // namespace comfrey

#endif  // TESTS_SOAK_SOAK_CALLERS_H_
