#include "registry/registry_watcher.h"

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "catch2/catch.hpp"

namespace comfrey {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds kTestTimeout{10};

RegistryUpdate MakeListing(std::uint64_t version) {
  RegistryUpdate update;
  update.complete = true;
  update.revision = {0, 5};
  update.config.emplace();
  update.config->version = version;
  return update;
}

RegistrationChange MakeRegistration(const std::string& instance) {
  RegistrationChange change;
  change.instance = instance;
  change.revision = {0, 3};
  change.endpoint.emplace();
  return change;
}

RegistryUpdate MakeRemoval(const std::string& instance) {
  RegistryUpdate update;
  update.revision = {0, 9};
  update.registrations.push_back({instance, std::nullopt, {0, 9}, 9, ""});
  return update;
}

// A registry that returns the results queued by the test. A read waits while no
// result is queued.
class FakeRegistry {
 public:
  RegistrySource Source() {
    return {[this] { return this->Read("list"); },
            [this](const RegistryRevision& revision, milliseconds) {
              return this->Read("watch " + std::to_string(revision.revision));
            },
            [this]() -> absl::StatusOr<RegistryRevision> {
              const std::lock_guard<std::mutex> lock(this->mutex);
              return this->revision;
            },
            [this] { this->QueueResult(absl::UnavailableError("abandoned")); },
            [this] {
              const std::lock_guard<std::mutex> lock(this->mutex);
              this->stopped = true;
              this->changed.notify_all();
            }};
  }

  void SetRevision(absl::StatusOr<RegistryRevision> result) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->revision = std::move(result);
  }

  void QueueResult(absl::StatusOr<RegistryUpdate> result) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->results.push_back(std::move(result));
    this->changed.notify_all();
  }

  std::vector<std::string> WaitForCalls(std::size_t count) {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait_for(lock, kTestTimeout,
                           [&] { return this->calls.size() >= count; });
    return this->calls;
  }

 private:
  absl::StatusOr<RegistryUpdate> Read(const std::string& call) {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->calls.push_back(call);
    this->changed.notify_all();
    this->changed.wait(lock, [this] {
      return this->stopped || this->abandoned || !this->results.empty();
    });
    if (std::exchange(this->abandoned, false)) {
      return absl::UnavailableError("abandoned");
    }
    if (this->results.empty()) {
      return absl::UnavailableError("stopped");
    }
    absl::StatusOr<RegistryUpdate> result = std::move(this->results.front());
    this->results.erase(this->results.begin());
    return result;
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::vector<absl::StatusOr<RegistryUpdate>> results;
  std::vector<std::string> calls;
  absl::StatusOr<RegistryRevision> revision = RegistryRevision();
  bool abandoned = false;
  bool stopped = false;
};

struct Fixture {
  Fixture()
      : watcher(this->registry.Source(),
                this->counters,
                this->confirmation,
                [this](const RegistryView& view) {
                  const std::lock_guard<std::mutex> lock(this->mutex);
                  this->versions.push_back(view.config->version);
                  this->registrations = view.registrations.size();
                }) {
    this->watcher.Start();
  }

  // Lists the backend server i-1, falls silent for 2.5 s, and then lists none.
  void PlaySilence() {
    RegistryUpdate listing = MakeListing(4);
    listing.registrations = {MakeRegistration("i-1")};
    this->registry.QueueResult(listing);
    this->registry.WaitForCalls(2);
    this->registry.SetRevision(absl::DeadlineExceededError("silent"));
    std::this_thread::sleep_for(milliseconds(2500));
    this->registry.SetRevision(RegistryRevision{0, 5});
    this->registry.WaitForCalls(3);
    this->registry.QueueResult(MakeListing(5));
    this->registry.WaitForCalls(4);
  }

  std::vector<std::uint64_t> Versions() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->versions;
  }

  std::size_t Registrations() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->registrations;
  }

  FakeRegistry registry;
  CounterRegistry counters;
  RegistryConfirmation confirmation{Clock::now()};
  std::mutex mutex;
  std::vector<std::uint64_t> versions;
  std::size_t registrations = 0;
  RegistryWatcher watcher;
};

// Guards against the loss of changes that are made between the listing and the
// first watch.
TEST_CASE("the listing is followed by watches from its revision",
          "[registry_watcher]") {
  Fixture fixture;
  fixture.registry.QueueResult(MakeListing(4));
  RegistryUpdate change;
  change.revision = {0, 9};
  change.config.emplace();
  change.config->version = 6;
  fixture.registry.QueueResult(change);
  CHECK(fixture.registry.WaitForCalls(3) ==
        std::vector<std::string>{"list", "watch 5", "watch 9"});
  CHECK(fixture.Versions() == std::vector<std::uint64_t>{4, 6});
}

// Guards against a watcher that continues to watch from a revision which the
// registry no longer has in its history.
TEST_CASE("a lost history is followed by a listing at once",
          "[registry_watcher]") {
  Fixture fixture;
  fixture.registry.QueueResult(MakeListing(4));
  fixture.registry.QueueResult(absl::OutOfRangeError("the history is gone"));
  CHECK(fixture.registry.WaitForCalls(3) ==
        std::vector<std::string>{"list", "watch 5", "list"});
}

// Guards against a fleet that overloads a failing registry with calls. Also
// guards against a watch instead of a listing after a failure: the registry may
// have discarded its history, and a watch sent at that moment gets no response.
TEST_CASE("failed reads are retried with growing delays",
          "[registry_watcher]") {
  Fixture fixture;
  fixture.registry.QueueResult(MakeListing(4));
  const Clock::time_point begin = Clock::now();
  for (int i = 0; i < 5; ++i) {
    fixture.registry.QueueResult(
        absl::UnavailableError("registry is unavailable"));
  }
  const std::vector<std::string> calls = fixture.registry.WaitForCalls(7);
  CHECK(calls[2] == "list");
  CHECK(calls.back() == "list");
  // Sum of the delays, which are at least half of 100, 200, 400, 800 and 1000
  // ms.
  CHECK(Clock::now() - begin >= milliseconds(1250));
  CHECK(fixture.Versions() == std::vector<std::uint64_t>{4});
}

// Guards against a Stop() that waits for the timeout of a watch.
TEST_CASE("a stop ends a watch in progress", "[registry_watcher]") {
  Fixture fixture;
  fixture.registry.QueueResult(MakeListing(4));
  fixture.registry.WaitForCalls(2);
  const Clock::time_point begin = Clock::now();
  fixture.watcher.Stop();
  CHECK(Clock::now() - begin < std::chrono::seconds(4));
}

// Guards against a daemon that never learns of changes, since its watch gets no
// response: the registry received it while it was down, discarded its history,
// or its response was lost.
TEST_CASE("a watch that is behind the registry is followed by a listing",
          "[registry_watcher]") {
  Fixture fixture;
  fixture.registry.QueueResult(MakeListing(4));
  fixture.registry.WaitForCalls(2);
  fixture.registry.SetRevision(RegistryRevision{0, 6});
  CHECK(fixture.registry.WaitForCalls(3) ==
        std::vector<std::string>{"list", "watch 5", "list"});
}

// Guards against a watch that goes on after a drill of the registry, from a
// revision that has another meaning.
TEST_CASE("a watch over a restore of the registry is followed by a listing",
          "[registry_watcher]") {
  Fixture fixture;
  RegistryUpdate listing = MakeListing(4);
  listing.revision = {1, 5};
  fixture.registry.QueueResult(listing);
  fixture.registry.WaitForCalls(2);
  if (GENERATE(true, false)) {
    fixture.registry.SetRevision(RegistryRevision{2, 5});
  } else {
    RegistryUpdate change;
    change.revision = {2, 6};
    fixture.registry.QueueResult(change);
  }
  fixture.registry.WaitForCalls(3);
  RegistryUpdate restored = MakeListing(6);
  restored.revision = {2, 4};
  fixture.registry.QueueResult(restored);
  CHECK(fixture.registry.WaitForCalls(4) ==
        std::vector<std::string>{"list", "watch 5", "list", "watch 4"});
  CHECK(fixture.Versions().back() == 6);
}

// Guards against the same before the registry has a change, since the watch
// would not return that change.
TEST_CASE("a watch over a silence of the registry is followed by a listing",
          "[registry_watcher]") {
  Fixture fixture;
  fixture.registry.QueueResult(MakeListing(4));
  fixture.registry.WaitForCalls(2);
  fixture.registry.SetRevision(absl::DeadlineExceededError("silent"));
  std::this_thread::sleep_for(milliseconds(2500));
  CHECK(fixture.registry.WaitForCalls(2).size() == 2);
  fixture.registry.SetRevision(RegistryRevision{0, 5});
  CHECK(fixture.registry.WaitForCalls(3).back() == "list");
}

// Guards against requests to a backend server that has left, since each watch
// that the registry cuts was taken for an outage, after which removed
// registrations stay in use for a time.
TEST_CASE("a cut watch does not keep a removed registration in use",
          "[registry_watcher]") {
  for (const absl::Status& cut :
       {absl::UnavailableError("the connection was closed"),
        absl::DeadlineExceededError("no complete response"),
        absl::ResourceExhaustedError("status 429")}) {
    INFO(cut);
    Fixture fixture;
    RegistryUpdate listing = MakeListing(4);
    listing.registrations = {MakeRegistration("i-1")};
    fixture.registry.QueueResult(listing);
    fixture.registry.QueueResult(cut);
    if (absl::IsResourceExhausted(cut)) {
      fixture.registry.QueueResult(cut);
    }
    fixture.registry.QueueResult(listing);
    fixture.registry.QueueResult(MakeRemoval("i-1"));
    fixture.registry.WaitForCalls(absl::IsResourceExhausted(cut) ? 6 : 5);
    CHECK(fixture.Registrations() == 0);
  }
}

// Guards against requests to a backend server that has left, since reads that
// failed for a moment, as on a busy VM, were taken for an outage.
TEST_CASE("reads that fail for a moment do not hold a removal back",
          "[registry_watcher]") {
  const bool listing_fails = GENERATE(true, false);
  Fixture fixture;
  RegistryUpdate listing = MakeListing(4);
  listing.registrations = {MakeRegistration("i-1")};
  fixture.registry.QueueResult(listing);
  fixture.registry.WaitForCalls(2);
  if (listing_fails) {
    fixture.registry.QueueResult(absl::OutOfRangeError("the history is gone"));
    fixture.registry.QueueResult(absl::DeadlineExceededError("late"));
    fixture.registry.QueueResult(MakeListing(4));
  } else {
    fixture.registry.SetRevision(absl::DeadlineExceededError("late"));
    std::this_thread::sleep_for(milliseconds(1700));
    fixture.registry.QueueResult(MakeRemoval("i-1"));
  }
  fixture.registry.WaitForCalls(listing_fails ? 5 : 3);
  CHECK(fixture.Registrations() == 0);
}

// Guards against a removal that is held back after an outage for longer than
// the time in which backend servers register again, since the watcher pauses
// after an unrelated change.
TEST_CASE("a removal that is held back takes effect on time",
          "[registry_watcher]") {
  constexpr milliseconds kSlack{200};
  Fixture fixture;
  fixture.PlaySilence();
  const Clock::time_point reconnected_at = Clock::now();
  std::this_thread::sleep_for(milliseconds(1600));
  CHECK(fixture.Registrations() == 1);
  RegistryUpdate unrelated;
  unrelated.revision = {0, 12};
  unrelated.config.emplace();
  unrelated.config->version = 6;
  fixture.registry.QueueResult(unrelated);
  std::this_thread::sleep_until(reconnected_at + kReregistrationTime + kSlack);
  CHECK(fixture.Registrations() == 0);
}

// Guards against a loss of capacity after an outage that only the supervision
// of the watch has seen: registrations of running backend servers expired.
TEST_CASE("registrations are kept after a silence of the registry",
          "[registry_watcher]") {
  Fixture fixture;
  fixture.PlaySilence();
  CHECK(fixture.Versions().back() == 5);
  CHECK(fixture.Registrations() == 1);
}

}  // namespace
}  // namespace comfrey
