#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/str_split.h"
#include "catch2/catch.hpp"
#include "config/config_store.h"
#include "ctl/command_line.h"
#include "nlohmann/json.hpp"

namespace comfrey {
namespace {

namespace fs = std::filesystem;

constexpr char kTeam[] = R"([team]
generation = 2
[service booking]
endpoints = 127.0.1.1:8081, 127.0.1.2:8081
[rank dispatch]
urgency = 1
target = 250ms
[route book-visit]
service = booking
rank = dispatch
path = /visits
repeat = never
)";

constexpr char kSettings[] = R"([daemon]
address = 127.0.1.1
region = budapest
failure_domain = budapest-a
name = vm-1
[config_service]
address = 127.0.0.1:7300
)";

// A temporary directory with sample files. The destructor removes it.
class TestDirectory {
 public:
  TestDirectory()
      : path(fs::temp_directory_path() / absl::StrCat("ctl_tests-", getpid())) {
    fs::remove_all(this->path);
    fs::create_directories(this->path / "good");
    fs::create_directories(this->path / "bad");
    fs::create_directories(this->path / "none");
    const std::string team = kTeam;
    const auto without = [&](const std::string& text) {
      return absl::StrReplaceAll(team, {{text, ""}});
    };
    this->Write("good/salon.ini", team);
    this->Write("good/garden.ini", team);
    this->Write("good/notes.txt", "not a team");
    this->Write("bad/salon.ini",
                team + "slots = 3\n[rank late]\ntarget = 1\nurgency = 2\n");
    this->Write("bad/two words.ini", team);
    this->Write("bad/empty.ini", "");
    this->Write("bad/large.ini", team + std::string(kMaxValueBytes, '#'));
    this->Write("fewer.ini", without(", 127.0.1.2:8081"));
    this->Write("lower.ini", without("generation = 2\n"));
    this->Write("joining.ini", team +
                                   "[endpoint 127.0.1.2:8081]\n"
                                   "keys = joining\n");
    this->Write("settings", kSettings);
    this->Write("settings-bad",
                absl::StrReplaceAll(kSettings, {{"127.0.1.1", "localhost"}}));
  }
  ~TestDirectory() { fs::remove_all(this->path); }

  TestDirectory(const TestDirectory&) = delete;
  TestDirectory& operator=(const TestDirectory&) = delete;

  fs::path path;

 private:
  void Write(const std::string& name, const std::string& text) const {
    std::ofstream(this->path / name) << text;
  }
};

struct Result {
  ExitCode code;
  std::string out;
  std::string err;
};

// Runs "comfreyctl check"; "@" in `args` stands for the path of the directory.
Result RunCheck(const TestDirectory& directory, const std::string& args) {
  std::vector<std::string> words = absl::StrSplit(
      absl::StrReplaceAll("check " + args, {{"@", directory.path.string()}}),
      ' ', absl::SkipEmpty());
  std::ostringstream out;
  std::ostringstream err;
  const ExitCode code = RunCommandLine(words, {out, err});
  return {code, out.str(), err.str()};
}

// Guards against accepting an invalid file, rejecting a valid one, and
// returning an exit code that makes a script publish an invalid file.
TEST_CASE("files are checked with the validation of the daemon") {
  const TestDirectory directory;
  struct Case {
    std::string args;
    ExitCode code;
    std::vector<std::string> out;
    std::string err;
  };
  const ExitCode ok = ExitCode::kOk;
  const ExitCode problem = ExitCode::kProblem;
  const ExitCode usage = ExitCode::kBadUsage;
  const std::vector<Case> cases = {
      {"@/good/salon.ini", ok, {"salon.ini: ok"}, ""},
      {"@/good", ok, {"garden.ini: ok", "salon.ini: ok"}, ""},
      {"--settings @/settings", ok, {"settings: ok"}, ""},
      // All errors of all files are printed.
      {"@/bad",
       problem,
       {"salon.ini:13: [route book-visit] slots = 3: ",
        "salon.ini:15: [rank late] target = 1: ",
        "\"two words\" is not a valid team name",
        "empty.ini: ", "large.ini: the value has 1048"},
       ""},
      {"@/good --settings @/settings-bad",
       problem,
       {"salon.ini: ok", "settings-bad:2: [daemon] address = localhost: "},
       ""},
      {"@/good/missing.ini", problem, {"missing.ini: "}, ""},
      {"@/none", problem, {}, "has no file TEAM.ini"},
      {"@/settings", usage, {}, "name it TEAM.ini"},
      {"", usage, {}, "nothing to check"},
      {"@/good --against @/fewer.ini", usage, {}, "exactly one file"},
      {"--settings @/settings --against @/x", usage, {}, "exactly one file"},
      {"@/good/salon.ini --against @/good/salon.ini", ok, {"ini: ok"}, ""},
      {"@/good/salon.ini --against @/fewer.ini",
       problem,
       {"warning: ",
        "service booking, endpoint 127.0.1.2:8081: a new "
        "endpoint is active at once; "},
       ""},
      {"@/good/salon.ini --against @/joining.ini",
       ok,
       {"note: ", "a joining endpoint becomes active", "salon.ini: ok"},
       ""},
      {"@/lower.ini --against @/good/salon.ini",
       problem,
       {"warning: ", "the generation is lower"},
       ""},
      {"@/good/salon.ini --against @/bad/salon.ini",
       problem,
       {"bad/salon.ini:13: "},
       ""},
  };
  for (const Case& c : cases) {
    const Result result = RunCheck(directory, c.args);
    INFO(c.args << "\nout: " << result.out << "\nerr: " << result.err);
    CHECK(result.code == c.code);
    for (const std::string& text : c.out) {
      CHECK_THAT(result.out, Catch::Contains(text));
    }
    CHECK_THAT(result.err, Catch::Contains(c.err));
    CHECK(result.err.empty() == c.err.empty());
  }
}

// Guards against JSON output that a script cannot parse or that lacks errors.
TEST_CASE("check prints its result as JSON") {
  const TestDirectory directory;
  const Result result =
      RunCheck(directory,
               "@/good/salon.ini --against @/fewer.ini --json "
               "--settings @/settings-bad");
  CHECK(result.code == ExitCode::kProblem);
  const auto json = nlohmann::json::parse(result.out);
  REQUIRE(json["files"].size() == 2);
  CHECK(json["files"][0]["ok"] == false);
  CHECK(json["files"][0]["errors"].empty());
  CHECK(json["files"][0]["keys_changes"][0]["endpoint"] == "127.0.1.2:8081");
  CHECK(json["files"][0]["keys_changes"][0]["breaks_rule"] == true);
  CHECK(json["files"][1]["errors"][0]["key"] == "address");
  CHECK(json["files"][1]["errors"][0]["line"] == 2);
  CHECK(json["files"][1]["errors"][0]["value"] == "localhost");
}

}  // namespace
}  // namespace comfrey
