#include "core/peer_random.h"

#include <cstdint>

namespace comfrey {

std::chrono::milliseconds Jitter(std::chrono::milliseconds period,
                                 std::mt19937_64& rng) {
  std::uniform_int_distribution<std::int64_t> spread(period.count() * 3 / 4,
                                                     period.count() * 5 / 4);
  return std::chrono::milliseconds(spread(rng));
}

}  // namespace comfrey
