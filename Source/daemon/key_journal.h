#ifndef DAEMON_KEY_JOURNAL_H_
#define DAEMON_KEY_JOURNAL_H_

#include <chrono>
#include <mutex>
#include <string>

#include "config/config_store.h"
#include "core/attempt_journal.h"
#include "core/pause_detector.h"
#include "peer.pb.h"

namespace comfrey {

/// \brief The attempt journal of this daemon and its pause detector;
/// thread-safe.
class KeyJournal {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit KeyJournal(TimePoint started_at);

  /// \brief Adopts the longest retention of the configured services.
  void ApplyConfig(const ConfigStore& store);

  /// \brief Enters a keyed attempt before it is sent; false if there is no
  /// space, and the attempt must not be sent.
  bool RecordKeyedAttempt(const std::string& endpoint,
                          const LedgerRequest& request,
                          TimePoint now);
  bool RecordKeyFenceCall(const std::string& endpoint,
                          const KeyId& key,
                          const PlacementVersion& version,
                          TimePoint now);
  void RecordAttemptOutcome(const AttemptId& attempt,
                            JournalOutcome outcome,
                            ResponsePtr response,
                            TimePoint now);

  rpc::RecoverKeysReply Read(const rpc::RecoverKeysRequest& request,
                             TimePoint now);

  /// \brief Observes the clocks; called by a timer each 100 ms.
  void ObserveTime();

  /// \brief Whether a stamp received at `stamp_received_at` may be sent with a
  /// request that was read at `read_at`.
  bool MaySendWithStamp(std::chrono::microseconds retention,
                        TimePoint read_at,
                        TimePoint stamp_received_at);

 private:
  TimePoint started_at;
  std::mutex mutex;
  AttemptJournal journal;
  PauseDetector pauses;
};

}  // namespace comfrey

#endif  // DAEMON_KEY_JOURNAL_H_
