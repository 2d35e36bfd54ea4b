#ifndef REVIEW_STAND_INS_2_RELAY_H_
#define REVIEW_STAND_INS_2_RELAY_H_

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/// \brief A TCP relay between daemons whose connections can be reset.
class Relay {
 public:
  Relay(const std::string& ip,
        int port,
        const std::string& target_ip,
        int target_port);

  /// \brief Resets all connections on both sides; returns their number. New
  /// connections work.
  int ResetConnections();

 private:
  // The sockets are closed when no thread uses them any more.
  struct Connection {
    ~Connection();
    int caller = -1;
    int target = -1;
  };

  static void Copy(const Connection& connection, bool forward);

  std::mutex mutex;
  std::vector<std::weak_ptr<Connection>> connections;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_2_RELAY_H_
