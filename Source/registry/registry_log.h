#ifndef REGISTRY_REGISTRY_LOG_H_
#define REGISTRY_REGISTRY_LOG_H_

#include <chrono>
#include <optional>

#include "base/log_event.h"
#include "registry/registry_revision.h"

namespace comfrey {

/// \brief Adds the write of the registry that an endpoint was read from, as
/// the fields "registration_era" and "registration_revision".
LogEvent& AddRegistration(LogEvent& event,
                          const RegistryRevision& registration);

/// \brief Adds what a request was based on: the write, and the time since the
/// registry last confirmed that there is no later one, as "registry_age_ms".
/// Adds nothing if there is no registry.
void AddRegistryBasis(
    LogEvent& event,
    const RegistryRevision& registration,
    std::optional<std::chrono::steady_clock::duration> registry_age);

}  // namespace comfrey

#endif  // REGISTRY_REGISTRY_LOG_H_
