#ifndef TESTS_CORE_AT_MOST_ONCE_MODEL_H_
#define TESTS_CORE_AT_MOST_ONCE_MODEL_H_

#include <cstdint>
#include <string>

namespace comfrey {

/// \brief A protection that the model removes, to show that a violation follows
/// without it.
enum class Mutation {
  kNone,
  kIgnoreAttemptFences,     ///< Owner removes records of refused attempts.
  kIgnoreKeyFences,         ///< Former home removes its fences of keys.
  kSkipRecovery,            ///< Restarted owner runs keys without recovery.
  kTrustIncompleteJournal,  ///< A restarted member's journal counts as
                            ///< complete.
  kSkipOwnJournal,          ///< Recovery does not wait for the own journal,
                            ///< which was lost.
  kSkipFenceJournal,        ///< FenceKey calls are not recorded in the journal.
  kSkipMustRelease,         ///< New home sends no FenceKey to former homes.
  kIgnoreIncarnation,       ///< Owner accepts requests that were forwarded to
                            ///< an earlier incarnation.
  kIgnoreStampAge,          ///< Owner accepts forwarded requests of any age.
  kIgnoreReadTime,          ///< Ingress uses a stamp that it obtained long
                            ///< after it read the request.
  kShortRecords,            ///< Callers repeat keys for as long as records are
                            ///< kept.
  kShortPhases,             ///< Phases last key_retention only.
  kSkipFreshness,           ///< Owner runs keys with a confirmation of any age.
  kConfirmAtReply,          ///< Confirmation counts from the time of the reply.
  kConfirmWithoutAge,       ///< Any peer with the same version confirms it with
                            ///< age 0.
  kStaleService,            ///< The configuration service serves old versions.
  kSkipPauseReconfirmation  ///< Pauses are not detected.
};

/// \brief Result of one or more runs.
struct ModelReport {
  /// Description of the first violation; empty if there was none.
  std::string violation;
  std::uint64_t seed = 0;
  int runs = 0;
  int requests = 0;
  int executions = 0;
  int responses = 0;
  int not_run = 0;
  int unknown = 0;
  int key_fences = 0;
  int recovered_by_journal = 0;
  int recovered_by_time = 0;
  int versions = 0;
};

/// \brief Runs a fleet in virtual time until the end of the run or a violation.
ModelReport RunModel(std::uint64_t seed, Mutation mutation);

/// \brief Runs up to `count` seeds from `first`, until a violation is found.
ModelReport RunModels(std::uint64_t first, int count, Mutation mutation);

}  // namespace comfrey

#endif  // TESTS_CORE_AT_MOST_ONCE_MODEL_H_
