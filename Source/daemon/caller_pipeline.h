#ifndef DAEMON_CALLER_PIPELINE_H_
#define DAEMON_CALLER_PIPELINE_H_

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>

#include "daemon/caller_request.h"
#include "daemon/forward_call.h"
#include "daemon/worker_pool.h"

namespace comfrey {

/// \brief What the pipelines of all connections share.
struct PipelineContext {
  explicit PipelineContext(std::size_t threads) : workers(threads) {}

  /// Handles a request; must not throw.
  std::function<IngressReply(const HttpRequest&, const CancelCheck&)> handle;
  /// Whether a request is idempotent; null if that is not known.
  std::function<bool(const HttpRequest&)> is_idempotent;
  /// Bytes of the replies that wait for an earlier reply.
  std::atomic<std::size_t> held_bytes{0};
  WorkerPool workers;
};

/// \brief A request that was sent behind another one on its connection, with
/// its reply.
struct PipelinedRequest {
  CallerRequest caller;
  IngressReply reply;
  std::size_t held_bytes = 0;
  bool done = false;
};

/// \brief The requests that a caller sent on one connection before the reply to
/// an earlier one.
///
/// Idempotent requests without a body are handled side by side with the earlier
/// ones, up to a limit. Any other request stays unread until all earlier ones
/// are answered. Used by the thread of the connection only.
class CallerPipeline {
 public:
  CallerPipeline(PipelineContext& context, WireReader& reader, int socket);
  /// \brief Cancels the requests that are not answered, and waits until none is
  /// handled.
  ~CallerPipeline();

  CallerPipeline(const CallerPipeline&) = delete;
  CallerPipeline& operator=(const CallerPipeline&) = delete;

  /// \brief Whether requests may be handled while the handling of `caller`
  /// goes on.
  bool MayReadBehind(const CallerRequest& caller) const;

  /// \brief Reads the requests that have arrived and starts those that may be
  /// handled now. Returns whether the caller has closed the connection.
  bool ReadAhead(const CallerLimits& limits);

  bool IsEmpty() const { return this->requests.empty(); }

  /// \brief Waits for the reply to the first request and removes it. Meanwhile,
  /// further requests are read.
  std::unique_ptr<PipelinedRequest> TakeFirst(const CallerLimits& limits);

 private:
  bool HasRoom() const;
  bool StartNext(const CallerLimits& limits);
  void Start(CallerRequest caller);
  void Handle(PipelinedRequest& request);

  PipelineContext& context;
  WireReader& reader;
  int socket;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::unique_ptr<PipelinedRequest>> requests;
  // Whether the first request that is not started must wait for the others.
  bool blocked = false;
  std::atomic<bool> cancelled{false};
};

}  // namespace comfrey

#endif  // DAEMON_CALLER_PIPELINE_H_
