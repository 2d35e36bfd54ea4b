#ifndef DAEMON_INGRESS_H_
#define DAEMON_INGRESS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>

#include "base/counters.h"
#include "core/http_message.h"
#include "daemon/channel_pool.h"
#include "daemon/config_holder.h"

namespace comfrey {

/// \brief What a caller is told of its request.
enum class CallerOutcome {
  kAnswered,  ///< The response is the one of the backend server.
  kNotRun,    ///< The request did not run and will not run.
  kUnknown,   ///< The request may have run.
};

/// \brief Reply to a caller. Without an answer of a backend server, `response`
/// is written by the ingress and explains the cause.
struct IngressReply {
  CallerOutcome outcome = CallerOutcome::kNotRun;
  HttpResponse response;
};

/// \brief Identity of this daemon as an ingress.
struct IngressIdentity {
  std::string name;
  std::uint64_t incarnation = 0;
  /// gRPC port of all daemons of the fleet.
  int peer_port = 0;
};

/// \brief Matches callers' requests to routes and forwards them to owners.
class Ingress {
 public:
  Ingress(IngressIdentity identity,
          const ConfigHolder& config,
          ChannelPool& channels,
          CounterRegistry& counters);

  /// \brief Serves one request; blocks until its outcome is known or its
  /// deadline has passed.
  IngressReply Handle(const HttpRequest& request);

 private:
  IngressReply Forward(const HttpRequest& request, const RouteMatch& match);

  IngressIdentity identity;
  const ConfigHolder& config;
  ChannelPool& channels;
  std::atomic<std::uint64_t> next_sequence{1};
  Metric& requests;
  Metric& not_run;
  Metric& unknown;
};

/// \brief Builds the reply to a request that no backend server answered.
IngressReply OwnReply(CallerOutcome outcome,
                      int status,
                      const std::string& text);

}  // namespace comfrey

#endif  // DAEMON_INGRESS_H_
