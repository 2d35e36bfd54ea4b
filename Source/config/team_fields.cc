#include "config/team_fields.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/time.h"
#include "config/request_path.h"

namespace comfrey {
namespace {

using Problem = std::optional<FieldProblem>;

constexpr std::size_t kMaxPathLength = 128;
constexpr std::size_t kMaxHeaderLength = 128;
constexpr std::size_t kMaxMethodLength = 32;
constexpr int kMaxWeight = 1'000'000;

bool IsHeaderNameByte(unsigned char c) {
  return absl::ascii_isalnum(c) ||
         absl::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) !=
             absl::string_view::npos;
}

}  // namespace

Problem ReadTime(absl::string_view text,
                 std::optional<std::chrono::system_clock::time_point>& value) {
  constexpr absl::string_view kFormat = "%Y-%m-%dT%H:%M:%SZ";
  const absl::TimeZone utc = absl::UTCTimeZone();
  absl::Time time;
  // absl::ParseTime also accepts times in other forms, for example with a leap
  // second or with single digits. The comparison with the formatted time
  // rejects them. The check of the year rejects "infinite-past".
  if (!absl::ParseTime(kFormat, text, &time, nullptr) ||
      absl::FormatTime(kFormat, time, utc) != text) {
    return FieldProblem{"the value is not a time in UTC",
                        "write it as 2026-12-04T10:00:00Z"};
  }
  const auto year = utc.At(time).cs.year();
  if (year < 2000 || year > 2199) {
    return FieldProblem{"the value is out of range",
                        "write a time in the years 2000 to 2199"};
  }
  value = absl::ToChronoTime(time);
  return std::nullopt;
}

Problem ReadMethod(absl::string_view text, std::string& value) {
  if (text.empty() || text.size() > kMaxMethodLength ||
      !std::all_of(text.begin(), text.end(), absl::ascii_isupper)) {
    return FieldProblem{"the value is not an HTTP method",
                        "write one method in upper case, for example POST"};
  }
  value = std::string(text);
  return std::nullopt;
}

Problem ReadPath(absl::string_view text, std::string& value) {
  const std::optional<RequestPath> path = ReadRequestPath(text);
  if (!path || path->encoded != text) {
    return FieldProblem{
        "the value is not a plain absolute path",
        "start it with \"/\"; leave out empty and dot segments, \"?\", \"#\", "
        "spaces, backslashes and encoded slashes"};
  }
  if (path->decoded.size() > kMaxPathLength) {
    return FieldProblem{
        "the path is too long",
        absl::StrCat("write at most ", kMaxPathLength, " characters")};
  }
  value = path->decoded;
  if (value.size() > 1 && value.back() == '/') {
    value.pop_back();
  }
  return std::nullopt;
}

Problem ReadHost(absl::string_view text, std::string& value) {
  const bool valid =
      !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '.' ||
               c == '-';
      });
  if (!valid) {
    return FieldProblem{"the value is not a host name",
                        "write a name such as shop.example, without a port"};
  }
  value = absl::AsciiStrToLower(text);
  return std::nullopt;
}

Problem ReadSplit(absl::string_view text, std::vector<ServiceShare>& split) {
  for (const absl::string_view item : absl::StrSplit(text, ',')) {
    const std::vector<std::string> words =
        absl::StrSplit(item, ' ', absl::SkipEmpty());
    ServiceShare share;
    if (words.size() != 2 || !IsValidName(words[0]) ||
        !absl::SimpleAtoi(words[1], &share.weight) || share.weight < 0 ||
        share.weight > kMaxWeight) {
      return FieldProblem{
          absl::StrCat("\"", item, "\" is not a service and its weight"),
          "write for example \"booking 90, booking-next 10\""};
    }
    share.service = words[0];
    split.push_back(std::move(share));
  }
  return std::nullopt;
}

Problem ReadHeader(absl::string_view text, RouteConfig& route) {
  const std::pair<absl::string_view, absl::string_view> parts =
      absl::StrSplit(text, absl::MaxSplits(':', 1));
  const absl::string_view name = absl::StripAsciiWhitespace(parts.first);
  const absl::string_view value = absl::StripAsciiWhitespace(parts.second);
  if (name.empty() || value.empty() || text.size() > kMaxHeaderLength ||
      !std::all_of(name.begin(), name.end(), IsHeaderNameByte) ||
      !std::all_of(value.begin(), value.end(), absl::ascii_isprint)) {
    return FieldProblem{
        "the value is not a header with its value",
        absl::StrCat("write \"Name: value\" with at most ", kMaxHeaderLength,
                     " characters, for example X-Caller: internal")};
  }
  route.header_name = std::string(name);
  route.header_value = std::string(value);
  return std::nullopt;
}

}  // namespace comfrey
