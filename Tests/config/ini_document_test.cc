#include "config/ini_document.h"

#include <string>

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

TEST_CASE("sections, entries and line numbers are read") {
  std::vector<IniError> errors;
  const IniDocument document =
      ParseIni("t.ini",
               "[team]\n; comment\ngeneration = 2\n\n[service booking]\n"
               "endpoints = 127.0.0.1:1, ; first\n  127.0.0.2:1\n"
               "slots = 3 ; inline\n[empty x]\n",
               errors);
  CHECK(errors.empty());
  REQUIRE(document.sections.size() == 3);
  const IniSection& service = document.sections[1];
  CHECK(service.kind == "service");
  CHECK(service.name == "booking");
  CHECK(service.line == 5);
  REQUIRE(service.entries.size() == 2);
  CHECK(service.entries[0].value == "127.0.0.1:1, 127.0.0.2:1");
  CHECK(service.entries[1].value == "3");
  CHECK(service.entries[1].line == 8);
  CHECK(document.sections[2].kind == "empty");
}

// Guards against input that is ignored or truncated without an error.
TEST_CASE("malformed documents are reported with line and remedy") {
  struct Case {
    const char* name;
    std::string text;
    const char* expected;
  };
  const Case cases[] = {
      {"no equals sign", "[team]\nnonsense\n", "t.ini:2: the line is neither"},
      {"repeated key", "[team]\na = 1\nb = 2\na = 3\n", "t.ini:4: [team"},
      {"repeated key on the next line", "[team]\na = 1\na = 3\n",
       "given twice"},
      {"repeated section", "[team]\na = 1\n[x]\n[team]\nb = 1\n",
       "t.ini:4: [team] the section is given twice"},
      {"long line", "[team]\na = " + std::string(300, 'x') + "\n",
       "t.ini:2: the line is longer than 198 characters"},
      {"too many lines", std::string(kMaxIniLines, '\n') + "[x]",
       "t.ini:20001: the document has more than 20000 lines; split it"},
      {"second malformed line", "[team]\nnonsense\na = 1\nmore\n",
       "t.ini:4: the line is neither"},
      {"unclosed heading", "[team]\n[service a\n",
       "t.ini:2: the line is neither"},
      {"text after a heading", "[team] a = 1\n",
       "t.ini:1: text follows the heading"},
      {"repeated section with other spaces", "[x a]\n[x  a ]\n",
       "t.ini:2: [x  a] the section is given twice"},
      {"text after a zero byte", std::string("[team]\na = 1\0b\n", 15),
       "t.ini:2: the line has a control character"},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    std::vector<IniError> errors;
    ParseIni("t.ini", c.text, errors);
    const std::string text = FormatIniErrors(errors);
    INFO(text);
    CHECK(text.find(c.expected) != std::string::npos);
  }
}

// Guards against two limits of inih: it truncates headings at 49 bytes, and a
// continuation line can look like a heading or like another key.
TEST_CASE("long headings and continuation lines are read in full") {
  std::vector<IniError> errors;
  const std::string name(64, 'n');
  const IniDocument document =
      ParseIni("t.ini",
               "[service " + name +
                   "]\r\nendpoints = [::1]:1,\n  [::2]:1, ; second\n"
                   "; comment\n\n  a = b\nslots = 3\n",
               errors);
  INFO(FormatIniErrors(errors));
  CHECK(errors.empty());
  REQUIRE(document.sections.size() == 1);
  CHECK(document.sections[0].name == name);
  REQUIRE(document.sections[0].entries.size() == 2);
  CHECK(document.sections[0].entries[0].value == "[::1]:1, [::2]:1, a = b");
  CHECK(document.sections[0].entries[0].line == 2);
  CHECK(document.sections[0].entries[1].line == 7);
}

}  // namespace
}  // namespace comfrey
