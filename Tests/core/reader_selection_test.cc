#include "core/reader_selection.h"

#include <functional>

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

using std::chrono::hours;
using std::chrono::seconds;
using Time = std::chrono::steady_clock::time_point;

constexpr std::size_t kDomains = 7;

struct Fleet {
  std::vector<Membership> views;
  std::vector<ReaderSelection> selections;
  std::vector<std::mt19937_64> rngs;
};

// The view of each member contains the members for which `sees(viewer, member)`
// holds.
Fleet MakeFleet(std::size_t members,
                Time start,
                const std::function<bool(std::size_t, std::size_t)>& sees) {
  Fleet fleet;
  for (std::size_t i = 0; i < members; ++i) {
    const auto record = [](std::size_t k) {
      MemberRecord r;
      r.name = "vm-" + std::to_string(k);
      r.failure_domain = "domain-" + std::to_string(k % kDomains);
      r.sequence = 4;
      return r;
    };
    Membership view = MakeMembership(record(i), start);
    for (std::size_t k = 0; k < members; ++k) {
      if (k != i && sees(i, k)) {
        MergeRecord(view, record(k), start);
      }
    }
    fleet.views.push_back(std::move(view));
    fleet.rngs.emplace_back(100 + i);
    fleet.selections.push_back(MakeReaderSelection(start, fleet.rngs.back()));
  }
  return fleet;
}

// Returns the calls per second to the configuration service. A reader, which
// watches it continuously, counts as one call per second.
double CallRate(Fleet& fleet, Time from, int duration, Time newest_contact) {
  std::size_t calls = 0;
  for (int second = 0; second < duration; ++second) {
    for (std::size_t i = 0; i < fleet.views.size(); ++i) {
      const ReadDecision decision =
          DecideRead(fleet.selections[i], fleet.views[i], newest_contact,
                     from + seconds(second), fleet.rngs[i]);
      calls += decision == ReadDecision::kNone ? 0 : 1;
    }
  }
  return static_cast<double>(calls) / duration;
}

bool SeesAll(std::size_t, std::size_t) {
  return true;
}

bool SeesHalf(std::size_t viewer, std::size_t member) {
  return viewer / kDomains % 2 == member / kDomains % 2;
}

// Guards against a load on the configuration service that grows with the number
// of members, also during a partition or when the service has been unreachable
// for hours.
TEST_CASE("the call rate does not depend on the number of members") {
  struct Case {
    const char* name;
    bool (*sees)(std::size_t, std::size_t);
    bool fresh;
    double views;
  };
  const Case cases[] = {
      {"fresh", SeesAll, true, 1},
      {"fresh, views split in two", SeesHalf, true, 2},
      {"service away for hours", SeesAll, false, 1},
      {"service away, views split", SeesHalf, false, 2},
  };
  for (const Case& c : cases) {
    for (const std::size_t members : {44, 440}) {
      INFO(c.name << ", " << members << " members");
      const Time start{hours(1)};
      const Time now = start + hours(3);
      Fleet fleet = MakeFleet(members, start, c.sees);
      const Time contact = c.fresh ? now + seconds(300) : start;
      // There are two readers per failure domain and view. While no reader
      // reaches the service, each other member of a view of n members calls
      // with probability 1/n per second, which adds less than one call per
      // second.
      const double readers = 2.0 * kDomains * c.views;
      const double others =
          c.fresh ? 0 : c.views * (1 - readers / static_cast<double>(members));
      CHECK(CallRate(fleet, now, 100, contact) ==
            Approx(readers + others).margin(0.4));
    }
  }
}

// Guards against a burst of reads when a whole fleet starts with empty views.
TEST_CASE("the first reads of a fleet are spread over the start delay") {
  const Time start{hours(1)};
  Fleet fleet =
      MakeFleet(440, start, [](std::size_t, std::size_t) { return false; });
  std::size_t before = 0;
  for (int second = 0; second <= 10; ++second) {
    std::size_t ready = 0;
    for (const ReaderSelection& selection : fleet.selections) {
      ready += selection.not_before <= start + seconds(second) ? 1 : 0;
    }
    // The bound is twice the average of 44 calls per second. The service
    // handles 2,000 calls per second.
    CHECK(ready - before <= 2 * 440 / 10);
    before = ready;
  }
  CHECK(before == 440);
}

// Guards against a failure domain that has live members but too few readers.
TEST_CASE("the readers are live members of the failure domain") {
  const Time start{hours(1)};
  Membership view = MakeFleet(70, start, SeesAll).views[0];
  const auto readers = SelectReaders(view, "domain-0");
  REQUIRE(readers.size() == 2);
  const std::string first = readers[0] == view.self ? readers[1] : readers[0];
  MemberRecord record = *FindMember(view, first);
  record.state = MemberState::kLeaving;
  record.sequence += 4;
  MergeRecord(view, record, start);
  const auto next = SelectReaders(view, "domain-0");
  REQUIRE(next.size() == 2);
  CHECK(std::count(next.begin(), next.end(), first) == 0);
  CHECK(SelectReaders(view, "domain-9").empty());
}

}  // namespace
}  // namespace comfrey
