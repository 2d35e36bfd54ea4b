#ifndef CONFIG_TEAM_CHECKS_H_
#define CONFIG_TEAM_CHECKS_H_

#include <vector>

#include "config/ini_document.h"
#include "config/team_config.h"

namespace comfrey {

/// \brief Appends an error for each contradiction between the sections of a
/// team: unknown services and ranks, routes with equal conditions, and shares
/// of more than 100% in total.
void CheckTeam(const IniDocument& document,
               const TeamConfig& config,
               std::vector<IniError>& errors);

}  // namespace comfrey

#endif  // CONFIG_TEAM_CHECKS_H_
