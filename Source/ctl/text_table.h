#ifndef CTL_TEXT_TABLE_H_
#define CTL_TEXT_TABLE_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace comfrey {

/// \brief Rows of cells; the first row may be a heading.
using TableRows = std::vector<std::vector<std::string>>;

/// \brief Renders rows with aligned columns, each line after `indent`.
///
/// Control characters are replaced, since names and reasons come from other
/// processes and may contain escape sequences for the terminal.
std::string RenderTable(const TableRows& rows, absl::string_view indent);

/// \brief Replaces control characters other than line ends with "?".
std::string ReplaceControlCharacters(absl::string_view text);

}  // namespace comfrey

#endif  // CTL_TEXT_TABLE_H_
