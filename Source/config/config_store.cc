#include "config/config_store.h"

#include <xxhash.h>

#include <optional>
#include <tuple>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"

namespace comfrey {
namespace {

constexpr std::size_t kMaxRejectedNameLength = 64;

std::uint64_t Hash(absl::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

// The digest of a store is the sum of the digests of its subtrees. The sum does
// not depend on the order of changes and is updated in constant time.
std::uint64_t SubtreeDigest(const Subtree& subtree) {
  return Hash(absl::StrCat(subtree.team, " ", subtree.version.generation, " ",
                           subtree.version.revision, " ",
                           subtree.content_hash));
}

std::string ValuePath(absl::string_view team) {
  return absl::StrCat("/comfreywood/teams/", team);
}

bool IsNewer(const ConfigVersion& version,
             std::uint64_t content_hash,
             const ConfigVersion& other_version,
             std::uint64_t other_hash) {
  return std::tie(other_version, other_hash) < std::tie(version, content_hash);
}

IniError ValueError(absl::string_view team,
                    absl::string_view cause,
                    absl::string_view remedy) {
  return {ValuePath(team),    0, "", "", "", std::string(cause),
          std::string(remedy)};
}

// Counts an invalid value and keeps its errors if it is the newest rejected
// value of the team.
ApplyOutcome Reject(ConfigStore& store,
                    absl::string_view team,
                    const ConfigVersion& version,
                    std::uint64_t content_hash,
                    std::vector<IniError> errors) {
  ++store.counts.invalid;
  const std::string name(team.substr(0, kMaxRejectedNameLength));
  const auto known = store.rejected.find(name);
  if (known == store.rejected.end() && store.rejected.size() >= kMaxTeams) {
    return ApplyOutcome::kInvalid;
  }
  if (known == store.rejected.end() || !(version < known->second.version)) {
    store.rejected[name] = {version, content_hash, std::move(errors)};
  }
  return ApplyOutcome::kInvalid;
}

bool WasRejected(const ConfigStore& store,
                 absl::string_view team,
                 const ConfigVersion& version,
                 std::uint64_t content_hash) {
  const auto known = store.rejected.find(team);
  return known != store.rejected.end() && known->second.version == version &&
         known->second.content_hash == content_hash;
}

// Parses and validates a value; appends errors if it must not be put in force.
TeamConfig ParseValue(const ConfigStore& store,
                      absl::string_view team,
                      const ConfigVersion& version,
                      absl::string_view text,
                      std::vector<IniError>& errors) {
  if (store.subtrees.size() >= kMaxTeams &&
      store.subtrees.find(team) == store.subtrees.end()) {
    errors.push_back(ValueError(
        team,
        absl::StrCat("the configuration has ", kMaxTeams, " teams already"),
        "put the services into an existing team"));
    return {};
  }
  TeamConfig config = ParseTeamConfig(team, ValuePath(team), text, errors);
  if (errors.empty() && config.generation != version.generation) {
    errors.push_back(
        ValueError(team,
                   absl::StrCat("the value has generation ", config.generation,
                                " but was sent with version ",
                                FormatConfigVersion(version)),
                   "report this as a fault of the sender"));
  }
  return config;
}

void ReplaceSubtree(ConfigStore& store, Subtree subtree) {
  auto& slot = store.subtrees[subtree.team];
  if (slot) {
    store.digest -= SubtreeDigest(*slot);
  }
  store.digest += SubtreeDigest(subtree);
  SetTeam(store.routes, subtree.config);
  const auto rejected = store.rejected.find(subtree.team);
  if (rejected != store.rejected.end() &&
      !(rejected->second.version > subtree.version)) {
    store.rejected.erase(rejected);
  }
  slot = std::make_shared<const Subtree>(std::move(subtree));
}

ApplyOutcome ApplyValue(ConfigStore& store,
                        const Subtree* current,
                        absl::string_view team,
                        const ConfigVersion& version,
                        absl::string_view text) {
  if (current != nullptr && version < current->version) {
    ++store.counts.older;
    return ApplyOutcome::kOlder;
  }
  const std::uint64_t hash = Hash(text);
  const bool conflict = current != nullptr && version == current->version;
  if (conflict && hash == current->content_hash) {
    ++store.counts.same;
    return ApplyOutcome::kSame;
  }
  if (conflict && hash < current->content_hash) {
    ++store.counts.conflicts_kept;
    return ApplyOutcome::kConflictKept;
  }
  // A reader that receives stale data may deliver a rejected value repeatedly;
  // the value is not parsed again.
  if (WasRejected(store, team, version, hash)) {
    ++store.counts.invalid;
    return ApplyOutcome::kInvalid;
  }
  std::vector<IniError> errors;
  TeamConfig config = ParseValue(store, team, version, text, errors);
  if (!errors.empty()) {
    return Reject(store, team, version, hash, std::move(errors));
  }
  ReplaceSubtree(store,
                 {std::string(team), version, std::string(text), hash,
                  std::make_shared<const TeamConfig>(std::move(config))});
  if (conflict) {
    ++store.counts.conflicts_replaced;
    return ApplyOutcome::kConflictReplaced;
  }
  ++store.counts.accepted;
  return ApplyOutcome::kAccepted;
}

}  // namespace

bool ChangedStore(ApplyOutcome outcome) {
  return outcome == ApplyOutcome::kAccepted ||
         outcome == ApplyOutcome::kConflictReplaced;
}

absl::string_view FormatApplyOutcome(ApplyOutcome outcome) {
  switch (outcome) {
    case ApplyOutcome::kAccepted:
      return "accepted";
    case ApplyOutcome::kOlder:
      return "older";
    case ApplyOutcome::kSame:
      return "same";
    case ApplyOutcome::kConflictKept:
      return "conflict_kept";
    case ApplyOutcome::kConflictReplaced:
      return "conflict_replaced";
    case ApplyOutcome::kInvalid:
      return "invalid";
  }
  return "invalid";
}

ApplyOutcome ApplySubtree(ConfigStore& store,
                          absl::string_view team,
                          const ConfigVersion& version,
                          absl::string_view text) {
  if (text.size() > kMaxValueBytes) {
    return Reject(
        store, team, version, 0,
        {ValueError(team,
                    absl::StrCat("the value has ", text.size(),
                                 " bytes, more than ", kMaxValueBytes),
                    "split the team into smaller teams")});
  }
  const auto current = store.subtrees.find(team);
  return ApplyValue(
      store, current == store.subtrees.end() ? nullptr : current->second.get(),
      team, version, text);
}

ApplyOutcome ApplyRevision(ConfigStore& store,
                           absl::string_view team,
                           std::uint64_t revision,
                           absl::string_view text) {
  // ApplySubtree rejects an oversized value without parsing it.
  const std::optional<std::uint64_t> generation =
      text.size() > kMaxValueBytes ? std::nullopt : ReadGeneration(text);
  if (generation) {
    return ApplySubtree(store, team, {*generation, revision}, text);
  }
  // The value has no valid generation. With the generation in force, it is
  // rejected and reported instead of being ignored as an older value.
  const auto current = store.subtrees.find(team);
  const std::uint64_t in_force =
      current == store.subtrees.end() ? 1 : current->second->version.generation;
  return ApplySubtree(store, team, {in_force, revision}, text);
}

void ReplaceTeam(ConfigStore& store,
                 const ConfigVersion& version,
                 TeamConfig config) {
  const std::string team = config.team;
  std::vector<IniError> errors = config.entry_errors;
  ReplaceSubtree(store,
                 {team, version, "", 0,
                  std::make_shared<const TeamConfig>(std::move(config))});
  if (!errors.empty()) {
    store.rejected[team] = {version, 0, std::move(errors)};
  }
}

std::vector<SubtreeVersion> ListVersions(const ConfigStore& store) {
  std::vector<SubtreeVersion> versions;
  versions.reserve(store.subtrees.size());
  for (const auto& [team, subtree] : store.subtrees) {
    versions.push_back({team, subtree->version, subtree->content_hash});
  }
  return versions;
}

std::vector<std::shared_ptr<const Subtree>> SubtreesNewerThan(
    const ConfigStore& store,
    const std::vector<SubtreeVersion>& versions) {
  absl::flat_hash_map<absl::string_view, const SubtreeVersion*> held;
  for (const SubtreeVersion& version : versions) {
    held[version.team] = &version;
  }
  std::vector<std::shared_ptr<const Subtree>> newer;
  for (const auto& [team, subtree] : store.subtrees) {
    const auto other = held.find(team);
    if (other == held.end() ||
        IsNewer(subtree->version, subtree->content_hash, other->second->version,
                other->second->content_hash)) {
      newer.push_back(subtree);
    }
  }
  return newer;
}

std::vector<SubtreeVersion> VersionsNewerThan(
    const std::vector<SubtreeVersion>& versions,
    const ConfigStore& store) {
  std::vector<SubtreeVersion> newer;
  for (const SubtreeVersion& version : versions) {
    if (WasRejected(store, version.team, version.version,
                    version.content_hash)) {
      continue;
    }
    const auto held = store.subtrees.find(version.team);
    if (held == store.subtrees.end() ||
        IsNewer(version.version, version.content_hash, held->second->version,
                held->second->content_hash)) {
      newer.push_back(version);
    }
  }
  return newer;
}

}  // namespace comfrey
