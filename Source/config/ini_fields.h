#ifndef CONFIG_INI_FIELDS_H_
#define CONFIG_INI_FIELDS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "config/ini_document.h"

namespace comfrey {

/// \brief Why a value is invalid, and what to write instead.
struct FieldProblem {
  std::string cause;
  std::string remedy;
};

/// \brief Parses one value and stores it; returns a problem if it is invalid.
using FieldReader =
    std::function<std::optional<FieldProblem>(absl::string_view)>;

/// \brief Whether a section must have a key.
enum class Presence { kOptional, kRequired };

/// \brief One known key of a section.
struct FieldRule {
  absl::string_view key;
  FieldReader read;
  Presence presence = Presence::kOptional;
};

/// \brief An IP address and a port; `ip` is in canonical form, IPv6 without
/// brackets.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;
};

inline bool operator==(const SocketAddress& a, const SocketAddress& b) {
  return a.ip == b.ip && a.port == b.port;
}

inline bool operator!=(const SocketAddress& a, const SocketAddress& b) {
  return !(a == b);
}

/// \brief Renders "ip:port"; an IPv6 address gets brackets.
std::string FormatSocketAddress(const SocketAddress& address);

/// \brief Returns the canonical form of an IPv4 address, or of an IPv6 address
/// without brackets; returns nothing if `text` is neither.
std::optional<std::string> CanonicalIp(absl::string_view text);

/// \brief Parses "ip:port" or "[ipv6]:port" with a port from 1 to 65535. Host
/// names and the unspecified addresses 0.0.0.0 and :: are invalid.
std::optional<FieldProblem> ReadSocketAddress(absl::string_view text,
                                              SocketAddress& address);

/// \brief Returns whether `name` consists of 1 to 64 letters, digits, "-" and
/// "_".
bool IsValidName(absl::string_view name);

/// \brief Returns the remedy for an invalid name, for FieldProblem::remedy.
std::string NameRemedy();

/// \brief Parses the entries of a section. Appends an error for each unknown
/// key, invalid value and missing required key. The error for an unknown key
/// suggests the most similar known key.
void ReadFields(const IniDocument& document,
                const IniSection& section,
                const std::vector<FieldRule>& rules,
                std::vector<IniError>& errors);

/// \brief Appends an error about `entry`, or about the whole section if `entry`
/// is null.
void AddSectionError(const IniDocument& document,
                     const IniSection& section,
                     const IniEntry* entry,
                     FieldProblem problem,
                     std::vector<IniError>& errors);

/// \brief Returns the first entry with the key, or null.
const IniEntry* FindEntry(const IniSection& section, absl::string_view key);

/// \brief Returns the candidate with the smallest edit distance to `word`. Only
/// the first 1000 candidates are compared.
std::string NearestWord(absl::string_view word,
                        const std::vector<absl::string_view>& candidates);

/// \brief Reads a whole number from `min` to `max`.
FieldReader IntegerField(int& value, int min, int max);
FieldReader IntegerField(std::uint64_t& value,
                         std::uint64_t min,
                         std::uint64_t max);

/// \brief Reads a duration with a unit, from `min` to `max`.
FieldReader DurationField(std::chrono::microseconds& value,
                          std::chrono::microseconds min,
                          std::chrono::microseconds max);

/// \brief Reads a percentage with at most 4 decimals, for example "99.9%". The
/// bounds are in parts per million; `value` is set to a share from 0 to 1.
FieldReader PercentField(double& value, int min_ppm, int max_ppm);

/// \brief Renders parts per million as a percentage, for example "99.9%".
std::string FormatPpm(std::int64_t ppm);

/// \brief Reads a size with the unit B, KiB or MiB; `value` and the bounds are
/// in bytes.
FieldReader SizeField(std::uint64_t& value,
                      std::uint64_t min,
                      std::uint64_t max);

/// \brief Reads "true" or "false".
FieldReader BoolField(bool& value);

/// \brief Reads a name that is valid according to IsValidName.
FieldReader NameField(std::string& value);

/// \brief Returns the problem of a value that is not one of `words`.
FieldProblem UnknownChoice(const std::vector<absl::string_view>& words);

/// \brief Reads one of a fixed set of words.
template <typename T>
FieldReader ChoiceField(T& value,
                        std::vector<std::pair<absl::string_view, T>> choices) {
  return [&value, choices = std::move(choices)](
             absl::string_view text) -> std::optional<FieldProblem> {
    std::vector<absl::string_view> words;
    for (const auto& [word, choice] : choices) {
      if (word == text) {
        value = choice;
        return std::nullopt;
      }
      words.push_back(word);
    }
    return UnknownChoice(words);
  };
}

}  // namespace comfrey

#endif  // CONFIG_INI_FIELDS_H_
