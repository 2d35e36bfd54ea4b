#ifndef CORE_OUTLIER_EVIDENCE_H_
#define CORE_OUTLIER_EVIDENCE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "core/endpoint_health.h"

namespace comfrey {

/// \brief Latest known summaries of the service's other endpoints.
struct SiblingBaseline {
  std::vector<EndpointSummary> siblings;
};

/// \brief Statistics of the siblings' summaries.
struct SiblingStatistics {
  std::size_t count = 0;
  std::chrono::microseconds latency{0};  ///< median
  double failed_share = 0;               ///< upper quartile
};

/// \brief Evidence from a window of the samples of an endpoint.
struct Evidence {
  /// Log-likelihood ratio.
  double nats = 0;
  /// Share of the samples that are hits.
  double share = 0;
  /// Estimated time of the change.
  std::chrono::steady_clock::time_point start;
};

/// \brief Minimum evidence, and minimum time that it must span.
struct EvidenceThreshold {
  double nats;
  std::chrono::milliseconds time;
};

/// \brief Number of samples that show a fault, and of all samples.
struct HitCounts {
  double hits;
  double samples;
};

using HitCounter = std::function<HitCounts(const HealthInterval&)>;

/// \brief Functions of the statistics of the siblings that define a fault.
struct EvidenceCriterion {
  /// Returns the share of hits to expect without the fault.
  std::function<double(const SiblingStatistics&)> expected_share;
  std::function<HitCounter(const SiblingStatistics&)> counter;
};

enum class Confirmation : std::uint8_t { kNoEvidence, kMissing, kConfirmed };

/// \brief Returns a counter of the responses that took longer than the limit.
HitCounter CountSlow(std::chrono::microseconds limit);

HitCounts CountFailures(const HealthInterval& interval);

/// \brief Returns the log-likelihood ratio, in nats, between the observed and
/// the expected share of hits, or 0 if the observed share is not above the
/// expected one.
double LogLikelihoodRatio(double hits, double samples, double expected);

/// \brief Aggregates the summaries that describe the present state of the
/// service.
SiblingStatistics CurrentSiblings(const SiblingBaseline& baseline,
                                  std::chrono::steady_clock::time_point now);

/// \brief Decides whether there is evidence that the endpoint is worse than its
/// siblings, based on summaries of the siblings about the same time.
Confirmation ConfirmEvidence(const EndpointHealth& health,
                             const SiblingBaseline& baseline,
                             const EvidenceThreshold& needed,
                             const EvidenceCriterion& criterion,
                             Evidence* evidence,
                             std::chrono::steady_clock::time_point now);

}  // namespace comfrey

#endif  // CORE_OUTLIER_EVIDENCE_H_
