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
    : written_lines(counters.Counter("comfrey_log_request_lines_total")),
      omitted_lines(
          counters.Counter("comfrey_log_request_lines_left_out_total")) {}

void RequestLog::Write(const RequestTrace& trace, bool always_log) {
  if ((!always_log && !IsSampledRequest(trace.id)) ||
      !this->ReserveLines(trace.events.size())) {
    this->omitted_lines.Add(static_cast<std::int64_t>(trace.events.size()));
    return;
  }
  for (const LogEvent& event : trace.events) {
    WriteEvent(event);
  }
}

void RequestLog::Write(absl::string_view id,
                       const LogEvent& event,
                       bool always_log) {
  if ((!always_log && !IsSampledRequest(id)) || !this->ReserveLines(1)) {
    this->omitted_lines.Add();
    return;
  }
  WriteEvent(event);
}

// Counts the lines in the current second. Returns false if that would exceed
// the limit.
bool RequestLog::ReserveLines(std::size_t lines) {
  const TimePoint now = std::chrono::steady_clock::now();
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (now - this->second_start >= std::chrono::seconds(1)) {
    this->second_start = now;
    this->lines_in_second = 0;
  }
  if (this->lines_in_second + lines > kMaxRequestLines) {
    return false;
  }
  this->lines_in_second += lines;
  this->written_lines.Add(static_cast<std::int64_t>(lines));
  return true;
}

void RequestLog::Tick(TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (now - this->reported_at < kReportPeriod) {
    return;
  }
  this->reported_at = now;
  const std::int64_t total = this->omitted_lines.Value();
  if (total == this->reported_omitted_lines) {
    return;
  }
  WriteEvent(LogEvent("request_lines_left_out")
                 .Add("lines", total - this->reported_omitted_lines)
                 .Add("dropped_by_full_queue", DroppedLogLines()));
  this->reported_omitted_lines = total;
}

}  // namespace comfrey
