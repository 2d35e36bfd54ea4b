#include "daemon/owner_client.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "daemon/raw_socket.h"

namespace comfrey {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds kTrialTimeout{300};
constexpr int kOwners = 8;

// Accepts a connection and sends nothing until it is closed.
void StaySilent(RawSocket& socket, int /*connection*/) {
  bool closed = false;
  socket.Receive([](const std::string&) { return false; },
                 std::chrono::seconds(5), closed);
}

// Guards against owners that stay out of use because the trials of other
// suspect paths come first and each waits for its timeout.
TEST_CASE("the trials of suspect paths do not wait for each other",
          "[owner_client]") {
  const RawServer first("127.9.6.1", StaySilent);
  std::vector<std::string> ips = {"127.9.6.1"};
  for (int i = 2; i <= kOwners; ++i) {
    ips.push_back("127.9.6." + std::to_string(i));
  }
  ChannelPool channels(16);
  OwnerClient owners(channels, first.Port());
  const Clock::time_point begin = Clock::now();
  const std::vector<std::optional<Clock::time_point>> replied_at =
      owners.RefreshStamps(ips, begin + kTrialTimeout, [] { return false; });
  const auto took =
      std::chrono::duration_cast<milliseconds>(Clock::now() - begin);
  CHECK(replied_at ==
        std::vector<std::optional<Clock::time_point>>(ips.size()));
  CHECK(took < 2 * kTrialTimeout);
}

}  // namespace
}  // namespace comfrey
