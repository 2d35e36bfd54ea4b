#ifndef DAEMON_INGRESS_H_
#define DAEMON_INGRESS_H_

#include <chrono>
#include <mutex>
#include <random>
#include <string>

#include "base/counters.h"
#include "core/http_message.h"
#include "daemon/ingress_attempt.h"
#include "daemon/ingress_reply.h"

namespace comfrey {

/// \brief Matches requests of callers to routes and forwards them to the owners
/// of endpoints; thread-safe.
class Ingress {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  Ingress(IngressIdentity identity, const IngressDependencies& dependencies);

  /// \brief Serves one request. Blocks until its outcome is known, its deadline
  /// has passed or its caller has disconnected.
  IngressReply Handle(const HttpRequest& request, const CancelCheck& cancelled);

  /// \brief Whether the route of a request allows that it runs more than once;
  /// false without a route.
  bool IsIdempotent(const HttpRequest& request) const;

 private:
  struct Progress;

  IngressReply Forward(IngressRequest& context);
  void CountInBudget(const IngressRequest& context);
  IngressReply ForwardUnkeyed(IngressRequest& context);
  IngressReply ForwardKeyed(IngressRequest& context);
  bool MayTryNextEndpoint(const IngressRequest& context, Progress& progress);
  void TryEndpoint(const IngressRequest& context,
                   Progress& progress,
                   IngressAttempt& attempt);
  static bool IsTooLate(const IngressRequest& context,
                        const IngressAttempt& attempt);
  IngressReply MakeFailureReply(const IngressRequest& context,
                                const Progress& progress);
  double RandomFraction();
  std::string TraceId(const HttpRequest& request);
  void TraceAttempt(const IngressRequest& context,
                    const IngressAttempt& attempt);
  void Finish(IngressRequest& context, const IngressReply& reply);

  IngressIdentity identity;
  IngressDependencies dependencies;
  AttemptSender sender;
  std::mutex rng_mutex;
  std::mt19937_64 rng;
  Metric& requests;
  Metric& answered;
  Metric& not_run;
  Metric& unknown;
  Metric& retries;
  Metric& calls_of_repeats;
};

}  // namespace comfrey

#endif  // DAEMON_INGRESS_H_
