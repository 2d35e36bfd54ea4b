#include "core/membership.h"

#include "catch2/catch.hpp"
#include "core/rumor_buffer.h"

namespace comfrey {
namespace {

using std::chrono::hours;
using std::chrono::seconds;
using Time = std::chrono::steady_clock::time_point;

const Time kStart{hours(1)};

MemberRecord Record(std::uint64_t incarnation,
                    std::uint64_t sequence,
                    MemberState state,
                    const std::string& name = "vm-2") {
  MemberRecord record;
  record.name = name;
  record.address = "10.0.0.2";
  record.incarnation = incarnation;
  record.sequence = sequence;
  record.state = state;
  return record;
}

Membership View() {
  return MakeMembership(Record(7, 0, MemberState::kAlive, "vm-1"), kStart);
}

// Guards against an old or refuted record that replaces a newer one.
TEST_CASE("records are ordered by incarnation and sequence") {
  struct Case {
    const char* name;
    MemberRecord held;
    MemberRecord received;
    MergeResult expected;
    MemberState state;
  };
  const auto alive = MemberState::kAlive;
  const auto suspect = MemberState::kSuspect;
  const auto leaving = MemberState::kLeaving;
  const auto dead = MemberState::kDead;
  const Case cases[] = {
      {"older sequence", Record(5, 8, alive), Record(5, 4, leaving),
       MergeResult::kIgnored, alive},
      {"same", Record(5, 8, alive), Record(5, 8, alive),
       MergeResult::kDuplicate, alive},
      {"older incarnation", Record(5, 4, alive), Record(4, 400, leaving),
       MergeResult::kIgnored, alive},
      {"restart", Record(5, 400, leaving), Record(6, 4, alive),
       MergeResult::kUrgent, alive},
      {"restart of a dead member", Record(5, 5, suspect), Record(6, 4, alive),
       MergeResult::kUrgent, alive},
      {"suspicion", Record(5, 4, alive), Record(5, 5, suspect),
       MergeResult::kUrgent, suspect},
      {"late suspicion", Record(5, 8, alive), Record(5, 5, suspect),
       MergeResult::kIgnored, alive},
      {"refutation", Record(5, 5, suspect), Record(5, 8, alive),
       MergeResult::kRefuted, alive},
      {"refutation by a leaving member", Record(5, 5, suspect),
       Record(5, 8, leaving), MergeResult::kUrgent, leaving},
      {"death after suspicion", Record(5, 5, suspect), Record(5, 6, dead),
       MergeResult::kNormal, dead},
      {"death without suspicion", Record(5, 4, alive), Record(5, 6, dead),
       MergeResult::kNormal, suspect},
      {"leaving", Record(5, 4, alive), Record(5, 8, leaving),
       MergeResult::kUrgent, leaving},
      {"leaving is kept", Record(5, 4, leaving), Record(5, 8, alive),
       MergeResult::kBackground, leaving},
      {"a suspected member stays leaving", Record(5, 4, leaving),
       Record(5, 5, suspect), MergeResult::kUrgent, leaving},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    Membership view = View();
    MergeRecord(view, c.held, kStart);
    CHECK(MergeRecord(view, c.received, kStart) == c.expected);
    CHECK(FindMember(view, "vm-2")->state == c.state);
  }
}

// Guards against a member that accepts a claim that it is dead, and against an
// old process that refutes the records of its successor.
TEST_CASE("a member refutes claims about its own incarnation only") {
  struct Case {
    const char* name;
    MemberRecord received;
    std::uint64_t sequence;
    bool replaced;
  };
  const Case cases[] = {
      {"suspicion", Record(7, 5, MemberState::kSuspect, "vm-1"), 8, false},
      {"death", Record(7, 6, MemberState::kDead, "vm-1"), 8, false},
      {"late claim", Record(7, 2, MemberState::kDead, "vm-1"), 4, false},
      {"older incarnation", Record(6, 50, MemberState::kDead, "vm-1"), 4,
       false},
      {"newer incarnation", Record(8, 4, MemberState::kAlive, "vm-1"), 4, true},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    Membership view = View();
    MergeRecord(view, c.received, kStart);
    CHECK(Self(view).sequence == c.sequence);
    CHECK(Self(view).state == MemberState::kAlive);
    CHECK(view.replaced == c.replaced);
  }
}

// Guards against a removed record of a dead member that is added again from a
// member that still holds it, and against digests that differ only because of
// dead members.
TEST_CASE("dead members are kept for retries and then forgotten") {
  Membership view = View();
  const std::uint64_t empty = view.digest;
  MergeRecord(view, Record(5, 4, MemberState::kAlive), kStart);
  REQUIRE(view.live_count == 2);
  REQUIRE(SuspectMember(view, "vm-2", kStart));
  CHECK(ExpireMembers(view, kStart + seconds(5)).empty());
  const Time died = kStart + kSuspicionTimeout;
  CHECK(ExpireMembers(view, died) == std::vector<std::string>{"vm-2"});
  CHECK(view.live_count == 1);
  CHECK(view.digest == empty);
  ExpireMembers(view, died + kDeadRetention);
  CHECK(FindMember(view, "vm-2") != nullptr);
  ExpireMembers(view, died + kDeadRetention + seconds(1));
  CHECK(FindMember(view, "vm-2") == nullptr);
  CHECK(MergeRecord(view, Record(5, 6, MemberState::kDead), kStart) ==
        MergeResult::kIgnored);
}

// Guards against an abbreviated endpoint that matches the address of another
// member.
TEST_CASE("statuses are published without what receivers know") {
  EndpointStatus status;
  status.endpoint = "10.0.0.2:8081";
  status.team = "orders";
  status.load = 3;
  MemberRecord record = Record(5, 4, MemberState::kAlive);
  record.endpoints = {MakePublishedStatus(status, record.address)};
  status.endpoint = "10.0.0.23:9";
  record.endpoints.push_back(MakePublishedStatus(status, record.address));
  CHECK(record.endpoints[0].endpoint == ":8081");
  CHECK(record.endpoints[0].team.empty());
  CHECK(record.endpoints[0].load == 0);
  CHECK(FindStatus(record, "10.0.0.2:8081") == &record.endpoints[0]);
  CHECK(FindStatus(record, "10.0.0.23:9") == &record.endpoints[1]);
  CHECK(FindStatus(record, "10.0.0.3:8081") == nullptr);
}

// Guards against rumors that exceed the byte limit of a message, and against
// urgent rumors that are sent after others.
TEST_CASE("rumors are sent a limited number of times, urgent ones first") {
  Membership view = View();
  RumorBuffer buffer;
  for (int i = 2; i < 30; ++i) {
    const std::string name = "vm-" + std::to_string(i);
    MergeRecord(view, Record(5, 4, MemberState::kAlive, name), kStart);
    AddRumor(buffer, name, MergeResult::kNormal);
  }
  AddRumor(buffer, "vm-2", MergeResult::kUrgent);
  std::map<std::string, unsigned> sent;
  for (int message = 0; message < 200; ++message) {
    std::size_t bytes = 0;
    for (const MemberRecord& record :
         TakeRumors(buffer, view, MergeResult::kBackground, 100)) {
      bytes += EncodedSize(record);
      ++sent[record.name];
    }
    CHECK(bytes <= 100);
    if (message == 0) {
      CHECK(sent.count("vm-2") == 1);
    }
  }
  CHECK(buffer.rumors.empty());
  for (const auto& [name, count] : sent) {
    INFO(name);
    CHECK(count == RumorSpreadLimit(name == "vm-2" ? MergeResult::kUrgent
                                                   : MergeResult::kNormal,
                                    view.live_count));
  }
}

}  // namespace
}  // namespace comfrey
