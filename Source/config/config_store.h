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

/// \brief Largest accepted value, in bytes. The configuration service stores
/// at most 1 MB per value; 1 MiB covers both meanings of MB.
inline constexpr std::size_t kMaxValueBytes = 1 << 20;

/// \brief Largest number of teams, including removed teams.
inline constexpr std::size_t kMaxTeams = 4096;

/// \brief The configuration of one team that is in force. It is not modified
/// after it was put into a store.
struct Subtree {
  std::string team;
  ConfigVersion version;
  /// The value as received; it is sent to peers in this form.
  std::string text;
  /// 64-bit xxHash of `text`.
  std::uint64_t content_hash = 0;
  /// Marked as removed if the team is deleted. The store keeps the entry, so
  /// that an older value cannot restore the team.
  std::shared_ptr<const TeamConfig> config;
};

/// \brief Version and content hash of a subtree; peers exchange them.
struct SubtreeVersion {
  std::string team;
  ConfigVersion version;
  std::uint64_t content_hash = 0;
};

/// \brief The newest rejected value of a team.
struct RejectedSubtree {
  ConfigVersion version;
  std::uint64_t content_hash = 0;
  std::vector<IniError> errors;
};

/// \brief Number of applied values by outcome.
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
/// The caller serializes access. A copy shares all subtrees and routes, so it
/// is cheap enough for the daemon to publish
/// std::make_shared<const ConfigStore>(store) after each change.
struct ConfigStore {
  std::map<std::string, std::shared_ptr<const Subtree>, std::less<>> subtrees;
  std::map<std::string, RejectedSubtree, std::less<>> rejected;
  RouteTable routes;
  /// Hash over the versions and contents of all teams, independent of their
  /// order.
  std::uint64_t digest = 0;
  ApplyCounts counts;
};

/// \brief The result of applying a value to the store.
enum class ApplyOutcome {
  /// The value has a greater version and is now in force.
  kAccepted,
  /// The value has a lower version and is ignored.
  kOlder,
  /// A value with the same version and content is already in force.
  kSame,
  /// The version is the same, but the content differs. The value in force has
  /// the greater content hash and stays.
  kConflictKept,
  /// The version is the same, but the content differs. The new value has the
  /// greater content hash and is now in force.
  kConflictReplaced,
  /// The value is invalid; the configuration in force does not change. The
  /// errors are in ConfigStore::rejected.
  kInvalid,
};

/// \brief Returns whether the configuration in force changed, so that the
/// subtree must be published and pushed to peers.
bool ChangedStore(ApplyOutcome outcome);

/// \brief Returns the name of an outcome for counters and the status page.
absl::string_view FormatApplyOutcome(ApplyOutcome outcome);

/// \brief Applies a value that a peer sent with its version.
///
/// The value is invalid if it states another generation than `version`.
ApplyOutcome ApplySubtree(ConfigStore& store,
                          absl::string_view team,
                          const ConfigVersion& version,
                          absl::string_view text);

/// \brief Applies a value of the configuration service; the generation is read
/// from the value.
ApplyOutcome ApplyRevision(ConfigStore& store,
                           absl::string_view team,
                           std::uint64_t revision,
                           absl::string_view text);

/// \brief Puts the configuration of a team that was decoded from another format
/// in force, without a comparison of versions. The subtree has no text and is
/// not sent to peers. Entries that could not be read are listed as rejected.
void ReplaceTeam(ConfigStore& store,
                 const ConfigVersion& version,
                 TeamConfig config);

/// \brief Returns the versions and content hashes of all subtrees, ordered by
/// team.
std::vector<SubtreeVersion> ListVersions(const ConfigStore& store);

/// \brief Returns the subtrees that are newer than `versions`: those with a
/// greater version, those with the same version and a greater content hash, and
/// those of teams that `versions` does not list.
std::vector<std::shared_ptr<const Subtree>> SubtreesNewerThan(
    const ConfigStore& store,
    const std::vector<SubtreeVersion>& versions);

/// \brief Returns those of `versions` that are newer than the store, by the
/// rule of SubtreesNewerThan. Values that the store has rejected are left out:
/// peers with another program version may accept such a value, and it would
/// otherwise be fetched repeatedly.
std::vector<SubtreeVersion> VersionsNewerThan(
    const std::vector<SubtreeVersion>& versions,
    const ConfigStore& store);

}  // namespace comfrey

#endif  // CONFIG_CONFIG_STORE_H_
