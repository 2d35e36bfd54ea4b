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

/// \brief One section. `kind` is the first word of its heading and `name` the
/// rest: "[service booking]" has the kind "service" and the name "booking".
struct IniSection {
  std::string kind;
  std::string name;
  int line = 0;
  std::vector<IniEntry> entries;
};

/// \brief An error in a document: its place, its cause and how to correct it.
struct IniError {
  /// File or path of the document.
  std::string source;
  /// Counted from 1; 0 if the error does not belong to one line.
  int line = 0;
  std::string section;
  std::string key;
  std::string value;
  std::string cause;
  std::string remedy;
};

/// \brief Largest number of errors listed per document. Without a limit, a
/// damaged value of 1 MB could fill the memory of the daemon with errors.
inline constexpr std::size_t kMaxIniErrors = 200;

/// \brief Largest number of lines read per document. 20,000 lines are enough
/// for the 340 services, 6,200 endpoints and 1,600 routes of the target fleet
/// in one document. Without a limit, a value of 1 MB that consists of short
/// lines takes more than 20 MB of memory while it is parsed.
inline constexpr int kMaxIniLines = 20'000;

/// \brief Appends the error and truncates its long texts. The last place of the
/// list is used for a note that further errors are not listed; a full list does
/// not change.
void AddIniError(std::vector<IniError>& errors, IniError error);

/// \brief Returns whether the list is full, so that AddIniError ignores further
/// errors.
bool IsErrorListFull(const std::vector<IniError>& errors);

/// \brief Renders an error on one line.
std::string FormatIniError(const IniError& error);

/// \brief Renders the errors, each on a line of its own.
std::string FormatIniErrors(const std::vector<IniError>& errors);

/// \brief A parsed INI document; the sections are in the order of the text.
struct IniDocument {
  std::string source;
  std::vector<IniSection> sections;
};

/// \brief Parses `text`; appends an error for each malformed line, repeated
/// section and repeated key. `source` is the file or path named in errors.
IniDocument ParseIni(absl::string_view source,
                     absl::string_view text,
                     std::vector<IniError>& errors);

}  // namespace comfrey

#endif  // CONFIG_INI_DOCUMENT_H_
