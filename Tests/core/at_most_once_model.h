#ifndef TESTS_CORE_AT_MOST_ONCE_MODEL_H_
#define TESTS_CORE_AT_MOST_ONCE_MODEL_H_

#include <cstdint>
#include <string>

namespace comfrey {

/// \brief A protection that the model leaves out, to show that it is needed.
enum class Mutation {
  kNone,
  kIgnoreAttemptFences,     ///< Owner forgets refused and fenced attempts.
  kIgnoreKeyFences,         ///< Former home forgets that it released a key.
  kSkipRecovery,            ///< Restarted owner runs keys at once.
  kTrustIncompleteJournal,  ///< A restarted member's journal counts as
                            ///< complete.
  kSkipOwnJournal,          ///< Own lost journal is not missed in recovery.
  kSkipFenceJournal,        ///< FenceKey calls are not journaled.
  kSkipMustRelease,         ///< New home does not ask the former ones.
  kIgnoreIncarnation,       ///< Owner accepts forwards for an earlier one.
  kIgnoreStampAge,          ///< Owner accepts forwards of any age.
  kIgnoreReadTime,          ///< Ingress obtains a stamp long after reading.
  kShortRecords,            ///< Records are kept only as long as keys repeat.
  kShortPhases,             ///< Phases last key_retention only.
  kSkipFreshness,           ///< Owner runs keys with any configuration age.
  kConfirmAtReply,          ///< Confirmation counts from the reply.
  kConfirmWithoutAge,       ///< Any peer with the same version confirms.
  kStaleService,            ///< The configuration service serves old versions.
  kSkipPauseReconfirmation  ///< Pauses are not noticed.
};

/// \brief What happened in one or more runs.
struct ModelReport {
  /// First violation, empty for none.
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

/// \brief Runs a fleet in virtual time until its end or a violation.
ModelReport RunModel(std::uint64_t seed, Mutation mutation);

/// \brief Runs the seeds from `first` until one finds a violation.
ModelReport RunModels(std::uint64_t first, int count, Mutation mutation);

}  // namespace comfrey

#endif  // TESTS_CORE_AT_MOST_ONCE_MODEL_H_
