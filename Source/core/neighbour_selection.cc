#include "core/neighbour_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

namespace comfrey {
namespace {

constexpr std::size_t kSameDomainNeighbours = 3;
constexpr std::size_t kOtherDomainNeighbours = 2;
constexpr std::size_t kOtherRegionNeighbours = 2;
static_assert(1 + kSameDomainNeighbours + kOtherDomainNeighbours +
                  kOtherRegionNeighbours ==
              kMaxNeighbours);

std::uint64_t HashName(const std::string& name, std::uint64_t seed) {
  return XXH64(name.data(), name.size(), seed);
}

struct Candidate {
  const MemberRecord* record;
  std::uint64_t weight;
};

// Adds up to `count` candidates with the highest weights that are not yet
// neighbours.
void AddHighestWeighted(std::vector<Candidate> candidates,
                        std::size_t count,
                        std::vector<std::string>& neighbours) {
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tie(a.weight, a.record->name) >
                     std::tie(b.weight, b.record->name);
            });
  for (const Candidate& candidate : candidates) {
    if (count == 0) {
      return;
    }
    if (std::find(neighbours.begin(), neighbours.end(),
                  candidate.record->name) == neighbours.end()) {
      neighbours.push_back(candidate.record->name);
      --count;
    }
  }
}

}  // namespace

// Links to random members connect the graph only with high probability. A ring
// of all members always connects it. The ring is ordered by region and failure
// domain, so that one of its links leaves each failure domain. Further links,
// which are chosen by rendezvous hashing, shorten the paths and keep the graph
// connected when members of the ring fail.
std::vector<std::string> SelectNeighbours(const Membership& membership) {
  const MemberRecord& self = Self(membership);
  const std::uint64_t seed = HashName(self.name, 0);
  const auto before = [](const MemberRecord& a, const MemberRecord& b) {
    const std::uint64_t hash_a = HashName(a.name, 0);
    const std::uint64_t hash_b = HashName(b.name, 0);
    return std::tie(a.region, a.failure_domain, hash_a, a.name) <
           std::tie(b.region, b.failure_domain, hash_b, b.name);
  };
  const MemberRecord* ring_start = nullptr;
  const MemberRecord* ring_successor = nullptr;
  std::vector<Candidate> same_domain;
  std::vector<Candidate> other_domains;
  std::vector<Candidate> other_regions;
  for (const auto& [name, entry] : membership.members) {
    const MemberRecord& record = entry.record;
    if (name == self.name || IsDead(record)) {
      continue;
    }
    if (ring_start == nullptr || before(record, *ring_start)) {
      ring_start = &record;
    }
    if (before(self, record) &&
        (ring_successor == nullptr || before(record, *ring_successor))) {
      ring_successor = &record;
    }
    const Candidate candidate{&record, HashName(name, seed)};
    if (record.region != self.region) {
      other_regions.push_back(candidate);
    } else if (record.failure_domain != self.failure_domain) {
      other_domains.push_back(candidate);
    } else {
      same_domain.push_back(candidate);
    }
  }
  std::vector<std::string> neighbours;
  if (ring_start == nullptr) {
    return neighbours;
  }
  neighbours.push_back(ring_successor != nullptr ? ring_successor->name
                                                 : ring_start->name);
  AddHighestWeighted(std::move(same_domain), kSameDomainNeighbours, neighbours);
  AddHighestWeighted(std::move(other_domains), kOtherDomainNeighbours,
                     neighbours);
  AddHighestWeighted(std::move(other_regions), kOtherRegionNeighbours,
                     neighbours);
  return neighbours;
}

}  // namespace comfrey
