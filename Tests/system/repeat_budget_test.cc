#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "catch2/catch.hpp"
#include "published_documents.h"
#include "system/registry_fleet.h"

namespace comfrey {
namespace {

using std::chrono::milliseconds;

constexpr int kPagePort = 8082;
// Limit of a call that does not wait until the deadline of its parent.
constexpr milliseconds kOwnLimit{1000};

// Value of a counter of a daemon; 0 if it has not counted yet.
int ReadCounter(int vm, const std::string& name) {
  httplib::Client client(AddressOf(vm), kPagePort);
  const httplib::Result page = client.Get("/comfrey/metrics");
  REQUIRE(page);
  for (absl::string_view line : absl::StrSplit(page->body, '\n')) {
    int value = 0;
    if (absl::ConsumePrefix(&line, absl::StrCat(name, " ")) &&
        absl::SimpleAtoi(line, &value)) {
      return value;
    }
  }
  return 0;
}

// Makes a call as a backend server does for a request that it runs. The id of
// the call extends that of its parent, or it has the deadline of its parent.
int Call(int vm,
         const httplib::Request& parent,
         milliseconds spent,
         bool extends_id) {
  int left = 0;
  if (!absl::SimpleAtoi(parent.get_header_value("X-Left"), &left)) {
    return 400;
  }
  httplib::Client client(AddressOf(vm), kCallerPort);
  const httplib::Result result = client.Post(
      "/a/call",
      {{"Host", "shop.example"},
       {"X-Attempt",
        extends_id ? parent.get_header_value("X-Attempt") + ".1" : "8"},
       {"X-Left",
        absl::StrCat(extends_id ? kOwnLimit.count()
                                : left - static_cast<int>(spent.count()))}},
      "body", "text/plain");
  return result ? result->status : 502;
}

// Guards against more repeats than the budget allows because the calls of a
// run that is itself a repeat count as first attempts.
TEST_CASE("calls of a repeated run are charged to the budget of repeats") {
  constexpr milliseconds kWorkBeforeCall{150};
  const bool first_run_fails = GENERATE(true, false);
  const bool extends_id = GENERATE(true, false);
  RegistryFleet fleet;
  std::atomic<int> parent_runs{0};
  const auto work_at = [&](int vm) {
    return [&, vm](const httplib::Request& request) {
      if (request.target != "/a/parent") {
        return 200;
      }
      if (++parent_runs == 1 && first_run_fails) {
        return 500;
      }
      std::this_thread::sleep_for(kWorkBeforeCall);
      return Call(vm, request, kWorkBeforeCall, extends_id);
    };
  };
  fleet.backend_one.work = work_at(1);
  fleet.backend_two.work = work_at(2);
  REQUIRE(WaitFor(RegistryFleet::AreReady));
  fleet.registry.Put(platform::kConfigKey,
                     MakeConfiguration(4, {{"/a/", true}}));
  std::this_thread::sleep_for(milliseconds(2500));
  // Without first attempts there is no budget for a repeat.
  for (int request = 0; request < 20; ++request) {
    CHECK(RegistryFleet::Send(1, "/a/x")->status == 200);
  }
  CHECK(RegistryFleet::Send(1, "/a/parent")->status == 200);
  CHECK(parent_runs == (first_run_fails ? 2 : 1));
  const std::string counter = "comfrey_ingress_calls_of_repeats_total";
  CHECK(ReadCounter(1, counter) + ReadCounter(2, counter) ==
        (first_run_fails ? 1 : 0));
}

}  // namespace
}  // namespace comfrey
