#ifndef DAEMON_INGRESS_H_
#define DAEMON_INGRESS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <random>
#include <string>

#include "base/counters.h"
#include "config/daemon_settings.h"
#include "core/http_message.h"
#include "daemon/config_holder.h"
#include "daemon/endpoint_directory.h"
#include "daemon/key_journal.h"
#include "daemon/owner_client.h"
#include "daemon/request_log.h"
#include "daemon/service_levels.h"

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
};

/// \brief Whether the caller of a request has left.
using CancelCheck = std::function<bool()>;

/// \brief The parts that an ingress works with; they outlive it.
struct IngressParts {
  const ConfigHolder& config;
  EndpointDirectory& directory;
  OwnerClient& owners;
  KeyJournal& journal;
  ServiceLevels& levels;
  CounterRegistry& counters;
  RequestLog& log;
  HeaderNames headers;
  /// Service whose backend server runs on this VM; may be empty.
  std::function<std::string()> local_service = [] { return std::string(); };
};

/// \brief Matches callers' requests to routes and forwards them to owners.
class Ingress {
 public:
  using TimePoint = std::chrono::steady_clock::time_point;

  Ingress(IngressIdentity identity, const IngressParts& parts);

  /// \brief Serves one request; blocks until its outcome is known, its deadline
  /// has passed or its caller has left.
  IngressReply Handle(const HttpRequest& request, const CancelCheck& cancelled);

 private:
  struct Context;
  struct Attempt;
  struct Progress;

  IngressReply Forward(Context& context);
  IngressReply ForwardPlaced(Context& context);
  IngressReply ForwardKeyed(Context& context);
  bool MayOffer(const Context& context, Progress& progress);
  void Offer(const Context& context, Progress& progress, Attempt& attempt);
  bool MayTravel(const Context& context, Attempt& attempt);
  void NoteUnreached(Attempt& attempt, TimePoint sent_at, TimePoint now);
  static bool IsTooLate(const Context& context, const Attempt& attempt);
  IngressReply GiveUp(const Context& context, const Progress& progress);
  double Draw();
  std::string TraceId(const HttpRequest& request);
  bool PrepareStamp(const Context& context, Attempt& attempt);
  void SendNonIdempotent(const Context& context, Attempt& attempt);
  void Send(const Context& context, Attempt& attempt);
  void FenceAfterFailure(const Context& context, Attempt& attempt);
  void FillMessage(const Context& context, Attempt& attempt);
  void TraceOffer(const Context& context, const Attempt& attempt);
  void Finish(Context& context, const IngressReply& reply);

  IngressIdentity identity;
  IngressParts parts;
  std::atomic<std::uint64_t> next_sequence{1};
  std::mutex draw_mutex;
  std::mt19937_64 rng;
  Metric& requests;
  Metric& answered;
  Metric& not_run;
  Metric& unknown;
  Metric& retries;
  Metric& fences;
  Metric& path_failures;
};

/// \brief Builds the reply to a request that no backend server answered.
IngressReply OwnReply(CallerOutcome outcome,
                      int status,
                      const std::string& text);

}  // namespace comfrey

#endif  // DAEMON_INGRESS_H_
