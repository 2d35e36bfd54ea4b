#ifndef REPORT_BURN_STATUS_H_
#define REPORT_BURN_STATUS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

namespace comfrey {

/// \brief Requests of one rank in one window.
struct BurnWindow {
  std::chrono::seconds length{0};
  /// Requests that met and that missed the target.
  std::uint64_t met = 0;
  std::uint64_t missed = 0;
  /// (missed share) / (1 - objective); 0 without requests.
  double burn_rate = 0;
};

struct RankBurnStatus {
  std::string team;
  std::string rank;
  std::chrono::microseconds target{0};
  /// Share of requests that must meet the target; below 1.
  double objective = 0;
  /// Weight in the weighted burn.
  double worth = 0;
  /// Shortest window first.
  std::vector<BurnWindow> windows;
};

/// \brief Mean of the burn rates of all ranks, weighted by worth.
struct WeightedBurnRate {
  std::chrono::seconds length{0};
  double burn_rate = 0;
};

/// \brief Burn report of one daemon, served under /comfrey/burn, or of several.
struct BurnStatus {
  std::vector<RankBurnStatus> ranks;
  /// Shortest window first.
  std::vector<WeightedBurnRate> weighted;
};

/// \brief Adds the counts of several daemons and recomputes the burn rates.
///
/// Ranks are equal if team, rank, target and objective are: daemons with
/// different versions in force count against different targets, and their
/// counts are kept apart. The largest worth of equal ranks counts. Ranks are
/// ordered by worth times burn rate of the shortest window, largest first.
BurnStatus AggregateBurnStatus(const std::vector<BurnStatus>& reports);

/// \brief Renders a report as JSON, by the rules of StatusToJson.
std::string BurnToJson(const BurnStatus& report);

/// \brief Reads a report; fails like StatusFromJson.
absl::StatusOr<BurnStatus> BurnFromJson(absl::string_view json);

}  // namespace comfrey

#endif  // REPORT_BURN_STATUS_H_
