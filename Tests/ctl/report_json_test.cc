#include <limits>
#include <string>
#include <vector>

#include "catch2/catch.hpp"
#include "nlohmann/json.hpp"
#include "sample_reports.h"

namespace comfrey {
namespace {

using Json = nlohmann::json;

using RoundTrip = absl::StatusOr<std::string> (*)(absl::string_view);

// Parses a document and renders it again.
template <auto Read, auto Write>
absl::StatusOr<std::string> RoundTripAs(absl::string_view text) {
  auto report = Read(text);
  return report.ok() ? absl::StatusOr<std::string>(Write(*report))
                     : report.status();
}

struct Format {
  const char* document;
  RoundTrip round_trip;
};

const Format kFormats[] = {
    {kStatusJson, &RoundTripAs<&StatusFromJson, &StatusToJson>},
    {kExplanationJson, &RoundTripAs<&ExplanationFromJson, &ExplanationToJson>},
    {kBurnJson, &RoundTripAs<&BurnFromJson, &BurnToJson>},
};

// Guards against a field that only the reader or only the writer has, a unit
// that does not match the key, and a reader that silently uses the default
// value if a daemon of another release does not send a field or sends another
// type.
TEST_CASE("reports keep all fields, and none may be missing or mistyped") {
  for (const Format& format : kFormats) {
    const Json document = Json::parse(format.document);
    const auto rewritten = format.round_trip(format.document);
    INFO(rewritten.status());
    REQUIRE(rewritten.ok());
    CHECK(Json::parse(*rewritten) == document);
    const Json flat = document.flatten();
    for (const auto& item : flat.items()) {
      const Json::json_pointer pointer(item.key());
      if (document[pointer.parent_pointer()].is_array()) {
        continue;
      }
      INFO(item.key());
      Json missing = document;
      missing[pointer.parent_pointer()].erase(pointer.back());
      const auto without = format.round_trip(missing.dump());
      CHECK_THAT(std::string(without.status().message()),
                 Catch::Contains(pointer.back() + " is missing"));
      Json wrong = document;
      wrong[pointer] = Json::parse(R"([{"x": 1}])");
      const auto mistyped = format.round_trip(wrong.dump());
      CHECK_THAT(std::string(mistyped.status().message()),
                 Catch::Contains(pointer.back()));
    }
  }
}

// Guards against integer overflow, and against a crash of the reader.
TEST_CASE("documents with wrong types and values out of range are refused") {
  const Json document = Json::parse(kStatusJson);
  struct Case {
    std::string pointer;
    Json value;
  };
  const std::vector<Case> cases = {
      {"/teams", 17},
      {"/members/0", nullptr},
      {"/endpoints/0/load", -1},
      {"/endpoints/0/load", 4294967296},
      {"/endpoints/0/load", 1.5},
      {"/keys/0/records", -1},
      {"/daemon/uptime_ms", std::numeric_limits<std::uint64_t>::max()},
      {"/daemon/incarnation", 17},
      {"/daemon/incarnation", "-1"},
      {"/teams/0/in_force/content_hash", "xyz"},
      {"/teams/0/refused/errors/0/line", 2147483648},
  };
  for (const Case& c : cases) {
    Json changed = document;
    changed[Json::json_pointer(c.pointer)] = c.value;
    INFO(c.pointer << " " << c.value);
    CHECK_FALSE(StatusFromJson(changed.dump()).ok());
  }
  for (const char* text : {"", "{", "[]", "17", "not ready\n"}) {
    INFO(text);
    CHECK_FALSE(StatusFromJson(text).ok());
  }
}

// Guards against a reader that rejects reports of a newer release, and against
// an exception for bytes that are not valid UTF-8.
TEST_CASE("unknown fields and words, absent parts and raw bytes are accepted") {
  Json document = Json::parse(kStatusJson);
  document["later"] = 1;
  document["members"][0]["state"] = "hibernating";
  document["teams"][0]["in_force"] = nullptr;
  document["teams"][0]["refused"] = nullptr;
  const auto report = StatusFromJson(document.dump());
  INFO(report.status());
  REQUIRE(report.ok());
  CHECK(report->members[0].state == ReportedMemberState::kUnknown);
  CHECK_FALSE(report->teams[0].in_force.has_value());
  CHECK_FALSE(report->teams[0].refused.has_value());

  StatusReport raw = SampleStatus();
  raw.teams[0].refused->errors[0].value = "\xff\"\n";
  const auto read = StatusFromJson(StatusToJson(raw));
  REQUIRE(read.ok());
  CHECK(read->teams[0].refused->errors[0].value == "\xef\xbf\xbd\"\n");
}

}  // namespace
}  // namespace comfrey
