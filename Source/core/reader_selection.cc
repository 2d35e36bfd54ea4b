#include "core/reader_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <tuple>
#include <utility>

namespace comfrey {
namespace {

using Time = std::chrono::steady_clock::time_point;

constexpr std::chrono::seconds kRandomReadPeriod{1};

}  // namespace

// A daemon that has just started knows few members and therefore selects itself
// as a reader. The random delay spreads the resulting calls to the
// configuration service when a whole fleet starts.
ReaderSelection MakeReaderSelection(Time now, std::mt19937_64& rng) {
  std::uniform_int_distribution<std::int64_t> delay(
      0, std::chrono::milliseconds(kMaxFirstReadDelay).count());
  const Time start = now + std::chrono::milliseconds(delay(rng));
  return {start, start};
}

std::vector<std::string> SelectReaders(const Membership& membership,
                                       const std::string& failure_domain) {
  const std::uint64_t seed =
      XXH64(failure_domain.data(), failure_domain.size(), 0);
  // A leaving member is a reader only if too few other members are live.
  std::vector<std::tuple<bool, std::uint64_t, std::string>> candidates;
  for (const auto& [name, entry] : membership.members) {
    if (entry.record.failure_domain == failure_domain &&
        !IsDead(entry.record)) {
      candidates.emplace_back(entry.record.state != MemberState::kLeaving,
                              XXH64(name.data(), name.size(), seed), name);
    }
  }
  const std::size_t count = std::min(kReadersPerDomain, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(), std::greater<>());
  std::vector<std::string> readers;
  for (std::size_t i = 0; i < count; ++i) {
    readers.push_back(std::get<2>(candidates[i]));
  }
  return readers;
}

ReadDecision DecideRead(ReaderSelection& selection,
                        const Membership& membership,
                        Time newest_contact,
                        Time now,
                        std::mt19937_64& rng) {
  if (now < selection.not_before) {
    return ReadDecision::kNone;
  }
  const std::vector<std::string> readers =
      SelectReaders(membership, Self(membership).failure_domain);
  if (std::find(readers.begin(), readers.end(), membership.self) !=
      readers.end()) {
    return ReadDecision::kWatch;
  }
  const bool stale =
      newest_contact == Time() || now - newest_contact > kStaleConfigAfter;
  if (!stale || now < selection.next_random_read) {
    return ReadDecision::kNone;
  }
  // With n live members, each one reads with probability 1/n, so that about one
  // of them reads per period regardless of the size of the fleet.
  selection.next_random_read = now + kRandomReadPeriod;
  std::uniform_int_distribution<std::size_t> draw(1, membership.live_count);
  return draw(rng) == 1 ? ReadDecision::kReadOnce : ReadDecision::kNone;
}

}  // namespace comfrey
