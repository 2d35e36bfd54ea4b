#ifndef CORE_PEER_RANDOM_H_
#define CORE_PEER_RANDOM_H_

#include <chrono>
#include <cstddef>
#include <random>
#include <vector>

namespace comfrey {

/// \brief Returns a random time of 75% to 125% of the period.
std::chrono::milliseconds Jitter(std::chrono::milliseconds period,
                                 std::mt19937_64& rng);

/// \brief Returns a random element; `values` must not be empty.
template <typename T>
const T& PickRandom(const std::vector<T>& values, std::mt19937_64& rng) {
  std::uniform_int_distribution<std::size_t> index(0, values.size() - 1);
  return values[index(rng)];
}

}  // namespace comfrey

#endif  // CORE_PEER_RANDOM_H_
