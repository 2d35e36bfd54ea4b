#include "config/request_path.h"

#include "absl/strings/ascii.h"
#include "absl/strings/str_split.h"

namespace comfrey {
namespace {

// Returns the value of a hexadecimal digit, or -1 for other characters.
int HexDigit(char c) {
  if (absl::ascii_isdigit(static_cast<unsigned char>(c))) {
    return c - '0';
  }
  const char lower = absl::ascii_tolower(static_cast<unsigned char>(c));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

bool IsForbiddenRawByte(unsigned char c) {
  return c <= 0x20 || c >= 0x7f || c == '\\' || c == '#' || c == '?';
}

bool IsForbiddenDecodedByte(unsigned char c) {
  return c < 0x20 || c == 0x7f || c == '\\' || c == '/';
}

std::optional<std::string> DecodeSegment(absl::string_view segment) {
  std::string decoded;
  for (std::size_t i = 0; i < segment.size(); ++i) {
    if (IsForbiddenRawByte(static_cast<unsigned char>(segment[i]))) {
      return std::nullopt;
    }
    if (segment[i] != '%') {
      decoded += segment[i];
      continue;
    }
    if (i + 2 >= segment.size()) {
      return std::nullopt;
    }
    const int high = HexDigit(segment[i + 1]);
    const int low = HexDigit(segment[i + 2]);
    if (high < 0 || low < 0 ||
        IsForbiddenDecodedByte(static_cast<unsigned char>(high * 16 + low))) {
      return std::nullopt;
    }
    decoded += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return decoded;
}

// Returns whether a server could interpret the segment as "." or "..". Some
// servers remove ";" parameters before they resolve dot segments, so "..;x" is
// also a dot segment.
bool IsDotSegment(absl::string_view decoded) {
  const absl::string_view name = decoded.substr(0, decoded.find(';'));
  return name == "." || name == "..";
}

}  // namespace

std::optional<RequestPath> ReadRequestPath(absl::string_view path) {
  if (path.empty() || path.front() != '/') {
    return std::nullopt;
  }
  RequestPath result;
  for (const absl::string_view segment : absl::StrSplit(path, '/')) {
    if (segment.empty()) {
      continue;
    }
    const std::optional<std::string> decoded = DecodeSegment(segment);
    if (!decoded || IsDotSegment(*decoded)) {
      return std::nullopt;
    }
    result.decoded += '/';
    result.decoded += *decoded;
    result.encoded += '/';
    result.encoded.append(segment.data(), segment.size());
  }
  if (path.back() == '/') {
    result.decoded += '/';
    result.encoded += '/';
  }
  return result;
}

}  // namespace comfrey
