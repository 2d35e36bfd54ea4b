#include <chrono>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_replace.h"
#include "base/counters.h"
#include "catch2/catch.hpp"
#include "ctl/command_line.h"
#include "ctl/daemon_client.h"
#include "ctl/explain_command.h"
#include "daemon/broken_responses.h"
#include "daemon/raw_socket.h"
#include "fake_daemon.h"
#include "nlohmann/json.hpp"
#include "sample_reports.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

struct Result {
  ExitCode code;
  std::string out;
  std::string err;
};

Result Run(const std::vector<std::string>& args) {
  std::ostringstream out;
  std::ostringstream err;
  const ExitCode code = RunCommandLine(args, {out, err});
  return {code, out.str(), err.str()};
}

std::string SampleCounters() {
  CounterRegistry counters;
  counters.Counter("requests_total", {{"rank", "a\"b\\\n,}"}, {"team", "s"}})
      .Add(7);
  counters.Gauge("queue_length").Set(-3);
  return counters.Render();
}

std::map<std::string, FakePage> SamplePages() {
  return {{"/comfrey/status", {StatusToJson(SampleStatus())}},
          {"/comfrey/explain", {ExplanationToJson(SampleExplanation())}},
          {"/comfrey/burn", {BurnToJson(SampleBurn())}},
          {"/comfrey/metrics", {SampleCounters()}}};
}

// A port of a loopback address on which nothing listens.
constexpr char kClosedAddress[] = "127.3.9.9:9";

// Guards against a command that runs despite invalid arguments, and against
// error messages that do not name the faulty argument or the remedy.
TEST_CASE("wrong arguments are refused with exit code 2") {
  struct Case {
    std::vector<std::string> args;
    std::string err;
  };
  const std::vector<Case> cases = {
      {{}, "Usage: comfreyctl COMMAND"},
      {{"nosuch"}, "unknown command \"nosuch\""},
      {{"status"}, "--daemon is missing"},
      {{"status", "--daemon", "vm-1:8080"}, "host names are not resolved"},
      {{"status", "--daemon", "127.0.0.1:1,"}, "--daemon \"\": "},
      {{"status", "--daemon", "127.0.0.1:1, 127.0.0.1:1"}, "listed twice"},
      {{"status", "--daemon", kClosedAddress, "vm-1"}, "unexpected argument"},
      {{"status", "--daemon", kClosedAddress, "--timeout", "5"}, "--timeout: "},
      {{"status", "--daemon", kClosedAddress, "--timeout", "0s"},
       "out of range"},
      {{"status", "--nosuch=1"}, "--nosuch=1"},
      {{"status", "-x"}, "-x"},
      {{"status", "--json=1"}, "--json=1"},
      {{"status", "--daemon"}, "--daemon needs a value"},
      {{"burn", "--daemon", "a", "--daemon", "b"}, "--daemon is given twice"},
      {{"drain", "--daemon", kClosedAddress}, "name one endpoint"},
      {{"drain", "vm-1:80", "--daemon", kClosedAddress},
       "endpoint \"vm-1:80\""},
      {{"drain", "127.3.9.9:80"}, "--daemon is missing"},
      {{"undrain", "127.3.9.8:80", "--daemon", kClosedAddress},
       "use --daemon 127.3.9.8:9"},
      {{"drain", "127.3.9.9:80", "--daemon", "127.3.9.9:9,127.3.9.8:9"},
       "takes one"},
      {{"explain", "GET", "--daemon", kClosedAddress},
       "the method and the path"},
      {{"explain", "get", "/x", "--daemon", kClosedAddress}, "upper case"},
      {{"explain", "GET", "x", "--daemon", kClosedAddress}, "is not a path"},
      {{"explain", "GET", "/x", "--daemon", kClosedAddress, "--header", "A"},
       "is not a header"},
      {{"explain", "GET", "/x", "--daemon", "127.3.9.9:9,127.3.9.8:9"},
       "takes one"},
      {{"burn", "--daemon", kClosedAddress, "x"}, "unexpected argument"},
      {{"counters", "a", "b", "--daemon", kClosedAddress}, "several prefixes"},
  };
  for (const Case& c : cases) {
    INFO(absl::StrJoin(c.args, " "));
    const Result result = Run(c.args);
    CHECK(result.code == ExitCode::kBadUsage);
    CHECK(result.out.empty());
    CHECK_THAT(result.err, Catch::Contains(c.err));
  }
}

// Guards against a command without help, and against help that lacks an option
// or the exit codes.
TEST_CASE("the overview and each command have help") {
  const Result overview = Run({"--help"});
  CHECK(overview.code == ExitCode::kOk);
  for (const Command& command : Commands()) {
    INFO(command.name);
    CHECK_THAT(overview.out, Catch::Contains(std::string(command.summary)));
    const Result help = Run({std::string(command.name), "--help"});
    CHECK(help.code == ExitCode::kOk);
    CHECK_THAT(help.out, Catch::Contains(absl::StrCat("Usage: comfreyctl ",
                                                      command.name)) &&
                             Catch::Contains("3  a daemon did not respond"));
    for (const OptionSpec& option : command.options) {
      CHECK_THAT(help.out, Catch::Contains("--" + option.name));
    }
  }
}

// Guards against exit code 0 if the connection is refused or the daemon does
// not respond, and against error messages that lack the operation, the daemon,
// the cause or the remedy.
TEST_CASE("a daemon that does not respond gives exit code 3") {
  std::map<std::string, FakePage> pages = SamplePages();
  for (auto& [path, page] : pages) {
    page.delay = milliseconds(400);
  }
  FakeDaemon silent("127.3.1.1", pages);
  silent.drain_delay = milliseconds(400);
  struct Case {
    std::vector<std::string> args;
    std::string address;
    std::string err;
  };
  const std::string http = silent.HttpAddress();
  const std::vector<Case> cases = {
      {{"status"},
       kClosedAddress,
       "read the status from 127.3.9.9:9: the connection "
       "was refused; check that"},
      {{"status"}, http, "read the status from " + http + ": no complete"},
      {{"burn"}, http, "read the burn report from " + http + ": no complete"},
      {{"counters"}, http, "read the counters from " + http + ": no complete"},
      {{"explain", "GET", "/x"}, http, "explain the request from " + http},
      {{"drain", "127.3.9.9:80"},
       kClosedAddress,
       "drain 127.3.9.9:80 at 127.3.9.9:9"},
      {{"drain", "127.3.1.1:80"}, silent.PeerAddress(), "no reply in time"},
  };
  for (const Case& c : cases) {
    std::vector<std::string> args = c.args;
    args.insert(args.end(), {"--timeout", "100ms", "--daemon", c.address});
    const Result result = Run(args);
    INFO(absl::StrJoin(args, " ") << "\n" << result.err);
    CHECK(result.code == ExitCode::kUnreachable);
    CHECK_THAT(result.err, Catch::Contains(c.err));
  }
}

// Guards against a command that waits without limit for a daemon that sends
// byte by byte, and against one that buffers a reply of unlimited size.
TEST_CASE("slow and oversized replies are cut off") {
  FakePage slow;
  slow.streamed_bytes = 200;
  FakePage large;
  large.streamed_bytes = kMaxReplyBytes + 1;
  large.chunk_size = std::size_t{8} << 20;
  const FakeDaemon daemon(
      "127.3.1.2", {{"/comfrey/status", slow}, {"/comfrey/metrics", large}});
  const auto start = steady_clock::now();
  const Result result =
      Run({"status", "--daemon", daemon.HttpAddress(), "--timeout", "200ms"});
  CHECK(result.code == ExitCode::kUnreachable);
  // The whole reply takes 4 s.
  CHECK(steady_clock::now() - start < std::chrono::seconds(2));
  const Result oversized = Run({"counters", "--daemon", daemon.HttpAddress()});
  CHECK(oversized.code == ExitCode::kProblem);
  CHECK_THAT(oversized.err, Catch::Contains("too large"));
}

// Guards against a reply that does not come from a daemon of this release and
// is shown as a result or reported as an unreachable daemon.
TEST_CASE("unusable replies give exit code 1") {
  const FakeDaemon daemon("127.3.1.3", {{"/comfrey/status", {"{}"}},
                                        {"/comfrey/explain", {"not ready"}},
                                        {"/comfrey/burn", {"{}", 503}},
                                        {"/comfrey/metrics", {"a b\n"}}});
  const std::vector<std::pair<std::vector<std::string>, std::string>> cases = {
      {{"status"}, "field daemon is missing"},
      {{"explain", "GET", "/x"}, "the document is not JSON"},
      {{"burn"}, "/comfrey/burn has HTTP status 503"},
      {{"counters"}, "the line \"a b\" is not a counter"},
  };
  for (const auto& [command, err] : cases) {
    std::vector<std::string> args = command;
    args.insert(args.end(), {"--daemon", daemon.HttpAddress()});
    INFO(args[0]);
    const Result result = Run(args);
    CHECK(result.code == ExitCode::kProblem);
    CHECK_THAT(result.err,
               Catch::Contains(daemon.HttpAddress()) && Catch::Contains(err));
  }
}

// Guards against a page that is shown although its response is not HTTP, or is
// a part of one.
TEST_CASE("a broken reply is not shown") {
  constexpr char kIp[] = "127.3.1.9";
  std::vector<BrokenResponse> replies =
      MakeBrokenResponses("", SampleCounters());
  replies.push_back(
      {"cut without a length", "HTTP/1.1 200 OK\r\n\r\nrequests_total 1\n"});
  for (const BrokenResponse& broken : replies) {
    INFO(broken.name);
    const RawServer server(
        kIp, [&](RawSocket& socket, int) { SendBroken(socket, broken); });
    const std::string address = absl::StrCat(kIp, ":", server.Port());
    const Result result = Run({"counters", "--daemon", address});
    CHECK(result.code != ExitCode::kOk);
    CHECK(result.out.empty());
    CHECK_THAT(result.err,
               Catch::Contains("read the counters from " + address));
  }
}

// Guards against output without the reports of the other daemons if one daemon
// does not respond, and against output without its error.
TEST_CASE("status compares daemons and reports those that fail") {
  StatusReport other = SampleStatus();
  other.daemon.name = "vm-2";
  other.teams[0].in_force->version.revision = 41;
  const FakeDaemon first("127.3.1.4", SamplePages());
  const FakeDaemon second("127.3.1.5",
                          {{"/comfrey/status", {StatusToJson(other)}}});
  const std::string both = first.HttpAddress() + ", " + second.HttpAddress();
  const Result compared = Run({"status", "--daemon", both});
  CHECK(compared.code == ExitCode::kProblem);
  const std::string alive_member = "vm-1    127.0.1.1";
  CHECK_THAT(compared.out, Catch::Contains("vm-2     OLDER") &&
                               Catch::Contains("daemon vm-2 at") &&
                               !Catch::Contains(alive_member));
  const Result all = Run({"status", "--all", "--daemon", both});
  CHECK_THAT(all.out, Catch::Contains(alive_member));
  const Result partial = Run({"status", "--json", "--daemon",
                              absl::StrCat(kClosedAddress, ",", both)});
  CHECK(partial.code == ExitCode::kUnreachable);
  const auto json = nlohmann::json::parse(partial.out);
  CHECK(json["daemons"].size() == 2);
  CHECK(json["daemons"][1]["daemon"]["name"] == "vm-2");
  CHECK(json["failures"][0]["daemon"] == kClosedAddress);
  CHECK(json["versions_differ"] == true);
}

// Guards against exchanging drain and undrain, sending the endpoint in another
// form, and reporting success although the daemon refused the call.
TEST_CASE("drain and undrain reach the owner") {
  FakeDaemon daemon("127.3.1.6", {});
  const std::string peer = daemon.PeerAddress();
  const Result drained = Run({"drain", "127.3.1.6:8081", "--daemon", peer});
  CHECK(drained.code == ExitCode::kOk);
  CHECK(drained.out == "127.3.1.6:8081: draining, 4 requests in flight\n");
  const Result undrained =
      Run({"undrain", "127.3.1.6:8082", "--daemon", peer, "--json"});
  CHECK(undrained.code == ExitCode::kOk);
  CHECK(undrained.out ==
        "{\"endpoint\":\"127.3.1.6:8082\",\"draining\":false,"
        "\"in_flight\":4}\n");
  REQUIRE(daemon.drains.size() == 2);
  CHECK(daemon.drains[0].endpoint() == "127.3.1.6:8081");
  CHECK(daemon.drains[0].draining());
  CHECK(daemon.drains[1].endpoint() == "127.3.1.6:8082");
  CHECK_FALSE(daemon.drains[1].draining());

  daemon.drain_status = {grpc::StatusCode::NOT_FOUND, "no such endpoint"};
  const Result failed = Run({"drain", "127.3.1.6:8081", "--daemon", peer});
  CHECK(failed.code == ExitCode::kProblem);
  CHECK(failed.out.empty());
  CHECK_THAT(failed.err, Catch::Contains(peer + ": no such endpoint; "));
}

// Guards against a request that is changed on the way to the daemon, for
// example by losing one of two headers with the same name.
TEST_CASE("explain passes the request on unchanged") {
  const FakeDaemon daemon("127.3.1.7", SamplePages());
  const std::vector<std::string> args = {"explain",
                                         "POST",
                                         "--header",
                                         "X-Caller: a&b=c",
                                         "--daemon",
                                         daemon.HttpAddress(),
                                         "--key=k+1 %41#",
                                         "--header=X-Caller: second",
                                         "--",
                                         "/salon/visits?a=1&b=%2F+x"};
  const Result result = Run(args);
  CHECK(result.code == ExitCode::kOk);
  CHECK(result.out == RenderExplanation(SampleExplanation()));
  CHECK(daemon.parameters ==
        std::vector<std::string>{
            "header=X-Caller: a&b=c", "header=X-Caller: second", "key=k+1 %41#",
            "method=POST", "target=/salon/visits?a=1&b=%2F+x"});
  const Result json =
      Run({"explain", "GET", "/x", "--json", "--daemon", daemon.HttpAddress()});
  CHECK(json.out == ExplanationToJson(SampleExplanation()));
}

// Guards against a sum that lacks a daemon without saying so.
TEST_CASE("burn sums daemons and says how many") {
  const FakeDaemon first("127.3.1.8", SamplePages());
  const FakeDaemon second("127.3.1.9", SamplePages());
  const std::string both = first.HttpAddress() + "," + second.HttpAddress();
  const Result sum = Run({"burn", "--daemon", both});
  CHECK(sum.code == ExitCode::kOk);
  CHECK_THAT(sum.out, Catch::StartsWith("sum of 2 of 2 daemons\n") &&
                          Catch::Contains("5.00 (100/2000)"));
  const Result partial =
      Run({"burn", "--daemon", absl::StrCat(both, ",", kClosedAddress)});
  CHECK(partial.code == ExitCode::kUnreachable);
  CHECK_THAT(partial.out, Catch::StartsWith("sum of 2 of 3 daemons\n"));
  const auto json = BurnFromJson(Run({"burn", "--json", "--daemon", both}).out);
  REQUIRE(json.ok());
  CHECK(json->ranks[0].windows[0].missed == 100);
}

// Guards against missing counters and wrongly parsed labels.
TEST_CASE("counters are read, filtered and printed") {
  const FakeDaemon daemon("127.3.1.10", SamplePages());
  const std::string address = daemon.HttpAddress();
  const Result all = Run({"counters", "--daemon", address});
  CHECK(all.code == ExitCode::kOk);
  CHECK(all.out ==
        "queue_length                             -3\n"
        "requests_total{rank=\"a\"b\\?,}\",team=\"s\"}  7\n");
  const Result some =
      Run({"counters", "requests", "--json", "--daemon", address});
  CHECK(some.code == ExitCode::kOk);
  const auto json = nlohmann::json::parse(some.out);
  REQUIRE(json["counters"].size() == 1);
  CHECK(json["counters"][0]["labels"]["rank"] == "a\"b\\\n,}");
  CHECK(json["counters"][0]["labels"]["team"] == "s");
  CHECK(json["counters"][0]["value"] == 7);
  CHECK(json["counters"][0]["kind"] == "counter");
  const Result none = Run({"counters", "nosuch", "--daemon", address});
  CHECK(none.code == ExitCode::kProblem);
  CHECK_THAT(none.err, Catch::Contains("no counter begins with \"nosuch\""));
}

}  // namespace
}  // namespace comfrey
