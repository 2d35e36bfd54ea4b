#ifndef REGISTRY_REGISTRY_CONTACT_H_
#define REGISTRY_REGISTRY_CONTACT_H_

#include <chrono>
#include <optional>

namespace comfrey {

/// \brief Whether the registry responds, from the results of all reads but
/// watches, which may be cut at any time.
struct RegistryContact {
  using TimePoint = std::chrono::steady_clock::time_point;

  /// Start of the first read that failed since one succeeded.
  std::optional<TimePoint> failing_since;
  /// Whether an outage has ended that TakeOutage has not returned yet.
  bool had_outage = false;
};

/// \brief Reads that fail for a shorter time show no outage. Registrations last
/// for three heartbeats of a backend server, so they do not expire in it, even
/// if it began a second before the first read that failed.
inline constexpr std::chrono::milliseconds kMinOutage{1500};

/// \brief Records a read that failed, other than by a limit of the rate.
void RecordFailedRead(RegistryContact& contact,
                      RegistryContact::TimePoint started_at);

/// \brief Records a response of the registry.
void RecordResponse(RegistryContact& contact, RegistryContact::TimePoint now);

/// \brief Returns whether there was an outage since the last call.
bool TakeOutage(RegistryContact& contact);

}  // namespace comfrey

#endif  // REGISTRY_REGISTRY_CONTACT_H_
