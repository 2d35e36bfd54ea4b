#include "registry/registry_contact.h"

#include <utility>

// A read that fails once is no outage: the response may have been lost, or this
// VM may have been too busy to read it in time. Registrations do not expire by
// that, and each outage keeps removed ones in use for a time.

namespace comfrey {

void RecordFailedRead(RegistryContact& contact,
                      RegistryContact::TimePoint started_at) {
  if (!contact.failing_since) {
    contact.failing_since = started_at;
  }
}

void RecordResponse(RegistryContact& contact, RegistryContact::TimePoint now) {
  if (contact.failing_since && now - *contact.failing_since >= kMinOutage) {
    contact.had_outage = true;
  }
  contact.failing_since.reset();
}

bool TakeOutage(RegistryContact& contact) {
  return std::exchange(contact.had_outage, false);
}

}  // namespace comfrey
