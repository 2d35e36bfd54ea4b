#ifndef REPORT_BURN_STATUS_H_
#define REPORT_BURN_STATUS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace comfrey {

/// \brief Request counts and burn rate of one rank in one time window.
struct BurnWindow {
  std::chrono::seconds length{0};
  /// Requests that met the target and requests that missed it.
  std::uint64_t met = 0;
  std::uint64_t missed = 0;
  /// Share of missed requests divided by (1 - objective); 0 without requests.
  double burn_rate = 0;
};

struct RankBurnStatus {
  std::string team;
  std::string rank;
  std::chrono::microseconds target{0};
  /// Share of requests that must meet the target; below 1.
  double objective = 0;
  /// Weight of the rank in the weighted mean of the burn rates.
  double worth = 0;
  /// Shortest window first.
  std::vector<BurnWindow> windows;
};

/// \brief Mean of the burn rates of all ranks in one window, weighted by worth.
struct WeightedBurnRate {
  std::chrono::seconds length{0};
  double burn_rate = 0;
};

/// \brief Burn report of one daemon, as served under /comfrey/burn, or of
/// several daemons.
struct BurnStatus {
  std::vector<RankBurnStatus> ranks;
  /// Shortest window first.
  std::vector<WeightedBurnRate> weighted;
};

/// \brief Adds the counts of several daemons and recomputes the burn rates.
///
/// Counts are added only if team, rank, target and objective are the same.
/// Daemons with different versions in force may count against different
/// targets, so their counts are kept apart. If the reports of a rank differ in
/// worth, the largest one is used. Ranks are ordered by worth times burn rate
/// of the shortest window, largest first.
BurnStatus AggregateBurnStatus(const std::vector<BurnStatus>& reports);

/// \brief Renders a report as JSON, with the conventions of StatusToJson.
std::string BurnToJson(const BurnStatus& report);

/// \brief Parses a report; returns the same errors as StatusFromJson.
absl::StatusOr<BurnStatus> BurnFromJson(absl::string_view json);

}  // namespace comfrey

#endif  // REPORT_BURN_STATUS_H_
