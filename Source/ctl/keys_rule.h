#ifndef CTL_KEYS_RULE_H_
#define CTL_KEYS_RULE_H_

#include <string>
#include <vector>

#include "config/team_config.h"

namespace comfrey {

/// \brief A change of the key phase of an endpoint between two versions of a
/// team.
struct KeyPhaseChange {
  std::string service;
  std::string endpoint;
  /// Whether the change breaks the keys rule. Otherwise it is permitted, but
  /// only after MinKeyPhaseDuration has passed since the previous change.
  bool breaks_rule = false;
  std::string cause;
  std::string remedy;
};

/// \brief Compares the endpoints of each service that both versions have and
/// that has a route with `repeat = never` in one of them.
///
/// The keys rule: an endpoint is added as joining before it becomes active, and
/// set to leaving before it is removed. A leaving endpoint that is kept becomes
/// joining before it is active again. Otherwise a key could run at two
/// endpoints while daemons have different versions in force.
std::vector<KeyPhaseChange> CompareKeyPhases(const TeamConfig& before,
                                             const TeamConfig& after);

}  // namespace comfrey

#endif  // CTL_KEYS_RULE_H_
