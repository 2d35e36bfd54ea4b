#include "config/team_checks.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "config/ini_fields.h"
#include "config/team_fields.h"

namespace comfrey {
namespace {

struct CheckedTeam {
  const IniDocument& document;
  const TeamConfig& config;
  std::vector<IniError>& errors;
};

// Reports a route whose key `kind` names a section that does not exist.
void CheckReference(const CheckedTeam& team,
                    const IniSection& section,
                    absl::string_view kind,
                    const absl::flat_hash_set<absl::string_view>& names) {
  const IniEntry* entry = FindEntry(section, kind);
  if (entry == nullptr || !IsValidName(entry->value) ||
      names.contains(entry->value) || IsErrorListFull(team.errors)) {
    return;
  }
  const std::string nearest =
      NearestWord(entry->value, {names.begin(), names.end()});
  AddSectionError(
      team.document, section, entry,
      {absl::StrCat("no section [", kind, " ", entry->value, "] exists"),
       absl::StrCat("add the section",
                    nearest.empty()
                        ? ""
                        : absl::StrCat(", or use \"", nearest,
                                       "\", the nearest existing name"))},
      team.errors);
}

// Reports routes with equal conditions, because it would not be defined which
// of them a request takes.
void CheckDuplicateRoutes(const CheckedTeam& team) {
  absl::flat_hash_map<std::string, const RouteConfig*> seen;
  auto section = team.document.sections.begin();
  for (const RouteConfig& route : team.config.routes) {
    section =
        std::find_if(section, team.document.sections.end(),
                     [](const IniSection& s) { return s.kind == "route"; });
    const IniSection& current = *section++;
    const std::string condition = absl::StrCat(
        route.host, " ", route.path, " ", route.method, " ",
        absl::AsciiStrToLower(route.header_name), ":", route.header_value);
    const auto [other, added] = seen.emplace(condition, &route);
    if (!added) {
      AddSectionError(
          team.document, current, nullptr,
          {absl::StrCat("route ", other->second->name,
                        " has the same path, method and match_header"),
           "change one of the three, or remove one of the routes"},
          team.errors);
    }
  }
}

// Reports ranks whose guaranteed shares exceed 100% in total.
void CheckRankShares(const CheckedTeam& team) {
  std::int64_t total = 0;
  for (const RankConfig& rank : team.config.ranks) {
    total += std::llround(rank.share * kPpm);
  }
  if (total <= kPpm) {
    return;
  }
  const auto last = std::find_if(
      team.document.sections.rbegin(), team.document.sections.rend(),
      [](const IniSection& s) {
        return s.kind == "rank" && FindEntry(s, "share") != nullptr;
      });
  AddSectionError(
      team.document, *last, FindEntry(*last, "share"),
      {absl::StrCat("the shares of all ranks add up to ", FormatPpm(total)),
       "lower shares until they add up to at most 100%"},
      team.errors);
}

// Reports a split that names a service which does not exist, or whose weights
// are all 0.
void CheckSplit(const CheckedTeam& team,
                const IniSection& section,
                const absl::flat_hash_set<absl::string_view>& services) {
  const IniEntry* entry = FindEntry(section, "split");
  std::vector<ServiceShare> split;
  if (entry == nullptr || ReadSplit(entry->value, split)) {
    return;
  }
  int total = 0;
  for (const ServiceShare& share : split) {
    total += share.weight;
    if (!services.contains(share.service)) {
      AddSectionError(
          team.document, section, entry,
          {absl::StrCat("no section [service ", share.service, "] exists"),
           "add the section, or name an existing service"},
          team.errors);
    }
  }
  if (total == 0) {
    AddSectionError(team.document, section, entry,
                    {"all weights are 0", "give one service a weight"},
                    team.errors);
  }
}

void CheckReferences(const CheckedTeam& team) {
  absl::flat_hash_set<absl::string_view> services;
  for (const ServiceConfig& service : team.config.services) {
    services.insert(service.name);
  }
  absl::flat_hash_set<absl::string_view> ranks;
  for (const RankConfig& rank : team.config.ranks) {
    ranks.insert(rank.name);
  }
  for (const IniSection& section : team.document.sections) {
    if (section.kind == "route") {
      CheckReference(team, section, "service", services);
      CheckReference(team, section, "rank", ranks);
      CheckSplit(team, section, services);
    }
  }
}

}  // namespace

void CheckTeam(const IniDocument& document,
               const TeamConfig& config,
               std::vector<IniError>& errors) {
  const CheckedTeam team{document, config, errors};
  CheckReferences(team);
  CheckDuplicateRoutes(team);
  CheckRankShares(team);
}

}  // namespace comfrey
