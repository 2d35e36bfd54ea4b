#ifndef BASE_LOG_EVENT_H_
#define BASE_LOG_EVENT_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"

namespace comfrey {

/// \brief An event of the log. It has a name, its creation time and fields, and
/// is written as a JSON object on one line.
class LogEvent {
 public:
  explicit LogEvent(absl::string_view name);

  LogEvent& Add(absl::string_view field, absl::string_view value);
  LogEvent& Add(absl::string_view field, std::int64_t value);
  /// \brief Adds a number with three decimals.
  LogEvent& AddDouble(absl::string_view field, double value);
  LogEvent& AddBool(absl::string_view field, bool value);
  /// \brief Adds a duration in milliseconds as the field "<field>_ms".
  LogEvent& AddDuration(absl::string_view field,
                        std::chrono::steady_clock::duration value);

  /// \brief Returns the event as a JSON object.
  std::string ToJson() const { return this->text + "}"; }

 private:
  void AddFieldName(absl::string_view field);

  std::string text;
};

/// \brief Appends a JSON string. Control characters and bytes that are not
/// ASCII are escaped, so that the line is valid JSON for any input of a caller.
void AppendJsonString(std::string& text, absl::string_view value);

/// \brief Starts a thread that writes the log of this process to standard
/// output. If its bounded queue is full, the oldest lines are dropped.
///
/// `daemon` is the value of the field "daemon" of each line.
void StartEventLog(const std::string& daemon);

/// \brief Writes all queued lines and stops the thread.
void StopEventLog();

/// \brief Returns the number of lines that were dropped because the queue was
/// full.
std::int64_t CountDroppedLogLines();

/// \brief Queues an event for writing.
void WriteEvent(const LogEvent& event);

}  // namespace comfrey

#endif  // BASE_LOG_EVENT_H_
