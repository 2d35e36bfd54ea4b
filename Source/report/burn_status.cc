#include "report/burn_status.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "report/json_archive.h"

namespace comfrey {
namespace {

// Lower limit of the permitted share of misses. It prevents a division by 0 if
// a report has 1 as the objective.
constexpr double kMinPermittedMissShare = 1e-6;

double ComputeBurnRate(const BurnWindow& window, double objective) {
  const double total =
      static_cast<double>(window.met) + static_cast<double>(window.missed);
  if (total == 0) {
    return 0;
  }
  const double permitted = std::max(1 - objective, kMinPermittedMissShare);
  return static_cast<double>(window.missed) / total / permitted;
}

// Adds the counts of `from` to the window of the same length, or appends `from`
// if there is none.
void AddWindow(std::vector<BurnWindow>& windows, const BurnWindow& from) {
  const auto same = std::find_if(
      windows.begin(), windows.end(),
      [&](const BurnWindow& window) { return window.length == from.length; });
  if (same == windows.end()) {
    windows.push_back(from);
    return;
  }
  same->met += from.met;
  same->missed += from.missed;
}

// Returns worth times the burn rate of the shortest window.
double WeightedShortWindowBurn(const RankBurnStatus& rank) {
  return rank.windows.empty() ? 0 : rank.worth * rank.windows[0].burn_rate;
}

std::vector<WeightedBurnRate> AverageBurnRates(
    const std::vector<RankBurnStatus>& ranks) {
  struct Sum {
    double burn = 0;
    double worth = 0;
  };
  std::map<std::chrono::seconds, Sum> sums;
  for (const RankBurnStatus& rank : ranks) {
    for (const BurnWindow& window : rank.windows) {
      Sum& sum = sums[window.length];
      sum.burn += rank.worth * window.burn_rate;
      sum.worth += rank.worth;
    }
  }
  std::vector<WeightedBurnRate> weighted;
  weighted.reserve(sums.size());
  for (const auto& [length, sum] : sums) {
    weighted.push_back({length, sum.worth > 0 ? sum.burn / sum.worth : 0});
  }
  return weighted;
}

}  // namespace

template <typename Archive>
void DescribeFields(Archive& archive, BurnWindow& window) {
  archive.Field("length", window.length);
  archive.Field("met", window.met);
  archive.Field("missed", window.missed);
  archive.Field("burn_rate", window.burn_rate);
}

template <typename Archive>
void DescribeFields(Archive& archive, RankBurnStatus& rank) {
  archive.Field("team", rank.team);
  archive.Field("rank", rank.rank);
  archive.Field("target", rank.target);
  archive.Field("objective", rank.objective);
  archive.Field("worth", rank.worth);
  archive.Field("windows", rank.windows);
}

template <typename Archive>
void DescribeFields(Archive& archive, WeightedBurnRate& weighted) {
  archive.Field("length", weighted.length);
  archive.Field("burn_rate", weighted.burn_rate);
}

template <typename Archive>
void DescribeFields(Archive& archive, BurnStatus& report) {
  archive.Field("ranks", report.ranks);
  archive.Field("weighted", report.weighted);
}

BurnStatus AggregateBurnStatus(const std::vector<BurnStatus>& reports) {
  using RankId =
      std::tuple<std::string, std::string, std::chrono::microseconds, double>;
  std::map<RankId, RankBurnStatus> sums;
  for (const BurnStatus& report : reports) {
    for (const RankBurnStatus& rank : report.ranks) {
      const auto [sum, added] = sums.try_emplace(
          RankId{rank.team, rank.rank, rank.target, rank.objective}, rank);
      if (added) {
        continue;
      }
      sum->second.worth = std::max(sum->second.worth, rank.worth);
      for (const BurnWindow& window : rank.windows) {
        AddWindow(sum->second.windows, window);
      }
    }
  }
  BurnStatus total;
  for (auto& [id, rank] : sums) {
    std::sort(rank.windows.begin(), rank.windows.end(),
              [](const BurnWindow& a, const BurnWindow& b) {
                return a.length < b.length;
              });
    for (BurnWindow& window : rank.windows) {
      window.burn_rate = ComputeBurnRate(window, rank.objective);
    }
    total.ranks.push_back(std::move(rank));
  }
  std::stable_sort(total.ranks.begin(), total.ranks.end(),
                   [](const RankBurnStatus& a, const RankBurnStatus& b) {
                     return WeightedShortWindowBurn(a) >
                            WeightedShortWindowBurn(b);
                   });
  total.weighted = AverageBurnRates(total.ranks);
  return total;
}

std::string BurnToJson(const BurnStatus& report) {
  return ToJsonText(report);
}

absl::StatusOr<BurnStatus> BurnFromJson(absl::string_view json) {
  return FromJsonText<BurnStatus>(json);
}

}  // namespace comfrey
