#include "config/ini_document.h"

#include <ini.h>

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace comfrey {
namespace {

struct ParseState {
  IniDocument* document;
  std::vector<IniError>* errors;
};

// Returns the section with the heading, adding it at its first use.
IniSection& SectionFor(IniDocument& document, absl::string_view heading) {
  const std::size_t space = heading.find(' ');
  const absl::string_view kind = heading.substr(0, space);
  const absl::string_view name =
      space == absl::string_view::npos
          ? ""
          : absl::StripAsciiWhitespace(heading.substr(space));
  const auto found = std::find_if(
      document.sections.begin(), document.sections.end(),
      [&](const IniSection& s) { return s.kind == kind && s.name == name; });
  if (found != document.sections.end()) {
    return *found;
  }
  document.sections.push_back({std::string(kind), std::string(name), 0, {}});
  return document.sections.back();
}

int HandleEntry(void* user,
                const char* heading,
                const char* key,
                const char* value) {
  ParseState& state = *static_cast<ParseState*>(user);
  IniSection& section = SectionFor(*state.document, heading);
  // The library reports an indented continuation line as the same key again.
  if (!section.entries.empty() && section.entries.back().key == key) {
    absl::StrAppend(&section.entries.back().value, " ", value);
    return 1;
  }
  section.entries.push_back({key, value, 0});
  return 1;
}

// The library cuts lines at 200 bytes, with the line end and the terminator.
constexpr std::size_t kMaxLineLength = 198;

void CheckLineLength(const IniDocument& document,
                     int line,
                     absl::string_view text,
                     std::vector<IniError>& errors) {
  if (text.size() <= kMaxLineLength) {
    return;
  }
  errors.push_back(
      {document.source, line, "", "", "",
       absl::StrCat("the line is longer than ", kMaxLineLength, " characters"),
       "continue the value on an indented line"});
}

void SetEntryLine(const IniDocument& document,
                  IniSection& section,
                  absl::string_view raw,
                  int line,
                  std::vector<IniError>& errors) {
  const bool continuation = absl::ascii_isspace(raw.front());
  const std::size_t equals = raw.find_first_of("=:");
  if (continuation || equals == absl::string_view::npos) {
    return;
  }
  const absl::string_view key =
      absl::StripAsciiWhitespace(raw.substr(0, equals));
  const auto entry =
      std::find_if(section.entries.begin(), section.entries.end(),
                   [&](const IniEntry& e) { return e.key == key; });
  if (entry == section.entries.end()) {
    return;
  }
  if (entry->line == 0) {
    entry->line = line;
    return;
  }
  errors.push_back(
      {document.source, line, absl::StrCat(section.kind, " ", section.name),
       entry->key,
       std::string(absl::StripAsciiWhitespace(raw.substr(equals + 1))),
       "the key is given twice in this section", "keep one of the two lines"});
}

// Finds line numbers, which the library does not report for good lines, and
// the headings of empty sections, which it does not report at all.
void AddLines(IniDocument& document,
              absl::string_view text,
              std::vector<IniError>& errors) {
  int line = 0;
  std::string heading;
  std::vector<std::string> headings;
  for (const absl::string_view raw : absl::StrSplit(text, '\n')) {
    ++line;
    CheckLineLength(document, line, raw, errors);
    const absl::string_view current = absl::StripAsciiWhitespace(raw);
    if (current.empty() || current.front() == ';' || current.front() == '#') {
      continue;
    }
    const std::size_t close = current.find(']');
    if (current.front() == '[' && close != absl::string_view::npos) {
      heading = std::string(current.substr(1, close - 1));
      SectionFor(document, heading).line = line;
      if (std::find(headings.begin(), headings.end(), heading) !=
          headings.end()) {
        errors.push_back({document.source, line, heading, "", "",
                          "the section is given twice",
                          "merge the two sections into one"});
      }
      headings.push_back(heading);
      continue;
    }
    SetEntryLine(document, SectionFor(document, heading), raw, line, errors);
  }
}

}  // namespace

std::string FormatIniError(const IniError& error) {
  std::string text = error.source;
  if (error.line > 0) {
    absl::StrAppend(&text, ":", error.line);
  }
  text += ": ";
  if (!error.section.empty()) {
    absl::StrAppend(&text, "[", error.section, "] ");
  }
  if (!error.key.empty()) {
    absl::StrAppend(&text, error.key, " = ", error.value, ": ");
  }
  absl::StrAppend(&text, error.cause, "; ", error.remedy);
  return text;
}

std::string FormatIniErrors(const std::vector<IniError>& errors) {
  std::string text;
  for (const IniError& error : errors) {
    absl::StrAppend(&text, FormatIniError(error), "\n");
  }
  return text;
}

IniDocument ParseIni(absl::string_view source,
                     absl::string_view text,
                     std::vector<IniError>& errors) {
  IniDocument document;
  document.source = std::string(source);
  ParseState state{&document, &errors};
  const std::string copy(text);
  const int bad_line = ini_parse_string(copy.c_str(), &HandleEntry, &state);
  if (bad_line != 0) {
    errors.push_back({document.source, bad_line, "", "", "",
                      "the line is neither a section nor \"key = value\"",
                      "correct or remove the line"});
  }
  AddLines(document, text, errors);
  return document;
}

}  // namespace comfrey
