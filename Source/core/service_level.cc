#include "core/service_level.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "base/duration_text.h"

namespace comfrey {
namespace {

// The smallest share of misses that is assumed to be permitted. An objective of
// 100% permits none, which would give an infinite burn rate.
constexpr double kLeastPermitted = 1e-5;

std::int64_t PartNumber(const ServiceLevel& level,
                        std::size_t window,
                        TimePoint now) {
  const std::chrono::steady_clock::duration part =
      std::chrono::steady_clock::duration(kWindowLengths[window]) /
      static_cast<std::int64_t>(kWindowParts);
  return std::max(now - level.epoch, TimePoint::duration::zero()) / part;
}

std::size_t RingIndex(std::int64_t part) {
  return static_cast<std::size_t>(part) % kWindowParts;
}

// Returns the part of the window that belongs to now, after clearing the parts
// that were skipped since the last record.
TargetCounts& CurrentPart(ServiceLevel& level,
                          std::size_t window,
                          TimePoint now) {
  CountWindow& counts = level.windows[window];
  const std::int64_t part =
      std::max(counts.last_part, PartNumber(level, window, now));
  const std::int64_t first_skipped = std::max(
      counts.last_part + 1, part - static_cast<std::int64_t>(kWindowParts) + 1);
  for (std::int64_t skipped = first_skipped; skipped <= part; skipped++) {
    counts.parts[RingIndex(skipped)] = TargetCounts();
  }
  counts.last_part = part;
  return counts.parts[RingIndex(part)];
}

void Record(ServiceLevel& level, bool met, TimePoint now) {
  for (std::size_t window = 0; window < kServiceLevelWindows; window++) {
    TargetCounts& counts = CurrentPart(level, window, now);
    if (met) {
      counts.met++;
    } else {
      counts.missed++;
    }
  }
}

double WorthBurn(const RankBurn& rank) {
  return rank.worth * rank.windows.front().burn;
}

}  // namespace

ServiceLevel::ServiceLevel(RankObjective objective, TimePoint now)
    : objective(std::move(objective)), epoch(now) {}

void RecordResponse(ServiceLevel& level,
                    std::chrono::microseconds latency,
                    TimePoint now) {
  Record(level, latency <= level.objective.target, now);
}

void RecordMiss(ServiceLevel& level, TimePoint now) {
  Record(level, false, now);
}

TargetCounts CountsIn(const ServiceLevel& level,
                      std::size_t window,
                      TimePoint now) {
  const CountWindow& counts = level.windows[window];
  const std::int64_t newest =
      std::max(counts.last_part, PartNumber(level, window, now));
  TargetCounts total;
  const std::int64_t oldest = std::max<std::int64_t>(
      0, newest - static_cast<std::int64_t>(kWindowParts) + 1);
  for (std::int64_t part = oldest; part <= counts.last_part; part++) {
    total.met += counts.parts[RingIndex(part)].met;
    total.missed += counts.parts[RingIndex(part)].missed;
  }
  return total;
}

double BurnRate(const TargetCounts& counts, double objective) {
  const double total =
      static_cast<double>(counts.met) + static_cast<double>(counts.missed);
  if (total == 0.0) {
    return 0.0;
  }
  const double permitted = std::max(1.0 - objective, kLeastPermitted);
  return static_cast<double>(counts.missed) / total / permitted;
}

BurnReport ReportBurn(const std::vector<ServiceLevel>& levels, TimePoint now) {
  BurnReport report;
  double worth = 0.0;
  for (const ServiceLevel& level : levels) {
    const RankObjective& objective = level.objective;
    RankBurn rank;
    rank.rank = objective.name;
    rank.target = objective.target;
    rank.objective = objective.objective;
    rank.worth = objective.worth;
    for (std::size_t window = 0; window < kServiceLevelWindows; window++) {
      WindowBurn& burn = rank.windows[window];
      burn.length = kWindowLengths[window];
      burn.counts = CountsIn(level, window, now);
      burn.burn = BurnRate(burn.counts, objective.objective);
      report.weighted[window] += objective.worth * burn.burn;
    }
    worth += objective.worth;
    report.ranks.push_back(std::move(rank));
  }
  for (double& weighted : report.weighted) {
    weighted = worth > 0.0 ? weighted / worth : 0.0;
  }
  std::stable_sort(report.ranks.begin(), report.ranks.end(),
                   [](const RankBurn& a, const RankBurn& b) {
                     return WorthBurn(a) > WorthBurn(b);
                   });
  return report;
}

std::string FormatBurnReport(const BurnReport& report) {
  std::string text = absl::StrFormat("%-16s %8s %9s %6s", "rank", "target",
                                     "objective", "worth");
  for (const std::chrono::minutes length : kWindowLengths) {
    absl::StrAppend(
        &text, absl::StrFormat(" %17s", absl::StrCat("missed/burn ",
                                                     FormatDuration(length))));
  }
  absl::StrAppend(&text, "\n");
  for (const RankBurn& rank : report.ranks) {
    absl::StrAppend(&text, absl::StrFormat("%-16s %8s %8.2f%% %6.1f", rank.rank,
                                           FormatDuration(rank.target),
                                           rank.objective * 100.0, rank.worth));
    for (const WindowBurn& window : rank.windows) {
      const std::string missed = absl::StrCat(
          window.counts.missed, "/", window.counts.met + window.counts.missed);
      absl::StrAppend(&text,
                      absl::StrFormat(" %10s %6.2f", missed, window.burn));
    }
    absl::StrAppend(&text, "\n");
  }
  absl::StrAppend(&text, absl::StrFormat("%-42s", "weighted by worth"));
  for (const double weighted : report.weighted) {
    absl::StrAppend(&text, absl::StrFormat(" %10s %6.2f", "", weighted));
  }
  absl::StrAppend(&text, "\n");
  return text;
}

}  // namespace comfrey
