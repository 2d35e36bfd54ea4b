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

/// \brief The service level objective of a rank, from its `[rank]` section.
struct RankObjective {
  std::string name;
  std::chrono::microseconds target{0};
  double objective = 0.99;  ///< Share of requests that must meet the target.
  double worth = 1.0;       ///< Weight in the burn report.
};

/// \brief Number of windows over which requests are counted.
inline constexpr std::size_t kServiceLevelWindowCount = 4;

/// \brief The lengths of the windows, shortest first.
inline constexpr std::array<std::chrono::minutes, kServiceLevelWindowCount>
    kWindowLengths = {std::chrono::minutes(5), std::chrono::minutes(30),
                      std::chrono::hours(1), std::chrono::hours(6)};

/// \brief Numbers of requests that met or missed their target.
struct TargetCounts {
  std::uint32_t met = 0;
  std::uint32_t missed = 0;
};

/// \brief Number of buckets per window. Counts leave the window one bucket at a
/// time.
inline constexpr std::size_t kBucketsPerWindow = 30;

/// \brief The counts of one window, as a ring buffer of buckets.
struct CountWindow {
  std::array<TargetCounts, kBucketsPerWindow> buckets;
  /// Number of the newest bucket, counted from ServiceLevel::epoch.
  std::int64_t last_bucket = 0;
};

/// \brief The service level of one rank at one ingress.
struct ServiceLevel {
  ServiceLevel(RankObjective objective, TimePoint now);

  RankObjective objective;
  TimePoint epoch;
  std::array<CountWindow, kServiceLevelWindowCount> windows;
};

/// \brief Records a complete response and its latency since the arrival of the
/// request.
void RecordResponse(ServiceLevel& level,
                    std::chrono::microseconds latency,
                    TimePoint now);

/// \brief Records a request that got no response or failed because of an error
/// of the system.
void RecordMiss(ServiceLevel& level, TimePoint now);

/// \brief The counts of one window that ends now. Counts leave the window one
/// bucket at a time, so that it covers up to one bucket less than its length.
TargetCounts CountsInWindow(const ServiceLevel& level,
                            std::size_t window,
                            TimePoint now);

/// \brief The rate at which the error budget of the objective is consumed. 1
/// means that requests miss the target exactly as often as the objective
/// permits. 0 without requests.
double BurnRate(const TargetCounts& counts, double objective);

/// \brief The counts and the burn rate of one window.
struct WindowBurn {
  std::chrono::minutes length{0};
  TargetCounts counts;
  double burn_rate = 0.0;
};

/// \brief The burn rates of one rank.
struct RankBurn {
  std::string rank;
  std::chrono::microseconds target{0};
  double objective = 0.0;
  double worth = 0.0;
  std::array<WindowBurn, kServiceLevelWindowCount> windows;
};

/// \brief The burn rates of all ranks, and for each window their mean weighted
/// by worth.
struct BurnReport {
  std::vector<RankBurn> ranks;
  std::array<double, kServiceLevelWindowCount> weighted{};
};

/// \brief Reports the burn rates of the ranks, in descending order of worth
/// times the burn rate of the shortest window.
BurnReport ReportBurn(const std::vector<ServiceLevel>& levels, TimePoint now);

/// \brief Formats a report as a table with one line per rank.
std::string FormatBurnReport(const BurnReport& report);

}  // namespace comfrey

#endif  // CORE_SERVICE_LEVEL_H_
