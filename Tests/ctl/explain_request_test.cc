#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

#include "catch2/catch.hpp"
#include "ctl/command_line.h"

namespace comfrey {
namespace {

namespace fs = std::filesystem;

// Logs of two daemons in a temporary directory, and the output of the command.
struct LogFixture {
  LogFixture()
      : directory(fs::temp_directory_path() / "comfrey-explain-request") {
    fs::remove_all(this->directory);
    fs::create_directories(this->directory);
    std::ofstream(this->directory / "a.log")
        << R"({"daemon":"vm-a","time":"2026-01-01T00:00:01.000000Z",)"
        << R"("event":"request_received","request":"7","rank":"orders"})"
        << "\n"
        << R"({"daemon":"vm-a","time":"2026-01-01T00:00:03.000000Z",)"
        << R"("event":"request_finished","request":"7","status":503})"
        << "\n"
        << R"({"daemon":"vm-a","time":"2026-01-01T00:00:04.000000Z",)"
        << R"("event":"request_received","request":"77"})"
        << "\n"
        << R"({"daemon":"vm-a","time":)"
        << "\n";
    std::ofstream(this->directory / "b.log")
        << "not an event\n"
        << R"({"daemon":"vm-b","time":"2026-01-01T00:00:02.000000Z",)"
        << R"("event":"attempt_refused","request":"7","load":12})"
        << "\n";
  }
  ~LogFixture() { fs::remove_all(this->directory); }

  ExitCode Explain(const std::string& id, const std::string& second = "b.log") {
    this->out.str("");
    this->err.str("");
    return RunCommandLine(
        {"explain-request", id, (this->directory / "a.log").string(),
         (this->directory / second).string()},
        {this->out, this->err});
  }

  fs::path directory;
  std::ostringstream out;
  std::ostringstream err;
};

// Guards against events that are out of order or belong to another request, and
// against losing events because another line is malformed.
TEST_CASE("the events of one request are printed in order of time") {
  LogFixture fixture;
  CHECK(fixture.Explain("7") == ExitCode::kOk);
  const std::string out = fixture.out.str();
  const std::size_t received = out.find("request_received");
  const std::size_t refused = out.find("attempt_refused");
  const std::size_t finished = out.find("request_finished");
  REQUIRE(finished != std::string::npos);
  CHECK(received < refused);
  CHECK(refused < finished);
  CHECK(out.find("load=12") != std::string::npos);
  CHECK(out.find("request_received", received + 1) == std::string::npos);
  CHECK(fixture.err.str().find("2 lines") != std::string::npos);
}

// Guards against empty output without an error, for example if the id of the
// request is unknown or a log cannot be opened.
TEST_CASE("an unknown request and an unreadable log are reported") {
  LogFixture fixture;
  CHECK(fixture.Explain("8") == ExitCode::kProblem);
  CHECK(fixture.err.str().find("no event names") != std::string::npos);
  CHECK(fixture.Explain("7", "none.log") == ExitCode::kProblem);
  CHECK(fixture.out.str().find("request_received") != std::string::npos);
  std::ostringstream out;
  std::ostringstream err;
  CHECK(RunCommandLine({"explain-request", "7"}, {out, err}) ==
        ExitCode::kBadUsage);
}

}  // namespace
}  // namespace comfrey
