#include "registry/registry_log.h"

#include <cstdint>

namespace comfrey {

LogEvent& AddRegistration(LogEvent& event,
                          const RegistryRevision& registration) {
  return event
      .Add("registration_era", static_cast<std::int64_t>(registration.era))
      .Add("registration_revision",
           static_cast<std::int64_t>(registration.revision));
}

void AddRegistryBasis(
    LogEvent& event,
    const RegistryRevision& registration,
    std::optional<std::chrono::steady_clock::duration> registry_age) {
  if (registry_age) {
    AddRegistration(event, registration)
        .AddDuration("registry_age", *registry_age);
  }
}

}  // namespace comfrey
