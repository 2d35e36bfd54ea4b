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

/// \brief Thread-safe wrapper of the attempt journal and the pause detector of
/// this daemon.
class KeyJournal {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit KeyJournal(TimePoint started_at);

  /// \brief Sets the retention to the longest one of the configured services.
  void ApplyConfig(const ConfigStore& store);

  /// \brief Records a keyed attempt before it is sent. Returns false if there
  /// is no space; the attempt must not be sent then.
  bool RecordKeyedAttempt(const std::string& endpoint,
                          const LedgerRequest& request,
                          TimePoint now);
  /// \brief Records a FenceKey call before it is sent. Returns false if there
  /// is no space; the call must not be sent then.
  bool RecordKeyFenceCall(const std::string& endpoint,
                          const KeyId& key,
                          const PlacementVersion& version,
                          TimePoint now);
  void RecordAttemptOutcome(const AttemptId& attempt,
                            JournalOutcome outcome,
                            DeliverableResponse response,
                            TimePoint now);

  /// \brief Returns the entries that a restarted owner requests.
  rpc::RecoverKeysReply Read(const rpc::RecoverKeysRequest& request,
                             TimePoint now);

  /// \brief Passes the clocks to the pause detector; called by a timer every
  /// 100 ms.
  void ObserveTime();

  /// \brief Returns whether a request that was read at `read_at` may be sent
  /// with a stamp that was received at `stamp_received_at`.
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
