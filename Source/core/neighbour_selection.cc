#include "core/neighbour_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

namespace comfrey {
namespace {

constexpr std::size_t kSameDomain = 3;
constexpr std::size_t kOtherDomains = 2;
constexpr std::size_t kOtherRegions = 2;
static_assert(1 + kSameDomain + kOtherDomains + kOtherRegions ==
              kMaxNeighbours);

std::uint64_t HashName(const std::string& name, std::uint64_t seed) {
  return XXH64(name.data(), name.size(), seed);
}

struct Candidate {
  const MemberRecord* record;
  std::uint64_t weight;
};

void AddHeaviest(std::vector<Candidate> candidates,
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

// Random links alone connect a graph only with high probability. A ring through
// all members, ordered by region and failure domain, connects it with certainty
// and leaves each failure domain once; the rendezvous links shorten the paths
// and keep the graph connected when members on the ring fail.
std::vector<std::string> SelectNeighbours(const Membership& membership) {
  const MemberRecord& self = Self(membership);
  const std::uint64_t seed = HashName(self.name, 0);
  const auto before = [](const MemberRecord& a, const MemberRecord& b) {
    const std::uint64_t hash_a = HashName(a.name, 0);
    const std::uint64_t hash_b = HashName(b.name, 0);
    return std::tie(a.region, a.failure_domain, hash_a, a.name) <
           std::tie(b.region, b.failure_domain, hash_b, b.name);
  };
  const MemberRecord* first = nullptr;
  const MemberRecord* next = nullptr;
  std::vector<Candidate> same_domain;
  std::vector<Candidate> other_domains;
  std::vector<Candidate> other_regions;
  for (const auto& [name, entry] : membership.members) {
    const MemberRecord& record = entry.record;
    if (name == self.name || IsDead(record)) {
      continue;
    }
    if (first == nullptr || before(record, *first)) {
      first = &record;
    }
    if (before(self, record) && (next == nullptr || before(record, *next))) {
      next = &record;
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
  if (first == nullptr) {
    return neighbours;
  }
  neighbours.push_back(next != nullptr ? next->name : first->name);
  AddHeaviest(std::move(same_domain), kSameDomain, neighbours);
  AddHeaviest(std::move(other_domains), kOtherDomains, neighbours);
  AddHeaviest(std::move(other_regions), kOtherRegions, neighbours);
  return neighbours;
}

}  // namespace comfrey
