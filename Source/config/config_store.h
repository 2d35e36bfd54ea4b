#ifndef CONFIG_CONFIG_STORE_H_
#define CONFIG_CONFIG_STORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "config/config_version.h"
#include "config/ini_document.h"
#include "config/route_table.h"
#include "config/team_config.h"

namespace comfrey {

/// \brief Largest accepted value, in bytes. The configuration service holds at
/// most 1 MB; MiB is the larger of the two readings.
inline constexpr std::size_t kMaxValueBytes = 1 << 20;

/// \brief Largest number of teams, removed ones included.
inline constexpr std::size_t kMaxTeams = 4096;

/// \brief A subtree in force; immutable once it is in a store.
struct Subtree {
  std::string team;
  ConfigVersion version;
  /// The value as received, which is sent to peers.
  std::string text;
  /// 64-bit xxHash of `text`.
  std::uint64_t content_hash = 0;
  /// Marked removed for a deleted team. The entry stays, so that an older
  /// value cannot bring the team back.
  std::shared_ptr<const TeamConfig> config;
};

/// \brief Version and content hash of a subtree, as peers exchange them.
struct SubtreeVersion {
  std::string team;
  ConfigVersion version;
  std::uint64_t content_hash = 0;
};

/// \brief The newest refused value of a team.
struct RejectedSubtree {
  ConfigVersion version;
  std::uint64_t content_hash = 0;
  std::vector<IniError> errors;
};

/// \brief How often each outcome occurred.
struct ApplyCounts {
  std::uint64_t accepted = 0;
  std::uint64_t older = 0;
  std::uint64_t same = 0;
  std::uint64_t conflicts_kept = 0;
  std::uint64_t conflicts_replaced = 0;
  std::uint64_t invalid = 0;
};

/// \brief The configuration in force.
///
/// The caller serializes access. A copy shares all subtrees and routes, so the
/// daemon can publish std::make_shared<const ConfigStore>(store) per change.
struct ConfigStore {
  std::map<std::string, std::shared_ptr<const Subtree>, std::less<>> subtrees;
  std::map<std::string, RejectedSubtree, std::less<>> rejected;
  RouteTable routes;
  /// Equal for stores with equal versions and contents of all teams.
  std::uint64_t digest = 0;
  ApplyCounts counts;
};

enum class ApplyOutcome {
  /// The version was greater and is now in force.
  kAccepted,
  /// The version was lower and was ignored.
  kOlder,
  /// Version and content are in force already.
  kSame,
  /// Same version, other content: the one in force has the higher hash.
  kConflictKept,
  /// Same version, other content: the offered one had the higher hash.
  kConflictReplaced,
  /// The value is invalid; what was in force stays. See `rejected`.
  kInvalid,
};

/// \brief Whether the outcome changed the configuration in force, so that the
/// subtree must be published and pushed to peers.
bool ChangedStore(ApplyOutcome outcome);

/// \brief The name of an outcome for counters and status.
absl::string_view FormatApplyOutcome(ApplyOutcome outcome);

/// \brief Offers a value that a peer sent with its version.
///
/// The generation of the version must be the one in the value.
ApplyOutcome ApplySubtree(ConfigStore& store,
                          absl::string_view team,
                          const ConfigVersion& version,
                          absl::string_view text);

/// \brief Offers a value of the configuration service; the generation is read
/// from the value.
ApplyOutcome ApplyRevision(ConfigStore& store,
                           absl::string_view team,
                           std::uint64_t revision,
                           absl::string_view text);

/// \brief Puts a team that was decoded from another format in force, whatever
/// version was before. It has no text and is not sent to peers.
void ReplaceTeam(ConfigStore& store,
                 const ConfigVersion& version,
                 TeamConfig config);

/// \brief Returns versions and content hashes of all subtrees, by team.
std::vector<SubtreeVersion> ListVersions(const ConfigStore& store);

/// \brief Returns the subtrees that a holder of `versions` lacks: those with a
/// greater version, with the winning content of a conflict, or not listed.
std::vector<std::shared_ptr<const Subtree>> SubtreesNewerThan(
    const ConfigStore& store,
    const std::vector<SubtreeVersion>& versions);

/// \brief Returns those of `versions` that the store lacks, by the same rule.
/// Values that the store has refused are left out, so that a value which only
/// peers with another program version accept is not fetched again and again.
std::vector<SubtreeVersion> VersionsNewerThan(
    const std::vector<SubtreeVersion>& versions,
    const ConfigStore& store);

}  // namespace comfrey

#endif  // CONFIG_CONFIG_STORE_H_
