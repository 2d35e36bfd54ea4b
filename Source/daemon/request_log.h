#ifndef DAEMON_REQUEST_LOG_H_
#define DAEMON_REQUEST_LOG_H_

#include <chrono>
#include <mutex>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "base/counters.h"
#include "base/log_event.h"

namespace comfrey {

/// \brief The events of one request at its ingress. They are collected until
/// the request ends, since only then it is decided whether to write them.
struct RequestTrace {
  std::string id;
  std::vector<LogEvent> events;

  LogEvent& Add(absl::string_view name);
};

/// \brief Returns whether the events of a successful request are written. This
/// depends only on the id, so all daemons decide alike.
bool IsSampledRequest(absl::string_view id);

/// \brief Writes the events of requests, with a limit on lines per second.
///
/// The events of failed and repeated requests and of 1 in 16 others are
/// written, but at most `kMaxRequestLines` lines per second. The other lines
/// are counted, and their number is logged every 10 s.
class RequestLog {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit RequestLog(CounterRegistry& counters);

  /// \brief Writes a trace if its request is sampled or `always_log` is set, as
  /// it is for a failed or repeated request.
  void Write(const RequestTrace& trace, bool always_log);

  /// \brief Writes one event of a request at the owner of an endpoint.
  void Write(absl::string_view id, const LogEvent& event, bool always_log);

  /// \brief Logs the number of omitted lines if a report is due; called by a
  /// timer.
  void Tick(TimePoint now);

 private:
  bool ReserveLines(std::size_t lines);

  Metric& written_lines;
  Metric& omitted_lines;
  std::mutex mutex;
  TimePoint second_start;
  std::size_t lines_in_second = 0;
  std::int64_t reported_omitted_lines = 0;
  TimePoint reported_at;
};

/// \brief Maximum number of lines about requests per second.
inline constexpr std::size_t kMaxRequestLines = 200;

}  // namespace comfrey

#endif  // DAEMON_REQUEST_LOG_H_
