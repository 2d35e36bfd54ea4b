#include "registry/registration_order.h"

#include <string>
#include <vector>

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

using std::chrono::seconds;

// What is known: statement 5 of the start at 100 s, written in era 2.
RegistrationStatement MakeKnown() {
  RegistrationStatement known;
  known.written = {2, 40};
  known.started_at += seconds(100);
  known.sequence = 5;
  return known;
}

RegistrationChange MakeChange(const RegistryRevision& revision,
                              std::uint64_t sequence) {
  RegistrationChange change;
  change.instance = "i-1";
  change.revision = revision;
  change.endpoint.emplace();
  change.endpoint->started_at += seconds(100);
  change.endpoint->sequence = sequence;
  return change;
}

RegistrationChange MakeRemoval(const RegistryRevision& revision) {
  RegistrationChange change;
  change.instance = "i-1";
  change.revision = revision;
  return change;
}

// Guards against an order by revision across eras, which drops what is newer,
// and against none, which takes what a copy says for new.
TEST_CASE("changes are ordered by revision within an era, else by statement") {
  RegistrationChange earlier_start = MakeChange({3, 90}, 9);
  earlier_start.endpoint->started_at -= seconds(1);
  RegistrationChange later_start = MakeChange({3, 7}, 1);
  later_start.endpoint->started_at += seconds(1);
  struct Case {
    std::string name;
    RegistrationChange change;
    ChangeOrder order;
  };
  for (const Case& c : std::vector<Case>{
           {"later revision", MakeChange({2, 41}, 6), ChangeOrder::kNewer},
           {"same revision", MakeChange({2, 40}, 5), ChangeOrder::kNewer},
           {"older", MakeChange({2, 39}, 6), ChangeOrder::kOlderRevision},
           {"older removal", MakeRemoval({2, 39}), ChangeOrder::kOlderRevision},
           {"late response", MakeChange({1, 90}, 6), ChangeOrder::kEarlierEra},
           {"late removal", MakeRemoval({1, 90}), ChangeOrder::kEarlierEra},
           {"copy", MakeChange({3, 39}, 4), ChangeOrder::kEarlierSequence},
           {"same write", MakeChange({3, 40}, 5), ChangeOrder::kNewer},
           {"written again", MakeChange({3, 9}, 6), ChangeOrder::kNewer},
           {"removed again", MakeRemoval({3, 9}), ChangeOrder::kNewer},
           {"earlier start", earlier_start, ChangeOrder::kEarlierStart},
           {"later start", later_start, ChangeOrder::kNewer},
           {"no era", MakeChange({0, 39}, 6), ChangeOrder::kOlderRevision},
       }) {
    INFO(c.name);
    CHECK(CompareChange(MakeKnown(), c.change) == c.order);
  }
}

// Guards against a backend server that is used again because a copy lists it,
// and against one that is never used again after it lapsed and came back.
TEST_CASE("a copy does not bring back what was removed since") {
  RegistrationStatement removed = MakeKnown();
  removed.removed = RegistryRevision{2, 50};
  CHECK(CompareChange(removed, MakeChange({2, 45}, 5)) ==
        ChangeOrder::kOlderRevision);
  CHECK(CompareChange(removed, MakeChange({2, 51}, 6)) == ChangeOrder::kNewer);
  CHECK(CompareChange(removed, MakeChange({3, 40}, 5)) ==
        ChangeOrder::kRemovedSince);
  CHECK(CompareChange(removed, MakeChange({3, 38}, 4)) ==
        ChangeOrder::kEarlierSequence);
  CHECK(CompareChange(removed, MakeChange({3, 42}, 6)) == ChangeOrder::kNewer);
}

// Guards against work for a backend server that drains, by a copy or by a
// writer that does not count.
TEST_CASE("a start that drains does not become ready again by a restore") {
  RegistrationStatement draining = MakeKnown();
  draining.draining = true;
  CHECK(CompareChange(draining, MakeChange({3, 80}, 5)) ==
        ChangeOrder::kEarlierSequence);
  RegistrationChange again = MakeChange({3, 80}, 5);
  again.endpoint->draining = true;
  CHECK(CompareChange(draining, again) == ChangeOrder::kNewer);
}

}  // namespace
}  // namespace comfrey
