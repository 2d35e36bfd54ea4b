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

/// \brief Why a value was refused, and what to write instead.
struct FieldProblem {
  std::string cause;
  std::string remedy;
};

/// \brief Reads one value; returns the problem if it is invalid.
using FieldReader =
    std::function<std::optional<FieldProblem>(absl::string_view)>;

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

/// \brief Returns the canonical form of an IPv4 or IPv6 number without
/// brackets, or nothing if `text` is not one.
std::optional<std::string> CanonicalIp(absl::string_view text);

/// \brief Reads "ip:port" or "[ipv6]:port", port 1 to 65535. Host names and
/// the unspecified address are refused.
std::optional<FieldProblem> ReadSocketAddress(absl::string_view text,
                                              SocketAddress& address);

/// \brief Whether `name` has 1 to 64 letters, digits, "-" and "_".
bool IsValidName(absl::string_view name);

/// \brief The remedy for an invalid name.
std::string NameRemedy();

/// \brief Reads the entries of a section. Unknown keys, invalid values and
/// missing required keys are appended to `errors`; the remedy for an unknown
/// key names the nearest known one.
void ReadFields(const IniDocument& document,
                const IniSection& section,
                const std::vector<FieldRule>& rules,
                std::vector<IniError>& errors);

/// \brief Appends an error about a section, or about `entry` if it is not null.
void AddSectionError(const IniDocument& document,
                     const IniSection& section,
                     const IniEntry* entry,
                     FieldProblem problem,
                     std::vector<IniError>& errors);

/// \brief Returns the entry with the key, or null.
const IniEntry* FindEntry(const IniSection& section, absl::string_view key);

/// \brief Returns the candidate with the smallest edit distance to `word`; of
/// more than 1000 candidates, the first 1000 are compared.
std::string NearestWord(absl::string_view word,
                        const std::vector<absl::string_view>& candidates);

/// \brief Whole number from `min` to `max`.
FieldReader IntegerField(int& value, int min, int max);
FieldReader IntegerField(std::uint64_t& value,
                         std::uint64_t min,
                         std::uint64_t max);

/// \brief Duration from `min` to `max` with a unit.
FieldReader DurationField(std::chrono::microseconds& value,
                          std::chrono::microseconds min,
                          std::chrono::microseconds max);

/// \brief Percentage with at most 4 decimals, for example "99.9%". The bounds
/// are in millionths; `value` is the share from 0 to 1.
FieldReader PercentField(double& value, int min_ppm, int max_ppm);

/// \brief Renders millionths as a percentage, for example "99.9%".
std::string FormatPpm(std::int64_t ppm);

/// \brief Size in bytes with the unit B, KiB or MiB.
FieldReader SizeField(std::uint64_t& value,
                      std::uint64_t min,
                      std::uint64_t max);

/// \brief "true" or "false".
FieldReader BoolField(bool& value);

/// \brief A name as of IsValidName.
FieldReader NameField(std::string& value);

/// \brief The choice problem for ChoiceField.
FieldProblem UnknownChoice(const std::vector<absl::string_view>& words);

/// \brief One of a fixed set of words.
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
