#include "ctl/version_differences.h"

#include "catch2/catch.hpp"
#include "sample_reports.h"

namespace comfrey {
namespace {

// Guards against a difference that is not reported: an older revision, a lower
// generation with a greater revision, other content, or a missing team.
TEST_CASE("versions in force are compared") {
  struct Case {
    std::optional<TeamInForce> in_force;
    VersionNote expected;
  };
  const TeamInForce newest{{2, 5}, 9, false};
  const std::vector<Case> cases = {
      {newest, VersionNote::kNewest},
      {TeamInForce{{2, 4}, 9, false}, VersionNote::kOlder},
      {TeamInForce{{1, 99}, 9, false}, VersionNote::kOlder},
      {TeamInForce{{2, 5}, 8, false}, VersionNote::kConflict},
      {std::nullopt, VersionNote::kMissing},
  };
  for (const Case& c : cases) {
    StatusReport first = SampleStatus();
    first.teams = {{"salon", newest, std::nullopt}};
    StatusReport second = SampleStatus();
    second.daemon.name = "vm-2";
    second.teams = {{"salon", c.in_force, std::nullopt}};
    INFO("expected note " << static_cast<int>(c.expected));
    for (const auto& reports : {std::vector<StatusReport>{first, second},
                                std::vector<StatusReport>{second, first}}) {
      const auto groups = GroupVersions(reports);
      REQUIRE(!groups.empty());
      CHECK(groups[0].note == VersionNote::kNewest);
      CHECK(groups.back().note == c.expected);
      if (c.expected == VersionNote::kNewest) {
        CHECK(groups.size() == 1);
        CHECK(groups[0].daemons.size() == 2);
      } else {
        REQUIRE(groups.size() == 2);
        CHECK(groups[0].daemons == std::vector<std::string>{"vm-1"});
        CHECK(groups[1].daemons == std::vector<std::string>{"vm-2"});
      }
    }
  }
}

}  // namespace
}  // namespace comfrey
