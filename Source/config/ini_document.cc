#include "config/ini_document.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace comfrey {
namespace {

// inih truncates lines at 200 bytes, including the line end and the terminating
// zero byte.
constexpr std::size_t kMaxLineLength = 198;

// Longest text in one field of an error. A value with continuation lines may be
// much longer.
constexpr std::size_t kMaxErrorTextBytes = 300;

// State of ParseIni. inih calls ReadLine for each line and HandleEntry for each
// line with a value. Line numbers and headings are tracked here, because inih
// does not report empty sections or the numbers of valid lines, truncates
// headings at 49 bytes and reports only the first malformed line.
struct ParseState {
  IniDocument* document;
  std::vector<IniError>* errors;
  // Text after the current line.
  absl::string_view remaining;
  // Current line without its line end.
  absl::string_view raw_line;
  int line = 0;
  // Whether the current line is blank, a comment, a heading or an entry.
  bool line_accepted = true;
  // Index of the current section; npos before the first heading.
  std::size_t section = absl::string_view::npos;
  // Whether the current section has an entry that an indented line continues.
  bool has_entry = false;
  // Index of each section by heading.
  absl::flat_hash_map<std::string, std::size_t> sections;
  // Index of the section and key of each entry.
  absl::flat_hash_set<std::string> keys;
};

void AddLineError(ParseState& state,
                  absl::string_view cause,
                  absl::string_view remedy) {
  AddIniError(*state.errors, {state.document->source, state.line, "", "", "",
                              std::string(cause), std::string(remedy)});
}

// Starts the section with the given heading. Entries before the first heading
// belong to a section without a name, for which `line` is 0.
void BeginSection(ParseState& state, absl::string_view heading, int line) {
  const absl::string_view trimmed = absl::StripAsciiWhitespace(heading);
  const std::size_t space = trimmed.find_first_of(" \t");
  const std::string kind(trimmed.substr(0, space));
  const std::string name(
      space == absl::string_view::npos
          ? ""
          : absl::StripAsciiWhitespace(trimmed.substr(space)));
  std::vector<IniSection>& sections = state.document->sections;
  const auto [found, added] =
      state.sections.emplace(absl::StrCat(kind, " ", name), sections.size());
  state.section = found->second;
  state.has_entry = false;
  if (added) {
    sections.push_back({kind, name, line, {}});
    return;
  }
  AddIniError(
      *state.errors,
      {state.document->source, line, std::string(trimmed), "", "",
       "the section is given twice", "merge the two sections into one"});
}

void CheckLine(ParseState& state) {
  if (state.raw_line.size() > kMaxLineLength) {
    AddLineError(
        state,
        absl::StrCat("the line is longer than ", kMaxLineLength, " characters"),
        "continue the value on an indented line");
  }
  const bool control = std::any_of(
      state.raw_line.begin(), state.raw_line.end(),
      [](unsigned char c) { return absl::ascii_iscntrl(c) && c != '\t'; });
  if (control) {
    AddLineError(state, "the line has a control character",
                 "write the value as plain text");
  }
}

// Accepts the lines for which inih does not call HandleEntry: blank lines,
// comments and headings.
void ClassifyLine(ParseState& state) {
  const absl::string_view text = absl::StripAsciiWhitespace(state.raw_line);
  state.line_accepted =
      text.empty() || text.front() == ';' || text.front() == '#';
  const bool continuation =
      state.has_entry &&
      absl::ascii_isspace(state.raw_line.empty() ? 'x'
                                                 : state.raw_line.front());
  if (state.line_accepted || continuation || text.front() != '[') {
    return;
  }
  const std::size_t close = text.find(']');
  if (close == absl::string_view::npos ||
      text.substr(0, close).find(" ;") != absl::string_view::npos) {
    return;
  }
  state.line_accepted = true;
  BeginSection(state, text.substr(1, close - 1), state.line);
  const absl::string_view after =
      absl::StripLeadingAsciiWhitespace(text.substr(close + 1));
  if (!after.empty() && after.front() != ';') {
    AddLineError(state, "text follows the heading",
                 "write it on a line of its own");
  }
}

// Reports the current line if neither ClassifyLine nor HandleEntry accepted it.
void FinishLine(ParseState& state) {
  if (!state.line_accepted) {
    AddLineError(state, "the line is neither a section nor \"key = value\"",
                 "correct or remove the line");
  }
  state.line_accepted = true;
}

// Supplies the next line to inih; the signature is that of fgets.
char* ReadLine(char* buffer, int size, void* stream) {
  ParseState& state = *static_cast<ParseState*>(stream);
  FinishLine(state);
  if (state.remaining.empty()) {
    return nullptr;
  }
  const std::size_t end = state.remaining.find('\n');
  if (++state.line > kMaxIniLines) {
    AddLineError(
        state,
        absl::StrCat("the document has more than ", kMaxIniLines, " lines"),
        "split it, for example into several teams");
    return nullptr;
  }
  state.raw_line = state.remaining.substr(0, end);
  state.remaining.remove_prefix(
      end == absl::string_view::npos ? state.remaining.size() : end + 1);
  if (!state.raw_line.empty() && state.raw_line.back() == '\r') {
    state.raw_line.remove_suffix(1);
  }
  CheckLine(state);
  ClassifyLine(state);
  const std::size_t length =
      std::min(state.raw_line.size(), static_cast<std::size_t>(size) - 1);
  std::memcpy(buffer, state.raw_line.data(), length);
  buffer[length] = '\0';
  return buffer;
}

// Removes a comment after a value. inih does not remove comments from
// continuation lines.
absl::string_view StripComment(absl::string_view value) {
  for (std::size_t i = 1; i < value.size(); ++i) {
    if (value[i] == ';' && absl::ascii_isspace(value[i - 1])) {
      return absl::StripTrailingAsciiWhitespace(value.substr(0, i));
    }
  }
  return value;
}

int HandleEntry(void* user,
                const char* /*heading*/,
                const char* key,
                const char* value) {
  ParseState& state = *static_cast<ParseState*>(user);
  state.line_accepted = true;
  if (state.section == absl::string_view::npos) {
    BeginSection(state, "", 0);
  }
  IniSection& section = state.document->sections[state.section];
  if (state.has_entry && absl::ascii_isspace(state.raw_line.front())) {
    absl::StrAppend(&section.entries.back().value, " ", StripComment(value));
    return 1;
  }
  if (!state.keys.insert(absl::StrCat(state.section, " ", key)).second) {
    AddIniError(*state.errors,
                {state.document->source, state.line,
                 absl::StrCat(section.kind, section.name.empty() ? "" : " ",
                              section.name),
                 key, value, "the key is given twice in this section",
                 "keep one of the two lines"});
  }
  section.entries.push_back({key, value, state.line});
  state.has_entry = true;
  return 1;
}

}  // namespace

void AddIniError(std::vector<IniError>& errors, IniError error) {
  if (IsErrorListFull(errors)) {
    return;
  }
  for (std::string* text : {&error.section, &error.key, &error.value,
                            &error.cause, &error.remedy}) {
    if (text->size() > kMaxErrorTextBytes) {
      text->resize(kMaxErrorTextBytes);
      text->append("...");
    }
  }
  if (errors.size() + 1 == kMaxIniErrors) {
    errors.push_back({error.source, 0, "", "", "",
                      "further errors are not listed",
                      "correct the listed errors first"});
    return;
  }
  errors.push_back(std::move(error));
}

bool IsErrorListFull(const std::vector<IniError>& errors) {
  return errors.size() >= kMaxIniErrors;
}

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
  ParseState state;
  state.document = &document;
  state.errors = &errors;
  state.remaining = text;
  // The result is the number of the first malformed line. It is not needed,
  // because FinishLine reports every malformed line.
  ini_parse_stream(&ReadLine, &state, &HandleEntry, &state);
  return document;
}

}  // namespace comfrey
