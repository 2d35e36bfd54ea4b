#ifndef CTL_COUNTERS_COMMAND_H_
#define CTL_COUNTERS_COMMAND_H_

#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "base/counters.h"
#include "ctl/command.h"

namespace comfrey {

/// \brief Parses the text exposition format that CounterRegistry::Render
/// writes.
///
/// Returns InvalidArgument that names the first malformed line.
absl::StatusOr<std::vector<MetricSample>> ParseCounters(absl::string_view text);

/// \brief The counters of one daemon.
struct DaemonCounters {
  std::string daemon;
  std::vector<MetricSample> samples;
};

std::string RenderCounters(const std::vector<DaemonCounters>& daemons);
std::string CountersToJson(const std::vector<DaemonCounters>& daemons);

Command CountersCommand();

}  // namespace comfrey

#endif  // CTL_COUNTERS_COMMAND_H_
