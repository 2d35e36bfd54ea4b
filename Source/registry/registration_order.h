#ifndef REGISTRY_REGISTRATION_ORDER_H_
#define REGISTRY_REGISTRATION_ORDER_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "absl/strings/string_view.h"
#include "registry/registry_revision.h"
#include "registry/registry_update.h"

namespace comfrey {

/// \brief What a daemon last learned of the registration of a backend server.
struct RegistrationStatement {
  /// The write that the rest was read from.
  RegistryRevision written;
  /// Where the registration was removed; absent if it is in use.
  std::optional<RegistryRevision> removed;
  std::chrono::system_clock::time_point started_at;
  std::uint64_t sequence = 0;
  bool draining = false;
};

/// \brief Why a change of a registration is used or not.
enum class ChangeOrder {
  kNewer,
  kOlderRevision,    ///< It precedes what is known in the same era.
  kEarlierEra,       ///< It was read before the registry was restored.
  kEarlierStart,     ///< The copy has an earlier start of the backend server.
  kEarlierSequence,  ///< The copy has an earlier statement of the same start.
  kRemovedSince,     ///< The registration was removed after the copy was made.
};

/// \brief Name of the order for logs and metrics, for example "older_revision".
absl::string_view ChangeOrderName(ChangeOrder order);

/// \brief Returns whether a change is newer than what is known.
ChangeOrder CompareChange(const RegistrationStatement& known,
                          const RegistrationChange& change);

/// \brief How the history of a read relates to the history that is known.
enum class HistoryOrder {
  kSame,
  kEarlierEra,  ///< A late response, from before the registry was restored.
  kRestored,    ///< The registry was restored from a copy since.
};

/// \brief Compares the eras of two positions. A position without an era counts
/// as one of the known era.
HistoryOrder CompareHistory(const RegistryRevision& known,
                            const RegistryRevision& read);

}  // namespace comfrey

#endif  // REGISTRY_REGISTRATION_ORDER_H_
