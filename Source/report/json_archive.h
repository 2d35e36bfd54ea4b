#ifndef REPORT_JSON_ARCHIVE_H_
#define REPORT_JSON_ARCHIVE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <ratio>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "nlohmann/json.hpp"

namespace comfrey {

/// \brief JSON names of an enumeration, indexed by value; index 0 is kUnknown.
template <typename T>
struct EnumNames;

template <typename T>
absl::string_view EnumToName(T value) {
  const auto index = static_cast<std::size_t>(value);
  return index < EnumNames<T>::kNames.size() ? EnumNames<T>::kNames[index]
                                             : EnumNames<T>::kNames[0];
}

/// \brief Returns kUnknown for a name that this release does not know.
template <typename T>
T EnumFromName(absl::string_view name) {
  for (std::size_t i = 0; i < EnumNames<T>::kNames.size(); i++) {
    if (EnumNames<T>::kNames[i] == name) {
      return static_cast<T>(i);
    }
  }
  return static_cast<T>(0);
}

/// \brief Returns the unit suffix of the JSON key of a duration.
template <typename Period>
constexpr absl::string_view UnitSuffix() {
  if constexpr (std::is_same_v<Period, std::micro>) {
    return "_us";
  } else if constexpr (std::is_same_v<Period, std::milli>) {
    return "_ms";
  } else {
    static_assert(std::is_same_v<Period, std::ratio<1>>);
    return "_s";
  }
}

/// \brief A 64-bit number that is written as a JSON string.
struct QuotedUint64 {
  std::uint64_t& value;
  /// 10 or 16. Hexadecimal numbers are padded to 16 digits.
  int base = 10;
};

/// \brief Writes a struct as JSON; DescribeFields enumerates its fields.
///
/// The text is written without an intermediate document object. For a fleet
/// with 6,200 endpoints, that object would take a large part of the 32 MB
/// memory limit of a daemon.
class JsonWriter {
 public:
  explicit JsonWriter(std::string& text) : text(text) {}

  template <typename T>
  static void Write(std::string& text, const T& value) {
    text += '{';
    JsonWriter writer(text);
    // DescribeFields takes a non-const reference because JsonReader assigns to
    // the fields. JsonWriter does not change them.
    DescribeFields(writer, const_cast<T&>(value));
    text += '}';
  }

  template <typename T>
  void Field(absl::string_view key, const T& value) {
    this->BeginField(key);
    Append(this->text, value);
  }

  template <typename Rep, typename Period>
  void Field(absl::string_view key, std::chrono::duration<Rep, Period> value) {
    this->BeginField(absl::StrCat(key, UnitSuffix<Period>()));
    absl::StrAppend(&this->text, value.count());
  }

  template <typename Rep, typename Period>
  void Field(absl::string_view key,
             const std::optional<std::chrono::duration<Rep, Period>>& value) {
    this->BeginField(absl::StrCat(key, UnitSuffix<Period>()));
    absl::StrAppend(&this->text, value ? absl::StrCat(value->count()) : "null");
  }

  void Field(absl::string_view key, QuotedUint64 number) {
    this->BeginField(key);
    absl::StrAppend(&this->text, "\"",
                    number.base == 16 ? absl::StrCat(absl::Hex(
                                            number.value, absl::kZeroPad16))
                                      : absl::StrCat(number.value),
                    "\"");
  }

 private:
  void BeginField(absl::string_view key) {
    absl::StrAppend(&this->text, this->first ? "" : ",", "\"", key, "\":");
    this->first = false;
  }

  template <typename T>
  static void Append(std::string& text, const T& value) {
    if constexpr (std::is_enum_v<T>) {
      Append(text, std::string(EnumToName(value)));
    } else if constexpr (std::is_arithmetic_v<T> ||
                         std::is_same_v<T, std::string>) {
      text += nlohmann::json(value).dump(
          -1, ' ', false, nlohmann::json::error_handler_t::replace);
    } else {
      Write(text, value);
    }
  }

  template <typename T>
  static void Append(std::string& text, const std::vector<T>& values) {
    text += '[';
    bool first = true;
    for (const T& value : values) {
      text += first ? "" : ",";
      first = false;
      Append(text, value);
    }
    text += ']';
  }

  template <typename T>
  static void Append(std::string& text, const std::optional<T>& value) {
    if (value) {
      Append(text, *value);
    } else {
      text += "null";
    }
  }

  std::string& text;
  bool first = true;
};

/// \brief Reads a struct from JSON; DescribeFields enumerates its fields.
///
/// `status` keeps the first error.
class JsonReader {
 public:
  JsonReader(const nlohmann::json& object,
             std::string path,
             absl::Status& status)
      : object(object), path(std::move(path)), status(status) {}

  template <typename T>
  static void Read(const nlohmann::json& json,
                   const std::string& path,
                   T& value,
                   absl::Status& status) {
    if (!json.is_object()) {
      return Fail(status, path, "is not an object");
    }
    JsonReader reader(json, path, status);
    DescribeFields(reader, value);
  }

  template <typename T>
  void Field(absl::string_view key, T& value) {
    if (const nlohmann::json* field = this->Find(key)) {
      Convert(*field, this->PathOf(key), value, this->status);
    }
  }

  template <typename Rep, typename Period>
  void Field(absl::string_view key, std::chrono::duration<Rep, Period>& value) {
    const std::string full = absl::StrCat(key, UnitSuffix<Period>());
    if (const nlohmann::json* field = this->Find(full)) {
      std::int64_t count = 0;
      Convert(*field, this->PathOf(full), count, this->status);
      value = std::chrono::duration<Rep, Period>(count);
    }
  }

  template <typename Rep, typename Period>
  void Field(absl::string_view key,
             std::optional<std::chrono::duration<Rep, Period>>& value) {
    const nlohmann::json* field =
        this->Find(absl::StrCat(key, UnitSuffix<Period>()));
    if (field != nullptr && !field->is_null()) {
      this->Field(key, value.emplace());
    }
  }

  void Field(absl::string_view key, QuotedUint64 number) {
    const nlohmann::json* field = this->Find(key);
    if (field == nullptr) {
      return;
    }
    const std::string text =
        field->is_string() ? field->get<std::string>() : "";
    const bool valid = number.base == 16
                           ? absl::SimpleHexAtoi(text, &number.value)
                           : absl::SimpleAtoi(text, &number.value);
    if (!valid) {
      Fail(this->status, this->PathOf(key), "is not a number in a string");
    }
  }

 private:
  static void Fail(absl::Status& status,
                   const std::string& path,
                   absl::string_view problem) {
    if (status.ok()) {
      status = absl::InvalidArgumentError(absl::StrCat(
          path.empty() ? "the document" : absl::StrCat("field ", path), " ",
          problem));
    }
  }

  std::string PathOf(absl::string_view key) const {
    return this->path.empty() ? std::string(key)
                              : absl::StrCat(this->path, ".", key);
  }

  // Returns the field, or records an error and returns null if it is missing.
  const nlohmann::json* Find(absl::string_view key) {
    const auto field = this->object.find(std::string(key));
    if (field == this->object.end()) {
      Fail(this->status, this->PathOf(key), "is missing");
      return nullptr;
    }
    return &*field;
  }

  template <typename T>
  static void Convert(const nlohmann::json& json,
                      const std::string& path,
                      T& value,
                      absl::Status& status) {
    if constexpr (std::is_same_v<T, bool>) {
      if (!json.is_boolean()) {
        return Fail(status, path, "is not true or false");
      }
      value = json.get<bool>();
    } else if constexpr (std::is_same_v<T, std::string>) {
      if (!json.is_string()) {
        return Fail(status, path, "is not a string");
      }
      value = json.get<std::string>();
    } else if constexpr (std::is_enum_v<T>) {
      if (!json.is_string()) {
        return Fail(status, path, "is not a string");
      }
      value = EnumFromName<T>(json.get<std::string>());
    } else if constexpr (std::is_floating_point_v<T>) {
      if (!json.is_number()) {
        return Fail(status, path, "is not a number");
      }
      value = json.get<T>();
    } else if constexpr (std::is_integral_v<T>) {
      ConvertInteger(json, path, value, status);
    } else {
      Read(json, path, value, status);
    }
  }

  template <typename T>
  static void ConvertInteger(const nlohmann::json& json,
                             const std::string& path,
                             T& value,
                             absl::Status& status) {
    if (json.is_number_unsigned()) {
      const auto number = json.get<std::uint64_t>();
      if (number <= static_cast<std::uint64_t>(std::numeric_limits<T>::max())) {
        value = static_cast<T>(number);
        return;
      }
    } else if (std::is_signed_v<T> && json.is_number_integer()) {
      const auto number = json.get<std::int64_t>();
      if (number >= static_cast<std::int64_t>(std::numeric_limits<T>::min())) {
        value = static_cast<T>(number);
        return;
      }
    }
    Fail(status, path, "is not a whole number in range");
  }

  template <typename T>
  static void Convert(const nlohmann::json& json,
                      const std::string& path,
                      std::vector<T>& values,
                      absl::Status& status) {
    if (!json.is_array()) {
      return Fail(status, path, "is not an array");
    }
    values.clear();
    for (const nlohmann::json& item : json) {
      const std::string item_path = absl::StrCat(path, "[", values.size(), "]");
      Convert(item, item_path, values.emplace_back(), status);
    }
  }

  template <typename T>
  static void Convert(const nlohmann::json& json,
                      const std::string& path,
                      std::optional<T>& value,
                      absl::Status& status) {
    if (json.is_null()) {
      value.reset();
      return;
    }
    Convert(json, path, value.emplace(), status);
  }

  const nlohmann::json& object;
  std::string path;
  absl::Status& status;
};

/// \brief Renders a struct as one line of JSON.
template <typename T>
std::string ToJsonText(const T& value) {
  std::string text;
  JsonWriter::Write(text, value);
  text += '\n';
  return text;
}

/// \brief Parses a struct from JSON; returns InvalidArgument with the first
/// error.
template <typename T>
absl::StatusOr<T> FromJsonText(absl::string_view text) {
  const nlohmann::json json =
      nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
  if (json.is_discarded()) {
    return absl::InvalidArgumentError("the document is not JSON");
  }
  T value;
  absl::Status status;
  JsonReader::Read(json, "", value, status);
  if (!status.ok()) {
    return status;
  }
  return value;
}

}  // namespace comfrey

#endif  // REPORT_JSON_ARCHIVE_H_
