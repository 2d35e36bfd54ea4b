#include "core/deliverable_response.h"

#include <string>
#include <utility>

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

// Guards against a request that ran and whose caller is told that it did not: a
// backend server that fails may use a status that callers take for a promise.
TEST_CASE("an unmarked refusal is not delivered where it is a promise") {
  for (const int status : {408, 421, 429, 503}) {
    INFO(status);
    CHECK_FALSE(MakeDeliverable({status, {}, "x"}, RefusalMeaning::kNotRun));
    CHECK(MakeDeliverable({status, {}, "x"}, RefusalMeaning::kNone)->status ==
          status);
  }
  for (const int status : {200, 304, 400, 404, 409, 500, 502, 504}) {
    INFO(status);
    CHECK(MakeDeliverable({status, {}, "x"}, RefusalMeaning::kNotRun)->status ==
          status);
  }
}

// Guards against a promise of the daemon that a backend server makes with its
// header.
TEST_CASE("only daemons say whether a request ran") {
  const DeliverableResponse response = MakeDeliverable(
      {503, {{"comfrey-outcome", "not-run"}, {"X-Order", "9"}}, ""},
      RefusalMeaning::kNone);
  CHECK(response->headers ==
        std::vector<HttpHeader>({HttpHeader{"X-Order", "9"}}));
}

// Guards against a stored response that is emptied when it is delivered.
TEST_CASE("a response that is shared can be delivered again") {
  DeliverableResponse first =
      MakeDeliverable({200, {}, "struck"}, RefusalMeaning::kNotRun);
  DeliverableResponse second = first;
  CHECK(first.Take().body == "struck");
  CHECK_FALSE(first);
  CHECK(second.Take().body == "struck");
}

}  // namespace
}  // namespace comfrey
