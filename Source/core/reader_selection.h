#ifndef CORE_READER_SELECTION_H_
#define CORE_READER_SELECTION_H_

#include <chrono>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

#include "core/membership.h"

namespace comfrey {

constexpr std::size_t kReadersPerDomain = 2;

/// \brief Age of the newest contact with the configuration service from which
/// a daemon that is not a reader may read directly.
constexpr std::chrono::seconds kStaleConfigAfter{10};

/// \brief Longest random delay after a start before a daemon reads.
constexpr std::chrono::seconds kMaxFirstReadDelay{10};

enum class ReadDecision {
  kNone,
  /// Watch the configuration service continuously.
  kWatch,
  /// Read once, since no reader seems to reach the configuration service.
  kReadOnce,
};

struct ReaderSelection {
  std::chrono::steady_clock::time_point not_before;
  std::chrono::steady_clock::time_point next_random_read;
};

ReaderSelection MakeReaderSelection(std::chrono::steady_clock::time_point now,
                                    std::mt19937_64& rng);

/// \brief Names of the readers of a failure domain, in this view.
std::vector<std::string> SelectReaders(const Membership& membership,
                                       const std::string& failure_domain);

/// \brief Decides whether this daemon reads the configuration service now.
///
/// Call it about once a second. `newest_contact` is the newest contact of any
/// member with the configuration service; a default value means none.
ReadDecision DecideRead(ReaderSelection& selection,
                        const Membership& membership,
                        std::chrono::steady_clock::time_point newest_contact,
                        std::chrono::steady_clock::time_point now,
                        std::mt19937_64& rng);

}  // namespace comfrey

#endif  // CORE_READER_SELECTION_H_
