#ifndef BASE_LOG_EVENT_H_
#define BASE_LOG_EVENT_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"

namespace comfrey {

/// \brief One event of the log: a name, the time of its creation and fields,
/// written as one JSON object on one line.
class LogEvent {
 public:
  explicit LogEvent(absl::string_view name);

  LogEvent& Add(absl::string_view field, absl::string_view value);
  LogEvent& Add(absl::string_view field, std::int64_t value);
  LogEvent& AddDouble(absl::string_view field, double value);
  LogEvent& AddBool(absl::string_view field, bool value);
  /// \brief Adds the field "<field>_ms".
  LogEvent& AddDuration(absl::string_view field,
                        std::chrono::steady_clock::duration value);

  /// \brief The JSON object.
  std::string ToJson() const { return this->text + "}"; }

 private:
  void AddFieldName(absl::string_view field);

  std::string text;
};

/// \brief Appends a JSON string; bytes that are not ASCII are escaped, so that
/// the line is valid whatever a caller sent.
void AppendJsonString(std::string& text, absl::string_view value);

/// \brief Sends the log of this process to standard output, from a thread of
/// its own. While its bounded queue is full, the oldest lines are dropped.
///
/// `daemon` is the field "daemon" of each line.
void StartEventLog(const std::string& daemon);

/// \brief Writes all queued lines and ends the thread.
void StopEventLog();

/// \brief Lines that were dropped because the queue was full.
std::int64_t CountDroppedLogLines();

/// \brief Writes one event.
void WriteEvent(const LogEvent& event);

}  // namespace comfrey

#endif  // BASE_LOG_EVENT_H_
