#ifndef TESTS_CORE_KEY_TEST_TIMES_H_
#define TESTS_CORE_KEY_TEST_TIMES_H_

#include <chrono>

#include "core/attempt_ledger.h"

namespace comfrey {

const KeyTimes kTimes{std::chrono::milliseconds(8'000)};

inline std::chrono::steady_clock::time_point At(int ms) {
  return std::chrono::steady_clock::time_point(std::chrono::milliseconds(ms));
}

inline std::chrono::system_clock::time_point Wall(int ms) {
  return std::chrono::system_clock::time_point(std::chrono::milliseconds(ms));
}

}  // namespace comfrey

#endif  // TESTS_CORE_KEY_TEST_TIMES_H_
