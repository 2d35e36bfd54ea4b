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

// Logs of two daemons in a folder of their own.
struct Logs {
  Logs() : folder(fs::temp_directory_path() / "comfrey-explain-request") {
    fs::remove_all(this->folder);
    fs::create_directories(this->folder);
    std::ofstream(this->folder / "a.log")
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
    std::ofstream(this->folder / "b.log")
        << "not an event\n"
        << R"({"daemon":"vm-b","time":"2026-01-01T00:00:02.000000Z",)"
        << R"("event":"attempt_refused","request":"7","load":12})"
        << "\n";
  }
  ~Logs() { fs::remove_all(this->folder); }

  ExitCode Explain(const std::string& id, const std::string& second = "b.log") {
    this->out.str("");
    this->err.str("");
    return RunCommandLine(
        {"explain-request", id, (this->folder / "a.log").string(),
         (this->folder / second).string()},
        {this->out, this->err});
  }

  fs::path folder;
  std::ostringstream out;
  std::ostringstream err;
};

// Guards against a story that is out of order, mixes requests or is lost for a
// broken line.
TEST_CASE("the events of one request are printed in order of time") {
  Logs logs;
  CHECK(logs.Explain("7") == ExitCode::kOk);
  const std::string out = logs.out.str();
  const std::size_t received = out.find("request_received");
  const std::size_t refused = out.find("attempt_refused");
  const std::size_t finished = out.find("request_finished");
  REQUIRE(finished != std::string::npos);
  CHECK(received < refused);
  CHECK(refused < finished);
  CHECK(out.find("load=12") != std::string::npos);
  CHECK(out.find("request_received", received + 1) == std::string::npos);
  CHECK(logs.err.str().find("2 lines") != std::string::npos);
}

// Guards against an empty answer that looks like a request without events.
TEST_CASE("an unknown request and an unreadable log are reported") {
  Logs logs;
  CHECK(logs.Explain("8") == ExitCode::kProblem);
  CHECK(logs.err.str().find("no event names") != std::string::npos);
  CHECK(logs.Explain("7", "none.log") == ExitCode::kProblem);
  CHECK(logs.out.str().find("request_received") != std::string::npos);
  std::ostringstream out;
  std::ostringstream err;
  CHECK(RunCommandLine({"explain-request", "7"}, {out, err}) ==
        ExitCode::kBadUsage);
}

}  // namespace
}  // namespace comfrey
