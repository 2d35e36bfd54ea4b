#ifndef DAEMON_PEER_RUNNER_H_
#define DAEMON_PEER_RUNNER_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "base/counters.h"
#include "core/peer_protocol.h"
#include "core/reader_selection.h"
#include "daemon/channel_pool.h"
#include "peer.grpc.pb.h"

namespace comfrey {

/// \brief Result of a ping that another member answered.
struct PeerConfirmation {
  /// IP address and name of the member.
  std::string address;
  std::string name;
  std::uint64_t config_digest = 0;
  /// Age of the newest contact of any member with the configuration service, as
  /// known to the member; negative if it knows of none.
  std::chrono::microseconds config_age{-1};
  /// Whether the member is not ready yet.
  bool starting = false;
  /// Local time before the ping was sent.
  std::chrono::steady_clock::time_point requested_at;
};

/// \brief Functions that the runner calls. They must not call the runner.
struct PeerRunnerCallbacks {
  ConfigAccess config;
  /// Whether this daemon is not ready yet.
  std::function<bool()> starting;
  std::function<void(const PeerConfirmation&)> on_confirmation;
};

/// \brief Sends and handles the messages of the peer protocol over gRPC;
/// thread-safe.
class PeerRunner {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  PeerRunner(MemberRecord self,
             std::vector<std::string> seeds,
             int peer_port,
             ChannelPool& channels,
             CounterRegistry& counters,
             PeerRunnerCallbacks callbacks);

  /// \brief Waits until the calls in progress have ended.
  ~PeerRunner();

  PeerRunner(const PeerRunner&) = delete;
  PeerRunner& operator=(const PeerRunner&) = delete;

  /// \brief Runs the periodic work of the protocol; called by a timer every
  /// 100 ms.
  void Tick(TimePoint now);

  void SetStatuses(std::vector<EndpointStatus> statuses);
  void AnnounceConfig(const std::string& team);
  void RecordConfigContact(TimePoint now);
  void BeginLeaving();

  /// \brief Decides whether this daemon reads the configuration service;
  /// called every second.
  ReadDecision DecideConfigRead(TimePoint now);

  /// \brief Returns whether the fleet has a later incarnation of this daemon,
  /// so that this process must stop.
  bool Replaced();

  /// \brief Returns all members, including dead ones.
  std::vector<MemberRecord> Members();

  /// \brief Returns the members that changed since the last call.
  std::vector<MemberRecord> TakeChangedMembers();

  void HandlePing(const rpc::PingRequest& request, rpc::PingReply& reply);
  void HandlePingThrough(const rpc::PingThroughRequest& request,
                         rpc::PingThroughReply& reply);
  void HandleExchange(const rpc::ExchangeRequest& request,
                      rpc::ExchangeReply& reply);
  void HandlePush(const rpc::PushRequest& request, rpc::PushReply& reply);

 private:
  void Perform(const std::vector<PeerAction>& actions);
  void Perform(const SendPing& action);
  void Perform(const SendPingThrough& action);
  void Perform(const SendExchange& action);
  void Perform(const SendPush& action);
  void Confirm(const std::string& address,
               const rpc::PingReply& reply,
               TimePoint requested_at);

  template <typename Request, typename Done>
  void Start(const std::string& ip,
             std::chrono::milliseconds timeout,
             const Request& request,
             Done done);

  int peer_port;
  ChannelPool& channels;
  PeerRunnerCallbacks callbacks;
  Metric& sent_messages;
  Metric& sent_bytes;
  Metric& received_messages;
  Metric& received_bytes;
  Metric& live_members;
  std::mutex mutex;
  std::mt19937_64 rng;
  PeerProtocol protocol;
  ReaderSelection readers;
  /// Versions that TakeChangedMembers has returned, by name of the member.
  std::map<std::string, MemberVersion> taken_versions;

  std::mutex calls_mutex;
  std::condition_variable calls_ended;
  std::size_t calls_in_progress = 0;
};

}  // namespace comfrey

#endif  // DAEMON_PEER_RUNNER_H_
