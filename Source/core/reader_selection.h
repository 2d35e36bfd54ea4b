#ifndef CORE_READER_SELECTION_H_
#define CORE_READER_SELECTION_H_

#include <chrono>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

#include "core/membership.h"

namespace comfrey {

/// \brief Number of members per failure domain that watch the configuration
/// service continuously; these members are called readers.
constexpr std::size_t kReadersPerDomain = 2;

/// \brief Age of the newest contact of any member with the configuration
/// service above which daemons that are not readers may also read from it.
constexpr std::chrono::seconds kStaleConfigAfter{10};

/// \brief Maximum of the random delay between the start of a daemon and its
/// first read.
constexpr std::chrono::seconds kMaxFirstReadDelay{10};

enum class ReadDecision {
  /// Do not read.
  kNone,
  /// Watch the configuration service continuously.
  kWatch,
  /// Read once, because the readers apparently do not reach the configuration
  /// service.
  kReadOnce,
};

struct ReaderSelection {
  /// End of the random delay after the start.
  std::chrono::steady_clock::time_point not_before;
  /// Earliest time of the next random decision on `kReadOnce`.
  std::chrono::steady_clock::time_point next_random_read;
};

ReaderSelection MakeReaderSelection(std::chrono::steady_clock::time_point now,
                                    std::mt19937_64& rng);

/// \brief Returns the names of the readers of a failure domain, according to
/// this view.
std::vector<std::string> SelectReaders(const Membership& membership,
                                       const std::string& failure_domain);

/// \brief Decides whether this daemon reads the configuration service now.
///
/// Call it about once a second. `newest_contact` is the time of the newest
/// known contact of any member with the configuration service; a default value
/// means that none is known.
ReadDecision DecideRead(ReaderSelection& selection,
                        const Membership& membership,
                        std::chrono::steady_clock::time_point newest_contact,
                        std::chrono::steady_clock::time_point now,
                        std::mt19937_64& rng);

}  // namespace comfrey

#endif  // CORE_READER_SELECTION_H_
