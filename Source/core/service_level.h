#ifndef CORE_SERVICE_LEVEL_H_
#define CORE_SERVICE_LEVEL_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace comfrey {

using TimePoint = std::chrono::steady_clock::time_point;

/// \brief The objective of a rank, from its `[rank]` section.
struct RankObjective {
  std::string name;
  std::chrono::microseconds target{0};
  double objective = 0.99;  ///< Share of requests that must meet the target.
  double worth = 1.0;       ///< Weight in the burn report.
};

inline constexpr std::size_t kServiceLevelWindowCount = 4;

/// \brief The lengths of the windows, shortest first.
inline constexpr std::array<std::chrono::minutes, kServiceLevelWindowCount>
    kWindowLengths = {std::chrono::minutes(5), std::chrono::minutes(30),
                      std::chrono::hours(1), std::chrono::hours(6)};

/// \brief Counts of requests that met or missed their target.
struct TargetCounts {
  std::uint32_t met = 0;
  std::uint32_t missed = 0;
};

/// Parts into which each window is divided; counts leave it part by part.
inline constexpr std::size_t kBucketsPerWindow = 30;

/// \brief The counts of one window, in a ring of parts.
struct CountWindow {
  std::array<TargetCounts, kBucketsPerWindow> buckets;
  std::int64_t last_bucket = 0;  ///< Number of the newest part since the epoch.
};

/// \brief The service level of one rank at one ingress.
struct ServiceLevel {
  ServiceLevel(RankObjective objective, TimePoint now);

  RankObjective objective;
  TimePoint epoch;
  std::array<CountWindow, kServiceLevelWindowCount> windows;
};

/// \brief Records a complete response and the time since the request arrived.
void RecordResponse(ServiceLevel& level,
                    std::chrono::microseconds latency,
                    TimePoint now);

/// \brief Records a request that got no response, or an error of the system.
void RecordMiss(ServiceLevel& level, TimePoint now);

/// \brief The counts of one window up to now; the oldest part of the window is
/// left out as it ages.
TargetCounts CountsInWindow(const ServiceLevel& level,
                            std::size_t window,
                            TimePoint now);

/// \brief The rate at which the permitted misses are used up: 1 means exactly
/// as fast as the objective permits; 0 without requests.
double BurnRate(const TargetCounts& counts, double objective);

struct WindowBurn {
  std::chrono::minutes length{0};
  TargetCounts counts;
  double burn_rate = 0.0;
};

struct RankBurn {
  std::string rank;
  std::chrono::microseconds target{0};
  double objective = 0.0;
  double worth = 0.0;
  std::array<WindowBurn, kServiceLevelWindowCount> windows;
};

/// \brief The burn of all ranks, and its mean weighted by worth per window.
struct BurnReport {
  std::vector<RankBurn> ranks;
  std::array<double, kServiceLevelWindowCount> weighted{};
};

/// \brief Reports the ranks by worth times burn of the shortest window, the
/// largest first.
BurnReport ReportBurn(const std::vector<ServiceLevel>& levels, TimePoint now);

/// \brief Renders a report as a table, one line per rank.
std::string FormatBurnReport(const BurnReport& report);

}  // namespace comfrey

#endif  // CORE_SERVICE_LEVEL_H_
