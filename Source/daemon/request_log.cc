#include "daemon/request_log.h"

#include <xxhash.h>

namespace comfrey {
namespace {

constexpr std::uint64_t kSampleOneIn = 16;
constexpr std::chrono::seconds kReportPeriod{10};

}  // namespace

LogEvent& RequestTrace::Add(absl::string_view name) {
  LogEvent& event = this->events.emplace_back(name);
  return event.Add("request", this->id);
}

bool IsSampledRequest(absl::string_view id) {
  return XXH64(id.data(), id.size(), 0) % kSampleOneIn == 0;
}

RequestLog::RequestLog(CounterRegistry& counters)
    : written(counters.Counter("comfrey_log_request_lines_total")),
      left_out(counters.Counter("comfrey_log_request_lines_left_out_total")) {}

void RequestLog::Write(const RequestTrace& trace, bool notable) {
  if ((!notable && !IsSampledRequest(trace.id)) ||
      !this->Take(trace.events.size())) {
    this->left_out.Add(static_cast<std::int64_t>(trace.events.size()));
    return;
  }
  for (const LogEvent& event : trace.events) {
    WriteEvent(event);
  }
}

void RequestLog::Write(absl::string_view id,
                       const LogEvent& event,
                       bool notable) {
  if ((!notable && !IsSampledRequest(id)) || !this->Take(1)) {
    this->left_out.Add();
    return;
  }
  WriteEvent(event);
}

// Takes room for the lines in the present second.
bool RequestLog::Take(std::size_t lines) {
  const TimePoint now = std::chrono::steady_clock::now();
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (now - this->second >= std::chrono::seconds(1)) {
    this->second = now;
    this->lines_in_second = 0;
  }
  if (this->lines_in_second + lines > kMaxRequestLines) {
    return false;
  }
  this->lines_in_second += lines;
  this->written.Add(static_cast<std::int64_t>(lines));
  return true;
}

void RequestLog::Tick(TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (now - this->reported_at < kReportPeriod) {
    return;
  }
  this->reported_at = now;
  const std::int64_t total = this->left_out.Value();
  if (total == this->reported) {
    return;
  }
  WriteEvent(LogEvent("request_lines_left_out")
                 .Add("lines", total - this->reported)
                 .Add("dropped_by_full_queue", DroppedLogLines()));
  this->reported = total;
}

}  // namespace comfrey
