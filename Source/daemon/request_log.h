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

/// \brief The events of one request at its ingress, until it is known whether
/// they are written.
struct RequestTrace {
  std::string id;
  std::vector<LogEvent> events;

  LogEvent& Add(absl::string_view name);
};

/// \brief Whether the events of a successful request are written. All daemons
/// agree on it by the id.
bool IsSampledRequest(absl::string_view id);

/// \brief Writes the events of requests, bounded under load.
///
/// Failed and repeated requests are written in full, and 1 in 16 others, as
/// long as the lines of this second are at most `kMaxRequestLines`. What is
/// left out is counted and reported each 10 s.
class RequestLog {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit RequestLog(CounterRegistry& counters);

  /// \brief Writes a trace; `notable` for a failed or repeated request.
  void Write(const RequestTrace& trace, bool always_log);

  /// \brief Writes one event of a request at the owner of an endpoint.
  void Write(absl::string_view id, const LogEvent& event, bool always_log);

  /// \brief Reports what was left out; called by a timer.
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

/// \brief Most lines on requests in a second.
inline constexpr std::size_t kMaxRequestLines = 200;

}  // namespace comfrey

#endif  // DAEMON_REQUEST_LOG_H_
