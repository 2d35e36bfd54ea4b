#include "ctl/text_table.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace comfrey {

std::string ReplaceControlCharacters(absl::string_view text) {
  std::string plain(text);
  std::replace_if(
      plain.begin(), plain.end(),
      [](unsigned char c) { return c != '\n' && absl::ascii_iscntrl(c); }, '?');
  return plain;
}

std::string RenderTable(const TableRows& rows, absl::string_view indent) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); i++) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows) {
    std::string line(indent);
    for (std::size_t i = 0; i < row.size(); i++) {
      std::string cell = ReplaceControlCharacters(row[i]);
      std::replace(cell.begin(), cell.end(), '\n', '?');
      cell.resize(widths[i], ' ');
      absl::StrAppend(&line, i == 0 ? "" : "  ", cell);
    }
    absl::StrAppend(&text, absl::StripTrailingAsciiWhitespace(line), "\n");
  }
  return text;
}

}  // namespace comfrey
