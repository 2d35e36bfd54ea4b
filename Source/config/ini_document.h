#ifndef CONFIG_INI_DOCUMENT_H_
#define CONFIG_INI_DOCUMENT_H_

#include <string>
#include <vector>

#include "absl/strings/string_view.h"

namespace comfrey {

/// \brief One "key = value" line.
struct IniEntry {
  std::string key;
  std::string value;
  int line = 0;
};

/// \brief One section; `kind` is the first word of its heading and `name` the
/// rest, so "[service booking]" has kind "service" and name "booking".
struct IniSection {
  std::string kind;
  std::string name;
  int line = 0;
  std::vector<IniEntry> entries;
};

/// \brief An error in a document, with the place and the remedy.
struct IniError {
  std::string source;
  int line = 0;
  std::string section;
  std::string key;
  std::string value;
  std::string cause;
  std::string remedy;
};

/// \brief Errors listed per document; a damaged value of 1 MB would otherwise
/// fill the memory of the daemon with errors.
inline constexpr std::size_t kMaxIniErrors = 200;

/// \brief Lines read per document. 20,000 lines hold the 340 services, 6,200
/// endpoints and 1,600 routes of the target fleet in one document; a value of
/// 1 MB in short lines would otherwise take more than 20 MB while it is read.
inline constexpr int kMaxIniLines = 20'000;

/// \brief Appends the error, with long texts shortened. The list ends with a
/// note that further errors are not listed, and then stays as it is.
void AddIniError(std::vector<IniError>& errors, IniError error);

/// \brief Whether further errors would not be listed.
bool IsErrorListFull(const std::vector<IniError>& errors);

/// \brief Renders an error on one line.
std::string FormatIniError(const IniError& error);

/// \brief Renders errors one a line.
std::string FormatIniErrors(const std::vector<IniError>& errors);

/// \brief A parsed INI document; sections keep their order.
struct IniDocument {
  std::string source;
  std::vector<IniSection> sections;
};

/// \brief Parses `text`; appends to `errors` each malformed line, repeated
/// section and repeated key. `source` names the file or path in errors.
IniDocument ParseIni(absl::string_view source,
                     absl::string_view text,
                     std::vector<IniError>& errors);

}  // namespace comfrey

#endif  // CONFIG_INI_DOCUMENT_H_
