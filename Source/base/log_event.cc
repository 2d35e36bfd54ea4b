#include "base/log_event.h"

#include <spdlog/async.h>
#include <spdlog/formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <ctime>
#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace comfrey {
namespace {

// A queued line takes about 500 bytes.
constexpr std::size_t kMaxQueuedLines = 2048;
constexpr std::chrono::seconds kFlushPeriod{1};

std::string FormatTime(std::chrono::system_clock::time_point time) {
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
      time.time_since_epoch());
  constexpr std::int64_t kMicrosPerSecond = 1'000'000;
  const std::time_t seconds = micros.count() / kMicrosPerSecond;
  std::tm utc{};
  ::gmtime_r(&seconds, &utc);
  return absl::StrFormat("%04d-%02d-%02dT%02d:%02d:%02d.%06dZ",
                         utc.tm_year + 1900, utc.tm_mon + 1, utc.tm_mday,
                         utc.tm_hour, utc.tm_min, utc.tm_sec,
                         micros.count() % kMicrosPerSecond);
}

// Adds the name of the daemon to each line. A payload that starts with "{"
// is an event in JSON; any other payload becomes the text of an event named
// "message".
class JsonLineFormatter : public spdlog::formatter {
 public:
  explicit JsonLineFormatter(std::string daemon) : daemon(std::move(daemon)) {}

  void format(const spdlog::details::log_msg& message,
              spdlog::memory_buf_t& buffer) override {
    const absl::string_view payload(message.payload.data(),
                                    message.payload.size());
    std::string line = "{\"daemon\":";
    AppendJsonString(line, this->daemon);
    if (!payload.empty() && payload.front() == '{') {
      absl::StrAppend(&line, ",", payload.substr(1), "\n");
    } else {
      const spdlog::string_view_t level =
          spdlog::level::to_string_view(message.level);
      absl::StrAppend(&line, ",\"time\":\"", FormatTime(message.time),
                      "\",\"event\":\"message\",\"level\":\"",
                      absl::string_view(level.data(), level.size()),
                      "\",\"text\":");
      AppendJsonString(line, payload);
      line += "}\n";
    }
    buffer.append(line.data(), line.data() + line.size());
  }

  std::unique_ptr<spdlog::formatter> clone() const override {
    return std::make_unique<JsonLineFormatter>(this->daemon);
  }

 private:
  std::string daemon;
};

}  // namespace

void AppendJsonString(std::string& text, absl::string_view value) {
  text += '"';
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      text += '\\';
      text += c;
    } else if (byte < 0x20 || byte >= 0x7f) {
      absl::StrAppend(&text, "\\u", absl::Hex(byte, absl::kZeroPad4));
    } else {
      text += c;
    }
  }
  text += '"';
}

LogEvent::LogEvent(absl::string_view name)
    : text(absl::StrCat("{\"time\":\"",
                        FormatTime(std::chrono::system_clock::now()),
                        "\"")) {
  this->Add("event", name);
}

void LogEvent::AddFieldName(absl::string_view field) {
  absl::StrAppend(&this->text, ",\"", field, "\":");
}

LogEvent& LogEvent::Add(absl::string_view field, absl::string_view value) {
  this->AddFieldName(field);
  AppendJsonString(this->text, value);
  return *this;
}

LogEvent& LogEvent::Add(absl::string_view field, std::int64_t value) {
  this->AddFieldName(field);
  absl::StrAppend(&this->text, value);
  return *this;
}

LogEvent& LogEvent::AddDouble(absl::string_view field, double value) {
  this->AddFieldName(field);
  this->text += absl::StrFormat("%.3f", value);
  return *this;
}

LogEvent& LogEvent::AddBool(absl::string_view field, bool value) {
  this->AddFieldName(field);
  this->text += value ? "true" : "false";
  return *this;
}

LogEvent& LogEvent::AddDuration(absl::string_view field,
                                std::chrono::steady_clock::duration value) {
  this->AddFieldName(absl::StrCat(field, "_ms"));
  this->text += absl::StrFormat(
      "%.1f", std::chrono::duration<double, std::milli>(value).count());
  return *this;
}

void StartEventLog(const std::string& daemon) {
  spdlog::init_thread_pool(kMaxQueuedLines, 1);
  auto sink = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  auto logger = std::make_shared<spdlog::async_logger>(
      "events", std::move(sink), spdlog::thread_pool(),
      spdlog::async_overflow_policy::overrun_oldest);
  logger->set_formatter(std::make_unique<JsonLineFormatter>(daemon));
  logger->flush_on(spdlog::level::warn);
  spdlog::set_default_logger(std::move(logger));
  spdlog::flush_every(kFlushPeriod);
}

void StopEventLog() {
  spdlog::shutdown();
}

std::int64_t CountDroppedLogLines() {
  const auto pool = spdlog::thread_pool();
  return pool ? static_cast<std::int64_t>(pool->overrun_counter()) : 0;
}

void WriteEvent(const LogEvent& event) {
  // If StartEventLog was not called, as in tests, this is the logger that
  // spdlog creates by default.
  spdlog::default_logger_raw()->log(spdlog::level::info, event.ToJson());
}

}  // namespace comfrey
