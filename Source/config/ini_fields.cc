#include "config/ini_fields.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <numeric>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/strip.h"
#include "base/duration_text.h"

namespace comfrey {
namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr int kPpmPerPercent = 10'000;
constexpr std::size_t kPercentDecimals = 4;
// Limits the cost of the edit distance. A longer word cannot be a misspelt key.
constexpr std::size_t kMaxComparedLength = 64;

struct SizeUnit {
  absl::string_view name;
  std::uint64_t bytes;
};

constexpr std::array<SizeUnit, 3> kSizeUnits = {
    {{"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}};

// Renders a size in the largest unit of which it is a multiple.
std::string FormatSize(std::uint64_t bytes) {
  for (const SizeUnit& unit : kSizeUnits) {
    if (bytes % unit.bytes == 0) {
      return absl::StrCat(bytes / unit.bytes, unit.name);
    }
  }
  return absl::StrCat(bytes, "B");
}

std::size_t EditDistance(absl::string_view a, absl::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 0; i < a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < b.size(); ++j) {
      const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row[b.size()];
}

bool IsDigits(absl::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), absl::ascii_isdigit);
}

FieldProblem OutOfRange(absl::string_view min, absl::string_view max) {
  return {"the value is out of range",
          absl::StrCat("write a value from ", min, " to ", max)};
}

// Parses a percentage; returns it in parts per million, or -1 if it is
// malformed.
std::int64_t ParsePpm(absl::string_view text) {
  if (!absl::ConsumeSuffix(&text, "%")) {
    return -1;
  }
  const std::size_t point = text.find('.');
  const absl::string_view whole = text.substr(0, point);
  std::string decimals;
  if (point != absl::string_view::npos) {
    decimals = std::string(text.substr(point + 1));
    if (!IsDigits(decimals) || decimals.size() > kPercentDecimals) {
      return -1;
    }
  }
  decimals.resize(kPercentDecimals, '0');
  int percent = 0;
  int fraction = 0;
  if (!IsDigits(whole) || !absl::SimpleAtoi(whole, &percent) ||
      !absl::SimpleAtoi(decimals, &fraction)) {
    return -1;
  }
  return std::int64_t{percent} * kPpmPerPercent + fraction;
}

template <typename T>
FieldReader WholeNumberField(T& value, T min, T max) {
  return [&value, min,
          max](absl::string_view text) -> std::optional<FieldProblem> {
    if (!IsDigits(text)) {
      return FieldProblem{
          "the value is not a whole number",
          absl::StrCat("write a whole number from ", min, " to ", max)};
    }
    T number = 0;
    if (!absl::SimpleAtoi(text, &number) || number < min || number > max) {
      return OutOfRange(absl::StrCat(min), absl::StrCat(max));
    }
    value = number;
    return std::nullopt;
  };
}

std::string FormatHeading(const IniSection& section) {
  return section.name.empty() ? section.kind
                              : absl::StrCat(section.kind, " ", section.name);
}

}  // namespace

std::string FormatSocketAddress(const SocketAddress& address) {
  return address.ip.find(':') == std::string::npos
             ? absl::StrCat(address.ip, ":", address.port)
             : absl::StrCat("[", address.ip, "]:", address.port);
}

std::optional<std::string> CanonicalIp(absl::string_view text) {
  const std::string copy(text);
  std::array<char, INET6_ADDRSTRLEN> buffer{};
  in6_addr binary{};
  for (const int family : {AF_INET, AF_INET6}) {
    if (copy.find('\0') == std::string::npos &&
        inet_pton(family, copy.c_str(), &binary) == 1 &&
        inet_ntop(family, &binary, buffer.data(), buffer.size()) != nullptr) {
      return std::string(buffer.data());
    }
  }
  return std::nullopt;
}

std::optional<FieldProblem> ReadSocketAddress(absl::string_view text,
                                              SocketAddress& address) {
  const FieldProblem malformed{
      absl::StrCat("\"", text, "\" is not an IP address with a port"),
      "write IP:port with a numeric address, for example 127.0.1.1:8081 or "
      "[::1]:8081; host names are not resolved"};
  const std::size_t colon = text.rfind(':');
  if (colon == absl::string_view::npos) {
    return malformed;
  }
  absl::string_view host = text.substr(0, colon);
  const bool bracketed =
      absl::ConsumePrefix(&host, "[") && absl::ConsumeSuffix(&host, "]");
  const std::optional<std::string> ip = CanonicalIp(host);
  if (!ip || bracketed != (ip->find(':') != std::string::npos)) {
    return malformed;
  }
  int port = 0;
  if (const auto problem =
          IntegerField(port, 1, 65535)(text.substr(colon + 1))) {
    return FieldProblem{absl::StrCat("the port of \"", text, "\" is invalid"),
                        "write a port from 1 to 65535"};
  }
  if (*ip == "0.0.0.0" || *ip == "::") {
    return FieldProblem{
        absl::StrCat("\"", text, "\" is the unspecified address"),
        "write the address of one VM"};
  }
  address = {*ip, static_cast<std::uint16_t>(port)};
  return std::nullopt;
}

std::string FormatPpm(std::int64_t ppm) {
  std::string text = absl::StrCat(ppm / kPpmPerPercent);
  if (ppm % kPpmPerPercent != 0) {
    absl::StrAppend(&text, ".",
                    absl::Dec(ppm % kPpmPerPercent, absl::kZeroPad4));
    text.erase(text.find_last_not_of('0') + 1);
  }
  return text + "%";
}

bool IsValidName(absl::string_view name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), [](unsigned char c) {
           return absl::ascii_isalnum(c) || c == '-' || c == '_';
         });
}

std::string NameRemedy() {
  return absl::StrCat("use 1 to ", kMaxNameLength,
                      " letters, digits, \"-\" and \"_\"");
}

const IniEntry* FindEntry(const IniSection& section, absl::string_view key) {
  const auto found =
      std::find_if(section.entries.begin(), section.entries.end(),
                   [&](const IniEntry& e) { return e.key == key; });
  return found == section.entries.end() ? nullptr : &*found;
}

void AddSectionError(const IniDocument& document,
                     const IniSection& section,
                     const IniEntry* entry,
                     FieldProblem problem,
                     std::vector<IniError>& errors) {
  AddIniError(errors,
              {document.source, entry != nullptr ? entry->line : section.line,
               FormatHeading(section), entry != nullptr ? entry->key : "",
               entry != nullptr ? entry->value : "", std::move(problem.cause),
               std::move(problem.remedy)});
}

std::string NearestWord(absl::string_view word,
                        const std::vector<absl::string_view>& candidates) {
  // Limits the cost; a document may contain tens of thousands of names.
  constexpr std::size_t kMaxCandidates = 1000;
  const absl::string_view compared = word.substr(0, kMaxComparedLength);
  std::string nearest;
  std::size_t smallest = absl::string_view::npos;
  for (std::size_t i = 0; i < std::min(candidates.size(), kMaxCandidates);
       ++i) {
    const absl::string_view candidate = candidates[i];
    const std::size_t distance = EditDistance(compared, candidate);
    if (distance < smallest) {
      smallest = distance;
      nearest = std::string(candidate);
    }
  }
  return nearest;
}

void ReadFields(const IniDocument& document,
                const IniSection& section,
                const std::vector<FieldRule>& rules,
                std::vector<IniError>& errors) {
  for (const IniEntry& entry : section.entries) {
    if (IsErrorListFull(errors)) {
      return;
    }
    const auto rule =
        std::find_if(rules.begin(), rules.end(),
                     [&](const FieldRule& r) { return r.key == entry.key; });
    if (rule != rules.end()) {
      if (auto problem = rule->read(entry.value)) {
        AddSectionError(document, section, &entry, *std::move(problem), errors);
      }
      continue;
    }
    std::vector<absl::string_view> keys;
    keys.reserve(rules.size());
    for (const FieldRule& known : rules) {
      keys.push_back(known.key);
    }
    AddSectionError(
        document, section, &entry,
        {"the key is unknown in this section",
         absl::StrCat("use \"", NearestWord(entry.key, keys),
                      "\", the nearest known key, or remove the line")},
        errors);
  }
  for (const FieldRule& rule : rules) {
    if (rule.presence == Presence::kRequired &&
        FindEntry(section, rule.key) == nullptr) {
      AddSectionError(document, section, nullptr,
                      {absl::StrCat("the key \"", rule.key, "\" is missing"),
                       absl::StrCat("add a line \"", rule.key, " = ...\"")},
                      errors);
    }
  }
}

FieldReader IntegerField(int& value, int min, int max) {
  return WholeNumberField(value, min, max);
}

FieldReader IntegerField(std::uint64_t& value,
                         std::uint64_t min,
                         std::uint64_t max) {
  return WholeNumberField(value, min, max);
}

FieldReader DurationField(std::chrono::microseconds& value,
                          std::chrono::microseconds min,
                          std::chrono::microseconds max) {
  return [&value, min,
          max](absl::string_view text) -> std::optional<FieldProblem> {
    const auto parsed = ParseDuration(text);
    if (!parsed.ok()) {
      return FieldProblem{
          "the value is not a duration",
          absl::StrCat("write a whole number with the unit us, ms, s, m or h, "
                       "from ",
                       FormatDuration(min), " to ", FormatDuration(max))};
    }
    if (*parsed < min || *parsed > max) {
      return OutOfRange(FormatDuration(min), FormatDuration(max));
    }
    value = *parsed;
    return std::nullopt;
  };
}

FieldReader PercentField(double& value, int min_ppm, int max_ppm) {
  return [&value, min_ppm,
          max_ppm](absl::string_view text) -> std::optional<FieldProblem> {
    const std::int64_t ppm = ParsePpm(text);
    if (ppm < 0) {
      return FieldProblem{
          "the value is not a percentage",
          absl::StrCat("write a number with at most ", kPercentDecimals,
                       " decimals and \"%\", from ", FormatPpm(min_ppm), " to ",
                       FormatPpm(max_ppm))};
    }
    if (ppm < min_ppm || ppm > max_ppm) {
      return OutOfRange(FormatPpm(min_ppm), FormatPpm(max_ppm));
    }
    value = static_cast<double>(ppm) / 1e6;
    return std::nullopt;
  };
}

FieldReader SizeField(std::uint64_t& value,
                      std::uint64_t min,
                      std::uint64_t max) {
  return [&value, min,
          max](absl::string_view text) -> std::optional<FieldProblem> {
    for (const SizeUnit& unit : kSizeUnits) {
      absl::string_view digits = text;
      if (!absl::ConsumeSuffix(&digits, unit.name)) {
        continue;
      }
      std::uint64_t number = 0;
      if (!IsDigits(digits)) {
        break;
      }
      if (!absl::SimpleAtoi(digits, &number) || number > max / unit.bytes ||
          number * unit.bytes < min) {
        return OutOfRange(FormatSize(min), FormatSize(max));
      }
      value = number * unit.bytes;
      return std::nullopt;
    }
    return FieldProblem{
        "the value is not a size",
        absl::StrCat("write a whole number with the unit B, KiB or MiB, from ",
                     FormatSize(min), " to ", FormatSize(max))};
  };
}

FieldReader BoolField(bool& value) {
  return ChoiceField<bool>(value, {{"true", true}, {"false", false}});
}

FieldReader NameField(std::string& value) {
  return [&value](absl::string_view text) -> std::optional<FieldProblem> {
    if (!IsValidName(text)) {
      return FieldProblem{"the value is not a valid name", NameRemedy()};
    }
    value = std::string(text);
    return std::nullopt;
  };
}

FieldProblem UnknownChoice(const std::vector<absl::string_view>& words) {
  return {"the value is not one of the accepted words",
          absl::StrCat("write one of ", absl::StrJoin(words, ", "))};
}

}  // namespace comfrey
