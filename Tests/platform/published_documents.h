#ifndef TESTS_PLATFORM_PUBLISHED_DOCUMENTS_H_
#define TESTS_PLATFORM_PUBLISHED_DOCUMENTS_H_

#include <string>
#include <vector>

#include "platform/registry_decoder.h"

namespace comfrey {

/// \brief Returns the key of the registration of a backend server.
std::string MakeRegistrationKey(const std::string& instance);

/// \brief Returns the registration of a backend server with 4 slots; `address`
/// is "ip:port", and `sequence` counts what the backend server has written.
std::string MakeRegistration(const std::string& service,
                             const std::string& address,
                             const std::string& failure_domain,
                             bool draining,
                             int sequence = 1);

/// \brief A route from the host shop.example to the service booking.
struct TestRoute {
  std::string prefix;
  bool idempotent = false;
};

/// \brief Returns a configuration with the routes.
std::string MakeConfiguration(int version,
                              const std::vector<TestRoute>& routes);

/// \brief Returns a configuration with one non-idempotent route from the host
/// shop.example to the service booking.
std::string MakeConfiguration(int version, const std::string& prefix);

}  // namespace comfrey

#endif  // TESTS_PLATFORM_PUBLISHED_DOCUMENTS_H_
