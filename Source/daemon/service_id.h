#ifndef DAEMON_SERVICE_ID_H_
#define DAEMON_SERVICE_ID_H_

#include <string>
#include <tuple>

namespace comfrey {

/// \brief Identifies a service of a team.
struct ServiceId {
  std::string team;
  std::string service;
};

inline bool operator<(const ServiceId& a, const ServiceId& b) {
  return std::tie(a.team, a.service) < std::tie(b.team, b.service);
}

}  // namespace comfrey

#endif  // DAEMON_SERVICE_ID_H_
