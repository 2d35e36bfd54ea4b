#ifndef DAEMON_DAEMON_PAGES_H_
#define DAEMON_DAEMON_PAGES_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "config/daemon_settings.h"
#include "core/http_message.h"
#include "daemon/config_keeper.h"
#include "daemon/endpoint_directory.h"
#include "daemon/owner_service.h"
#include "daemon/peer_runner.h"
#include "daemon/service_levels.h"
#include "report/route_explanation.h"

namespace comfrey {

/// \brief A request whose routing is to be explained.
struct ExplainQuery {
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::string key;
};

/// \brief The components that the pages read. They must outlive the pages.
struct PageSources {
  const DaemonSettings& settings;
  std::uint64_t incarnation = 0;
  std::chrono::steady_clock::time_point started_at;
  const std::atomic<bool>& leaving;
  ConfigKeeper& keeper;
  PeerRunner& runner;
  EndpointDirectory& directory;
  OwnerService& owner;
  ServiceLevels& levels;
};

/// \brief Renders the pages of a daemon under /comfrey/ as JSON.
class DaemonPages {
 public:
  explicit DaemonPages(const PageSources& sources) : sources(sources) {}

  std::string Status();
  std::string Burn();
  std::string Explain(const ExplainQuery& query);

 private:
  PageSources sources;
};

}  // namespace comfrey

#endif  // DAEMON_DAEMON_PAGES_H_
