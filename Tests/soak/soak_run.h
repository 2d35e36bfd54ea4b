#ifndef TESTS_SOAK_SOAK_RUN_H_
#define TESTS_SOAK_SOAK_RUN_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "soak/soak_plan.h"

namespace comfrey {

/// \brief Result of a soak run.
struct SoakReport {
  /// A line for each promise that was broken.
  std::vector<std::string> broken;
  std::size_t requests = 0;
  std::size_t served = 0;
  std::size_t events = 0;
  /// Longest time for which a backend server that left got requests.
  std::chrono::milliseconds longest_leave{0};
};

/// \brief Runs the system under the faults that the seed draws, and checks the
/// promises of the pages from what callers and backend servers see.
SoakReport RunSoak(std::uint64_t seed,
                   const SoakSize& size,
                   const std::string& log_directory = "");

}  // namespace comfrey

#endif  // TESTS_SOAK_SOAK_RUN_H_
