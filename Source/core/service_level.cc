#include "core/service_level.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "base/duration_text.h"

namespace comfrey {
namespace {

// Lower bound of the permitted share of misses. An objective of 100% permits no
// misses and would give an infinite burn rate.
constexpr double kMinPermittedMissShare = 1e-5;

std::int64_t BucketNumber(const ServiceLevel& level,
                          std::size_t window,
                          TimePoint now) {
  const std::chrono::steady_clock::duration bucket =
      std::chrono::steady_clock::duration(kWindowLengths[window]) /
      static_cast<std::int64_t>(kBucketsPerWindow);
  return std::max(now - level.epoch, TimePoint::duration::zero()) / bucket;
}

std::size_t RingIndex(std::int64_t bucket) {
  return static_cast<std::size_t>(bucket) % kBucketsPerWindow;
}

// Returns the bucket for the given time. If it is newer than the last bucket,
// it and the skipped buckets are cleared first, since the ring buffer still
// holds older counts there.
TargetCounts& CurrentBucket(ServiceLevel& level,
                            std::size_t window,
                            TimePoint now) {
  CountWindow& counts = level.windows[window];
  const std::int64_t bucket =
      std::max(counts.last_bucket, BucketNumber(level, window, now));
  const std::int64_t first_skipped =
      std::max(counts.last_bucket + 1,
               bucket - static_cast<std::int64_t>(kBucketsPerWindow) + 1);
  for (std::int64_t skipped = first_skipped; skipped <= bucket; skipped++) {
    counts.buckets[RingIndex(skipped)] = TargetCounts();
  }
  counts.last_bucket = bucket;
  return counts.buckets[RingIndex(bucket)];
}

void Record(ServiceLevel& level, bool met, TimePoint now) {
  for (std::size_t window = 0; window < kServiceLevelWindowCount; window++) {
    TargetCounts& counts = CurrentBucket(level, window, now);
    if (met) {
      counts.met++;
    } else {
      counts.missed++;
    }
  }
}

double BurnRateTimesWorth(const RankBurn& rank) {
  return rank.worth * rank.windows.front().burn_rate;
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

TargetCounts CountsInWindow(const ServiceLevel& level,
                            std::size_t window,
                            TimePoint now) {
  const CountWindow& counts = level.windows[window];
  const std::int64_t newest =
      std::max(counts.last_bucket, BucketNumber(level, window, now));
  TargetCounts total;
  const std::int64_t oldest = std::max<std::int64_t>(
      0, newest - static_cast<std::int64_t>(kBucketsPerWindow) + 1);
  for (std::int64_t bucket = oldest; bucket <= counts.last_bucket; bucket++) {
    total.met += counts.buckets[RingIndex(bucket)].met;
    total.missed += counts.buckets[RingIndex(bucket)].missed;
  }
  return total;
}

double BurnRate(const TargetCounts& counts, double objective) {
  const double total =
      static_cast<double>(counts.met) + static_cast<double>(counts.missed);
  if (total == 0.0) {
    return 0.0;
  }
  const double permitted = std::max(1.0 - objective, kMinPermittedMissShare);
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
    for (std::size_t window = 0; window < kServiceLevelWindowCount; window++) {
      WindowBurn& burn = rank.windows[window];
      burn.length = kWindowLengths[window];
      burn.counts = CountsInWindow(level, window, now);
      burn.burn_rate = BurnRate(burn.counts, objective.objective);
      report.weighted[window] += objective.worth * burn.burn_rate;
    }
    worth += objective.worth;
    report.ranks.push_back(std::move(rank));
  }
  for (double& weighted : report.weighted) {
    weighted = worth > 0.0 ? weighted / worth : 0.0;
  }
  std::stable_sort(report.ranks.begin(), report.ranks.end(),
                   [](const RankBurn& a, const RankBurn& b) {
                     return BurnRateTimesWorth(a) > BurnRateTimesWorth(b);
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
                      absl::StrFormat(" %10s %6.2f", missed, window.burn_rate));
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
