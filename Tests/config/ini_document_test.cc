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

// Guards against input that is dropped or cut without a word.
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

}  // namespace
}  // namespace comfrey
