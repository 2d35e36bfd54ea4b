#ifndef DAEMON_REPLY_STREAM_H_
#define DAEMON_REPLY_STREAM_H_

#include <httplib.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

namespace comfrey {

/// \brief Stream between the HTTP library and a connection. It gives the
/// library a request that is already checked, and sends the response that the
/// library writes.
class ReplyStream : public httplib::Stream {
 public:
  /// \brief `timeout` limits the write of the whole response.
  ReplyStream(int connection,
              std::string input,
              std::chrono::milliseconds timeout);

  using httplib::Stream::write;

  bool is_readable() const override { return true; }
  bool is_writable() const override { return true; }
  ssize_t read(char* bytes, std::size_t size) override;
  ssize_t write(const char* bytes, std::size_t size) override;
  void get_remote_ip_and_port(std::string& /*ip*/,
                              int& /*port*/) const override {}
  void get_local_ip_and_port(std::string& /*ip*/,
                             int& /*port*/) const override {}
  socket_t socket() const override { return this->connection; }

  /// \brief Whether a write failed or timed out.
  bool Failed() const { return this->failed; }

 private:
  int connection;
  std::string input;
  std::size_t position = 0;
  std::chrono::milliseconds timeout;
  // Limit for the whole response; set at the first write.
  std::optional<std::chrono::steady_clock::time_point> deadline;
  bool failed = false;
};

}  // namespace comfrey

#endif  // DAEMON_REPLY_STREAM_H_
