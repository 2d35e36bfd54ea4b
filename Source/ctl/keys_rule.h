#ifndef CTL_KEYS_RULE_H_
#define CTL_KEYS_RULE_H_

#include <string>
#include <vector>

#include "config/team_config.h"

namespace comfrey {

/// \brief A change between two versions of a team that concerns the keys of an
/// endpoint.
struct KeyPhaseChange {
  std::string service;
  std::string endpoint;
  /// Whether the change breaks the rule; otherwise it is permitted, but only
  /// after `key_retention` has passed since the previous change.
  bool breaks_rule = false;
  std::string cause;
  std::string remedy;
};

/// \brief Compares the endpoints of each service that both versions have and
/// that has a route with `repeat = never` in one of them.
///
/// An endpoint enters a service as joining and leaves it through leaving; a
/// leaving endpoint that is kept returns through joining. Otherwise a key
/// could run at two endpoints while daemons hold different versions.
std::vector<KeyPhaseChange> CompareKeyPhases(const TeamConfig& before,
                                             const TeamConfig& after);

}  // namespace comfrey

#endif  // CTL_KEYS_RULE_H_
